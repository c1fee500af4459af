package fair

import (
	"time"

	"egretlane.example/egret"
)

const (
	// initialMeanService is the mean service time that is assumed before the first request has ended.
	initialMeanService = 2 * time.Millisecond

	// serviceWeight is the divisor of the moving average of service times: one request counts for 1/serviceWeight.
	serviceWeight = 16

	// outlierLimit is the longest service time that is averaged, as a multiple of the mean. Without it, a single
	// long request would raise the predicted waits so much that requests with enough time are refused.
	outlierLimit = 8

	// debtRetention is how long the debt (negative credit) of a caller without waiting requests is kept.
	debtRetention = time.Second

	// maxOrderBalance bounds Queue.orderBalance in both directions.
	maxOrderBalance = time.Second

	// maxOrderShare bounds Queue.OrderShare, in percent, and leaves the rest to the other classes.
	maxOrderShare = 95

	// reserveDivisor sets how many connections are reserved for callers that hold none: 1/reserveDivisor of all.
	reserveDivisor = 4
)

// Item is a request for a slot.
type Item struct {
	// Caller names the caller whose share the slot time counts for.
	Caller string

	// Class is the class in which the request waits.
	Class egret.Class

	// Continuing says that the request's transaction holds a connection already. Such a request is never refused, and
	// starts before the caller's initial requests, which begin a transaction, so that connections become free.
	Continuing bool

	// Arrived is when the request arrived.
	Arrived time.Time

	// Deadline is when the request times out.
	Deadline time.Time

	// Result delivers nil when the request gets its slot, or the error with which it is refused. The owner of the queue
	// sends to it; the queue doesn't use it.
	Result chan error

	// charged is the time that was taken from the flow's credit when the request started.
	charged time.Duration

	// contended says that requests of class order and of another class could have started when this one did.
	contended bool
}

// Queue holds the requests that wait for a slot of one lane.
//
// The exported fields may be changed between calls. A Queue is not safe for concurrent use.
type Queue struct {
	// Slots is how many requests may run at once. It is used to predict waits only; the owner of the queue enforces it.
	Slots int

	// Connections is how many transactions may hold a connection.
	Connections int

	// Limit is how many initial requests may wait.
	Limit int

	// OrderShare is the percentage of the slots' time up to which class order precedes the other classes while they
	// wait. Zero gives class order no precedence.
	OrderShare int

	// WeightOf returns the weight of a caller's share. If nil, each caller has weight 1.
	WeightOf func(caller string) int

	// order, normal and deferred hold the requests by class.
	order    ring
	normal   ring
	deferred ring

	// orderBalance is the slot time of class order in excess of its share, counted over contended items. It is
	// negative if class order has had less than its share.
	orderBalance time.Duration

	// meanService is the moving average of service times, or zero before the first request has ended.
	meanService time.Duration

	// initialCount is how many initial requests wait.
	initialCount int

	// heldConns is how many transactions hold a connection or may take one. Pop increments it, and the release of the
	// connection decrements it.
	heldConns int
}

// Len returns how many requests of the class wait.
func (q *Queue) Len(c egret.Class) int {
	return q.ringOf(c).queued()
}

// HeldConns returns how many transactions hold a connection or may take one.
func (q *Queue) HeldConns() int {
	return q.heldConns
}

// Push adds a request. It returns the item that has to be refused for it, or nil if there is none. This is the added
// item if it is predicted to time out in the queue. If the queue is full, it is the newest initial request of the flow
// with the most initial requests for its weight, which may also be the added one.
func (q *Queue) Push(now time.Time, it *Item) *Item {
	q.ringOf(it.Class).dropOldDebts(now)
	f := q.flowOf(it)
	if it.Continuing {
		f.continuing = append(f.continuing, it)
		return nil
	}
	if now.Add(q.flowWait(it.Class, f)).After(it.Deadline) {
		q.ringOf(it.Class).removeIfIdle(f)
		return it
	}
	f.initial = append(f.initial, it)
	q.initialCount++
	if q.initialCount <= q.Limit {
		return nil
	}
	refused := q.longestFlow().newestInitial()
	q.Remove(refused)
	return refused
}

