package fair

import (
	"slices"
	"time"
)

// ring holds the callers of one class in the order of their turns.
type ring struct {
	// flows are those with requests, running requests, connections or debts. Names are unique.
	flows []*flow

	// turn is the index of the flow whose turn it is.
	turn int

	// contended says that class order and another class both have requests that may start.
	contended bool
}

// flow is what one caller has in one class.
type flow struct {
	caller string

	// weight is above zero.
	weight int

	// credit is the time that the caller may still use. It is at most a round's worth.
	credit time.Duration

	// continuing and fresh are the requests that wait, oldest first.
	continuing []*Item
	fresh      []*Item

	// running is how many requests have a slot.
	running int

	// lent is how many transactions hold a connection.
	lent int

	// ended is when a request of the flow ended last.
	ended time.Time
}

func (f *flow) length() int {
	return len(f.continuing) + len(f.fresh)
}

func (f *flow) newest() *Item {
	return f.fresh[len(f.fresh)-1]
}

// take removes the flow's next request. New ones only count if they may have a connection.
func (f *flow) take(fresh bool) *Item {
	list := &f.continuing
	if len(*list) == 0 && fresh {
		list = &f.fresh
	}
	it := (*list)[0]
	*list = slices.Delete(*list, 0, 1)
	return it
}

func (f *flow) remove(it *Item) bool {
	list := &f.fresh
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

// flow returns the caller's flow. A new one comes last.
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
	r.flows = slices.Insert(r.flows, r.turn, f)
	if len(r.flows) > 1 {
		r.turn++
	}
	return f
}

func (r *ring) length() int {
	n := 0
	for _, f := range r.flows {
		n += f.length()
	}
	return n
}

func (r *ring) any(startable func(f *flow) bool) bool {
	return slices.ContainsFunc(r.flows, startable)
}

// due reports whether a request has used up three quarters of its time.
func (r *ring) due(now time.Time) bool {
	return slices.ContainsFunc(r.flows, func(f *flow) bool {
		if len(f.fresh) == 0 {
			return len(f.continuing) > 0
		}
		it := f.fresh[0]
		return now.After(it.Deadline.Add(-it.Deadline.Sub(it.Arrived) / 4))
	})
}

// next returns the startable flow whose turn it is. One at least must be startable. If none has
// credit, rounds are given until one has.
func (r *ring) next(quantum time.Duration, startable func(f *flow) bool) *flow {
	f := r.withCredit(startable)
	if f == nil {
		r.give(quantum, r.rounds(quantum, startable))
		f = r.withCredit(startable)
	}
	return f
}

// withCredit moves the turn to the first startable flow with credit, or returns nil.
func (r *ring) withCredit(startable func(f *flow) bool) *flow {
	for i := range r.flows {
		turn := (r.turn + i) % len(r.flows)
		f := r.flows[turn]
		if f.credit > 0 && startable(f) {
			r.turn = turn
			return f
		}
	}
	return nil
}

// rounds returns how many rounds give a startable flow credit.
func (r *ring) rounds(quantum time.Duration, startable func(f *flow) bool) int {
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

// give adds rounds of credit. Flows don't save up: who waits for nothing gets its debt paid at most.
func (r *ring) give(quantum time.Duration, rounds int) {
	for _, f := range slices.Clone(r.flows) {
		round := quantum * time.Duration(f.weight)
		limit := round
		if f.length() == 0 {
			limit = 0
		}
		f.credit = min(f.credit+round*time.Duration(rounds), max(limit, f.credit))
		r.tidy(f)
	}
}

// forgive drops the debts of callers that have asked for nothing for some time.
func (r *ring) forgive(now time.Time) {
	for _, f := range slices.Clone(r.flows) {
		if f.credit < 0 && f.length() == 0 && now.Sub(f.ended) > forgiven {
			f.credit = 0
			r.tidy(f)
		}
	}
}

// tidy takes out a flow that has nothing left. Credit is lost then, a debt is kept.
func (r *ring) tidy(f *flow) {
	if f.length() > 0 || f.running > 0 || f.lent > 0 {
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
	if r.turn > i {
		r.turn--
	}
	if r.turn >= len(r.flows) {
		r.turn = 0
	}
}
