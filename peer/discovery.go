package peer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/peerpb"
	"egretlane.example/egret/peer/roster"
)

// Intervals and limits of discovery.
const (
	// isolatedInterval and maxIsolatedInterval bound the backoff between attempts while no other proxy is live.
	isolatedInterval    = 250 * time.Millisecond
	maxIsolatedInterval = 2 * time.Second

	// contactTimeout bounds an exchange with an unknown proxy. It is longer than that of a regular exchange,
	// since many proxies may contact the same one at once.
	contactTimeout = 2 * time.Second

	// isolatedAttempts is the number of addresses that are contacted concurrently while no other proxy is live.
	isolatedAttempts = 8

	// discoveryGrowthNodes is the unit of growth of the discovery interval: Timing.DiscoveryInterval is
	// multiplied by the number of whole units in the size of the fleet, if there is more than one.
	discoveryGrowthNodes = 32

	// vmListInterval is the base interval between requests for the VM list. It grows by vmListIntervalPerNode
	// for each proxy.
	vmListInterval        = 20 * time.Second
	vmListIntervalPerNode = 200 * time.Millisecond
	vmListTimeout         = 5 * time.Second
)

// runDiscovery joins the other proxies, and then keeps contacting addresses whose proxy is unknown or dead here.
// That reconnects the sides of a network partition, and groups of proxies that started separately.
func (m *Mesh) runDiscovery(ctx context.Context) error {
	interval := isolatedInterval
	for {
		isolated := m.discover(ctx)
		if isolated {
			interval = min(2*interval, maxIsolatedInterval)
		} else {
			interval = m.discoveryInterval()
		}
		if !sleep(ctx, m.jitter(interval)) {
			return nil
		}
	}
}

// discover contacts one address, or up to isolatedAttempts while no other proxy is live. It reports whether none
// was live.
func (m *Mesh) discover(ctx context.Context) bool {
	candidates, isolated := m.candidates()
	attempts := 1
	if isolated {
		attempts = isolatedAttempts
	}
	wg := sync.WaitGroup{}
	for _, a := range candidates[:min(attempts, len(candidates))] {
		wg.Go(func() {
			m.contact(ctx, a)
		})
	}
	wg.Wait()
	return isolated
}

// discoveryInterval returns the interval between attempts while other proxies are live.
func (m *Mesh) discoveryInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Timing.DiscoveryInterval * time.Duration(max(1, m.table.Size()/discoveryGrowthNodes))
}

// jitter returns a random duration between 75 % and 125 % of d.
func (m *Mesh) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d*3/4 + time.Duration(m.random.Int64N(int64(d/2)+1))
}

// candidates returns addresses without a live proxy, in random order, and whether no other proxy is live.
func (m *Mesh) candidates() ([]netip.AddrPort, bool) {
	members := memberAddresses(m.TablesInForce())
	m.mu.Lock()
	defer m.mu.Unlock()
	known := map[netip.AddrPort]bool{
		m.Node.Address: true,
	}
	found := []netip.AddrPort{}
	add := func(a netip.AddrPort) {
		if !known[a] && !members[a] {
			known[a] = true
			found = append(found, a)
		}
	}
	nodes := m.table.Nodes(func(n egret.Node) bool {
		return n.ID != m.Node.ID
	})
	for _, n := range nodes {
		if n.State != egret.NodeDead {
			known[n.Address] = true
		}
	}
	for _, n := range nodes {
		add(n.Address)
	}
	for _, a := range slices.Concat(m.Seeds, m.vmAddresses) {
		add(a)
	}
	m.random.Shuffle(len(found), func(i, j int) {
		found[i], found[j] = found[j], found[i]
	})
	return found, m.table.Size() == 1
}

// memberAddresses returns the addresses of backend servers. They are excluded because the VM list may contain
// them, too.
func memberAddresses(t *egret.Tables) map[netip.AddrPort]bool {
	members := map[netip.AddrPort]bool{}
	if t == nil {
		return members
	}
	for _, p := range t.Pools {
		for _, g := range p.Groups {
			for _, b := range g.Members {
				members[b.Address] = true
			}
		}
	}
	return members
}

// contact makes an exchange with the proxy at the address, if there is one. Until a pull of all state has
// succeeded, each proxy that answers is asked for one.
func (m *Mesh) contact(ctx context.Context, a netip.AddrPort) {
	reply, err := m.send(ctx, a, m.request(""), contactTimeout)
	if err != nil {
		m.pool.Replace(a)
		return
	}
	from, ok := nodeFromWire(reply.GetFrom())
	if !ok || from.ID == m.Node.ID {
		return
	}
	if !m.joined.Load() {
		m.pullAll(ctx, a)
	}
	m.handleReply(ctx, reply)
	m.reconcile(ctx, a)
}

// pullAll pulls all state from a proxy.
func (m *Mesh) pullAll(ctx context.Context, a netip.AddrPort) {
	m.metrics.pulls.WithLabelValues("all").Inc()
	all := roster.AllBuckets()
	reply, err := m.pull(ctx, a, &peerpb.PullRequest{
		NodeBuckets: all,
		FactBuckets: all,
	})
	if err != nil {
		return
	}
	m.loadState(reply.GetNews())
	m.pullTables(ctx, a)
	if m.joined.CompareAndSwap(false, true) {
		m.Log.Info().Str("address", a.String()).Msg("joined the other proxies")
	}
}

// loadState merges the full state of another proxy without spreading it further.
func (m *Mesh) loadState(updates *peerpb.News) {
	now := time.Now()
	n := updatesFromWire(updates)
	m.mu.Lock()
	defer m.mu.Unlock()
	c := roster.Change{}
	for _, v := range n.Nodes {
		c.Add(m.table.Load(v, now))
	}
	for _, v := range n.Facts {
		c.Add(m.table.LoadFact(v))
	}
	m.applyChange(c)
}

// runVMList requests the VM list periodically.
func (m *Mesh) runVMList(ctx context.Context) error {
	if m.VMs == nil {
		return nil
	}
	for {
		m.refreshVMList(ctx)
		m.mu.Lock()
		interval := vmListInterval + time.Duration(m.table.Size())*vmListIntervalPerNode
		if m.table.Size() == 1 {
			interval = maxIsolatedInterval
		}
		m.mu.Unlock()
		if !sleep(ctx, m.jitter(interval)) {
			return nil
		}
	}
}

// refreshVMList stores the addresses of the VM list. The list is only a hint that lags anyway, so on a failure the
// previous addresses are kept.
func (m *Mesh) refreshVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vms, err := m.VMs.List(ctx)
	if err != nil {
		return
	}
	listed := make([]netip.AddrPort, 0, len(vms))
	for _, v := range vms {
		if !v.Leaving {
			listed = append(listed, v.Address)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vmAddresses = listed
}
