// Package promo detects failures of the primaries of database groups and promotes replicas in their place. No other
// package orders a promotion.
//
// Three proxies watch each group. All proxies choose and rank them by the same hash: the first acts first, and each of
// the others waits Timing.RankDelay longer than the one before it. Watchers ask witnesses, which are proxies in other
// failure domains, whether they reach the primary. Their answers only avoid needless promotions.
//
// The safety of a promotion rests on the members alone, neither on the store nor on clocks. Each promotion has a new
// term. A member grants a term at most once, and a majority of the group has to grant the new one. Among the logs of
// that majority the one that ends at the highest position has every acknowledged write; its member becomes the primary.
// So two watchers that promote at the same time, a watcher that dies during a promotion, and a superseded primary that
// goes on running do no harm.
//
//	w := &promo.Watcher{
//		Peers:     mesh,
//		Control:   control,
//		StatusVia: mesh.Witness,
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

// Watcher watches the groups that are assigned to this proxy and promotes members.
type Watcher struct {
	// Peers is the view of the other proxies and of the tables.
	Peers egret.Peers

	// Control calls the platform functions of the members: state, fencing and promotion.
	Control egret.MemberControl

	// StatusVia asks another proxy for the state of a member as that proxy receives it. An error that satisfies
	// errors.Is(err, egret.ErrMemberNotReached) says that the proxy answered but doesn't reach the member. It may be nil,
	// and then there are no witnesses.
	StatusVia func(ctx context.Context, n egret.Node, group string, member string) (egret.MemberState, error)

	// Store receives a record of each promotion, which no promotion waits for. It may be nil.
	Store egret.Store

	// StorePrefix is put before a group's name to form the key of its record.
	StorePrefix string

	// Leaving reports whether the platform says that the member is leaving. It may be nil.
	Leaving func(member string) bool

	// Timing holds the intervals and timeouts. Zero values stand for the defaults.
	Timing Timing

	// Seed is the seed of the jitter. Zero stands for a random one.
	Seed uint64

	// Registry registers the metrics. It may be nil.
	Registry prometheus.Registerer

	// Log receives a line for each change of state. It may be nil.
	Log *log.Logger

	once    sync.Once
	metrics *metrics

	// mu guards the fields below. No call to a member or a proxy is made while it is held.
	mu          sync.Mutex
	random      *rand.Rand
	assignments map[string]*assignment
}

// Timing holds the intervals and timeouts of a watcher.
type Timing struct {
	// HeartbeatInterval is the interval of the first watcher's heartbeats. That of the other watchers is twice as long.
	// Default 250 ms.
	HeartbeatInterval time.Duration

	// HeartbeatTimeout is the least timeout of a heartbeat. A primary that answers in time counts as alive, however slow
	// it is. The timeout grows with the primary's usual latency. Default 1.5 s.
	HeartbeatTimeout time.Duration

	// RankDelay is how much longer each watcher waits than the one before it. Default 1 s.
	RankDelay time.Duration

	// SurveyInterval is the interval at which all members are asked for their state. Default 1 s.
	SurveyInterval time.Duration
}

// assignment is a group that is assigned to this proxy.
type assignment struct {
	// stop ends the watch of the group.
	stop context.CancelFunc

	// wake requests a heartbeat at once.
	wake chan struct{}
}

// assignInterval is the interval at which a watcher determines its groups.
const assignInterval = 250 * time.Millisecond

func (w *Watcher) setup() {
	w.once.Do(func() {
		w.Timing.setDefaults()
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
		w.assignments = map[string]*assignment{}
		w.metrics = newMetrics(w.Registry)
	})
}

func (t *Timing) setDefaults() {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&t.HeartbeatInterval, 250*time.Millisecond)
	set(&t.HeartbeatTimeout, 1500*time.Millisecond)
	set(&t.RankDelay, time.Second)
	set(&t.SurveyInterval, time.Second)
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.setup()
	wg := sync.WaitGroup{}
	defer wg.Wait()
	defer w.stopAll()
	for {
		w.assign(ctx, &wg)
		if !sleep(ctx, assignInterval) {
			return nil
		}
	}
}

// Suspect makes the watcher send a heartbeat at once if the member is the group's primary, because a request to the
// member failed.
func (w *Watcher) Suspect(group string, member string) {
	w.setup()
	if current, known := w.Peers.Primary(group); known && current.Primary != member {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	a, watched := w.assignments[group]
	if !watched {
		return
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// witnessMargin is how long before its caller's deadline a witness ends, so that its answer arrives in time.
const witnessMargin = 100 * time.Millisecond

// MemberStatus asks a member for its state, for the watcher on another proxy.
func (w *Watcher) MemberStatus(ctx context.Context, group string, member string) (egret.MemberState, error) {
	w.setup()
	g, ok := findGroup(w.Peers.TablesInForce(), group)
	if !ok {
		return egret.MemberState{}, errors.NotFoundf("group %q", group)
	}
	m := g.Member(member)
	if m == nil {
		return egret.MemberState{}, errors.NotFoundf("member %q", member)
	}
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now().Add(w.Timing.HeartbeatTimeout)
	}
	ctx, cancel := withHiddenDeadline(ctx, time.Until(deadline)-witnessMargin)
	defer cancel()
	return w.Control.Status(ctx, *m)
}

// assign starts to watch groups that are newly assigned, and ends the watch of those that went to other proxies.
func (w *Watcher) assign(ctx context.Context, wg *sync.WaitGroup) {
	assigned := w.assignedGroups()
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, a := range w.assignments {
		if !assigned[name] {
			a.stop()
			delete(w.assignments, name)
		}
	}
	for name := range assigned {
		if w.assignments[name] != nil {
			continue
		}
		ctx, stop := context.WithCancel(ctx)
		a := &assignment{
			stop: stop,
			wake: make(chan struct{}, 1),
		}
		w.assignments[name] = a
		wg.Go(func() {
			w.watch(ctx, name, a)
		})
	}
	w.metrics.groups.Set(float64(len(w.assignments)))
}

// assignedGroups returns the names of the groups that are assigned to this proxy.
func (w *Watcher) assignedGroups() map[string]bool {
	assigned := map[string]bool{}
	t := w.Peers.TablesInForce()
	if t == nil {
		return assigned
	}
	live := w.Peers.Live()
	for _, p := range t.Pools {
		for _, g := range p.Groups {
			if len(g.Members) >= minMembers && w.rank(live, g.Name) >= 0 {
				assigned[g.Name] = true
			}
		}
	}
	return assigned
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
	for _, a := range w.assignments {
		a.stop()
	}
}

// jitter returns a random duration between d/2 and 3d/2.
func (w *Watcher) jitter(d time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return d/2 + time.Duration(w.random.Int64N(int64(d)+1))
}

// findGroup returns the group with the name, and false if the tables have none.
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

// withHiddenDeadline returns a context that ends after d, or with ctx, but whose Deadline method reports none. A call
// that sees a deadline may give up on a slow connection ahead of it, to try another one.
func withHiddenDeadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	hidden, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	timer := time.AfterFunc(d, cancel)
	return hidden, func() {
		stop()
		timer.Stop()
		cancel()
	}
}

// sleep waits for d. It returns false if the context ended first.
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
