package links

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

// dialTimeout is the time-out of a connection to a process on this machine.
const dialTimeout = 2 * time.Second

// burstBytes is the burst size of a bandwidth limiter.
const burstBytes = 64 << 10

// Relay relays the connections of the links of a plan, and simulates network faults on them.
type Relay struct {
	// Plan describes the network.
	Plan Plan

	once sync.Once

	// links has one entry for each link of the plan.
	links []*link

	// limiters has one entry for each direction between two regions.
	limiters map[regionPair]*rate.Limiter
}

// regionPair is a direction between two regions.
type regionPair struct {
	// from and to are names of regions.
	from, to string
}

// link is a running link.
type link struct {
	Link

	// forwardGate and reverseGate are the gates of the two directions. Forward is from the dialling endpoint.
	forwardGate, reverseGate gate

	// forwardBytes and reverseBytes count the relayed bytes.
	forwardBytes, reverseBytes atomic.Int64

	// forwardLimiter and reverseLimiter may be nil.
	forwardLimiter, reverseLimiter *rate.Limiter

	// extraLatency is added to the latency, in nanoseconds.
	extraLatency atomic.Int64

	// mu guards connections, which has both ends of each open connection: to the dialling side and to the process.
	mu          sync.Mutex
	connections map[*net.TCPConn]bool
}

func (r *Relay) initLinks() {
	r.once.Do(func() {
		r.limiters = map[regionPair]*rate.Limiter{}
		for _, l := range r.Plan.Links {
			r.links = append(r.links, &link{
				Link:           l,
				connections:    map[*net.TCPConn]bool{},
				forwardLimiter: r.limiter(l.From.Region, l.To.Region),
				reverseLimiter: r.limiter(l.To.Region, l.From.Region),
			})
		}
	})
}

func (r *Relay) limiter(from, to string) *rate.Limiter {
	if from == to || r.Plan.RegionBitsPerSecond == 0 {
		return nil
	}
	key := regionPair{
		from: from,
		to:   to,
	}
	if r.limiters[key] == nil {
		r.limiters[key] = rate.NewLimiter(rate.Limit(r.Plan.RegionBitsPerSecond/8), burstBytes)
	}
	return r.limiters[key]
}

// Run relays connections until the context ends. It returns an error if it can't listen on an address.
func (r *Relay) Run(ctx context.Context) error {
	r.initLinks()
	g, ctx := errgroup.WithContext(ctx)
	for _, l := range r.links {
		c := net.ListenConfig{}
		listener, err := c.Listen(ctx, "tcp", l.Listen.String())
		if err != nil {
			return errors.Annotatef(err, "listening for the link from %s to %s", l.From.Name, l.To.Name)
		}
		stop := context.AfterFunc(ctx, func() {
			_ = listener.Close()
		})
		g.Go(func() error {
			defer stop()
			l.accept(ctx, listener)
			return nil
		})
	}
	return errors.Trace(g.Wait())
}

// AddCut stops the traffic that the cut applies to.
func (r *Relay) AddCut(c Cut) {
	r.initLinks()
	for _, l := range r.links {
		if c.appliesTo(l.From, l.To) {
			l.forwardGate.addCut()
		}
		if c.appliesTo(l.To, l.From) {
			l.reverseGate.addCut()
		}
	}
}

// RemoveCut ends a cut, or one direction of it. The traffic that it applies to passes again unless another cut applies to
// it as well.
func (r *Relay) RemoveCut(c Cut) {
	r.initLinks()
	for _, l := range r.links {
		if c.appliesTo(l.From, l.To) {
			l.forwardGate.removeCut()
		}
		if c.appliesTo(l.To, l.From) {
			l.reverseGate.removeCut()
		}
	}
}

// ResetConnections resets the open connections between two endpoints, whichever has dialled.
func (r *Relay) ResetConnections(from, to string) {
	for _, l := range r.linksBetween(from, to) {
		l.resetConnections()
	}
}

