package lane

import (
	"context"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/member"
)

const (
	// floorAsk is how long the member waits for a floor at once. A lower floor that comes meanwhile
	// is asked for after it.
	floorAsk = 20 * time.Millisecond

	// floorGrace is how much longer its answer may take.
	floorGrace = 2 * time.Second
)

// requirer is what a Control may offer besides: waiting for what a member's reads see.
type requirer interface {
	Require(ctx context.Context, m egret.Member, p egret.Position, wait time.Duration) (egret.MemberState, error)
}

// askFloor asks the member to wait for a floor, and for its state if that takes longer.
func (l *lane) askFloor(ctx context.Context, p egret.Position) (egret.MemberState, error) {
	ctx, cancel := context.WithTimeout(ctx, floorAsk+floorGrace)
	defer cancel()
	r := l.holder.Control.(requirer)
	state, err := r.Require(ctx, l.member(), p, floorAsk)
	if member.IsFloor(err) {
		state, err = l.holder.Control.Status(ctx, l.member())
	}
	if err == nil {
		l.note(state)
	}
	return state, err
}

// awaitFloor waits until the member's reads see the floor, so that the wait takes no slot. The check
// in the pipeline still decides; it finds the floor reached.
func (l *lane) awaitFloor(ctx context.Context, o egret.Opening) *egret.Failure {
	if _, able := l.holder.Control.(requirer); !able || o.Floor.IsZero() || o.FloorWait <= 0 {
		return nil
	}
	if l.reaches(o.Floor) {
		return nil
	}
	ctx, span := tracer.Start(ctx, "lane.floor")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, o.FloorWait)
	defer cancel()
	reached := make(chan struct{})
	x := &wait{
		position: o.Floor,
		decide: func(state egret.MemberState) bool {
			if !state.Applied.Reaches(o.Floor) {
				return false
			}
			close(reached)
			return true
		},
	}
	l.floors.add(x)
	select {
	case <-reached:
		return nil
	case <-ctx.Done():
		l.floors.remove(x)
		return notRun(egret.ReasonFloor, "member %s has not reached the session's floor", l.name)
	}
}

func (l *lane) reaches(p egret.Position) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Applied.Reaches(p)
}
