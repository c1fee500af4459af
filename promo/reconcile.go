package promo

import (
	"context"
	"sync"
	"time"

	"egretlane.example/egret"
)

// asyncCall is a call that runs in the background. At most one runs at a time.
type asyncCall[T any] struct {
	// result receives the result of the call that was started. It is nil if there is none.
	result chan T
}

// isIdle reports whether no call runs.
func (c *asyncCall[T]) isIdle() bool {
	return c.result == nil
}

// start runs the call unless one runs already.
func (c *asyncCall[T]) start(call func() T) {
	if c.result != nil {
		return
	}
	result := make(chan T, 1)
	c.result = result
	go func() {
		result <- call()
	}()
}

// poll returns the result of the call if it has ended, and false otherwise. It never blocks.
func (c *asyncCall[T]) poll() (T, bool) {
	select {
	case v := <-c.result:
		c.result = nil
		return v, true
	default:
		var none T
		return none, false
	}
}

// reconcile compares the states of all members with the known primary. It announces a primary that the proxies don't
// know yet, and makes members that don't follow the primary do so. The members are asked in the background, so that
// one that doesn't answer delays no heartbeat.
func (w *Watcher) reconcile(ctx context.Context, gs *groupState, g egret.Group, current egret.GroupPrimary, known bool) {
	now := time.Now()
	if states, ok := gs.surveyCall.poll(); ok {
		w.applySurvey(ctx, gs, g, current, known, states)
	}
	if now.Before(gs.nextSurvey) {
		return
	}
	gs.nextSurvey = now.Add(w.Timing.SurveyInterval)
	timeout := w.memberTimeout(gs)
	enough := len(g.Members)
	if gs.misses > 0 {
		// The primary that doesn't answer isn't waited for.
		enough = majority(g)
	}
	gs.surveyCall.start(func() []egret.MemberState {
		return w.survey(ctx, g, timeout, enough)
	})
}

// applySurvey takes in the states of the members and makes those follow the primary that don't.
func (w *Watcher) applySurvey(ctx context.Context, gs *groupState, g egret.Group, current egret.GroupPrimary, known bool, states []egret.MemberState) {
	a := Assess(g, current, known, states)
	gs.highestTerm = max(gs.highestTerm, a.HighestTerm)
	if len(states) >= majority(g) {
		gs.progress.Observe(gs.activePrimary(a, states), states, time.Now())
	}
	trackSince(&gs.noPrimarySince, a.NeedsPrimary)
	if a.Known && a.PrimaryActive {
		w.Peers.AnnouncePrimary(a.Newest)
	}
	if len(a.NonFollowers) > 0 {
		go w.follow(ctx, g, a.Newest, a.NonFollowers, w.memberTimeout(gs), w.metrics.redirected.Inc)
	}
}

// activePrimary returns the state of the active primary, as it answered here or else as the holder of its lane
// reported it. It is empty if neither knows one.
func (gs *groupState) activePrimary(a Assessment, states []egret.MemberState) egret.MemberState {
	if s, ok := stateOf(states, a.Newest.Primary); ok || gs.primaryState.GrantedTerm != a.Newest.Term {
		if a.PrimaryActive {
			return s
		}
		return egret.MemberState{}
	}
	return gs.primaryState
}

// survey asks all members for their state in parallel. Once enough have answered, it waits fenceGrace for the rest.
func (w *Watcher) survey(ctx context.Context, g egret.Group, timeout time.Duration, enough int) []egret.MemberState {
	ctx, cancel := withHiddenDeadline(ctx, timeout)
	defer cancel()
	calls := []func() (egret.MemberState, error){}
	for _, m := range g.Members {
		calls = append(calls, func() (egret.MemberState, error) {
			return w.Control.Status(ctx, m)
		})
	}
	return collect(calls, enough, fenceGrace, nil)
}

// precheckGrace and fenceGrace are how long the other members are waited for once enough have answered.
const (
	precheckGrace = 40 * time.Millisecond
	fenceGrace    = 150 * time.Millisecond
)

// collect runs the calls in parallel and returns the states of those that succeeded. Once there are enough states, it
// returns after the grace period at the latest. The function failed receives the errors, from one goroutine at a time.
func collect(calls []func() (egret.MemberState, error), enough int, grace time.Duration, failed func(err error)) []egret.MemberState {
	results := make(chan statusResult, len(calls))
	for _, c := range calls {
		go func() {
			s, err := c()
			results <- statusResult{
				state: s,
				err:   err,
			}
		}()
	}
	states := []egret.MemberState{}
	var graceOver <-chan time.Time
	for range calls {
		select {
		case r := <-results:
			if r.err == nil {
				states = append(states, r.state)
			} else if failed != nil {
				failed(r.err)
			}
		case <-graceOver:
			return states
		}
		if len(states) >= enough && graceOver == nil {
			graceOver = time.After(grace)
		}
	}
	return states
}

// follow makes the members replicas of the current primary, in its term. The function done is called for
// each member that succeeds, and may be nil.
func (w *Watcher) follow(ctx context.Context, g egret.Group, current egret.GroupPrimary, members []string, timeout time.Duration, done func()) {
	primary := addressOf(g, current.Primary)
	if !primary.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	wg := sync.WaitGroup{}
	for _, name := range members {
		wg.Go(func() {
			if _, err := w.Control.Follow(ctx, memberOf(g, name), current.Term, primary); err == nil && done != nil {
				done()
			}
		})
	}
	wg.Wait()
}
