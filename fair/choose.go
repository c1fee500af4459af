package fair

import (
	"time"

	"egretlane.example/egret"
)

// nextRing returns the ring of the class whose request starts next, or nil if no request may start.
func (q *Queue) nextRing(now time.Time) *ring {
	orderReady := q.order.anyFlow(q.startable)
	normalReady := q.normal.anyFlow(q.startable)
	deferredReady := q.deferred.anyFlow(q.startable)
	deferredDue := deferredReady && q.deferred.due(now)
	contended := orderReady && (normalReady || deferredDue)
	q.markContended(contended)
	switch {
	case orderReady && (!contended || q.orderBelowShare()):
		return &q.order
	case deferredDue:
		return &q.deferred
	case normalReady:
		return &q.normal
	case orderReady:
		return &q.order
	case deferredReady:
		return &q.deferred
	default:
		return nil
	}
}

// orderBelowShare reports whether class order precedes the others, as it has used no more than its share.
func (q *Queue) orderBelowShare() bool {
	return q.OrderShare > 0 && q.orderBalance <= 0
}

// markContended records for the next item of each class whether it starts while requests of class order and of
// another class can start. Only the time of such items counts for the share of class order.
func (q *Queue) markContended(contended bool) {
	for _, r := range q.rings() {
		r.contended = contended
	}
}

// updateBalance counts slot time of an item of the class that started while class order was contended.
func (q *Queue) updateBalance(c egret.Class, d time.Duration) {
	share := time.Duration(min(q.OrderShare, maxOrderShare))
	if c == egret.ClassOrder {
		q.orderBalance += d * (100 - share) / 100
	} else {
		q.orderBalance -= d * share / 100
	}
	q.orderBalance = max(-maxOrderBalance, min(maxOrderBalance, q.orderBalance))
}

// startable reports whether a request of the flow may start.
func (q *Queue) startable(f *flow) bool {
	return len(f.continuing) > 0 || len(f.initial) > 0 && q.connAvailable(f)
}

// connAvailable reports whether the flow's caller may have one more connection. Some are reserved for callers that
// hold none, so that the open transactions of one caller can't block the others.
func (q *Queue) connAvailable(f *flow) bool {
	free := q.Connections - q.heldConns
	if f.heldConns == 0 {
		return free > 0
	}
	return free > q.Connections/reserveDivisor
}
