package lane

import (
	"context"
	"time"

	"egretlane.example/egret/fair"
	"egretlane.example/egret/member"
)

const (
	// slotWait bounds each call on the connection that holds the slot locks.
	slotWait = time.Second

	// slotCheck is how often the locks are listed while the member is in use or locks are lacking.
	slotCheck = 500 * time.Millisecond

	// idleCheck is how often they are listed otherwise.
	idleCheck = 2 * time.Second

	// slotRetry is how often locks that another proxy holds are tried.
	slotRetry = 20 * time.Millisecond

	// reconnectFirst and reconnectLast bound the time between two tries to connect.
	reconnectFirst = 20 * time.Millisecond
	reconnectLast  = 400 * time.Millisecond

	// graceWithout is how long statements may run on after the locks were lost.
	graceWithout = 500 * time.Millisecond

	// overdueLimit is how long overdue statements of a member that can't be reached count as running.
	overdueLimit = 5 * time.Second

	// calmWait is how long a lane that lost its locks ends nobody's connections. Two proxies that
	// don't see each other would else end each other's all the time.
	calmWait = 5 * time.Second
)

// overdue is a statement that got no answer and may still run on the member. Its slot comes free
// when the member has ended it.
type overdue struct {
	// process is the member's process that runs the statement.
	process uint32

	// item is the request that has the slot.
	item *fair.Item

	// since is when the slot was given.
	since time.Time
}

// keepSlots holds the slot locks until the lane is stopped, on one connection after the other.
func (l *lane) keepSlots() {
	wait := reconnectFirst
	lost := time.Now()
	calm := time.Time{}
	for l.ctx.Err() == nil {
		session, err := l.openSlots()
		if err != nil {
			l.withoutSlots(time.Since(lost))
			l.pause(wait)
			wait = min(2*wait, reconnectLast)
			continue
		}
		wait = reconnectFirst
		k := keeper{
			lane:    l,
			session: session,
			calm:    calm,
		}
		k.hold()
		session.Close()
		lost = time.Now()
		calm = lost.Add(calmWait)
		l.loseSlots()
	}
}

func (l *lane) openSlots() (*member.Slots, error) {
	ctx, cancel := context.WithTimeout(l.ctx, slotWait)
	defer cancel()
	return l.dialer().OpenSlots(ctx, l.member())
}

// loseSlots starts no more statements: the locks may be another lane's by now.
func (l *lane) loseSlots() {
	if l.ctx.Err() == nil {
		l.holder.Metrics.SlotsLost.Inc()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = 0
	l.gauge()
}

// withoutSlots ends what runs on without locks, and refuses what waits if the member is gone.
func (l *lane) withoutSlots(lost time.Duration) {
	if lost > graceWithout {
		l.cut(0)
	}
	if lost > overdueLimit {
		for _, o := range l.takeOverdue() {
			l.release(o.item, o.since)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable() {
		l.refuse(l.queue.Fresh(), l.noMember())
	}
}

// cut closes connections with running statements until no more than the given number run.
func (l *lane) cut(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.active[min(limit, len(l.active)):] {
		c.wire.Close()
	}
}

// pause waits until the time is over or the lane is stopped.
func (l *lane) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-l.ctx.Done():
	}
}

// endOverdue has a statement ended on the member. Its slot is given back then.
func (l *lane) endOverdue(o overdue) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropIdle(time.Time{}, closedSilent)
	l.overdue = append(l.overdue, o)
	l.nudge()
}

func (l *lane) takeOverdue() []overdue {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.overdue
	l.overdue = nil
	return taken
}

// wantedSlots is how many locks the lane should hold. One that hands over keeps half of them while
// it takes new transactions, and then what its open transactions need.
func (l *lane) wantedSlots() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wanted(time.Now())
}

// wanted is wantedSlots for callers that have mu.
func (l *lane) wanted(now time.Time) int {
	slots := l.settings.pool.Slots
	if l.handover.IsZero() {
		return slots
	}
	needed := 0
	if l.running > 0 || l.queue.Lent() > 0 {
		needed = 1
	}
	if l.queued() == 0 || now.Sub(l.handover) > handoverWait {
		return needed
	}
	return max(needed, min(l.held, (slots+1)/2))
}

// checkEvery is how often the locks are listed when none is lacking.
func (l *lane) checkEvery() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inUse(time.Now()) {
		return slotCheck
	}
	return idleCheck
}

func (l *lane) allSlots() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settings.pool.Slots
}

// lower takes away one of the slots if the lane has more than it wants and one of them is free.
func (l *lane) lower(held int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held == 0 || held <= l.wanted(time.Now()) || l.running >= l.held {
		return false
	}
	l.held--
	l.gauge()
	return true
}

// raise sets how many slots the lane has.
func (l *lane) raise(held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
	l.dispatch(time.Now())
}
