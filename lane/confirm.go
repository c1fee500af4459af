package lane

import (
	"context"
	"sync"
	"time"

	"egretlane.example/egret"
)

const (
	// awaitWait is how long a member is asked to wait for a position at once.
	awaitWait = 150 * time.Millisecond

	// awaitGrace is how much longer its answer may take.
	awaitGrace = 2 * time.Second
)

// confirm waits until a majority of the group has a write: the primary and as many others as make
// up the rest. The member must have been primary in the same term before the write was sent and
// after it was committed. A term is granted once and never falls, so the log was not cut meanwhile
// and the position covers the write.
func (l *lane) confirm(ctx context.Context, state egret.MemberState, term uint64, wait time.Duration) *egret.Failure {
	if state.Member == "" || state.Role != egret.RolePrimary || state.Granted != term || state.Received.Term != term {
		return unknown(egret.ReasonConfirm, "member %s was superseded while it wrote", l.name)
	}
	if wait <= 0 {
		wait = defaultConfirmWait
	}
	ctx, span := tracer.Start(ctx, "lane.confirm")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	l.mu.Lock()
	others := l.settings.others()
	l.mu.Unlock()
	began := time.Now()
	confirmed := l.confirmer.wait(ctx, others, state.Received)
	l.holder.Metrics.ConfirmWait.Observe(time.Since(began).Seconds())
	if !confirmed {
		return unknown(egret.ReasonConfirm, "no second member has confirmed the write on member %s", l.name)
	}
	return nil
}

// confirmer waits for the other members of a group to receive positions.
type confirmer struct {
	// ctx ends the waits.
	ctx context.Context

	// control asks the members.
	control egret.Control

	// mu guards replicas.
	mu sync.Mutex

	// replicas has one entry for each member that was asked.
	replicas []*replica
}

// replica is another member of the group.
type replica struct {
	// mu guards member.
	mu sync.Mutex

	member egret.Member

	// watch waits for what the member receives.
	watch watch
}

// write waits for a majority.
type write struct {
	position egret.Position

	// mu guards the fields below.
	mu sync.Mutex

	// lacking is how many more members must confirm.
	lacking int

	// able is how many more members may still confirm.
	able int

	// ended gets whether the write was confirmed, once.
	ended chan bool
}

// wait returns whether enough of the others have received the position in its term before the
// context ends.
func (c *confirmer) wait(ctx context.Context, others []egret.Member, p egret.Position) bool {
	w := &write{
		position: p,
		lacking:  (len(others) + 1) / 2,
		able:     len(others),
		ended:    make(chan bool, 1),
	}
	if w.lacking == 0 {
		return true
	}
	x := &wait{
		position: p,
		decide:   w.judge,
	}
	for _, m := range others {
		r := c.replica(m)
		r.watch.add(x)
		defer r.watch.remove(x)
	}
	select {
	case confirmed := <-w.ended:
		return confirmed
	case <-ctx.Done():
		return false
	}
}

// replica returns the entry of a member, with the member's present address.
func (c *confirmer) replica(m egret.Member) *replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.replicas {
		if r.member.Name == m.Name {
			r.mu.Lock()
			r.member = m
			r.mu.Unlock()
			return r
		}
	}
	r := &replica{
		member: m,
	}
	r.watch.ctx = c.ctx
	r.watch.ask = func(ctx context.Context, p egret.Position) (egret.MemberState, error) {
		return c.ask(ctx, r, p)
	}
	c.replicas = append(c.replicas, r)
	return r
}

func (c *confirmer) ask(ctx context.Context, r *replica, p egret.Position) (egret.MemberState, error) {
	ctx, cancel := context.WithTimeout(ctx, awaitWait+awaitGrace)
	defer cancel()
	r.mu.Lock()
	m := r.member
	r.mu.Unlock()
	return c.control.Await(ctx, m, p, awaitWait)
}

// judge reports whether a member's state decides about the write: the member has it, or has granted
// a later term and may never get it.
func (w *write) judge(state egret.MemberState) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case confirms(state, w.position):
		w.lacking--
	case state.Granted > w.position.Term:
	default:
		return false
	}
	w.able--
	switch {
	case w.lacking == 0:
		w.end(true)
	case w.able < w.lacking:
		w.end(false)
	}
	return true
}

func (w *write) end(confirmed bool) {
	select {
	case w.ended <- confirmed:
	default:
	}
}

// confirms reports whether a member has granted no later term than the position's and has received
// the position in that term. It held then: a promotion to a later term asks a majority, finds the
// member with the write among it, and goes on from the furthest log.
func confirms(state egret.MemberState, p egret.Position) bool {
	return state.Granted == p.Term && state.Received.Term == p.Term && state.Received.Reaches(p)
}
