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
	// NeedAny is for reads: any member whose log has reached the item's floor may run them.
	NeedAny Need = iota

	// NeedPrimary is for writes, and for statements that open a transaction that may write.
	NeedPrimary

	// NeedMember is for statements of an open transaction: only the member that it began on may run them.
	NeedMember
)

// Item is a statement that waits for a slot of a member.
type Item struct {
	// The queue reads the fields from Need to flow of all queued items again and again, so that they are next to each other.

	// Need says which members may run the item.
	Need Need

	// Priority is the priority of the item's route; 0 is the highest.
	Priority int

	// Cost is the expected service time of the item on a member.
	Cost time.Duration

	// Due is when the item has to be answered to meet its latency objective.
	Due clock.Time

	// tag is the virtual time at which the item starts if workspaces share by weight. It is zero as long as no item of the
	// queue had a workspace, and for items that continue a transaction.
	tag float64

	// flow and guarantees belong to the item's workspace, and to its route and failure domain. The guarantees may be nil.
	flow       *flow
	guarantees [2]*guarantee

	// Deadline is when the item times out. An answer after it is useless.
	Deadline clock.Time

	// Arrived is when the item arrived.
	Arrived clock.Time

	// MemberID is the ID of the only member that may run the item, for NeedMember.
	MemberID string

	// Floor is the lowest log position that a member must have reached, for NeedAny.
	Floor egret.Position

	// Excluded lists the IDs of members that don't get the item, as they failed or refused it before. It doesn't
	// apply to NeedMember.
	Excluded []string

	// Workspace is the workspace whose share the item counts for and whose connections it uses. It is empty for callers
	// without one.
	Workspace string

	// Weight is the workspace's relative share. Zero stands for 1.
	Weight int

	// Route and Domain name the route of the item and the failure domain of its caller, which keep a share of the starts.
	// An empty name has none.
	Route, Domain string

	// Opens is set if the item opens a transaction, which keeps its connection between statements.
	Opens bool

	// rawWait is the wait that was predicted on arrival, before stream.correction was applied.
	rawWait time.Duration

	// extraCost is the part of the item's service time beyond Cost on the fastest member that may run it.
	extraCost time.Duration

	// Grant delivers the member that runs the item. The owner of the queue sends to it, or closes it if the item is
	// drained; the queue doesn't use it.
	Grant chan *Member
}

// excludes reports whether the item must not go to the member, as it failed or refused the item before.
func (it *Item) excludes(id string) bool {
	for _, excluded := range it.Excluded {
		if excluded == id {
			return true
		}
	}
	return false
}

const (
	// startMarginDivisor sets how long before its objective an item must be predicted to finish to be accepted:
	// 1/startMarginDivisor of the objective. In a lasting overload waits settle at the latest start that is accepted, and
	// what is above the objective then is late.
	startMarginDivisor = 10

	// overrunDivisor sets how far past an objective that leaves no such margin an item may be predicted to finish, or one
	// that nothing is ahead of: 1/overrunDivisor of the time from the objective to the deadline.
	overrunDivisor = 8
)

// latestStart returns the latest predicted start with which the item is accepted. A deadline before the objective takes
// its place.
func (it *Item) latestStart() clock.Time {
	due := min(it.Due, it.Deadline)
	objective := due.Sub(it.Arrived)
	margin := objective/startMarginDivisor + it.Cost + roundTripAllowance
	if margin > objective/2 {
		return it.latestOverrun()
	}
	return due.Add(-margin)
}

// latestOverrun returns the latest start of an item that is better served somewhat late than refused.
func (it *Item) latestOverrun() clock.Time {
	if it.Due >= it.Deadline {
		return it.Deadline
	}
	return it.Due.Add(it.Deadline.Sub(it.Due)/overrunDivisor - it.Cost)
}

// roundTripAllowance is added to an item's cost when it is compared with its objective. It stands for the round
// trip to a member in another region.
const roundTripAllowance = 20 * time.Millisecond

// late reports whether the item would miss its latency objective even if it started now.
func (it *Item) late(now clock.Time) bool {
	return now.Add(it.Cost+roundTripAllowance) > it.Due
}

// Member is the state of a backend server that the queue uses. The owner of the queue keeps it up to date.
type Member struct {
	// ID names the member.
	ID string

	// Slots is how many statements the member runs at once, as it announces.
	Slots int

	// Limit is how many statements may run on the member now, besides those that cover the round trip, and Capacity how
	// many it is assumed to run at once, from which waits are predicted. They differ while a limit is tried. Zero stands
	// for Slots in both.
	Limit, Capacity int

	// Probe is how many statements may run on a member that has failed one and answered none since. It is zero for other
	// members.
	Probe int

	// Running is how many statements this process has started on the member and not finished.
	Running int

	// Primary says that the member accepts writes.
	Primary bool

	// Accepting says that the member may get new statements. Otherwise it only runs statements of its open transactions.
	Accepting bool

	// FreeConns is how many more transactions or single statements can get a connection to the member.
	FreeConns int

	// Connection returns how long a statement of the workspace waits for its connection once it has a slot, and false if
	// it can't get one now. The wait is then above zero if the workspace has to wait until connections in use become free. If
	// Connection is nil, FreeConns decides and there is no wait.
	Connection func(workspace string) (time.Duration, bool)

	// FreeTransactions is how many of FreeConns may be used by items that open a transaction.
	FreeTransactions int

	// ConnInterval is the expected time until a connection of the member becomes free, if none is. Zero is unknown.
	ConnInterval time.Duration

	// Position is the newest log position that the member reported.
	Position egret.Position

	// LaggingUntil is the time until which the member is assumed to have reached no floor beyond Position.
	LaggingUntil clock.Time

	// RoundTrip is the round-trip time to the member.
	RoundTrip time.Duration

	// Slowness is the ratio of the member's service time to the expected one. It is at least 1.
	Slowness float64
}

// maxRunning returns how many statements this process may have on the member at once: one for each slot of its limit, and
// up to as many again to cover the round trip, given the mean service time of statements.
func (m *Member) maxRunning(mean time.Duration) int {
	limit := m.Slots
	if m.Limit > 0 {
		limit = min(limit, m.Limit)
	}
	n := max(1, limit)
	if mean > 0 && limit > 0 {
		inTransit := int(float64(limit) * float64(m.RoundTrip) / (float64(mean) * max(1, m.Slowness)))
		n += min(inTransit, limit)
	}
	if m.Probe > 0 {
		n = min(n, m.Probe)
	}
	return n
}

// capacity returns how many statements the member is assumed to run at once. It is at least 1.
func (m *Member) capacity() int {
	if m.Capacity > 0 {
		return max(1, min(m.Slots, m.Capacity))
	}
	return max(1, m.Slots)
}

// hasConn reports whether the item has a connection or may have one of the member.
func (m *Member) hasConn(it *Item) bool {
	switch {
	case it.Need == NeedMember:
		return true
	case it.Opens && m.FreeTransactions <= 0:
		return false
	default:
		return m.FreeConns > 0
	}
}

// awaitsConn reports whether the item has to wait until a connection in use becomes free.
func (m *Member) awaitsConn(it *Item) bool {
	if !m.hasConn(it) {
		return true
	}
	if it.Need == NeedMember || m.Connection == nil {
		return false
	}
	wait, available := m.Connection(it.Workspace)
	return !available && wait > 0
}

// satisfies reports whether the member's log is expected to have reached the floor.
func (m *Member) satisfies(now clock.Time, f egret.Position) bool {
	return m.Primary || m.Position.Reaches(f) || now > m.LaggingUntil
}
