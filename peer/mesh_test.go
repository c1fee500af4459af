package peer

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"egretlane.example/egret"
	"egretlane.example/egret/place"
)

const fleetSize = 20

func TestKilledProxyIsDead(t *testing.T) {
	f := newFleet(t, fleetSize)
	f.proxies[3].kill()
	f.waitFor(t, "the killed proxy is dead for all", func() bool {
		return f.allCountLive(fleetSize - 1)
	})
}

func TestLeavingProxyTakesNoLanes(t *testing.T) {
	f := newFleet(t, fleetSize)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	f.proxies[3].Leave(ctx)
	took := f.waitFor(t, "no proxy counts the leaving one as live", func() bool {
		return f.allCountLive(fleetSize - 1)
	})
	if took > 2*time.Second {
		t.Errorf("all proxies knew of the leaving one after %v, want within 2 s", took)
	}
	n, _ := f.proxies[0].node("proxy-4")
	if n.State != egret.NodeLeaving {
		t.Errorf("state = %s, want leaving", n.State)
	}
}

// TestEndOfALeavingProxyIsNoSuspicion kills a proxy that all know to be leaving.
func TestEndOfALeavingProxyIsNoSuspicion(t *testing.T) {
	f := newFleet(t, 5)
	leaving := f.proxies[3]
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	leaving.Leave(ctx)
	id := leaving.Node.ID
	f.waitFor(t, "all know that the proxy leaves", func() bool {
		return f.allCountLive(4)
	})
	leaving.kill()
	f.waitFor(t, "the proxy is dead for all", func() bool {
		for _, p := range f.running() {
			if n, _ := p.node(id); n.State != egret.NodeDead {
				return false
			}
		}
		return true
	})
	for _, p := range f.running() {
		if n := testutil.ToFloat64(p.metrics.suspicions); n != 0 {
			t.Errorf("%s: %v suspicions, want none", p.Node.ID, n)
		}
	}
}

// A proxy that is unreachable for a while is dead for the others. When it is reachable again, it refutes that with
// a higher incarnation and is live again.
func TestPausedProxyRefutes(t *testing.T) {
	f := newFleet(t, fleetSize)
	paused := f.proxies[5]
	before := paused.Self().Incarnation
	address := paused.Node.Address.String()
	f.network.partition(func(from, to string) bool {
		return from == address || to == address
	})
	f.waitFor(t, "the unreachable proxy is dead for the others", func() bool {
		for i, p := range f.proxies {
			if i != 5 && len(p.Live()) != fleetSize-1 {
				return false
			}
		}
		return true
	})
	f.network.partition(nil)
	f.waitFor(t, "the proxy is live again for all", func() bool {
		return f.allCountLive(fleetSize)
	})
	if after := paused.Self().Incarnation; after <= before {
		t.Errorf("incarnation = %d, want above %d", after, before)
	}
}

// During a network partition each side counts its own proxies. When the partition ends, the sides reconnect and
// exchange the primaries that they know.
func TestSplitHeals(t *testing.T) {
	f := newFleet(t, fleetSize)
	region := map[string]string{}
	for _, p := range f.proxies {
		region[p.Node.Address.String()] = p.Node.Region
	}
	f.network.partition(func(from, to string) bool {
		return region[from] != region[to]
	})
	f.waitFor(t, "each side counts only its own proxies as live", func() bool {
		return f.allCountLive(fleetSize / 2)
	})
	f.proxies[0].AnnouncePrimary(egret.GroupPrimary{
		Group:   "catalogo-1",
		Term:    4,
		Primary: "member-1",
	})
	f.network.partition(nil)
	f.waitFor(t, "all proxies are live for all", func() bool {
		return f.allCountLive(fleetSize)
	})
	f.waitFor(t, "all proxies know the primary of one side", func() bool {
		return f.allKnowTerm("catalogo-1", 4)
	})
}

// A restarted proxy with the ID of an earlier run replaces it: the higher incarnation supersedes updates about the
// earlier run.
func TestSecondRunTakesPlace(t *testing.T) {
	f := newFleet(t, 5)
	f.proxies[4].kill()
	f.proxies = f.proxies[:4]
	restarted := f.add(t, f.proxies[0].Node.Address)
	f.waitFor(t, "all have the address of the second run", func() bool {
		for _, p := range f.running() {
			n, _ := p.node("proxy-5")
			if n.Address != restarted.Node.Address || n.State != egret.NodeAlive {
				return false
			}
		}
		return true
	})
}

func TestFactsAndTablesSpread(t *testing.T) {
	f := newFleet(t, fleetSize)
	f.proxies[7].AnnouncePrimary(egret.GroupPrimary{
		Group:   "catalogo-1",
		Term:    3,
		Primary: "member-2",
	})
	took := f.waitFor(t, "all know the primary", func() bool {
		return f.allKnowTerm("catalogo-1", 3)
	})
	if took > 2*time.Second {
		t.Errorf("the primary was known after %v, want within 2 s", took)
	}
	f.proxies[7].AnnouncePrimary(egret.GroupPrimary{
		Group:   "catalogo-1",
		Term:    2,
		Primary: "member-1",
	})
	f.proxies[2].tables.offer(9, nil)
	f.proxies[2].NotifyTables()
	took = f.waitFor(t, "all have the tables", func() bool {
		for _, p := range f.proxies {
			if v := p.TablesInForce(); v == nil || v.Revision != 9 {
				return false
			}
		}
		return true
	})
	if took > 5*time.Second {
		t.Errorf("the tables were in force after %v, want within 5 s", took)
	}
	if !f.allKnowTerm("catalogo-1", 3) {
		t.Error("a primary with a lower term replaced one with a higher term")
	}
}

// TestMissedUpdateIsRepaired leaves one proxy without a primary that all others know and have sent often enough. The
// fleet has just formed, so that nodes have changed within the propagation time.
func TestMissedUpdateIsRepaired(t *testing.T) {
	f := newFleet(t, fleetSize)
	for i, p := range f.proxies {
		p.mu.Lock()
		for p.table.Pending() > 0 {
			p.table.TakeUpdates(1 << 20)
		}
		if i != 11 {
			p.applyChange(p.table.LoadFact(egret.GroupPrimary{
				Group:   "catalogo-1",
				Term:    3,
				Primary: "member-2",
			}))
		}
		p.mu.Unlock()
	}
	took := f.waitFor(t, "all know the primary", func() bool {
		return f.allKnowTerm("catalogo-1", 3)
	})
	if took > 2*time.Second {
		t.Errorf("the primary was known after %v, want within 2 s", took)
	}
}

func TestCancelFindsProxy(t *testing.T) {
	f := newFleet(t, 3)
	f.proxies[2].OnCancel = func(process uint32, secret []byte) bool {
		return string(secret) == "secret"
	}
	process := uint32(place.ShortHash("proxy-3"))<<16 | 7
	if !f.proxies[0].ForwardCancel(context.Background(), process, []byte("secret")) {
		t.Error("the cancel request found no session")
	}
	if f.proxies[0].ForwardCancel(context.Background(), process, []byte("guess")) {
		t.Error("a cancel request with a wrong secret found a session")
	}
}

// allKnowTerm reports whether all running proxies know the group's primary for the term.
func (f *fleet) allKnowTerm(group string, term uint64) bool {
	for _, p := range f.running() {
		if current, ok := p.Primary(group); !ok || current.Term != term {
			return false
		}
	}
	return true
}

func (p *proxy) node(id string) (egret.Node, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Node(id)
}
