package fair

import (
	"slices"
	"time"
)

// ring holds the flows of one class in round-robin order.
type ring struct {
	// flows are those with waiting or running requests, held connections or a debt. Their callers are unique.
	flows []*flow

	// current is the index of the flow whose turn it is in the round.
	current int

	// contended says whether requests of class order and of another class can start.
	contended bool
}

// flow holds the requests and the credit of one caller in one class.
type flow struct {
	caller string

	// weight is the caller's share relative to that of others. It is at least 1.
	weight int

	// credit is the slot time that the caller may still use, at most that of one round. Below zero, it is a debt.
	credit time.Duration

	// continuing and initial are the waiting requests of open transactions and of those that haven't begun, oldest
	// first.
	continuing []*Item
	initial    []*Item

	// running is how many requests have a slot.
	running int

	// heldConns is how many transactions of the flow hold a connection or may take one.
	heldConns int

	// lastFinished is when the last request of the flow ended.
	lastFinished time.Time
}

// queued returns how many requests wait.
func (f *flow) queued() int {
	return len(f.continuing) + len(f.initial)
}

func (f *flow) newestInitial() *Item {
	return f.initial[len(f.initial)-1]
}

// takeNext removes and returns the flow's next request. It takes an initial one only if connAvailable is set.
func (f *flow) takeNext(connAvailable bool) *Item {
	list := &f.continuing
	if len(*list) == 0 && connAvailable {
		list = &f.initial
	}
	it := (*list)[0]
	*list = slices.Delete(*list, 0, 1)
	return it
}

func (f *flow) remove(it *Item) bool {
	list := &f.initial
	if it.Continuing {
		list = &f.continuing
	}
	i := slices.Index(*list, it)
	if i < 0 {
		return false
	}
	*list = slices.Delete(*list, i, i+1)
	return true
}

// flow returns the caller's flow. A new one is added as the last of the round.
func (r *ring) flow(caller string, weight int) *flow {
	for _, f := range r.flows {
		if f.caller == caller {
			f.weight = weight
			return f
		}
	}
	f := &flow{
		caller: caller,
		weight: weight,
	}
	r.flows = slices.Insert(r.flows, r.current, f)
	if len(r.flows) > 1 {
		r.current++
	}
	return f
}

// queued returns how many requests of all flows wait.
func (r *ring) queued() int {
	n := 0
	for _, f := range r.flows {
		n += f.queued()
	}
	return n
}

// anyFlow reports whether a flow is startable.
func (r *ring) anyFlow(startable func(f *flow) bool) bool {
	return slices.ContainsFunc(r.flows, startable)
}

// due reports whether class defer has to start a request: the oldest initial request of a flow has used up three
// quarters of its time, or a flow has only continuing requests.
func (r *ring) due(now time.Time) bool {
	return slices.ContainsFunc(r.flows, func(f *flow) bool {
		if len(f.initial) == 0 {
			return len(f.continuing) > 0
		}
		it := f.initial[0]
		return now.After(it.Deadline.Add(-it.Deadline.Sub(it.Arrived) / 4))
	})
}

// nextFlow returns the startable flow whose turn it is. At least one flow must be startable. If none of these has
// credit, it grants rounds until one has.
func (r *ring) nextFlow(quantum time.Duration, startable func(f *flow) bool) *flow {
	f := r.advanceToCredit(startable)
	if f == nil {
		r.grantRounds(quantum, r.roundsNeeded(quantum, startable))
		f = r.advanceToCredit(startable)
	}
	return f
}

// advanceToCredit moves the turn to the next startable flow with credit and returns it, or nil if there is none.
func (r *ring) advanceToCredit(startable func(f *flow) bool) *flow {
	for i := range r.flows {
		index := (r.current + i) % len(r.flows)
		f := r.flows[index]
		if f.credit > 0 && startable(f) {
			r.current = index
			return f
		}
	}
	return nil
}

// roundsNeeded returns the lowest number of rounds after which a startable flow has credit.
func (r *ring) roundsNeeded(quantum time.Duration, startable func(f *flow) bool) int {
	least := 0
	for _, f := range r.flows {
		if !startable(f) {
			continue
		}
		n := int(-f.credit/(quantum*time.Duration(f.weight))) + 1
		if least == 0 || n < least {
			least = n
		}
	}
	return least
}

// grantRounds adds the credit of some rounds to each flow. Credit doesn't accumulate: it is limited to that of one
// round, and to zero for flows without waiting requests, which can only repay their debts.
func (r *ring) grantRounds(quantum time.Duration, rounds int) {
	for _, f := range slices.Clone(r.flows) {
		round := quantum * time.Duration(f.weight)
		limit := round
		if f.queued() == 0 {
			limit = 0
		}
		f.credit = min(f.credit+round*time.Duration(rounds), max(limit, f.credit))
		r.removeIfIdle(f)
	}
}

// dropOldDebts clears the debts of flows that have no waiting requests and finished none for debtRetention.
func (r *ring) dropOldDebts(now time.Time) {
	for _, f := range slices.Clone(r.flows) {
		if f.credit < 0 && f.queued() == 0 && now.Sub(f.lastFinished) > debtRetention {
			f.credit = 0
			r.removeIfIdle(f)
		}
	}
}

// removeIfIdle removes a flow that has no waiting or running requests and holds no connections. Its credit is dropped;
// a flow with a debt stays.
func (r *ring) removeIfIdle(f *flow) {
	if f.queued() > 0 || f.running > 0 || f.heldConns > 0 {
		return
	}
	f.credit = min(f.credit, 0)
	if f.credit < 0 {
		return
	}
	i := slices.Index(r.flows, f)
	if i < 0 {
		return
	}
	r.flows = slices.Delete(r.flows, i, i+1)
	if r.current > i {
		r.current--
	}
	if r.current >= len(r.flows) {
		r.current = 0
	}
}
