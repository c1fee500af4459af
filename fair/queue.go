package fair

import (
	"time"

	"egretlane.example/egret"
)

const (
	// firstMean is the service time that is assumed before any is known.
	firstMean = 2 * time.Millisecond

	// meanWeight is the part of the mean that one request replaces, as 1/meanWeight.
	meanWeight = 16

	// outlier bounds what one long request does to the mean, in means. Otherwise a single one would
	// have requests refused that have time enough.
	outlier = 8

	// forgiven is how long a caller without requests keeps a debt.
	forgiven = time.Second

	// balanceLimit bounds how far class order may get ahead of its share or behind it.
	balanceLimit = time.Second

	// maxOrderShare keeps a part for the other classes, in percent.
	maxOrderShare = 95

	// keepConnections is the part of the connections, as 1/keepConnections, that callers which
	// hold some leave to callers which hold none.
	keepConnections = 4
)

// Item is one request for a slot.
type Item struct {
	// Caller is who the slot is counted for.
	Caller string

	// Class is the standing of the request.
	Class egret.Class

	// Continuing says that the transaction holds a connection already. Such a request is never
	// refused, and goes before the caller's new ones, so that connections come free.
	Continuing bool

	// Arrived is when the request came.
	Arrived time.Time

	// Deadline is when the request's time ends.
	Deadline time.Time

	// Wake is for the owner of the item. The queue doesn't use it.
	Wake chan error

	// charged is what the caller's credit paid at the start.
	charged time.Duration

	// contended says that class order and another class both waited at the start.
	contended bool
}

// Queue holds the requests that wait for a slot of one lane.
//
// Its exported fields may change between calls. It is not safe for concurrent use.
type Queue struct {
	// Slots is how many requests may run at once. It is used for estimates only.
	Slots int

	// Connections is how many transactions may hold a connection.
	Connections int

	// Limit is how many new requests may wait.
	Limit int

	// OrderShare is the part of the time, in percent, that class order may take while others
	// wait. Zero gives class order no precedence.
	OrderShare int

	// WeightOf returns a caller's share. Nil gives each caller one.
	WeightOf func(caller string) int

	// order, normal and deferred hold the requests by class.
	order    ring
	normal   ring
	deferred ring

	// balance is above zero when class order has had more than its share. Percents of time.
	balance time.Duration

	// mean is the mean service time, or zero before any is known.
	mean time.Duration

	// fresh is how many new requests wait.
	fresh int

	// lent is how many transactions hold a connection. Pop raises it and Return lowers it.
	lent int
}

// Len returns how many requests of the class wait.
func (q *Queue) Len(c egret.Class) int {
	return q.ringOf(c).length()
}

// Lent returns how many transactions hold a connection or were given the right to one.
func (q *Queue) Lent() int {
	return q.lent
}

// Push adds a request. It returns the item that has to be refused in its place, which may be the
// item itself: because its time would end in the queue, or because the queue is full and its caller
// has most of it. It returns nil if nobody is refused.
func (q *Queue) Push(now time.Time, it *Item) *Item {
	q.ringOf(it.Class).forgive(now)
	f := q.flowOf(it)
	if it.Continuing {
		f.continuing = append(f.continuing, it)
		return nil
	}
	if now.Add(q.waitOf(it.Class, f)).After(it.Deadline) {
		q.ringOf(it.Class).tidy(f)
		return it
	}
	f.fresh = append(f.fresh, it)
	q.fresh++
	if q.fresh <= q.Limit {
		return nil
	}
	refused := q.longest().newest()
	q.Remove(refused)
	return refused
}

// Pop takes the request that runs next. It returns false if none may start.
func (q *Queue) Pop(now time.Time) (*Item, bool) {
	r := q.choose(now)
	if r == nil {
		return nil, false
	}
	f := r.next(q.quantum(), q.startable)
	it := f.take(q.mayLend(f))
	it.contended = r.contended
	it.charged = q.quantum()
	f.credit -= it.charged
	f.running++
	if !it.Continuing {
		q.fresh--
		q.lent++
		f.lent++
	}
	if it.contended {
		q.weigh(it.Class, it.charged)
	}
	return it, true
}

// Done settles a request that had its slot for the given time.
func (q *Queue) Done(now time.Time, it *Item, elapsed time.Duration) {
	mean := q.quantum()
	q.mean = mean + (min(elapsed, outlier*mean)-mean)/meanWeight
	f := q.flowOf(it)
	f.running--
	f.ended = now
	f.credit -= elapsed - it.charged
	if it.contended {
		q.weigh(it.Class, elapsed-it.charged)
	}
	q.ringOf(it.Class).tidy(f)
}

// Return says that the transaction that began with the item holds its connection no longer.
func (q *Queue) Return(it *Item) {
	q.lent--
	f := q.flowOf(it)
	f.lent--
	q.ringOf(it.Class).tidy(f)
}

// Remove takes out a request that waits. It returns false if the request doesn't wait.
func (q *Queue) Remove(it *Item) bool {
	r := q.ringOf(it.Class)
	f := q.flowOf(it)
	removed := f.remove(it)
	if removed && !it.Continuing {
		q.fresh--
	}
	r.tidy(f)
	return removed
}

// Fresh takes out all requests of transactions that haven't started.
func (q *Queue) Fresh() []*Item {
	items := []*Item{}
	for _, r := range q.rings() {
		for _, f := range r.flows {
			items = append(items, f.fresh...)
		}
	}
	for _, it := range items {
		q.Remove(it)
	}
	return items
}

// Wait estimates how long a new request of a caller that has none waiting would wait, if each
// caller's queue were served in order. It is an upper bound for fair shares.
func (q *Queue) Wait() time.Duration {
	waiting := 0
	for _, r := range q.rings() {
		waiting += r.length()
	}
	return q.estimate(waiting)
}

func (q *Queue) estimate(ahead int) time.Duration {
	if q.Slots == 0 {
		return 0
	}
	return q.quantum() * time.Duration(ahead) / time.Duration(q.Slots)
}

// waitOf estimates the wait of the flow's next request: its own ahead of it, and of the others as
// many as their weights let pass meanwhile.
func (q *Queue) waitOf(c egret.Class, f *flow) time.Duration {
	own := f.length()
	ahead := own
	for _, r := range q.rings() {
		if c != egret.ClassDefer && r == &q.deferred {
			continue
		}
		for _, o := range r.flows {
			if o != f {
				ahead += min(o.length(), (own+1)*o.weight/f.weight)
			}
		}
	}
	return q.estimate(ahead)
}

// quantum is the credit that a round gives to weight one, and the first price of a request.
func (q *Queue) quantum() time.Duration {
	if q.mean == 0 {
		return firstMean
	}
	return max(q.mean, time.Microsecond)
}

// longest returns the flow with the most new requests for its weight.
func (q *Queue) longest() *flow {
	var longest *flow
	for _, r := range q.rings() {
		for _, f := range r.flows {
			if longest == nil || len(f.fresh)*longest.weight > len(longest.fresh)*f.weight {
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
	case egret.ClassDefer:
		return &q.deferred
	default:
		return &q.normal
	}
}

func (q *Queue) rings() [3]*ring {
	return [3]*ring{&q.order, &q.normal, &q.deferred}
}
