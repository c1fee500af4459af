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

// Limits of the rounds.
const (
	// maxBeat is the longest interval of exchanges.
	maxBeat = time.Second

	// newsSize bounds the news in a message, in bytes, so that a message fits in one packet.
	newsSize = 1000

	// redraw is how long the drawn partners stay.
	redraw = time.Minute

	// redrawChanged is how long partners stay when nodes change, and fewPartners is the number of
	// partners below which each change counts at once.
	redrawChanged = time.Second
	fewPartners   = 4

	// farBeat is the interval of exchanges with the partners of other regions in fleets of up to
	// farFleet. It grows with the size up to maxFarBeat.
	farBeat    = 500 * time.Millisecond
	maxFarBeat = 5 * time.Second
	farFleet   = 64

	// floodGap is the least time between two floods.
	floodGap = 50 * time.Millisecond

	// floodFleet is the size of the fleet up to which urgent news go to all proxies.
	floodFleet = 16

	// exchangeSize is about what an exchange takes on the wire, in bytes.
	exchangeSize = 1000

	// pauseGap is the delay of a round from which on this process counts as paused.
	pauseGap = time.Second
)

// runBeats exchanges with one partner for each beat, and with all when there is urgent news.
//
// The interval is beat * max(1, log2(n)/3), at most a second: 250 ms up to 8 proxies, 880 ms at
// 1,500. At about 700 bytes for each direction of an exchange that is made and one that is
// answered, this stays below 6 KB/s, and below 2 KB/s for a large fleet.
func (m *Mesh) runBeats(ctx context.Context) error {
	timer := time.NewTimer(m.beat())
	defer timer.Stop()
	due := time.Now().Add(m.beat())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.urgent:
			m.flood(ctx)
			if !pause(ctx, floodGap) {
				return nil
			}
		case <-timer.C:
			m.unpause(time.Now(), due)
			m.round(ctx)
			interval := m.beat()
			due = time.Now().Add(interval)
			timer.Reset(interval)
		}
	}
}

// beat returns the interval of exchanges, with a jitter of a tenth.
func (m *Mesh) beat() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	interval := float64(m.Timing.Beat) * roster.Growth(m.table.Size())
	interval = min(interval, float64(max(maxBeat, m.Timing.Beat)))
	return time.Duration(interval * (0.95 + 0.1*m.random.Float64()))
}

// farInterval returns the interval of exchanges with other regions. The caller holds mu.
func (m *Mesh) farInterval() time.Duration {
	growth := max(1, float64(m.table.Size())/farFleet)
	return min(time.Duration(float64(farBeat)*growth), maxFarBeat)
}