// Pop removes and returns the request that starts next. It returns false if none may start.
func (q *Queue) Pop(now time.Time) (*Item, bool) {
	r := q.nextRing(now)
	if r == nil {
		return nil, false
	}
	f := r.nextFlow(q.quantum(), q.startable)
	it := f.takeNext(q.connAvailable(f))
	it.contended = r.contended
	it.charged = q.quantum()
	f.credit -= it.charged
	f.running++
	if !it.Continuing {
		q.initialCount--
		q.heldConns++
		f.heldConns++
	}
	if it.contended {
		q.updateBalance(it.Class, it.charged)
	}
	return it, true
}

// Done settles the charge of a request that has ended and had its slot for the given time.
func (q *Queue) Done(now time.Time, it *Item, elapsed time.Duration) {
	mean := q.quantum()
	q.meanService = mean + (min(elapsed, outlierLimit*mean)-mean)/serviceWeight
	f := q.flowOf(it)
	f.running--
	f.lastFinished = now
	f.credit -= elapsed - it.charged
	if it.contended {
		q.updateBalance(it.Class, elapsed-it.charged)
	}
	q.ringOf(it.Class).removeIfIdle(f)
}

// ReleaseConn releases the connection of the transaction that began with the item.
func (q *Queue) ReleaseConn(it *Item) {
	q.heldConns--
	f := q.flowOf(it)
	f.heldConns--
	q.ringOf(it.Class).removeIfIdle(f)
}

// Remove removes a waiting request. It returns false if the request is not in the queue.
func (q *Queue) Remove(it *Item) bool {
	r := q.ringOf(it.Class)
	f := q.flowOf(it)
	removed := f.remove(it)
	if removed && !it.Continuing {
		q.initialCount--
	}
	r.removeIfIdle(f)
	return removed
}

// DrainInitial removes and returns all initial requests, those of transactions that haven't begun.
func (q *Queue) DrainInitial() []*Item {
	items := []*Item{}
	for _, r := range q.rings() {
		for _, f := range r.flows {
			items = append(items, f.initial...)
		}
	}
	for _, it := range items {
		q.Remove(it)
	}
	return items
}

// EstimateWait returns the time in which all waiting requests are predicted to be served. It is an upper bound of the
// wait of a new request whose caller has none waiting, as fair sharing starts it before some of the others.
func (q *Queue) EstimateWait() time.Duration {
	waiting := 0
	for _, r := range q.rings() {
		waiting += r.queued()
	}
	return q.drainTime(waiting)
}

// drainTime returns the predicted time in which the slots serve the requests.
func (q *Queue) drainTime(requests int) time.Duration {
	if q.Slots == 0 {
		return 0
	}
	return q.quantum() * time.Duration(requests) / time.Duration(q.Slots)
}

// flowWait returns the predicted wait of a request of the class that is added to the flow. The requests ahead of it are
// all of the flow's own, and as many of each other flow as the weights let start meanwhile. Flows of class defer are
// only ahead of requests of that class.
func (q *Queue) flowWait(c egret.Class, f *flow) time.Duration {
	own := f.queued()
	ahead := own
	for _, r := range q.rings() {
		if c != egret.ClassDeferrable && r == &q.deferred {
			continue
		}
		for _, o := range r.flows {
			if o != f {
				ahead += min(o.queued(), (own+1)*o.weight/f.weight)
			}
		}
	}
	return q.drainTime(ahead)
}

// quantum returns the credit that a round grants for weight 1. It is the mean service time, and also the charge for
// a request when it starts.
func (q *Queue) quantum() time.Duration {
	if q.meanService == 0 {
		return initialMeanService
	}
	return max(q.meanService, time.Microsecond)
}

// longestFlow returns the flow with the most initial requests for its weight.
func (q *Queue) longestFlow() *flow {
	var longest *flow
	for _, r := range q.rings() {
		for _, f := range r.flows {
			if longest == nil || len(f.initial)*longest.weight > len(longest.initial)*f.weight {
				longest = f
			}
		}
	}
	return longest
}

func (q *Queue) flowOf(it *Item) *flow {
	weight := 1
	if q.WeightOf != nil {
		weight = max(1, q.WeightOf(it.Caller))
	}
	return q.ringOf(it.Class).flow(it.Caller, weight)
}

func (q *Queue) ringOf(c egret.Class) *ring {
	switch c {
	case egret.ClassOrder:
		return &q.order
	case egret.ClassDeferrable:
		return &q.deferred
	default:
		return &q.normal
	}
}

func (q *Queue) rings() [3]*ring {
	return [3]*ring{&q.order, &q.normal, &q.deferred}
}
