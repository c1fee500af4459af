package sched

import (
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// Need says which members may run an item.
type Need int

// The needs of items.
const (
	// NeedAny is a read: any member whose log has reached the floor.
	NeedAny Need = iota

	// NeedPrimary is a write, or opens a transaction that may write.
	NeedPrimary

	// NeedMember continues a transaction on the member that it began on.
	NeedMember
)

// Item is a statement that waits for a slot.
type Item struct {
	// Need says which members may run the item.
	Need Need

	// Member is the ID of the only member for NeedMember.
	Member string

	// Floor is the position that a member must have reached, for NeedAny.
	Floor egret.Position

	// Avoid lists members that have refused the item for now.
	Avoid []string

	// Priority is the route's; 0 is the highest.
	Priority int

	// Cost is how long a member is expected to work on the item.
	Cost time.Duration

	// Arrived is when the item came.
	Arrived clock.Time

	// Due is when the latency objective ends.
	Due clock.Time

	// Deadline is when the item is worth nothing any more.
	Deadline clock.Time

	// ahead is the wait that the work ahead of the item suggested when it came.
	ahead time.Duration

	// Wake receives the member that runs the item. The queue doesn't use it.
	Wake chan *Member
}

// avoids reports whether the member has refused the item.
func (it *Item) avoids(id string) bool {
	for _, a := range it.Avoid {
		if a == id {
			return true
		}
	}
	return false
}

// latePart is how much of the time between the objective and the deadline an item may be predicted to
// wait, as 1/latePart. Predictions err, and a late answer is worth more than none.
const latePart = 8

// patience is until when the item may be predicted to wait.
func (it *Item) patience() clock.Time {
	if it.Due >= it.Deadline {
		return it.Deadline
	}
	return it.Due.Add(it.Deadline.Sub(it.Due)/latePart - it.Cost)
}

// lateMargin is added to an item's cost when it is compared with its objective: the way to a member in
// another region and back.
const lateMargin = 20 * time.Millisecond

// late reports whether the item can't meet its objective any more.
func (it *Item) late(now clock.Time) bool {
	return now.Add(it.Cost+lateMargin) > it.Due
}

// Member is what the queue knows of a backend server. The owner keeps it up to date.
type Member struct {
	// ID names the member.
	ID string

	// Slots is how many statements the member runs at once.
	Slots int

	// Running is how many statements it has from here.
	Running int

	// Primary says that the member takes writes.
	Primary bool

	// Open says that the member may get new work. A closed one still runs what continues.
	Open bool

	// Lendable is how many more transactions or single statements the connections allow.
	Lendable int

	// Position is the newest position that the member told.
	Position egret.Position

	// Behind is set while the member is taken to lack positions beyond Position.
	Behind clock.Time

	// Distance is the time to the member and back.
	Distance time.Duration

	// Slowness is how many times longer than expected the member works. It is at least 1.
	Slowness float64
}

// limit is how many statements the member may have from here: one for each slot, and those that are
// on their way on a long path.
func (m *Member) limit(mean time.Duration) int {
	if mean <= 0 || m.Slots <= 0 {
		return max(1, m.Slots)
	}
	way := int(float64(m.Slots) * float64(m.Distance) / (float64(mean) * max(1, m.Slowness)))
	return m.Slots + min(way, m.Slots)
}

// reached reports whether the member's log is expected to satisfy the floor.
func (m *Member) reached(now clock.Time, f egret.Position) bool {
	return m.Primary || m.Position.Reaches(f) || now > m.Behind
}
