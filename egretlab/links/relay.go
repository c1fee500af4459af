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

// dialTimeout bounds the connection to a process on this machine.
const dialTimeout = 2 * time.Second

// burstBytes is what a limiter lets through at once.
const burstBytes = 64 << 10

// Relay runs the links of a plan.
type Relay struct {
	// Plan is the network.
	Plan Plan

	once sync.Once

	// links has one entry for each link of the plan.
	links []*link

	// limiters has one entry for each direction between two regions.
	limiters map[regions]*rate.Limiter
}

// regions is a direction between two regions.
type regions struct {
	// from and to are names of regions.
	from, to string
}

// link is a running link.
type link struct {
	Link

	// there and back are the gates of the directions.
	there, back gate

	// thereBytes and backBytes count what has passed.
	thereBytes, backBytes atomic.Int64

	// thereLimiter and backLimiter may be nil.
	thereLimiter, backLimiter *rate.Limiter

	// extra is added to the latency, in nanoseconds.
	extra atomic.Int64

	// mu guards ends, those of the open connections.
	mu   sync.Mutex
	ends map[*net.TCPConn]bool
}

func (r *Relay) open() {
	r.once.Do(func() {
		r.limiters = map[regions]*rate.Limiter{}
		for _, l := range r.Plan.Links {
			r.links = append(r.links, &link{
				Link:         l,
				ends:         map[*net.TCPConn]bool{},
				thereLimiter: r.limiter(l.From.Region, l.To.Region),
				backLimiter:  r.limiter(l.To.Region, l.From.Region),
			})
		}
	})
}

func (r *Relay) limiter(from, to string) *rate.Limiter {
	if from == to || r.Plan.RegionBits == 0 {
		return nil
	}
	key := regions{
		from: from,
		to:   to,
	}
	if r.limiters[key] == nil {
		r.limiters[key] = rate.NewLimiter(rate.Limit(r.Plan.RegionBits/8), burstBytes)
	}
	return r.limiters[key]
}

// Run relays until the context ends. An error says that an address can't be listened at.
func (r *Relay) Run(ctx context.Context) error {
	r.open()
	g, ctx := errgroup.WithContext(ctx)
	for _, l := range r.links {
		c := net.ListenConfig{}
		listener, err := c.Listen(ctx, "tcp", l.Listen.String())
		if err != nil {
			return errors.Annotatef(err, "link from %s to %s", l.From.Name, l.To.Name)
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

// Cut drops what the cut holds for, from now on.
func (r *Relay) Cut(c Cut) {
	r.open()
	for _, l := range r.links {
		if c.holds(l.From, l.To) {
			l.there.set(false)
		}
		if c.holds(l.To, l.From) {
			l.back.set(false)
		}
	}
}

// Uncut ends what the cut holds for, as Heal does for all.
func (r *Relay) Uncut(c Cut) {
	r.open()
	for _, l := range r.links {
		if c.holds(l.From, l.To) {
			l.there.set(true)
		}
		if c.holds(l.To, l.From) {
			l.back.set(true)
		}
	}
}

// Reset resets the connections between two places, in either direction.
func (r *Relay) Reset(from, to string) {
	for _, l := range r.between(from, to) {
		l.reset()
	}
}

// Delay sets what is added to the latency between two places, in either direction.
func (r *Relay) Delay(from, to string, extra time.Duration) {
	for _, l := range r.between(from, to) {
		l.extra.Store(int64(extra))
	}
}

func (r *Relay) between(from, to string) []*link {
	r.open()
	c := Cut{
		From: from,
		To:   to,
	}
	found := []*link{}
	for _, l := range r.links {
		if c.holds(l.From, l.To) {
			found = append(found, l)
		}
	}
	return found
}

// Heal ends all cuts. Connections that were open before go on, as if all that was lost is sent again.
func (r *Relay) Heal() {
	r.open()
	for _, l := range r.links {
		l.there.set(true)
		l.back.set(true)
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

// serve relays one connection.
func (l *link) serve(ctx context.Context, source *net.TCPConn) {
	defer closeAll(source)
	opened := time.Now().Add(2 * l.Latency)
	if l.waitCut(ctx) {
		return
	}
	sleepUntil(opened.Add(-l.Latency))
	d := net.Dialer{
		Timeout: dialTimeout,
	}
	c, err := d.DialContext(ctx, "tcp", l.Dial.String())
	if err != nil {
		// The dialling side sees a reset, as it would a refusal.
		_ = source.SetLinger(0)
		return
	}
	target := c.(*net.TCPConn)
	defer closeAll(target)
	defer l.hold(source, target)()
	l.move(ctx, source, target, opened)
}

// latency is the time of one direction at present.
func (l *link) latency() time.Duration {
	return l.Latency + time.Duration(l.extra.Load())
}

// hold keeps the ends of a connection for a reset. The returned function forgets them.
func (l *link) hold(ends ...*net.TCPConn) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range ends {
		l.ends[c] = true
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, c := range ends {
			delete(l.ends, c)
		}
	}
}

// reset resets both ends of all open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.ends {
		// The end may have been closed meanwhile.
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// waitCut returns true if the link is cut, after the end of the cut: what was accepted meanwhile was
// never there for the other side.
func (l *link) waitCut(ctx context.Context) bool {
	for _, g := range []*gate{&l.there, &l.back} {
		closed := g.wait()
		if closed == nil {
			continue
		}
		select {
		case <-closed:
		case <-ctx.Done():
		}
		return true
	}
	return false
}

func (l *link) move(ctx context.Context, source, target *net.TCPConn, opened time.Time) {
	stop := context.AfterFunc(ctx, func() {
		closeAll(source, target)
	})
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	reset := context.AfterFunc(ctx, func() {
		// Either an error, or the end of both directions.
		closeAll(source, target)
	})
	defer reset()
	there := &pipe{
		source:  source,
		target:  target,
		latency: l.latency,
		opened:  opened,
		limiter: l.thereLimiter,
		gate:    &l.there,
		count: func(n int) {
			l.thereBytes.Add(int64(n))
		},
	}
	back := &pipe{
		source:  target,
		target:  source,
		latency: l.latency,
		limiter: l.backLimiter,
		gate:    &l.back,
		count: func(n int) {
			l.backBytes.Add(int64(n))
		},
	}
	for _, p := range []*pipe{there, back} {
		g.Go(func() error {
			return p.run(ctx)
		})
	}
	_ = g.Wait()
}

func closeAll(connections ...*net.TCPConn) {
	for _, c := range connections {
		// Nobody waits for the outcome.
		_ = c.Close()
	}
}
