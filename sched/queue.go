package sched

import (
	"slices"
	"time"

	"egretlane.example/egret/clock"
)

const (
	// queueLimit bounds the items that wait, so that memory stays bounded in a burst. It is far
	// above what a service can work off before statement timeouts.
	queueLimit = 2048

	// lateShare gives one slot in this many to items that have missed their objective, so that they
	// are still served while others keep coming in time.
	lateShare = 4

	// primaryBias is added to reads at the primary, as a part of their cost: its slots are the
	// only ones that writes can use.
	primaryBias = 0.5

	// firstCost is the mean cost that is assumed before any is known.
	firstCost = 10 * time.Millisecond

	// errorWeight is the part of the learnt error that one item replaces, as 1/errorWeight, and
	// maxError bounds it. Waits below leastWait say little about it.
	errorWeight = 32
	maxError    = 4.0
	leastWait   = 10 * time.Millisecond

	// meanWeight is the part of the mean cost that one item replaces, as 1/meanWeight.
	meanWeight = 32
)

// Queue holds the items that wait for a member of one service.
//
// The zero Queue is empty and ready to use. It is not safe for concurrent use.
type Queue struct {
	// items are in the order in which they run if every member were free.
	items []*Item

	// mean is the mean cost of the items that came.
	mean time.Duration

	// error is how many times longer items wait than the work ahead of them suggests, as learnt: others
	// come in between, and members don't share evenly. It is zero before any is known.
	error float64

	// picks counts the items that were started, to share slots with late ones.
	picks int
}

// Len returns how many items wait.
func (q *Queue) Len() int {
	return len(q.items)
}

// Mean returns the mean cost of items.
func (q *Queue) Mean() time.Duration {
	if q.mean == 0 {
		return firstCost
	}
	return q.mean
}

// Push adds an item. It returns false if the item is refused: the queue is full, or what runs
// before it takes longer than the item's patience. A queue that is kept no longer than objectives last
// serves most of what it takes in time; one as long as deadlines serves nearly all of it late.
func (q *Queue) Push(now clock.Time, it *Item, members []*Member) bool {
	q.learn(it.Cost)
	it.ahead = q.ahead(now, it, members)
	if it.Need != NeedMember {
		if len(q.items) >= queueLimit || now.Add(q.scale(it.ahead)) > it.patience() {
			return false
		}
	}
	i, _ := slices.BinarySearchFunc(q.items, it, order)
	for i < len(q.items) && order(q.items[i], it) == 0 {
		i++
	}
	q.items = slices.Insert(q.items, i, it)
	return true
}

// Remove takes out an item. It returns false if the item doesn't wait.
func (q *Queue) Remove(it *Item) bool {
	i := slices.Index(q.items, it)
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	return true
}

// Drain takes out all items but those that continue a transaction.
func (q *Queue) Drain() []*Item {
	out := []*Item{}
	kept := []*Item{}
	for _, it := range q.items {
		if it.Need == NeedMember {
			kept = append(kept, it)
			continue
		}
		out = append(out, it)
	}
	q.items = kept
	return out
}

// Next takes out the item that starts now and returns the member that runs it, or nil.
//
// Items are looked at in their order. One whose best member is busy waits for it and stands ahead of
// later items there, so that a far member only gets what it would finish sooner.
func (q *Queue) Next(now clock.Time, members []*Member) (*Item, *Member) {
	ahead := make([]time.Duration, len(members))
	lateTurn := q.picks%lateShare == lateShare-1
	if lateTurn {
		if it, m := q.pass(now, members, ahead, true); it != nil {
			return it, m
		}
		clear(ahead)
	}
	it, m := q.pass(now, members, ahead, false)
	if it == nil && !lateTurn {
		it, m = q.pass(now, members, ahead, true)
	}
	return it, m
}