// SetExtraLatency sets the time added to the one-way latency of both directions between two endpoints, whichever dials.
func (r *Relay) SetExtraLatency(from, to string, extra time.Duration) {
	for _, l := range r.linksBetween(from, to) {
		l.extraLatency.Store(int64(extra))
	}
}

func (r *Relay) linksBetween(from, to string) []*link {
	r.initLinks()
	c := Cut{
		From: from,
		To:   to,
	}
	found := []*link{}
	for _, l := range r.links {
		if c.appliesTo(l.From, l.To) {
			found = append(found, l)
		}
	}
	return found
}

// Heal ends all cuts. Connections that were open before continue without loss, as TCP retransmits after an outage.
func (r *Relay) Heal() {
	r.initLinks()
	for _, l := range r.links {
		l.forwardGate.heal()
		l.reverseGate.heal()
	}
}

func (l *link) accept(ctx context.Context, listener net.Listener) {
	wg := sync.WaitGroup{}
	defer wg.Wait()
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		wg.Go(func() {
			l.serve(ctx, c.(*net.TCPConn))
		})
	}
}

// serve relays a connection that was accepted, unless the link is cut.
func (l *link) serve(ctx context.Context, source *net.TCPConn) {
	defer closeAll(source)
	openAt := time.Now().Add(2 * l.Latency)
	if l.waitIfCut(ctx) {
		return
	}
	sleepUntil(openAt.Add(-l.Latency))
	d := net.Dialer{
		Timeout: dialTimeout,
	}
	c, err := d.DialContext(ctx, "tcp", l.Dial.String())
	if err != nil {
		// A reset stands in for the refusal that the dialling side would see.
		_ = source.SetLinger(0)
		return
	}
	target := c.(*net.TCPConn)
	defer closeAll(target)
	defer l.track(source, target)()
	l.copyBoth(ctx, source, target, openAt)
}

// latency returns the current one-way latency.
func (l *link) latency() time.Duration {
	return l.Latency + time.Duration(l.extraLatency.Load())
}

// track registers both ends of a connection for resetConnections. The returned function removes them.
func (l *link) track(connections ...*net.TCPConn) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range connections {
		l.connections[c] = true
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, c := range connections {
			delete(l.connections, c)
		}
	}
}

// resetConnections resets both ends of all open connections.
func (l *link) resetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		// The errors are ignored as the connection may be closed already.
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// waitIfCut returns false if the link isn't cut. Otherwise it waits for the end of the cut and returns true: the
// connection, accepted by the relay during the cut, was never open for the other side.
func (l *link) waitIfCut(ctx context.Context) bool {
	for _, g := range []*gate{&l.forwardGate, &l.reverseGate} {
		reopened := g.untilOpen()
		if reopened == nil {
			continue
		}
		select {
		case <-reopened:
		case <-ctx.Done():
		}
		return true
	}
	return false
}

func (l *link) copyBoth(ctx context.Context, source, target *net.TCPConn, openAt time.Time) {
	stop := context.AfterFunc(ctx, func() {
		closeAll(source, target)
	})
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	stopClosing := context.AfterFunc(ctx, func() {
		// The context ends after an error or after the end of both directions.
		closeAll(source, target)
	})
	defer stopClosing()
	forward := &pipe{
		source:  source,
		target:  target,
		latency: l.latency,
		openAt:  openAt,
		limiter: l.forwardLimiter,
		gate:    &l.forwardGate,
		countBytes: func(n int) {
			l.forwardBytes.Add(int64(n))
		},
	}
	reverse := &pipe{
		source:  target,
		target:  source,
		latency: l.latency,
		limiter: l.reverseLimiter,
		gate:    &l.reverseGate,
		countBytes: func(n int) {
			l.reverseBytes.Add(int64(n))
		},
	}
	for _, p := range []*pipe{forward, reverse} {
		g.Go(func() error {
			return p.run(ctx)
		})
	}
	_ = g.Wait()
}

func closeAll(connections ...*net.TCPConn) {
	for _, c := range connections {
		// No caller uses the error.
		_ = c.Close()
	}
}
