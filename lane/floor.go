package lane

import (
	"context"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/member"
)

const (
	// requireTimeout is how long a single request lets the member wait for a floor. A lower floor
	// that is added in the meantime has to wait until the request returns.
	requireTimeout = 20 * time.Millisecond

	// requireReplyGrace is how much longer the reply to such a request may take.
	requireReplyGrace = 2 * time.Second
)

// positionRequirer is an optional interface of a MemberControl that waits until a member has applied a
// position.
type positionRequirer interface {
	Require(ctx context.Context, m egret.Member, p egret.Position, wait time.Duration) (egret.MemberState, error)
}

// requireFloor lets the member wait for a floor and returns its state. If the floor isn't reached
// within requireTimeout, the state is requested separately.
func (l *lane) requireFloor(ctx context.Context, p egret.Position) (egret.MemberState, error) {
	ctx, cancel := context.WithTimeout(ctx, requireTimeout+requireReplyGrace)
	defer cancel()
	requirer := l.manager.Control.(positionRequirer)
	state, err := requirer.Require(ctx, l.member(), p, requireTimeout)
	if member.IsFloorTimeout(err) {
		state, err = l.manager.Control.Status(ctx, l.member())
	}
	if err == nil {
		l.updateState(state)
	}
	return state, err
}

// awaitFloor waits until the member has applied the floor, before the transaction asks for a slot,
// so that the wait occupies none. The check in the pipeline remains authoritative; after this wait
// it normally passes at once.
func (l *lane) awaitFloor(ctx context.Context, o egret.TransactionOptions) *egret.Failure {
	if _, supported := l.manager.Control.(positionRequirer); !supported || o.Floor.IsZero() || o.FloorTimeout <= 0 {
		return nil
	}
	if l.hasApplied(o.Floor) {
		return nil
	}
	ctx, span := tracer.Start(ctx, "lane.floor")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, o.FloorTimeout)
	defer cancel()
	reached := make(chan struct{})
	waiter := &positionWaiter{
		position: o.Floor,
		done: func(state egret.MemberState) bool {
			if !state.Applied.Reaches(o.Floor) {
				return false
			}
			close(reached)
			return true
		},
	}
	l.floorWatcher.add(waiter)
	select {
	case <-reached:
		return nil
	case <-ctx.Done():
		l.floorWatcher.remove(waiter)
		return notRun(egret.ReasonFloor, "member %s has not reached the session's floor", l.name)
	}
}

func (l *lane) hasApplied(p egret.Position) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Applied.Reaches(p)
}
