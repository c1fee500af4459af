package sched

import (
	"slices"
	"sort"
	"time"

	"egretlane.example/egret/clock"
)

const (
	// maxQueued is how many items may wait, which bounds memory in a burst. It is far above what a service
	// can run before the statements time out.
	maxQueued = 2048

	// sharedQueued is from how many queued items on a workspace may add no more than its share of them.
	sharedQueued = maxQueued * 3 / 4

	// minRetryAfter and maxRetryAfter bound the time after which a refused caller should try again, before jitter.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = time.Second

	// lateInterval reserves one start in this many for items that can no longer meet their objective, so that
	// a steady flow of items that still can does not starve them.
	lateInterval = 4

	// primaryReadPenalty is added to the predicted time of reads on the primary, as a fraction of their cost,
	// because writes can use no other member's slots.
	primaryReadPenalty = 0.5

	// initialMeanCost is the mean cost that is assumed before the first item.
	initialMeanCost = 10 * time.Millisecond

	// costWeight is the divisor of the moving average of costs: one item counts for 1/costWeight.
	costWeight = 32
)

// Queue holds the items that wait for a slot of a member of one service.
//
// The zero Queue is empty and ready to use. It is not safe for concurrent use.
type Queue struct {
	// items are sorted by compareItems, and by arrival among equal ones.
	items []*Item

	// meanCost is the moving average of the costs of all items that arrived, refused ones included. It is zero
	// before the first.
	meanCost time.Duration

	// started counts the items that were started. Every lateInterval-th start is for a late item.
	started int

	// startedWork is the cost of all items that were started, and primaryWork that of those on a primary.
	startedWork, primaryWork time.Duration

	// shares holds what workspaces, routes and failure domains have had.
	shares shares
}

// Len returns how many items are queued.
func (q *Queue) Len() int {
	return len(q.items)
}

// MeanCost returns the moving average of the items' costs.
func (q *Queue) MeanCost() time.Duration {
	if q.meanCost == 0 {
		return initialMeanCost
	}
	return q.meanCost
}

// Push adds an item. It returns false if the item is refused because the queue is full or the item is predicted
// to start after its latest start. Items that continue a transaction are never refused.
//
// The limit is tied to the objective rather than to the deadline: under overload, a queue as long as the objectives
// allow serves most accepted items in time, one as long as the deadlines allow serves nearly all of them late.
func (q *Queue) Push(now clock.Time, it *Item, members []*Member) bool {
	q.learnCost(it.Cost)
	q.shares.assign(it)
	it.rawWait = q.rawWait(now, it, members)
	if it.Need != NeedMember && !q.admits(now, it) {
		it.noteRefused()
		return false
	}
	q.shares.add(it)
	it.stream().queued++
	q.items = slices.Insert(q.items, q.position(it), it)
	return true
}

// position returns the index behind all items that are not after the item.
func (q *Queue) position(it *Item) int {
	return sort.Search(len(q.items), func(i int) bool { return compareItems(q.items[i], it) > 0 })
}

// admits reports whether the item is queued. Its rawWait is known.
func (q *Queue) admits(now clock.Time, it *Item) bool {
	switch {
	case len(q.items) >= maxQueued:
		return false
	case len(q.items) >= sharedQueued && q.shares.overShare(it, sharedQueued):
		return false
	case it.rawWait == 0:
		// Nothing is ahead of the item. If all were refused for their service times, those would never be measured again.
		return now <= max(it.latestOverrun(), it.Arrived.Add(roundTripAllowance))
	default:
		return now.Add(it.PredictedWait()+it.extraCost) <= it.latestStart() || it.admitsOwed()
	}
}

// RetryAfter returns the time after which the caller of an item that Push refused should try again: when the queue is
// expected to be short enough, times a number from 1 to 2. jitter is a random number from 0 to 1 that decides it, so that
// callers that were refused together don't return together.
func (q *Queue) RetryAfter(now clock.Time, it *Item, jitter float64) time.Duration {
	excess := now.Add(it.PredictedWait() + it.extraCost).Sub(it.latestStart())
	return time.Duration(float64(min(max(excess, minRetryAfter), maxRetryAfter)) * (1 + jitter))
}

// Remove removes an item. It returns false if the item is not in the queue.
func (q *Queue) Remove(it *Item) bool {
	i := slices.Index(q.items, it)
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	q.shares.remove(it)
	q.shares.refund(it)
	return true
}

// Drain removes and returns all items but those that continue a transaction.
func (q *Queue) Drain() []*Item {
	out := []*Item{}
	kept := []*Item{}
	for _, it := range q.items {
		if it.Need == NeedMember {
			kept = append(kept, it)
			continue
		}
		q.shares.remove(it)
		q.shares.refund(it)
		out = append(out, it)
	}
	q.items = kept
	return out
}

