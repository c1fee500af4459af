package lane

import (
	"context"
	"slices"
	"sync"
	"time"

	"egretlane.example/egret"
)

// watchRetryDelay is the delay before the next request after one that failed or ended no wait.
const watchRetryDelay = 50 * time.Millisecond

// positionWatcher waits until one member reaches positions.
//
// It sends one request at a time, for the lowest position that has a waiter. The state in the reply
// ends all waits that it decides.
type positionWatcher struct {
	// ctx ends the requests.
	ctx context.Context

	// awaitState returns the member's state, at the latest when the member has reached the
	// position.
	awaitState func(ctx context.Context, p egret.Position) (egret.MemberState, error)

	// mu guards the fields below.
	mu sync.Mutex

	// lastState is the state in the last reply.
	lastState egret.MemberState

	// waiters are the waits that no state has ended yet.
	waiters []*positionWaiter

	// polling is set while a goroutine sends requests.
	polling bool
}

// positionWaiter is one wait for a position.
type positionWaiter struct {
	position egret.Position

	// done reports whether a state ends the wait. It must not call methods of the watcher.
	done func(state egret.MemberState) bool
}

// add begins a wait, unless the last state already ends it.
func (w *positionWatcher) add(waiter *positionWaiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if waiter.done(w.lastState) {
		return
	}
	w.waiters = append(w.waiters, waiter)
	if !w.polling {
		w.polling = true
		go w.poll()
	}
}

// remove cancels a wait.
func (w *positionWatcher) remove(waiter *positionWaiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiters = slices.DeleteFunc(w.waiters, func(o *positionWaiter) bool {
		return o == waiter
	})
}

// update applies a state to all waits. It returns false if the state ends none.
func (w *positionWatcher) update(state egret.MemberState) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastState = state
	before := len(w.waiters)
	w.waiters = slices.DeleteFunc(w.waiters, func(x *positionWaiter) bool {
		return x.done(state)
	})
	return len(w.waiters) < before
}

// poll sends requests until there are no waits.
func (w *positionWatcher) poll() {
	for {
		lowest, found := w.lowestPosition()
		if !found {
			return
		}
		state, err := w.awaitState(w.ctx, lowest)
		if err != nil || !w.update(state) {
			w.sleep()
		}
	}
}

// lowestPosition returns the lowest position that has a waiter. If there is none it returns false,
// and the polling goroutine must end.
func (w *positionWatcher) lowestPosition() (egret.Position, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiters) == 0 || w.ctx.Err() != nil {
		w.polling = false
		return egret.Position{}, false
	}
	lowest := slices.MinFunc(w.waiters, func(a, b *positionWaiter) int {
		return a.position.Compare(b.position)
	})
	return lowest.position, true
}

func (w *positionWatcher) sleep() {
	select {
	case <-time.After(watchRetryDelay):
	case <-w.ctx.Done():
	}
}
