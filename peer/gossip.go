package peer

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/peerpb"
	"egretlane.example/egret/peer/roster"
)

// Limits of the gossip exchanges.
const (
	// maxGossipInterval bounds the interval between exchanges as it grows with the size of the fleet.
	maxGossipInterval = time.Second

	// maxUpdatesSize bounds the updates in a message, in bytes, so that a message fits in one packet.
	maxUpdatesSize = 1000

	// reselectInterval is how long the selected partners are kept while no node changes.
	reselectInterval = time.Minute

	// reselectChangedInterval is how long partners are kept when nodes change, and minPartners is the number
	// of partners below which each change causes an immediate selection.
	reselectChangedInterval = time.Second
	minPartners             = 4

	// remoteInterval is the interval between exchanges with the same partner of another region in fleets of
	// up to remoteGrowthNodes nodes. It grows with the size of the fleet up to maxRemoteInterval.
	remoteInterval    = 500 * time.Millisecond
	maxRemoteInterval = 5 * time.Second
	remoteGrowthNodes = 64

	// minFloodInterval is the shortest time between two floods.
	minFloodInterval = 50 * time.Millisecond

	// floodLimit is the size of the fleet up to which a flood goes to all proxies, and the number of changes
	// in a repair up to which an urgent change causes a flood.
	floodLimit = 16

	// exchangeSize is the approximate size of an exchange on the wire, in bytes.
	exchangeSize = 1000

	// minPauseDelay is the delay of a scheduled exchange from which this process is considered to have been
	// paused.
	minPauseDelay = time.Second
)

// runGossip starts an exchange with one partner per gossip interval, and with all partners when there is an
// urgent update.
//
// The interval is Timing.GossipInterval * max(1, log2(n)/3), at most a second: 250 ms up to 8 proxies, 880 ms
// at 1,500. In each interval a proxy makes about one exchange and answers about one. At about 700 bytes for
// each direction of an exchange, this stays below 6 KB/s, and below 2 KB/s for a large fleet.
func (m *Mesh) runGossip(ctx context.Context) error {
	timer := time.NewTimer(m.gossipInterval())
	defer timer.Stop()
	due := time.Now().Add(m.gossipInterval())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.floodRequests:
			m.flood(ctx)
			if !sleep(ctx, minFloodInterval) {
				return nil
			}
		case <-timer.C:
			m.recoverFromPause(time.Now(), due)
			m.gossip(ctx)
			interval := m.gossipInterval()
			due = time.Now().Add(interval)
			timer.Reset(interval)
		}
	}
}

// gossipInterval returns the time until the next exchange, with a jitter of 5 % in each direction.
func (m *Mesh) gossipInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	interval := float64(m.Timing.GossipInterval) * roster.SizeFactor(m.table.Size())
	interval = min(interval, float64(max(maxGossipInterval, m.Timing.GossipInterval)))
	return time.Duration(interval * (0.95 + 0.1*m.random.Float64()))
}

// remoteGossipInterval returns the interval between exchanges with the same partner of another region. The
// caller holds mu.
func (m *Mesh) remoteGossipInterval() time.Duration {
	growth := max(1, float64(m.table.Size())/remoteGrowthNodes)
	return min(time.Duration(float64(remoteInterval)*growth), maxRemoteInterval)
}