// pass looks for an item that starts now among the late ones or the others. Those that continue a
// transaction count as never late, since they keep a connection busy.
func (q *Queue) pass(now clock.Time, members []*Member, ahead []time.Duration, late bool) (*Item, *Member) {
	for i, it := range q.items {
		if it.Need != NeedMember && it.late(now) != late {
			continue
		}
		best, wait := q.best(now, it, members, ahead)
		if best < 0 {
			continue
		}
		if wait > 0 {
			ahead[best] += it.Cost / time.Duration(max(1, members[best].Slots))
			continue
		}
		q.items = slices.Delete(q.items, i, i+1)
		q.picks++
		q.compare(it, now)
		return it, members[best]
	}
	return nil, nil
}

// best returns the index of the member that finishes the item first, and how long the item waits
// for a slot there. The index is below zero if no member may run the item.
func (q *Queue) best(now clock.Time, it *Item, members []*Member, ahead []time.Duration) (int, time.Duration) {
	best, bestWait := -1, time.Duration(0)
	bestTime := time.Duration(0)
	for i, m := range members {
		if !mayRun(now, it, m) {
			continue
		}
		wait := q.slotWait(m) + ahead[i]
		if it.Need != NeedMember && m.Lendable <= 0 && wait == 0 {
			// A connection comes free no sooner than a statement does.
			wait = q.Mean()
		}
		took := wait + m.Distance + time.Duration(float64(it.Cost)*max(1, m.Slowness))
		if m.Primary && it.Need == NeedAny {
			took += time.Duration(primaryBias * float64(it.Cost))
		}
		if best < 0 || took < bestTime {
			best, bestWait, bestTime = i, wait, took
		}
	}
	return best, bestWait
}

// slotWait is how long a new statement waits for a slot of the member.
func (q *Queue) slotWait(m *Member) time.Duration {
	free := m.limit(q.Mean()) - m.Running
	if free > 0 {
		return 0
	}
	work := float64(q.Mean()) * max(1, m.Slowness)
	return time.Duration(work * float64(1-free) / float64(max(1, m.Slots)))
}

// Wait estimates how long the item would wait.
func (q *Queue) Wait(now clock.Time, it *Item, members []*Member) time.Duration {
	return q.scale(q.ahead(now, it, members))
}

func (q *Queue) scale(d time.Duration) time.Duration {
	if q.error == 0 {
		return d
	}
	return time.Duration(float64(d) * q.error)
}

// compare learns from how long an item has waited.
func (q *Queue) compare(it *Item, now clock.Time) {
	if it.Need == NeedMember || it.ahead < leastWait {
		return
	}
	ratio := min(max(float64(now.Sub(it.Arrived))/float64(it.ahead), 1/maxError), maxError)
	if q.error == 0 {
		q.error = 1
	}
	q.error += (ratio - q.error) / errorWeight
}

// ahead is the work ahead of the item that needs the same members, shared by their slots.
func (q *Queue) ahead(now clock.Time, it *Item, members []*Member) time.Duration {
	slots, running := 0, 0
	for _, m := range members {
		if mayRun(now, it, m) {
			slots += max(1, m.Slots)
			running += m.Running
		}
	}
	if slots == 0 {
		return 0
	}
	work := time.Duration(0)
	for _, o := range q.items {
		if order(o, it) > 0 {
			break
		}
		if o.Need == it.Need || it.Need == NeedAny {
			work += o.Cost
		}
	}
	if running > slots {
		work += q.Mean() * time.Duration(running-slots)
	}
	return work / time.Duration(slots)
}

func (q *Queue) learn(cost time.Duration) {
	mean := q.Mean()
	q.mean = mean + (cost-mean)/meanWeight
}

// mayRun reports whether the member may run the item at all.
func mayRun(now clock.Time, it *Item, m *Member) bool {
	switch it.Need {
	case NeedMember:
		return m.ID == it.Member
	case NeedPrimary:
		return m.Open && m.Primary && !it.avoids(m.ID)
	default:
		return m.Open && !it.avoids(m.ID) && m.reached(now, it.Floor)
	}
}

// order sorts what continues a transaction first, then by priority and by the end of the objective.
func order(a, b *Item) int {
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
	case a.Due < b.Due:
		return -1
	case a.Due > b.Due:
		return 1
	default:
		return 0
	}
}
