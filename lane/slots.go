package lane

import (
	"context"
	"time"

	"egretlane.example/egret/fair"
	"egretlane.example/egret/member"
)

const (
	// slotCallTimeout bounds each call on the connection that holds the slot locks.
	slotCallTimeout = time.Second

	// slotCheckInterval is the interval at which the held locks are listed while the member is in
	// use or locks are missing.
	slotCheckInterval = 500 * time.Millisecond

	// idleSlotCheckInterval is the interval at all other times.
	idleSlotCheckInterval = 2 * time.Second

	// slotRetryInterval is the interval between attempts to take locks that another proxy holds.
	slotRetryInterval = 20 * time.Millisecond

	// minReconnectDelay and maxReconnectDelay bound the delay between two attempts to connect. It
	// doubles with each failure.
	minReconnectDelay = 20 * time.Millisecond
	maxReconnectDelay = 400 * time.Millisecond

	// lostSlotsGrace is how long statements may continue after the slot locks were lost.
	lostSlotsGrace = 500 * time.Millisecond

	// overdueTimeout is how long overdue statements keep their slots while the member can't be
	// reached.
	overdueTimeout = 5 * time.Second

	// terminateDelay is how long a lane that lost its locks waits before it terminates connections
	// of other proxies. Without the delay, two proxies that can't see each other would keep
	// terminating each other's connections.
	terminateDelay = 5 * time.Second
)

// overdueStatement is a statement that got no answer in time and may still run on the member. Its
// slot is released once the statement's connection has been terminated on the member.
type overdueStatement struct {
	// processID identifies the member's process that runs the statement.
	processID uint32

	// item is the request that occupies the slot.
	item *fair.Item

	// grantedAt is when the slot was granted.
	grantedAt time.Time
}

// runSlotLocker keeps a connection for the slot locks open until the lane is stopped, and
// reconnects when it fails.
func (l *lane) runSlotLocker() {
	delay := minReconnectDelay
	lostAt := time.Now()
	terminateAfter := time.Time{}
	for l.ctx.Err() == nil {
		slotConn, err := l.openSlots()
		if err != nil {
			l.enforceSlotsLost(time.Since(lostAt))
			l.sleep(delay)
			delay = min(2*delay, maxReconnectDelay)
			continue
		}
		delay = minReconnectDelay
		locker := slotLocker{
			lane:           l,
			slotConn:       slotConn,
			terminateAfter: terminateAfter,
		}
		locker.run()
		slotConn.Close()
		lostAt = time.Now()
		terminateAfter = lostAt.Add(terminateDelay)
		l.recordSlotsLost()
	}
}

func (l *lane) openSlots() (*member.SlotConn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, slotCallTimeout)
	defer cancel()
	return l.dialer().OpenSlotConn(ctx, l.member())
}

// recordSlotsLost sets the number of held slots to zero, so that no statement starts: another lane
// may have taken the locks by now.
func (l *lane) recordSlotsLost() {
	if l.ctx.Err() == nil {
		l.manager.Metrics.SlotsLost.Inc()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldSlots = 0
	l.updateGauges()
}

// enforceSlotsLost closes connections whose statements still run after the grace period without
// locks, releases the slots of overdue statements after overdueTimeout, and refuses queued
// transactions if the member is unreachable.
func (l *lane) enforceSlotsLost(lostFor time.Duration) {
	if lostFor > lostSlotsGrace {
		l.closeActiveAbove(0)
	}
	if lostFor > overdueTimeout {
		for _, o := range l.takeOverdue() {
			l.releaseSlot(o.item, o.grantedAt)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable() {
		l.refuse(l.queue.DrainInitial(), l.unreachableFailure())
	}
}

// closeActiveAbove closes connections with running statements, except for the first limit ones.
func (l *lane) closeActiveAbove(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.active[min(limit, len(l.active)):] {
		c.memberConn.Close()
	}
}

// sleep waits for the duration or until the lane is stopped.
func (l *lane) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-l.ctx.Done():
	}
}

// addOverdue queues statements for termination on the member. Their slots are released after that.
// Idle connections are closed, since they may have failed as well.
func (l *lane) addOverdue(statements ...overdueStatement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle(time.Time{}, closedSilent)
	l.overdue = append(l.overdue, statements...)
	l.wakeSlotLocker()
}

func (l *lane) takeOverdue() []overdueStatement {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.overdue
	l.overdue = nil
	return taken
}

// wantedSlots returns how many locks the lane should hold. During a handover it keeps up to half of
// them while requests are queued, for handoverGrace at most. Otherwise it keeps one while a statement
// may run or a transaction has the right to a connection, and then none.
func (l *lane) wantedSlots() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wantedSlotsLocked(time.Now())
}

// wantedSlotsLocked is wantedSlots for callers that hold mu.
func (l *lane) wantedSlotsLocked(now time.Time) int {
	slots := l.settings.pool.Slots
	if l.handoverSince.IsZero() {
		return slots
	}
	needed := 0
	if l.runningStatements > 0 || l.queue.HeldConns() > 0 {
		needed = 1
	}
	if l.queueLength() == 0 || now.Sub(l.handoverSince) > handoverGrace {
		return needed
	}
	return max(needed, min(l.heldSlots, (slots+1)/2))
}

// slotCheckPeriod returns the interval at which the locks are listed while none is missing.
func (l *lane) slotCheckPeriod() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inUse(time.Now()) {
		return slotCheckInterval
	}
	return idleSlotCheckInterval
}

func (l *lane) configuredSlots() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settings.pool.Slots
}

// releaseSurplusSlot reduces the number of held slots by one, if the lane holds more than it wants
// and one of them is free. It reports whether it did.
func (l *lane) releaseSurplusSlot(held int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held == 0 || held <= l.wantedSlotsLocked(time.Now()) || l.runningStatements >= l.heldSlots {
		return false
	}
	l.heldSlots--
	l.updateGauges()
	return true
}

// setHeldSlots sets the number of held slots and starts queued requests.
func (l *lane) setHeldSlots(held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldSlots = held
	l.dispatch(time.Now())
}
