package peer

import (
	"context"
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/place"
)

const fleetSize = 20

func TestKilledProxyIsDead(t *testing.T) {
	f := newFleet(t, fleetSize)
	f.proxies[3].kill()
	f.wait(t, "the killed proxy is dead for all", func() bool {
		return f.agree(fleetSize - 1)
	})
}

func TestLeavingProxyTakesNoLanes(t *testing.T) {
	f := newFleet(t, fleetSize)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	f.proxies[3].Leave(ctx)
	took := f.wait(t, "all know that one leaves", func() bool {
		return f.agree(fleetSize - 1)
	})
	if took > 2*time.Second {
		t.Errorf("leaving was known after %v, want within 2 s", took)
	}
	n, _ := f.proxies[0].node("proxy-4")
	if n.State != egret.NodeLeaving {
		t.Errorf("state = %s, want leaving", n.State)
	}
}

// A proxy that nobody reaches for a while is dead for the others, and comes back by refuting it.
func TestPausedProxyRefutes(t *testing.T) {
	f := newFleet(t, fleetSize)
	paused := f.proxies[5]
	before := paused.Self().Incarnation
	address := paused.Node.Address.String()
	f.network.part(func(from, to string) bool {
		return from == address || to == address
	})
	f.wait(t, "the silent proxy is dead for the others", func() bool {
		for i, p := range f.proxies {
			if i != 5 && len(p.Live()) != fleetSize-1 {
				return false
			}
		}
		return true
	})
	f.network.part(nil)
	f.wait(t, "it is back for all", func() bool {
		return f.agree(fleetSize)
	})
	if after := paused.Self().Incarnation; after <= before {
		t.Errorf("incarnation = %d, want above %d", after, before)
	}
}

// Both sides of a split go on with their own, and find each other when the link is back.
func TestSplitHeals(t *testing.T) {
	f := newFleet(t, fleetSize)
	region := map[string]string{}
	for _, p := range f.proxies {
		region[p.Node.Address.String()] = p.Node.Region
	}
	f.network.part(func(from, to string) bool {
		return region[from] != region[to]
	})
	f.wait(t, "each side counts its own", func() bool {
		return f.agree(fleetSize / 2)
	})
	f.proxies[0].Announce(egret.GroupFact{
		Group:   "catalogo-1",
		Term:    4,
		Primary: "member-1",
	})
	f.network.part(nil)
	f.wait(t, "the sides are one", func() bool {
		return f.agree(fleetSize)
	})
	f.wait(t, "the fact of one side is on the other", func() bool {
		return f.leads("catalogo-1", 4)
	})
}

// A run with the ID of an earlier one takes its place, and claims about the earlier one fade.
func TestSecondRunTakesPlace(t *testing.T) {
	f := newFleet(t, 5)
	f.proxies[4].kill()
	f.proxies = f.proxies[:4]
	again := f.add(t, f.proxies[0].Node.Address)
	f.wait(t, "all have the address of the second run", func() bool {
		for _, p := range f.running() {
			n, _ := p.node("proxy-5")
			if n.Address != again.Node.Address || n.State != egret.NodeAlive {
				return false
			}
		}
		return true
	})
}

func TestFactsAndTablesSpread(t *testing.T) {
	f := newFleet(t, fleetSize)
	f.proxies[7].Announce(egret.GroupFact{
		Group:   "catalogo-1",
		Term:    3,
		Primary: "member-2",
	})
	took := f.wait(t, "all know the primary", func() bool {
		return f.leads("catalogo-1", 3)
	})
	if took > 2*time.Second {
		t.Errorf("the primary was known after %v, want within 2 s", took)
	}
	f.proxies[7].Announce(egret.GroupFact{
		Group:   "catalogo-1",
		Term:    2,
		Primary: "member-1",
	})
	f.proxies[2].tables.offer(9, nil)
	f.proxies[2].Notify()
	took = f.wait(t, "all have the tables", func() bool {
		for _, p := range f.proxies {
			if v := p.TablesNow(); v == nil || v.Revision != 9 {
				return false
			}
		}
		return true
	})
	if took > 5*time.Second {
		t.Errorf("the tables were in force after %v, want within 5 s", took)
	}
	if !f.leads("catalogo-1", 3) {
		t.Error("an older fact took the place of a newer one")
	}
}

func TestCancelFindsProxy(t *testing.T) {
	f := newFleet(t, 3)
	f.proxies[2].OnCancel = func(process uint32, secret []byte) bool {
		return string(secret) == "secret"
	}
	process := uint32(place.ShortHash("proxy-3"))<<16 | 7
	if !f.proxies[0].CancelAt(context.Background(), process, []byte("secret")) {
		t.Error("the cancel request found no session")
	}
	if f.proxies[0].CancelAt(context.Background(), process, []byte("guess")) {
		t.Error("a cancel request with a wrong secret found a session")
	}
}

// leads reports whether all proxies that run know the group's term.
func (f *fleet) leads(group string, term uint64) bool {
	for _, p := range f.running() {
		if fact, ok := p.Primary(group); !ok || fact.Term != term {
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
