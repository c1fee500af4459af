package lane

import (
	"context"
	"slices"
	"sync"
	"time"

	"egretlane.example/egret"
)

const (
	// awaitWait is how long a member is asked to wait for a position at once.
	awaitWait = 500 * time.Millisecond

	// awaitGrace is how much longer its answer may take.
	awaitGrace = 500 * time.Millisecond

	// awaitRetry is the time after an answer that decided nothing, or none.
	awaitRetry = 50 * time.Millisecond
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
//
// Each member has one wait at a time, for the lowest position that anyone waits for. Its answer
// tells how far the member has come and confirms all that it covers.
type confirmer struct {
	// ctx ends the waits.
	ctx context.Context

	// control asks the members.
	control egret.Control

	// mu guards the fields below and all writes that wait.
	mu sync.Mutex

	// replicas has one entry for each member that was asked.
	replicas []*replica
}

// replica is another member of the group.
type replica struct {
	member egret.Member

	// known is the member's last state.
	known egret.MemberState

	// writes wait for the member.
	writes []*write

	// asked says that a worker waits for the member.
	asked bool
}

// write waits for a majority.
type write struct {
	position egret.Position

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
	c.mu.Lock()
	for _, m := range others {
		c.add(m, w)
	}
	c.mu.Unlock()
	select {
	case confirmed := <-w.ended:
		return confirmed
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.replicas {
		r.remove(w)
	}
	return false
}

// add makes a write wait for a member. The caller has mu.
func (c *confirmer) add(m egret.Member, w *write) {
	r := c.replica(m)
	if w.judge(r.known) {
		return
	}
	r.writes = append(r.writes, w)
	if !r.asked {
		r.asked = true
		go c.serve(r)
	}
}

func (c *confirmer) replica(m egret.Member) *replica {
	for _, r := range c.replicas {
		if r.member.Name == m.Name {
			r.member = m
			return r
		}
	}
	r := &replica{
		member: m,
	}
	c.replicas = append(c.replicas, r)
	return r
}

// serve asks a member until no write waits for it.
func (c *confirmer) serve(r *replica) {
	for {
		m, lowest, waits := c.next(r)
		if !waits {
			return
		}
		ctx, cancel := context.WithTimeout(c.ctx, awaitWait+awaitGrace)
		state, err := c.control.Await(ctx, m, lowest, awaitWait)
		cancel()
		if err != nil {
			c.pause()
			continue
		}
		if !c.take(r, state) {
			c.pause()
		}
	}
}

// next returns the lowest position that a write waits for. It returns false if none waits, and the
// worker has to end then.
func (c *confirmer) next(r *replica) (egret.Member, egret.Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(r.writes) == 0 || c.ctx.Err() != nil {
		r.asked = false
		return r.member, egret.Position{}, false
	}
	lowest := slices.MinFunc(r.writes, func(a, b *write) int {
		return a.position.Compare(b.position)
	})
	return r.member, lowest.position, true
}

// take notes a member's state and judges the writes that wait for it. It returns false if the state
// decides about none: a member that follows no primary of the term yet answers at once.
func (c *confirmer) take(r *replica, state egret.MemberState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.known = state
	waiting := len(r.writes)
	r.writes = slices.DeleteFunc(r.writes, func(w *write) bool {
		return w.judge(state)
	})
	return len(r.writes) < waiting
}

func (c *confirmer) pause() {
	select {
	case <-time.After(awaitRetry):
	case <-c.ctx.Done():
	}
}

func (r *replica) remove(w *write) {
	r.writes = slices.DeleteFunc(r.writes, func(o *write) bool {
		return o == w
	})
}

// judge reports whether a member's state decides about the write: the member has it, or has granted
// a later term and may never get it. The caller has the confirmer's lock.
func (w *write) judge(state egret.MemberState) bool {
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
