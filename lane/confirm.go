package lane

import (
	"context"
	"sync"
	"time"

	"egretlane.example/egret"
)

const (
	// awaitTimeout is how long a single request lets a member wait for a position.
	awaitTimeout = 150 * time.Millisecond

	// awaitReplyGrace is how much longer the reply to such a request may take.
	awaitReplyGrace = 2 * time.Second
)

// awaitConfirmation waits until a majority of the group has received a write: the primary and
// enough of the other members. The member must have been primary in the same term before the write
// was sent and after it was committed. A member grants a term only once and its granted term never
// falls, so its log was not truncated in between and the position covers the write.
func (l *lane) awaitConfirmation(ctx context.Context, state egret.MemberState, term uint64, timeout time.Duration) *egret.Failure {
	if state.Member == "" || state.Role != egret.RolePrimary || state.GrantedTerm != term || state.Received.Term != term {
		return unknown(egret.ReasonNotConfirmed, "member %s was superseded while it wrote", l.name)
	}
	if timeout <= 0 {
		timeout = defaultConfirmTimeout
	}
	ctx, span := tracer.Start(ctx, "lane.confirm")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l.mu.Lock()
	others := l.settings.otherMembers()
	l.mu.Unlock()
	began := time.Now()
	confirmed := l.confirmer.awaitMajority(ctx, others, state.Received)
	l.manager.Metrics.ConfirmWait.Observe(time.Since(began).Seconds())
	if !confirmed {
		return unknown(egret.ReasonNotConfirmed, "no second member has confirmed the write on member %s", l.name)
	}
	return nil
}

// confirmer waits until other members of a group have received positions.
type confirmer struct {
	// ctx ends the requests.
	ctx context.Context

	// control sends the requests to the members.
	control egret.MemberControl

	// mu guards replicas.
	mu sync.Mutex

	// replicas has one entry for each member whose confirmation was waited for.
	replicas []*replica
}

// replica is another member of the group.
type replica struct {
	// mu guards member.
	mu sync.Mutex

	member egret.Member

	// watcher waits for positions that the member receives.
	watcher positionWatcher
}

// pendingWrite is a write that waits for confirmations by a majority.
type pendingWrite struct {
	position egret.Position

	// mu guards the fields below.
	mu sync.Mutex

	// needed is how many more members must confirm the write.
	needed int

	// undecided is how many more members may still confirm the write.
	undecided int

	// result receives once whether the write was confirmed.
	result chan bool
}

// awaitMajority reports whether enough of the other members have received the position in its term
// before the context ends.
func (c *confirmer) awaitMajority(ctx context.Context, others []egret.Member, position egret.Position) bool {
	w := &pendingWrite{
		position:  position,
		needed:    (len(others) + 1) / 2,
		undecided: len(others),
		result:    make(chan bool, 1),
	}
	if w.needed == 0 {
		return true
	}
	waiter := &positionWaiter{
		position: position,
		done:     w.observe,
	}
	for _, m := range others {
		r := c.replica(m)
		r.watcher.add(waiter)
		defer r.watcher.remove(waiter)
	}
	select {
	case confirmed := <-w.result:
		return confirmed
	case <-ctx.Done():
		return false
	}
}

// replica returns the entry of a member, updated with the member's current address.
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
	r.watcher.ctx = c.ctx
	r.watcher.awaitState = func(ctx context.Context, p egret.Position) (egret.MemberState, error) {
		return c.awaitPosition(ctx, r, p)
	}
	c.replicas = append(c.replicas, r)
	return r
}

func (c *confirmer) awaitPosition(ctx context.Context, r *replica, p egret.Position) (egret.MemberState, error) {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout+awaitReplyGrace)
	defer cancel()
	r.mu.Lock()
	m := r.member
	r.mu.Unlock()
	return c.control.AwaitPosition(ctx, m, p, awaitTimeout)
}

// observe counts a member's state and reports whether it is final for the write: the member has the
// write, or has granted a later term and may never receive it.
func (w *pendingWrite) observe(state egret.MemberState) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case hasConfirmed(state, w.position):
		w.needed--
	case state.GrantedTerm > w.position.Term:
	default:
		return false
	}
	w.undecided--
	switch {
	case w.needed == 0:
		w.finish(true)
	case w.undecided < w.needed:
		w.finish(false)
	}
	return true
}

func (w *pendingWrite) finish(confirmed bool) {
	select {
	case w.result <- confirmed:
	default:
	}
}

// hasConfirmed reports whether a member has granted no term later than the position's and has
// received the position in that term. Such a write survives a promotion: a promotion to a later
// term asks a majority, which includes a member with the write, and continues from the most
// advanced log.
func hasConfirmed(state egret.MemberState, position egret.Position) bool {
	return state.GrantedTerm == position.Term && state.Received.Term == position.Term && state.Received.Reaches(position)
}