// unpause mends what a pause of this process may have left behind: suspects that refuted
// meanwhile, or a roster that is older than what the others remember.
func (m *Mesh) unpause(now time.Time, due time.Time) {
	late := now.Sub(due)
	if late < pauseGap {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Log.Warn().Dur("late", late).Msg("this process was paused")
	m.table.Extend(now)
	if late > m.Timing.Forget/2 {
		m.table.Reset(now)
		m.settle(roster.Change{
			Changed: true,
		})
	}
}

// round ends suspicions and exchanges with the partner that has waited the longest.
func (m *Mesh) round(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	died := m.table.Sweep(now)
	if len(died) > 0 {
		m.buried(died)
	}
	m.watchTables()
	m.draw(now)
	partner, ok := m.pick(now)
	m.mu.Unlock()
	if ok {
		m.counts.rounds.Inc()
		go m.exchange(ctx, partner)
	}
}

// buried does what follows from deaths. The caller holds mu.
func (m *Mesh) buried(died []egret.Node) {
	for _, n := range died {
		m.counts.deaths.Inc()
		m.Log.Warn().Str("node", n.ID).Msg("proxy is dead")
	}
	m.settle(roster.Change{
		Changed: true,
		Urgent:  true,
	})
}

// watchTables makes a new revision of the tables urgent. The caller holds mu.
func (m *Mesh) watchTables() {
	t := m.TablesNow()
	if t == nil || m.revision.Load() >= t.Revision {
		return
	}
	m.revision.Store(t.Revision)
	m.settle(roster.Change{
		Changed: true,
		Urgent:  true,
	})
}

// draw chooses partners anew when the nodes changed or the drawn ones are old. Changes wait for a
// while, since many may come together and each choice costs connections. The caller holds mu.
func (m *Mesh) draw(now time.Time) {
	age := now.Sub(m.drawn)
	changed := m.table.Version() != m.drawnFor
	few := len(m.next) < fewPartners
	if age < redraw && (!changed || !few && age <= redrawChanged) {
		return
	}
	m.drawnFor = m.table.Version()
	m.drawn = now
	reachable := m.table.Nodes(func(n egret.Node) bool {
		return n.State != egret.NodeDead
	})
	m.partners = roster.Pick(m.table.Self(), reachable, m.random)
	next := make(map[string]time.Time, len(m.partners.Near)+len(m.partners.Far))
	for _, n := range m.all() {
		next[n.ID] = m.next[n.ID]
	}
	m.next = next
}

// all returns the partners. The caller holds mu.
func (m *Mesh) all() []egret.Node {
	all := make([]egret.Node, 0, len(m.partners.Near)+len(m.partners.Far))
	all = append(all, m.partners.Near...)
	return append(all, m.partners.Far...)
}

// pick returns a partner that is due. The caller holds mu.
func (m *Mesh) pick(now time.Time) (egret.Node, bool) {
	best := egret.Node{}
	found := false
	for _, n := range m.all() {
		next := m.next[n.ID]
		if m.busy[n.ID] != nil || now.Before(next) {
			continue
		}
		if !found || next.Before(m.next[best.ID]) {
			best = n
			found = true
		}
	}
	if found {
		m.next[best.ID] = now
		if best.Region != m.Node.Region {
			m.next[best.ID] = now.Add(m.farInterval())
		}
	}
	return best, found
}

// flood exchanges with all partners, or in a small fleet with all proxies.
func (m *Mesh) flood(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	m.draw(now)
	targets := m.all()
	if m.table.Size() <= floodFleet {
		targets = m.table.Nodes(func(n egret.Node) bool {
			return n.ID != m.Node.ID && n.State != egret.NodeDead
		})
	}
	allowed := m.repair.take(exchangeSize*len(targets), now)
	m.mu.Unlock()
	if !allowed {
		return
	}
	m.counts.floods.Inc()
	for _, n := range targets {
		go m.exchange(ctx, n)
	}
}

// exchange trades news with a proxy. One that doesn't answer is asked anew and through others.
func (m *Mesh) exchange(ctx context.Context, n egret.Node) {
	if !m.begin(n.ID) {
		return
	}
	defer m.end(ctx, n)
	reply, err := m.call(ctx, n)
	if err == nil && !m.answered.Load() {
		m.join(ctx, n.Address)
	}
	if err == nil {
		m.absorb(ctx, reply)
		return
	}
	if ctx.Err() != nil {
		return
	}
	m.counts.misses.Inc()
	m.missed(ctx, n)
}

// asking is an exchange that runs.
type asking struct {
	// again is set if there was urgent news meanwhile.
	again bool
}

// begin marks a proxy as being asked. If it already is, it returns false, and the proxy is asked
// again afterwards.
func (m *Mesh) begin(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a, running := m.busy[id]; running {
		a.again = true
		return false
	}
	m.busy[id] = &asking{}
	return true
}

func (m *Mesh) end(ctx context.Context, n egret.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	again := m.busy[n.ID].again
	delete(m.busy, n.ID)
	if again && ctx.Err() == nil {
		go m.exchange(ctx, n)
	}
}

// call makes one exchange of a round.
func (m *Mesh) call(ctx context.Context, n egret.Node) (*peerpb.ExchangeReply, error) {
	return m.send(ctx, n.Address, m.request(n.ID), m.Timing.Timeout)
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

// request makes the message of a round to a proxy.
func (m *Mesh) request(id string) *peerpb.ExchangeRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &peerpb.ExchangeRequest{
		From:   nodeToWire(m.table.Self()),
		Digest: m.shortDigest(),
		News:   m.newsFor(id),
	}
}

// newsFor returns news for a proxy, what is said of itself in front. The caller holds mu.
func (m *Mesh) newsFor(id string) *peerpb.News {
	news := m.table.TakeNews(newsSize)
	if n, known := m.table.Node(id); known && n.State != egret.NodeAlive {
		news.Nodes = append([]egret.Node{n}, news.Nodes...)
	}
	return newsToWire(news)
}

// spreadTime is how long news take to reach all proxies. The caller holds mu.
func (m *Mesh) spreadTime() time.Duration {
	n := float64(m.table.Size())
	beat := float64(m.Timing.Beat) * roster.Growth(m.table.Size())
	return time.Duration(2 * beat * math.Log2(n+1))
}

// pause waits. It returns false if the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// together runs the calls at once and waits for the first that returns true, or for all.
func together(calls []func() bool) bool {
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
