// Package promo gives each database group a primary. Nothing else orders a promotion.
//
// For each group three proxies watch, chosen by the same hash everywhere. The first acts first, and
// the others only if it doesn't. A promotion is safe by the members alone: a member grants a term
// once, a majority has to grant the new one, and the furthest log of that majority has every write
// that was acknowledged. So two promoters at once, a promoter that dies on the way, and a superseded
// primary that goes on are harmless, and neither the store nor a clock carries anything. What
// witnesses say only keeps promotions from being needless.
//
//	w := &promo.Watcher{
//		Peers:   mesh,
//		Control: control,
//		Ask:     mesh.Witness,
//	}
//	go w.Run(ctx)
package promo

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"egretlane.example/egret"
	"egretlane.example/egret/place"
)

// Watcher watches the groups that fall to this proxy and promotes members.
type Watcher struct {
	// Peers is the view of the other proxies and of the tables.
	Peers egret.Peers

	// Control drives the members.
	Control egret.Control

	// Ask asks another proxy for the state of a member as it sees it. An error that satisfies
	// errors.Is(err, egret.ErrUnseen) says that the proxy answered but doesn't reach the member. It
	// may be nil, and then there are no witnesses.
	Ask func(ctx context.Context, n egret.Node, group string, member string) (egret.MemberState, error)

	// Store takes notes of promotions, which nothing waits for. It may be nil.
	Store egret.Store

	// StorePrefix is put before a group's name to form the key of its note.
	StorePrefix string

	// Leaving reports whether the platform says that the member leaves. It may be nil.
	Leaving func(member string) bool

	// Timing holds the intervals and timeouts. Zero values take the defaults.
	Timing Timing

	// Seed is the seed of the jitter. Zero takes a random one.
	Seed uint64

	// Registry takes the metrics. It may be nil.
	Registry prometheus.Registerer

	// Log takes a line for each change of state. It may be nil.
	Log *log.Logger

	once   sync.Once
	counts *counts

	// mu guards what follows. No call is made under it.
	mu     sync.Mutex
	random *rand.Rand
	duties map[string]*duty
}

// Timing holds the intervals and timeouts of a watcher.
type Timing struct {
	// Beat is the interval of heartbeats of the first watcher. The others take twice as long.
	// Default 250 ms.
	Beat time.Duration

	// Timeout bounds a heartbeat. A primary that answers within it is living, however slow it is.
	// It grows with the primary's usual time to answer. Default 1.5 s.
	Timeout time.Duration

	// Step is how much longer each further watcher waits. Default 1 s.
	Step time.Duration

	// Mend is the interval of looks at all members. Default 1 s.
	Mend time.Duration
}

// duty is a group that this proxy watches.
type duty struct {
	// stop ends the duty.
	stop context.CancelFunc

	// wake asks for a heartbeat at once.
	wake chan struct{}
}

// dutyInterval is the interval at which a watcher looks for its groups.
const dutyInterval = 250 * time.Millisecond

func (w *Watcher) open() {
	w.once.Do(func() {
		w.Timing.fill()
		if w.Log == nil {
			w.Log = &log.Logger{
				Level: log.PanicLevel,
			}
		}
		seed := w.Seed
		if seed == 0 {
			seed = rand.Uint64()
		}
		w.random = rand.New(rand.NewPCG(seed, seed))
		w.duties = map[string]*duty{}
		w.counts = newCounts(w.Registry)
	})
}

func (t *Timing) fill() {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&t.Beat, 250*time.Millisecond)
	set(&t.Timeout, 1500*time.Millisecond)
	set(&t.Step, time.Second)
	set(&t.Mend, time.Second)
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.open()
	wg := sync.WaitGroup{}
	defer wg.Wait()
	defer w.stopAll()
	for {
		w.assign(ctx, &wg)
		if !pause(ctx, dutyInterval) {
			return nil
		}
	}
}

// Suspect makes the watcher of the group look at the member at once, because it failed a request.
func (w *Watcher) Suspect(group string, member string) {
	w.open()
	if f, ok := w.Peers.Primary(group); ok && f.Primary != member {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	d, watched := w.duties[group]
	if !watched {
		return
	}
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// witnessMargin is what a witness leaves of the time for its answer's way back.
const witnessMargin = 100 * time.Millisecond

// Witness asks a member for its state, for the watcher on another proxy.
func (w *Watcher) Witness(ctx context.Context, group string, member string) (egret.MemberState, error) {
	w.open()
	g, ok := findGroup(w.Peers.TablesNow(), group)
	if !ok {
		return egret.MemberState{}, errors.NotFoundf("group %q", group)
	}
	m := g.Member(member)
	if m == nil {
		return egret.MemberState{}, errors.NotFoundf("member %q", member)
	}
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now().Add(w.Timing.Timeout)
	}
	ctx, cancel := patient(ctx, time.Until(deadline)-witnessMargin)
	defer cancel()
	return w.Control.Status(ctx, *m)
}

// assign starts the duties that are new and ends those that went to other proxies.
func (w *Watcher) assign(ctx context.Context, wg *sync.WaitGroup) {
	wanted := w.wanted()
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, d := range w.duties {
		if !wanted[name] {
			d.stop()
			delete(w.duties, name)
		}
	}
	for name := range wanted {
		if w.duties[name] != nil {
			continue
		}
		ctx, stop := context.WithCancel(ctx)
		d := &duty{
			stop: stop,
			wake: make(chan struct{}, 1),
		}
		w.duties[name] = d
		wg.Go(func() {
			w.watch(ctx, name, d)
		})
	}
	w.counts.groups.Set(float64(len(w.duties)))
}

// wanted returns the names of the groups that fall to this proxy.
func (w *Watcher) wanted() map[string]bool {
	wanted := map[string]bool{}
	t := w.Peers.TablesNow()
	if t == nil {
		return wanted
	}
	live := w.Peers.Live()
	for _, p := range t.Pools {
		for _, g := range p.Groups {
			if len(g.Members) >= leastMembers && w.rank(live, g.Name) >= 0 {
				wanted[g.Name] = true
			}
		}
	}
	return wanted
}

// rank returns this proxy's place among the watchers of a group, or -1 if it is none.
func (w *Watcher) rank(live []egret.Node, group string) int {
	self := w.Peers.Self().ID
	for i, n := range place.Watchers(live, group) {
		if n.ID == self {
			return i
		}
	}
	return -1
}

func (w *Watcher) stopAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.duties {
		d.stop()
	}
}

// jitter returns a time between half and three halves of d.
func (w *Watcher) jitter(d time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return d/2 + time.Duration(w.random.Int64N(int64(d)+1))
}

// findGroup returns a group of the tables.
func findGroup(t *egret.Tables, name string) (egret.Group, bool) {
	if t == nil {
		return egret.Group{}, false
	}
	for _, p := range t.Pools {
		for _, g := range p.Groups {
			if g.Name == name {
				return g, true
			}
		}
	}
	return egret.Group{}, false
}

// patient returns a context that ends after d, but has no deadline to see. A call under it doesn't
// give up on a slow connection ahead of time to try another one.
func patient(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	hidden, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	timer := time.AfterFunc(d, cancel)
	return hidden, func() {
		stop()
		timer.Stop()
		cancel()
	}
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