// recoverFromPause corrects state that is outdated if this process was paused: suspects may have refuted in the
// meantime, and after a long pause the table may be older than what the other proxies still keep.
func (m *Mesh) recoverFromPause(now time.Time, due time.Time) {
	late := now.Sub(due)
	if late < minPauseDelay {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Log.Warn().Dur("late", late).Msg("this process was paused")
	m.table.RestartSuspicions(now)
	if late > m.Timing.DeadRetention/2 {
		m.table.Reset(now)
		m.applyChange(roster.Change{
			Changed: true,
		})
	}
}

// gossip expires suspicions and starts an exchange with the partner that has been due the longest.
func (m *Mesh) gossip(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	died := m.table.Sweep(now)
	if len(died) > 0 {
		m.reportDeaths(died)
	}
	m.checkRevision()
	m.updatePartners(now)
	partner, ok := m.nextPartner(now)
	m.mu.Unlock()
	if ok {
		m.metrics.rounds.Inc()
		go m.exchange(ctx, partner)
	}
}

// reportDeaths counts and logs the nodes that are now dead, and floods the update. The caller holds mu.
func (m *Mesh) reportDeaths(died []egret.Node) {
	for _, n := range died {
		m.metrics.deaths.Inc()
		m.Log.Warn().Str("node", n.ID).Msg("proxy is dead")
	}
	m.applyChange(roster.Change{
		Changed: true,
		Urgent:  true,
	})
}

// checkRevision requests a flood if the tables in force have a new revision. The caller holds mu.
func (m *Mesh) checkRevision() {
	t := m.TablesInForce()
	if t == nil || m.announcedRevision.Load() >= t.Revision {
		return
	}
	m.announcedRevision.Store(t.Revision)
	m.applyChange(roster.Change{
		Changed: true,
		Urgent:  true,
	})
}

// updatePartners selects new partners when nodes have changed or the selection has expired. Changes are batched
// for reselectChangedInterval, since many may come together and each selection costs new connections. The caller
// holds mu.
func (m *Mesh) updatePartners(now time.Time) {
	age := now.Sub(m.partnersTime)
	changed := m.table.Version() != m.partnersVersion
	few := len(m.nextExchange) < minPartners
	if age < reselectInterval && (!changed || !few && age <= reselectChangedInterval) {
		return
	}
	m.partnersVersion = m.table.Version()
	m.partnersTime = now
	reachable := m.table.Nodes(func(n egret.Node) bool {
		return n.State != egret.NodeDead
	})
	m.partners = roster.PickPartners(m.table.Self(), reachable, m.random)
	next := make(map[string]time.Time, len(m.partners.Local)+len(m.partners.Remote))
	for _, n := range m.allPartners() {
		next[n.ID] = m.nextExchange[n.ID]
	}
	m.nextExchange = next
}

// allPartners returns the partners of all regions. The caller holds mu.
func (m *Mesh) allPartners() []egret.Node {
	all := make([]egret.Node, 0, len(m.partners.Local)+len(m.partners.Remote))
	all = append(all, m.partners.Local...)
	return append(all, m.partners.Remote...)
}

// nextPartner returns the partner that has been due the longest, and sets when it is due again. It returns
// false if none is due. The caller holds mu.
func (m *Mesh) nextPartner(now time.Time) (egret.Node, bool) {
	partner := egret.Node{}
	found := false
	for _, n := range m.allPartners() {
		next := m.nextExchange[n.ID]
		if m.inFlight[n.ID] != nil || now.Before(next) {
			continue
		}
		if !found || next.Before(m.nextExchange[partner.ID]) {
			partner = n
			found = true
		}
	}
	if found {
		m.nextExchange[partner.ID] = now
		if partner.Region != m.Node.Region {
			m.nextExchange[partner.ID] = now.Add(m.remoteGossipInterval())
		}
	}
	return partner, found
}

// flood starts exchanges with all partners, or with all proxies in a fleet of up to floodLimit.
func (m *Mesh) flood(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	m.updatePartners(now)
	targets := m.allPartners()
	if m.table.Size() <= floodLimit {
		targets = m.table.Nodes(func(n egret.Node) bool {
			return n.ID != m.Node.ID && n.State != egret.NodeDead
		})
	}
	allowed := m.repairBudget.take(exchangeSize*len(targets), now)
	m.mu.Unlock()
	if !allowed {
		return
	}
	m.metrics.floods.Inc()
	for _, n := range targets {
		go m.exchange(ctx, n)
	}
}

// exchange sends updates to a proxy and merges those of its reply. If the proxy doesn't answer, it is tried again
// and probed through other proxies.
func (m *Mesh) exchange(ctx context.Context, n egret.Node) {
	if !m.beginExchange(n.ID) {
		return
	}
	defer m.endExchange(ctx, n)
	reply, err := m.call(ctx, n)
	if err == nil && !m.joined.Load() {
		m.pullAll(ctx, n.Address)
	}
	if err == nil {
		m.handleReply(ctx, reply)
		return
	}
	if ctx.Err() != nil {
		return
	}
	m.metrics.misses.Inc()
	m.confirmFailure(ctx, n)
}

// exchangeState is the state of an exchange in flight.
type exchangeState struct {
	// repeat is set if another exchange was requested in the meantime.
	repeat bool
}

// beginExchange records that an exchange with a proxy is in flight. If one already is, it returns false, and the
// exchange is repeated afterwards.
func (m *Mesh) beginExchange(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, running := m.inFlight[id]; running {
		s.repeat = true
		return false
	}
	m.inFlight[id] = &exchangeState{}
	return true
}

// endExchange removes the exchange from those in flight, and starts another if one was requested meanwhile.
func (m *Mesh) endExchange(ctx context.Context, n egret.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	repeat := m.inFlight[n.ID].repeat
	delete(m.inFlight, n.ID)
	if repeat && ctx.Err() == nil {
		go m.exchange(ctx, n)
	}
}

// call sends a gossip message to a proxy and returns its reply.
func (m *Mesh) call(ctx context.Context, n egret.Node) (*peerpb.ExchangeReply, error) {
	return m.send(ctx, n.Address, m.request(n.ID), m.Timing.ExchangeTimeout)
}

func (m *Mesh) send(ctx context.Context, a netip.AddrPort, r *peerpb.ExchangeRequest, timeout time.Duration) (*peerpb.ExchangeReply, error) {
	cc, err := m.pool.Conn(a)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return peerpb.NewPeerClient(cc).Exchange(ctx, r)
}

// request returns the gossip message for a proxy.
func (m *Mesh) request(id string) *peerpb.ExchangeRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &peerpb.ExchangeRequest{
		From:   nodeToWire(m.table.Self()),
		Digest: m.shortDigest(),
		News:   m.updatesFor(id),
	}
}

// updatesFor returns queued updates for a proxy. If the proxy isn't alive here, its own entry comes first, so that
// it can refute it. The caller holds mu.
func (m *Mesh) updatesFor(id string) *peerpb.News {
	updates := m.table.TakeUpdates(maxUpdatesSize)
	if n, known := m.table.Node(id); known && n.State != egret.NodeAlive {
		updates.Nodes = append([]egret.Node{n}, updates.Nodes...)
	}
	return updatesToWire(updates)
}

// propagationTime returns the estimated time for an update to reach all proxies. The caller holds mu.
func (m *Mesh) propagationTime() time.Duration {
	n := float64(m.table.Size())
	interval := float64(m.Timing.GossipInterval) * roster.SizeFactor(m.table.Size())
	return time.Duration(2 * interval * math.Log2(n+1))
}

// sleep waits for the duration. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// anyTrue runs the calls concurrently. It returns true as soon as one returns true, or false when all have
// returned false.
func anyTrue(calls []func() bool) bool {
	results := make(chan bool, len(calls))
	wg := sync.WaitGroup{}
	for _, c := range calls {
		wg.Go(func() {
			results <- c()
		})
	}
	go func() {
		wg.Wait()
		close(results)
	}()
	for r := range results {
		if r {
			return true
		}
	}
	return false
}