// Next removes the item that starts now, and returns it with the member that runs it. It returns nil if no item
// can start.
//
// Items are considered in queue order. If the member that would finish an item first is busy, the item waits for
// that member and its cost counts against later items there. So a distant member gets only those items that it
// would finish sooner.
func (q *Queue) Next(now clock.Time, members []*Member) (*Item, *Member) {
	waits := make([]time.Duration, len(members))
	if !q.slotWaits(members, waits) {
		return nil, nil
	}
	lateTurn := q.started%lateInterval == lateInterval-1
	if lateTurn {
		if it, m := q.takeStartable(now, members, waits, turn{late: true}); it != nil {
			return it, m
		}
		q.slotWaits(members, waits)
	}
	if q.shares.owesStart() {
		for _, late := range []bool{false, true} {
			if it, m := q.takeStartable(now, members, waits, turn{owed: true, late: late}); it != nil {
				return it, m
			}
			q.slotWaits(members, waits)
		}
	}
	it, m := q.takeStartable(now, members, waits, turn{})
	if it == nil && !lateTurn {
		it, m = q.takeStartable(now, members, waits, turn{late: true})
	}
	return it, m
}

// turn selects the items that Next considers: those that are late or those that are not, and if owed is set, of these only those
// of a route or failure domain that is owed a start. Items that continue a transaction are always selected, since they occupy a
// connection.
type turn struct {
	owed, late bool
}

func (t turn) selects(it *Item, now clock.Time) bool {
	switch {
	case it.Need == NeedMember:
		return true
	case t.owed && !it.owed():
		return false
	default:
		return it.late(now) == t.late
	}
}

// takeStartable removes the first selected item that can start now. waits is the predicted wait for a slot of each member:
// that of a new statement, to which it adds the work of the items considered before, divided by the member's slots. An
// item that only waits for a connection is not counted there, as it leaves the slot to others.
func (q *Queue) takeStartable(now clock.Time, members []*Member, waits []time.Duration, t turn) (*Item, *Member) {
	for i, it := range q.items {
		if !t.selects(it, now) {
			continue
		}
		best, wait := q.fastestMember(now, it, members, waits)
		if best < 0 {
			continue
		}
		if wait > 0 {
			if m := members[best]; m.hasConn(it) {
				waits[best] += it.Cost / time.Duration(m.capacity())
			}
			continue
		}
		q.items = slices.Delete(q.items, i, i+1)
		q.started++
		q.shares.remove(it)
		q.shares.start(it)
		q.learnWait(now, it, members[best])
		return it, members[best]
	}
	return nil, nil
}

// fastestMember returns the index of the member that is predicted to finish the item first, and the predicted wait
// for a slot there. The index is negative if no member may run the item.
func (q *Queue) fastestMember(now clock.Time, it *Item, members []*Member, waits []time.Duration) (int, time.Duration) {
	best, bestWait := -1, time.Duration(0)
	bestTotal := time.Duration(0)
	for i, m := range members {
		if !mayRun(now, it, m) {
			continue
		}
		wait, connect := waits[i], time.Duration(0)
		if it.Need != NeedMember && m.Connection != nil {
			available := false
			if connect, available = m.Connection(it.Workspace); !available {
				// Others may start there, so the item must not count as a backlog of the member.
				continue
			}
		}
		if !m.hasConn(it) {
			// A connection becomes free when a running statement ends, at the earliest.
			wait = max(wait, q.MeanCost(), m.ConnInterval)
		}
		total := wait + connect + m.RoundTrip + time.Duration(float64(it.Cost)*max(1, m.Slowness))
		if m.Primary && it.Need == NeedAny {
			total += time.Duration(primaryReadPenalty * float64(it.Cost))
		}
		if best < 0 || total < bestTotal {
			best, bestWait, bestTotal = i, wait, total
		}
	}
	return best, bestWait
}

// slotWaits sets the predicted wait of a new statement for a slot of each member. It reports whether a member has a free
// slot.
func (q *Queue) slotWaits(members []*Member, waits []time.Duration) bool {
	free := false
	for i, m := range members {
		waits[i] = q.slotWait(m)
		free = free || waits[i] == 0
	}
	return free
}

// slotWait returns the predicted wait of a new statement for a slot of the member.
func (q *Queue) slotWait(m *Member) time.Duration {
	free := m.maxRunning(q.MeanCost()) - m.Running
	if free > 0 {
		return 0
	}
	work := float64(q.MeanCost()) * max(1, m.Slowness)
	return time.Duration(work * float64(1-free) / float64(m.capacity()))
}

// learnCost updates the mean cost.
func (q *Queue) learnCost(cost time.Duration) {
	mean := q.MeanCost()
	q.meanCost = mean + (cost-mean)/costWeight
}

// mayRun reports whether the member may run the item, now or once it has a free slot.
func mayRun(now clock.Time, it *Item, m *Member) bool {
	switch it.Need {
	case NeedMember:
		return m.ID == it.MemberID
	case NeedPrimary:
		return m.Accepting && m.Primary && !it.excludes(m.ID)
	default:
		return m.Accepting && !it.excludes(m.ID) && m.satisfies(now, it.Floor)
	}
}

// compareItems orders items that continue a transaction first, then by priority, by the virtual time of their workspaces
// and by due time.
func compareItems(a, b *Item) int {
	if ca, cb := a.Need == NeedMember, b.Need == NeedMember; ca != cb {
		if ca {
			return -1
		}
		return 1
	}
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	switch {
	case a.tag < b.tag:
		return -1
	case a.tag > b.tag:
		return 1
	case a.Due < b.Due:
		return -1
	case a.Due > b.Due:
		return 1
	default:
		return 0
	}
}
