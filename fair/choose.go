package fair

import (
	"time"

	"egretlane.example/egret"
)

// choose returns the class that starts next, or nil if no request may start.
func (q *Queue) choose(now time.Time) *ring {
	order := q.order.any(q.startable)
	normal := q.normal.any(q.startable)
	deferred := q.deferred.any(q.startable)
	due := deferred && q.deferred.due(now)
	contended := order && (normal || due)
	q.markContended(contended)
	switch {
	case order && (!contended || q.orderFirst()):
		return &q.order
	case due:
		return &q.deferred
	case normal:
		return &q.normal
	case order:
		return &q.order
	case deferred:
		return &q.deferred
	default:
		return nil
	}
}

// orderFirst reports whether class order has had no more than its share.
func (q *Queue) orderFirst() bool {
	return q.OrderShare > 0 && q.balance <= 0
}

// markContended notes for the next item of each class whether it starts while class order and
// another class wait. Only then is the share of class order counted.
func (q *Queue) markContended(contended bool) {
	for _, r := range q.rings() {
		r.contended = contended
	}
}

// weigh counts time that a class took while class order and another class waited.
func (q *Queue) weigh(c egret.Class, d time.Duration) {
	share := time.Duration(min(q.OrderShare, maxOrderShare))
	if c == egret.ClassOrder {
		q.balance += d * (100 - share) / 100
	} else {
		q.balance -= d * share / 100
	}
	q.balance = max(-balanceLimit, min(balanceLimit, q.balance))
}

// startable reports whether a request of the flow may start.
func (q *Queue) startable(f *flow) bool {
	return len(f.continuing) > 0 || len(f.fresh) > 0 && q.mayLend(f)
}

// mayLend reports whether the flow's caller may have one more connection. Some are kept for
// callers that hold none, so that open transactions of one caller don't lock out the rest.
func (q *Queue) mayLend(f *flow) bool {
	free := q.Connections - q.lent
	if f.lent == 0 {
		return free > 0
	}
	return free > q.Connections/keepConnections
}
