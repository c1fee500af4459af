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

// Limits of the search for proxies.
const (
	// aloneInterval and aloneMaximum bound the pause between attempts while no other proxy is known.
	aloneInterval = 250 * time.Millisecond
	aloneMaximum  = 2 * time.Second

	// contactTimeout bounds an exchange with an unknown proxy. It is long, since many may come to
	// the same one at once.
	contactTimeout = 2 * time.Second

	// aloneTries is how many addresses are tried at once then.
	aloneTries = 8

	// seekFleet is the size of the fleet from which on each proxy seeks less often.
	seekFleet = 32

	// listInterval is the interval of looks at the VM list. It grows by listGrowth for each proxy.
	listInterval = 20 * time.Second
	listGrowth   = 200 * time.Millisecond
	listTimeout  = 5 * time.Second
)

// runSeek joins the mesh, and then looks for proxies that this one doesn't know or calls dead. That
// joins the sides of a split again, and proxies that started apart.
func (m *Mesh) runSeek(ctx context.Context) error {
	wait := aloneInterval
	for {
		alone := m.seek(ctx)
		if alone {
			wait = min(2*wait, aloneMaximum)
		} else {
			wait = m.seekInterval()
		}
		if !pause(ctx, m.jitter(wait)) {
			return nil
		}
	}
}

// seek tries one address, or several while no other proxy is known. It reports whether none is.
func (m *Mesh) seek(ctx context.Context) bool {
	candidates, alone := m.candidates()
	tries := 1
	if alone {
		tries = aloneTries
	}
	wg := sync.WaitGroup{}
	for _, a := range candidates[:min(tries, len(candidates))] {
		wg.Go(func() {
			m.contact(ctx, a)
		})
	}
	wg.Wait()
	return alone
}

func (m *Mesh) seekInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Timing.Seek * time.Duration(max(1, m.table.Size()/seekFleet))
}

// jitter spreads a time over three quarters to five quarters of it.
func (m *Mesh) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d*3/4 + time.Duration(m.random.Int64N(int64(d/2)+1))
}

// candidates returns addresses without a live proxy, in random order, and whether no proxy is live.
func (m *Mesh) candidates() ([]netip.AddrPort, bool) {
	members := memberAddresses(m.TablesNow())
	m.mu.Lock()
	defer m.mu.Unlock()
	known := map[netip.AddrPort]bool{
		m.Node.Address: true,
	}
	found := []netip.AddrPort{}
	offer := func(a netip.AddrPort) {
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
		offer(n.Address)
	}
	for _, a := range slices.Concat(m.Seeds, m.listed) {
		offer(a)
	}
	m.random.Shuffle(len(found), func(i, j int) {
		found[i], found[j] = found[j], found[i]
	})
	return found, m.table.Size() == 1
}

// memberAddresses returns the addresses of backend servers, which the VM list may name, too.
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

// contact exchanges with whoever is at the address. The first that answers hands over all it knows.
func (m *Mesh) contact(ctx context.Context, a netip.AddrPort) {
	reply, err := m.send(ctx, a, m.request(""), contactTimeout)
	if err != nil {
		m.pool.Renew(a)
		return
	}
	from, ok := nodeFromWire(reply.GetFrom())
	if !ok || from.ID == m.Node.ID {
		return
	}
	if !m.answered.Load() {
		m.join(ctx, a)
	}
	m.absorb(ctx, reply)
	m.meet(ctx, a)
}

// join pulls all state from a proxy.
func (m *Mesh) join(ctx context.Context, a netip.AddrPort) {
	m.counts.pulls.WithLabelValues("all").Inc()
	all := roster.AllBuckets()
	reply, err := m.pull(ctx, a, &peerpb.PullRequest{
		NodeBuckets: all,
		FactBuckets: all,
	})
	if err != nil {
		return
	}
	m.load(reply.GetNews())
	m.pullTables(ctx, a)
	if m.answered.CompareAndSwap(false, true) {
		m.Log.Info().Str("address", a.String()).Msg("joined the other proxies")
	}
}

// load takes in the state that a proxy handed over.
func (m *Mesh) load(news *peerpb.News) {
	now := time.Now()
	n := newsFromWire(news)
	m.mu.Lock()
	defer m.mu.Unlock()
	c := roster.Change{}
	for _, v := range n.Nodes {
		c.Add(m.table.Load(v, now))
	}
	for _, v := range n.Facts {
		c.Add(m.table.LoadFact(v))
	}
	m.settle(c)
}

// runList looks at the VM list from time to time.
func (m *Mesh) runList(ctx context.Context) error {
	if m.VMs == nil {
		return nil
	}
	for {
		m.lookUp(ctx)
		m.mu.Lock()
		interval := listInterval + time.Duration(m.table.Size())*listGrowth
		if m.table.Size() == 1 {
			interval = aloneMaximum
		}
		m.mu.Unlock()
		if !pause(ctx, m.jitter(interval)) {
			return nil
		}
	}
}

// lookUp keeps the addresses of the VM list. It lags, so that a failure leaves the last one.
func (m *Mesh) lookUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
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
	m.listed = listed
}
