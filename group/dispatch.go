package group

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/conns"
	"egretlane.example/egret/sched"
)

const (
	// busyBackoff is how long a member gets no new statements after it refused one or a connection failed.
	busyBackoff = 25 * time.Millisecond

	// initialLag is the lowest estimate, and maxLag the highest, of how long a replica that lacked a position
	// takes to reach it.
	initialLag = 4 * time.Millisecond
	maxLag     = 400 * time.Millisecond
)

// sortViews rebuilds views in the order of member IDs. The caller holds mu.
func (l *Lane) sortViews() {
	l.views = l.views[:0]
	for _, m := range l.members {
		l.views = append(l.views, &m.view)
	}
	slices.SortFunc(l.views, func(a, b *sched.Member) int {
		return cmp.Compare(a.ID, b.ID)
	})
}

// dispatch assigns queued statements to members until none can start. The caller holds mu.
func (l *Lane) dispatch() {
	if l.closed {
		return
	}
	now := clock.Now()
	l.refreshViews(now)
	for l.queue.Len() > 0 {
		it, view := l.queue.Next(now, l.views)
		if it == nil {
			return
		}
		m := l.members[view.ID]
		view.Running++
		m.limit.SetRunning(now, view.Running)
		m.assignConn(now, it)
		it.Grant <- view
	}
}

// refreshViews updates the members' views before the queue reads them. The caller holds mu.
func (l *Lane) refreshViews(now clock.Time) {
	for _, m := range l.members {
		m.conns.Resize(now, l.connections, m.maxAttempts())
		m.view.FreeConns = m.conns.Free()
		m.view.Connection = nil
		if m.conns.Shared() {
			m.view.Connection = m.connection
		}
		l.refreshTransactions(now, m)
		m.view.Primary = l.hasPrimary && m.id == l.primary
		m.view.Accepting = l.historyComplete && !m.unreachable && now > m.backoffUntil && l.usable(now, m)
	}
}

// maxAttempts returns how many connections to the member are opened at once, if there are several workspaces: as many as use
// half of its slots. An attempt uses no slot during its two round trips, that of the TCP handshake and that of the startup
// message. The caller holds the lane's mu.
func (m *member) maxAttempts() int {
	atMember := max(m.connectTime-2*m.view.RoundTrip, m.connectTime/maxTransitFactor)
	return int(time.Duration(m.view.Slots) * m.connectTime / (attemptDivisor * max(atMember, 1)))
}

// connectionOf returns how long a statement of the workspace waits for a connection, and false if it can't get one now; see
// sched.Member.Connection. The caller holds the lane's mu.
func (m *member) connectionOf(workspace string) (time.Duration, bool) {
	switch m.conns.Available(workspace) {
	case conns.Idle:
		return 0, true
	case conns.Opens:
		return m.connectTime, true
	default:
		if m.conns.Excluded(workspace) {
			return m.view.ConnInterval, false
		}
		return 0, false
	}
}

// usable reports whether the member's role and registration allow new statements. The primary runs statements until
// it is replaced, also while it drains, up to DrainLimit, or its registration is missing; replicas keep serving reads while
// there is no primary. The caller holds mu.
func (l *Lane) usable(now clock.Time, m *member) bool {
	if m.id == l.primary {
		return l.hasPrimary && !l.drained(now, m)
	}
	if m.missingSince != 0 && now.Sub(m.missingSince) > missingMemberTimeout {
		return false
	}
	_, superseded := l.superseded[m.id]
	return !m.backend.Draining && !superseded
}

// drained reports whether the member has drained for so long that it gets no new statements. The caller holds mu.
func (l *Lane) drained(now clock.Time, m *member) bool {
	return l.DrainLimit > 0 && m.drainingSince != 0 && now.Sub(m.drainingSince) > l.DrainLimit
}

// acquireSlot queues the statement and waits for a slot of a member. It returns a fault if the statement is refused or
// gets none before its deadline.
func (l *Lane) acquireSlot(ctx context.Context, it *sched.Item) (*member, egret.Fault) {
	it.Grant = make(chan *sched.Member, 1)
	l.mu.Lock()
	if l.closed || l.draining && it.Need != sched.NeedMember || !l.Lease.Valid() {
		l.mu.Unlock()
		return nil, notHolderFault()
	}
	now := clock.Now()
	l.refreshViews(now)
	if !l.queue.Push(now, it, l.views) {
		wait := it.PredictedWait()
		retryAfter := l.queue.RetryAfter(now, it, rand.Float64())
		waiting := l.queue.Len()
		l.mu.Unlock()
		return nil, egret.Fault{
			Kind: egret.FaultBusy,
			Text: "the queue is longer than the statement's time: " + wait.Round(time.Millisecond).String() +
				" for " + itoa(waiting) + " waiting; retry after " + retryAfter.Round(time.Millisecond).String(),
		}
	}
	l.dispatch()
	l.mu.Unlock()

	timer := time.NewTimer(it.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case view, granted := <-it.Grant:
		if !granted {
			return nil, notHolderFault()
		}
		return l.memberOf(view), egret.Fault{}
	case <-l.done:
	case <-ctx.Done():
	case <-timer.C:
	}
	return l.dequeue(ctx, it)
}

// dequeue removes a statement that is no longer waited for from the queue, and returns the fault for it. A statement
// that has been given a slot meanwhile keeps the slot.
func (l *Lane) dequeue(ctx context.Context, it *sched.Item) (*member, egret.Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.Remove(it) {
		view, granted := <-it.Grant
		if !granted {
			return nil, notHolderFault()
		}
		return l.members[view.ID], egret.Fault{}
	}
	if l.closed {
		return nil, notHolderFault()
	}
	text := "no slot came free in time"
	switch {
	case ctx.Err() != nil:
		text = "the stream of the statement ended"
	case !l.hasPrimary:
		text = "the service has no primary"
	}
	return nil, egret.Fault{
		Kind: egret.FaultBusy,
		Text: text,
	}
}

// memberOf returns the member that the view belongs to.
func (l *Lane) memberOf(view *sched.Member) *member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members[view.ID]
}

// releaseSlot returns a slot to the member.
func (l *Lane) releaseSlot(m *member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.view.Running--
	m.limit.SetRunning(clock.Now(), m.view.Running)
	l.dispatch()
}

// backOff sends no new statements to the member for the duration.
func (l *Lane) backOff(m *member, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.backoffUntil = clock.Now().Add(d)
	time.AfterFunc(d+time.Millisecond, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dispatch()
	})
}

// noteLag records that a replica lacked a position, and raises the estimate of its lag, so that statements that need
// the position are not sent to it again at once.
func (l *Lane) noteLag(m *member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.lagEstimate = min(max(initialLag, 2*m.lagEstimate), maxLag)
	m.view.LaggingUntil = clock.Now().Add(m.lagEstimate)
	time.AfterFunc(m.lagEstimate+time.Millisecond, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dispatch()
	})
}

// noteAnswer records that a member has answered, and the position that it reported. The zero position is ignored.
func (l *Lane) noteAnswer(m *member, p egret.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.unansweredSince, m.lastAnswer = 0, clock.Now()
	if p.IsZero() {
		return
	}
	if p.Compare(m.view.Position) > 0 {
		m.view.Position = p
		m.lagEstimate /= 2
	}
}

func notHolderFault() egret.Fault {
	return egret.Fault{
		Kind: egret.FaultNotHolder,
		Text: "this process doesn't hold the service",
	}
}
