package lane

import (
	"context"
	"slices"
	"sync"
	"time"

	"egretlane.example/egret"
)

// watchRetry is the time after an answer that decided nothing, or none.
const watchRetry = 50 * time.Millisecond

// watch waits for positions of one member.
//
// It asks one question at a time, for the lowest position that anyone waits for. The answer tells how
// far the member has come and decides about all that it covers.
type watch struct {
	// ctx ends the questions.
	ctx context.Context

	// ask returns the member's state, at the latest when the member has reached the position.
	ask func(ctx context.Context, p egret.Position) (egret.MemberState, error)

	// mu guards the fields below.
	mu sync.Mutex

	// known is the last state.
	known egret.MemberState

	// waits are those about which no state has decided yet.
	waits []*wait

	// asking says that a worker asks.
	asking bool
}

// wait is a wait for a position.
type wait struct {
	position egret.Position

	// decide reports whether a state ends the wait. It calls no method of the watch.
	decide func(state egret.MemberState) bool
}

// add begins a wait, unless the last state decides about it.
func (w *watch) add(x *wait) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x.decide(w.known) {
		return
	}
	w.waits = append(w.waits, x)
	if !w.asking {
		w.asking = true
		go w.serve()
	}
}

// remove gives up a wait.
func (w *watch) remove(x *wait) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waits = slices.DeleteFunc(w.waits, func(o *wait) bool {
		return o == x
	})
}

// take decides about the waits by a state. It returns false if the state ends none.
func (w *watch) take(state egret.MemberState) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.known = state
	before := len(w.waits)
	w.waits = slices.DeleteFunc(w.waits, func(x *wait) bool {
		return x.decide(state)
	})
	return len(w.waits) < before
}

// serve asks until nothing waits.
func (w *watch) serve() {
	for {
		lowest, waits := w.next()
		if !waits {
			return
		}
		state, err := w.ask(w.ctx, lowest)
		if err != nil || !w.take(state) {
			w.pause()
		}
	}
}

// next returns the lowest position that is waited for. It returns false if there is none, and the
// worker has to end then.
func (w *watch) next() (egret.Position, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waits) == 0 || w.ctx.Err() != nil {
		w.asking = false
		return egret.Position{}, false
	}
	lowest := slices.MinFunc(w.waits, func(a, b *wait) int {
		return a.position.Compare(b.position)
	})
	return lowest.position, true
}

func (w *watch) pause() {
	select {
	case <-time.After(watchRetry):
	case <-w.ctx.Done():
	}
}
