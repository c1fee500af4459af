package group

import (
	"cmp"
	"context"
	"slices"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/sched"
)

const (
	// busyRest is how long a member that refused a statement gets no new ones.
	busyRest = 25 * time.Millisecond

	// firstLag is the first guess of how far a replica is behind that lacked a position, and
	// maxLag the highest.
	firstLag = 4 * time.Millisecond
	maxLag   = 400 * time.Millisecond
)

// order lists the views in the order of IDs.
func (l *Lane) order() {
	l.views = l.views[:0]
	for _, m := range l.members {
		l.views = append(l.views, &m.view)
	}
	slices.SortFunc(l.views, func(a, b *sched.Member) int {
		return cmp.Compare(a.ID, b.ID)
	})
}

// dispatch starts what can start. The caller holds mu.
func (l *Lane) dispatch() {
	if l.ended {
		return
	}
	now := clock.Now()
	l.refresh(now)
	for l.queue.Len() > 0 {
		it, view := l.queue.Next(now, l.views)
		if it == nil {
			return
		}
		m := l.members[view.ID]
		view.Running++
		if it.Need != sched.NeedMember {
			m.reserved++
			view.Lendable--
		}
		it.Wake <- view
	}
}

// refresh brings the views up to date.
func (l *Lane) refresh(now clock.Time) {
	for _, m := range l.members {
		m.view.Lendable = len(m.idle) + max(0, l.connections-m.open) - m.reserved
		m.view.Primary = l.led && m.backend.ID == l.primary
		m.view.Open = l.known && !m.down && now > m.rested && l.usable(now, m)
	}
}

// usable reports whether the member may get new work as far as its entry goes. The primary works on
// until it is replaced. Replicas serve reads meanwhile.
func (l *Lane) usable(now clock.Time, m *member) bool {
	if m.backend.ID == l.primary {
		return l.led
	}
	if m.missing != 0 && now.Sub(m.missing) > goneAfter {
		return false
	}
	_, superseded := l.superseded[m.backend.ID]
	return !m.backend.Draining && !superseded
}

// acquire waits for a slot of a member. It returns a fault if the statement was not given one.
func (l *Lane) acquire(ctx context.Context, it *sched.Item) (*member, egret.Fault) {
	it.Wake = make(chan *sched.Member, 1)
	l.mu.Lock()
	if l.ended || l.draining && it.Need != sched.NeedMember || !l.Holding.Valid() {
		l.mu.Unlock()
		return nil, moved()
	}
	now := clock.Now()
	l.refresh(now)
	if !l.queue.Push(now, it, l.views) {
		wait := l.queue.Wait(now, it, l.views)
		waiting := l.queue.Len()
		l.mu.Unlock()
		return nil, egret.Fault{
			Kind: egret.FaultBusy,
			Text: "the queue is longer than the statement's time: " + wait.Round(time.Millisecond).String() +
				" for " + itoa(waiting) + " waiting",
		}
	}
	l.dispatch()
	l.mu.Unlock()

	timer := time.NewTimer(it.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case view, granted := <-it.Wake:
		if !granted {
			return nil, moved()
		}
		return l.granted(view), egret.Fault{}
	case <-l.done:
	case <-ctx.Done():
	case <-timer.C:
	}
	return l.abandon(it)
}

// abandon takes a statement out of the queue. If it has just been given a slot, it keeps it.
func (l *Lane) abandon(it *sched.Item) (*member, egret.Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.Remove(it) {
		view, granted := <-it.Wake
		if !granted {
			return nil, moved()
		}
		return l.members[view.ID], egret.Fault{}
	}
	if l.ended {
		return nil, moved()
	}
	text := "no slot came free in time"
	if !l.led {
		text = "the service has no primary"
	}
	return nil, egret.Fault{
		Kind: egret.FaultBusy,
		Text: text,
	}
}

func (l *Lane) granted(view *sched.Member) *member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members[view.ID]
}

// release gives a slot back.
func (l *Lane) release(m *member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.view.Running--
	l.dispatch()
}

// rest keeps new work away from a member that refused some.
func (l *Lane) rest(m *member, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.rested = clock.Now().Add(d)
	time.AfterFunc(d+time.Millisecond, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dispatch()
	})
}

// lagged notes that a replica lacked a position, so that it isn't asked again at once.
func (l *Lane) lagged(m *member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.lag = min(max(firstLag, 2*m.lag), maxLag)
	m.view.Behind = clock.Now().Add(m.lag)
	time.AfterFunc(m.lag+time.Millisecond, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dispatch()
	})
}

// answered notes that a member answers, and the position that it told.
func (l *Lane) answered(m *member, p egret.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.mute, m.heard = 0, clock.Now()
	if p.IsZero() {
		return
	}
	if p.Compare(m.view.Position) > 0 {
		m.view.Position = p
		m.lag /= 2
	}
}

func moved() egret.Fault {
	return egret.Fault{
		Kind: egret.FaultMoved,
		Text: "this process doesn't hold the service",
	}
}
