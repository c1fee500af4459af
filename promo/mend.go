package promo

import (
	"context"
	"sync"
	"time"

	"egretlane.example/egret"
)

// look is a call that runs while its owner goes on.
type look[T any] struct {
	// result has the result of the call that was started. It is nil if there is none.
	result chan T
}

// idle reports whether no call runs.
func (l *look[T]) idle() bool {
	return l.result == nil
}

// start runs the call unless one runs already.
func (l *look[T]) start(call func() T) {
	if l.result != nil {
		return
	}
	result := make(chan T, 1)
	l.result = result
	go func() {
		result <- call()
	}()
}

// poll returns the result of the call that has ended, if any.
func (l *look[T]) poll() (T, bool) {
	select {
	case v := <-l.result:
		l.result = nil
		return v, true
	default:
		var none T
		return none, false
	}
}

// mend looks at all members. It announces a primary that the proxies missed, and makes members that
// don't follow it do so. A silent member doesn't hold up the heartbeats.
func (w *Watcher) mend(ctx context.Context, v *watched, g egret.Group, fact egret.GroupFact, known bool) {
	now := time.Now()
	if states, ok := v.members.poll(); ok {
		w.examined(ctx, v, g, fact, known, states)
	}
	if now.Before(v.nextMend) {
		return
	}
	v.nextMend = now.Add(w.Timing.Mend)
	timeout := w.timeout(v)
	enough := len(g.Members)
	if v.misses > 0 {
		// The silent primary isn't waited for.
		enough = majority(g)
	}
	v.members.start(func() []egret.MemberState {
		return w.survey(ctx, g, timeout, enough)
	})
}

// examined judges the states of the members and puts in order what is out of it.
func (w *Watcher) examined(ctx context.Context, v *watched, g egret.Group, fact egret.GroupFact, known bool, states []egret.MemberState) {
	f := Examine(g, fact, known, states)
	v.highest = max(v.highest, f.Highest)
	if len(states) >= majority(g) {
		v.progress.Observe(v.leader(f, states), states, time.Now())
	}
	since(&v.orphanSince, f.Orphan)
	if f.Known && f.Leads {
		w.Peers.Announce(f.Lead)
	}
	if len(f.Follow) > 0 {
		go w.follow(ctx, g, f.Lead, f.Follow, w.timeout(v), w.counts.mended.Inc)
	}
}

// leader returns the state of the primary that leads, as it answered here or else as the holder of
// its lane told. It is empty if neither knows one.
func (v *watched) leader(f Finding, states []egret.MemberState) egret.MemberState {
	if s, ok := stateOf(states, f.Lead.Primary); ok || v.primary.Granted != f.Lead.Term {
		if f.Leads {
			return s
		}
		return egret.MemberState{}
	}
	return v.primary
}

// survey asks all members for their state, and waits little for the rest once enough have answered.
func (w *Watcher) survey(ctx context.Context, g egret.Group, timeout time.Duration, enough int) []egret.MemberState {
	ctx, cancel := patient(ctx, timeout)
	defer cancel()
	calls := []func() (egret.MemberState, error){}
	for _, m := range g.Members {
		calls = append(calls, func() (egret.MemberState, error) {
			return w.Control.Status(ctx, m)
		})
	}
	return collect(calls, enough, fenceGrace, nil)
}

// lookGrace and fenceGrace are how long further members are waited for once enough have answered.
const (
	lookGrace  = 40 * time.Millisecond
	fenceGrace = 150 * time.Millisecond
)

// collect runs the calls at once and returns the states that came back. It returns early when
// enough have come and the grace is over. Failed takes the errors, from one goroutine at a time.
func collect(calls []func() (egret.MemberState, error), enough int, grace time.Duration, failed func(err error)) []egret.MemberState {
	answers := make(chan answer, len(calls))
	for _, c := range calls {
		go func() {
			s, err := c()
			answers <- answer{
				state: s,
				err:   err,
			}
		}()
	}
	states := []egret.MemberState{}
	var over <-chan time.Time
	for range calls {
		select {
		case a := <-answers:
			if a.err == nil {
				states = append(states, a.state)
			} else if failed != nil {
				failed(a.err)
			}
		case <-over:
			return states
		}
		if len(states) >= enough && over == nil {
			over = time.After(grace)
		}
	}
	return states
}

// follow makes members follow the primary of a term.
func (w *Watcher) follow(ctx context.Context, g egret.Group, lead egret.GroupFact, members []string, timeout time.Duration, done func()) {
	primary := addressOf(g, lead.Primary)
	if !primary.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	wg := sync.WaitGroup{}
	for _, name := range members {
		wg.Go(func() {
			if _, err := w.Control.Follow(ctx, memberOf(g, name), lead.Term, primary); err == nil && done != nil {
				done()
			}
		})
	}
	wg.Wait()
}
