package promo

import (
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// Reachability is a proxy's answer on whether it reaches the primary.
type Reachability int

// The answers of a proxy.
const (
	// ReachabilityUnknown: the proxy gave no answer.
	ReachabilityUnknown Reachability = iota

	// Unreachable: the proxy doesn't reach the primary, or the member that it reaches isn't primary in the known term.
	Unreachable

	// Reachable: the proxy reaches the primary, and the member is primary in the known term.
	Reachable
)

// Cause is why a group needs a promotion.
type Cause string

// The causes of promotions.
const (
	// CauseNone: the group needs no promotion.
	CauseNone Cause = "none"

	// CauseSilent: the primary doesn't answer.
	CauseSilent Cause = "silent"

	// CauseLane: the proxy that holds the primary's lane doesn't reach it, though others do.
	CauseLane Cause = "lane"

	// CauseNoPrimary: the members answer, and none of them is an active primary. Another watcher died during a
	// promotion, or fenced members of a group that has a primary.
	CauseNoPrimary Cause = "orphan"

	// CauseStalled: the replicas answer but receive nothing of the primary's log.
	CauseStalled Cause = "stalled"

	// CauseLeaving: the primary is about to leave.
	CauseLeaving Cause = "leaving"
)

// How long a cause has to hold before the first watcher acts, beyond the time to detect it.
const (
	// refusedDelay is for a primary whose host refuses connections.
	refusedDelay = 200 * time.Millisecond

	// noWitnessDelay is added for a watcher that no other proxy answers, neither the holder of the lane nor a
	// witness. This proxy itself may be cut off. It is not added if the watcher holds the lane and has no witness.
	noWitnessDelay = time.Second

	// laneDelay is for a primary that other proxies reach, but not the holder of its lane.
	laneDelay = 1500 * time.Millisecond

	// isolatedDelay is for a primary that only the holder of its lane reaches, while its replicas
	// receive nothing.
	isolatedDelay = 2 * time.Second

	noPrimaryDelay  = 1500 * time.Millisecond
	neverKnownDelay = 3 * time.Second
	stalledDelay    = 8 * time.Second
	leavingDelay    = 500 * time.Millisecond
)

// stallFactor is how many times the usual interval between receipts a stall has to last.
const stallFactor = 3

// View is what a watcher knows of a group. A zero time says that the condition doesn't hold.
type View struct {
	// Now is the present.
	Now time.Time

	// Rank is the watcher's place among the watchers of the group, from zero.
	Rank int

	// RankDelay is how much longer each watcher waits than the one before it.
	RankDelay time.Duration

	// SilentSince is the start of the first of the heartbeats that were missed in a row.
	SilentSince time.Time

	// Misses counts the heartbeats that were missed in a row.
	Misses int

	// TimedOut says that one of the missed heartbeats timed out, which is sufficient evidence by itself. Without one,
	// all of them failed at once, and the failure has to last for refusedDelay.
	TimedOut bool

	// SelfHoldsLane says that this proxy holds the primary's lane.
	SelfHoldsLane bool

	// Holder is the answer of the proxy that holds the primary's lane, if it is another one.
	Holder Reachability

	// Witnesses are the answers of proxies in other failure domains.
	Witnesses []Reachability

	// LaneUnreachableSince is since when the holder of the lane hasn't reached a primary that answers here.
	LaneUnreachableSince time.Time

	// NoPrimarySince is since when the members have answered without an active primary.
	NoPrimarySince time.Time

	// NeverKnown says that this proxy has never known a primary of the group. The group may be starting.
	NeverKnown bool

	// StalledSince is since when the replicas have received nothing while the primary was ahead.
	StalledSince time.Time

	// UsualInterval is the longest that the replicas recently took between two receipts. Replicas that lag by that much
	// aren't cut off.
	UsualInterval time.Duration

	// LeavingSince is since when the primary has been leaving. The promotion itself checks that another member can take
	// over.
	LeavingSince time.Time
}

// Decide returns the cause for which the watcher has to promote now, or CauseNone.
func Decide(v View) Cause {
	switch {
	case v.primarySilent():
		return CauseSilent
	case v.due(v.NoPrimarySince, v.noPrimaryDelay()):
		return CauseNoPrimary
	case v.due(v.LaneUnreachableSince, laneDelay):
		return CauseLane
	case v.due(v.StalledSince, max(stalledDelay, stallFactor*v.UsualInterval)):
		return CauseStalled
	case v.due(v.LeavingSince, leavingDelay):
		return CauseLeaving
	default:
		return CauseNone
	}
}

func (v *View) noPrimaryDelay() time.Duration {
	if v.NeverKnown {
		return neverKnownDelay
	}
	return noPrimaryDelay
}

// due reports whether a condition has held for the delay, and for RankDelay times the watcher's rank beyond it.
func (v *View) due(since time.Time, delay time.Duration) bool {
	if since.IsZero() {
		return false
	}
	return v.Now.Sub(since) >= delay+time.Duration(v.Rank)*v.RankDelay
}

// primarySilent reports whether the primary counts as failed.
//
// While the holder of its lane reaches it, callers are served and the primary doesn't count as failed, unless the
// replicas receive nothing, so that no write can be confirmed. If the holder doesn't reach it, callers aren't served,
// even if other proxies reach the primary. The delay is longer then, since the lane moves to another proxy without a
// promotion when it is the holder that has failed.
func (v *View) primarySilent() bool {
	if v.Misses == 0 {
		return false
	}
	if v.Holder == Reachable {
		return v.Misses > 1 && v.due(v.StalledSince, isolatedDelay)
	}
	delay := refusedDelay
	if v.TimedOut {
		delay = 0
	}
	answered := v.SelfHoldsLane && len(v.Witnesses) == 0 || v.Holder == Unreachable
	reached := false
	for _, r := range v.Witnesses {
		answered = answered || r != ReachabilityUnknown
		reached = reached || r == Reachable
	}
	switch {
	case reached && !v.SelfHoldsLane && v.Holder != Unreachable:
		return false
	case reached:
		// A single miss may be due to one connection that gives no answer.
		return v.Misses > 1 && v.due(v.SilentSince, laneDelay)
	case !answered:
		delay += noWitnessDelay
	}
	return v.due(v.SilentSince, delay)
}

// reachabilityOf returns what the answer of another proxy says.
func reachabilityOf(state egret.MemberState, err error, term uint64) Reachability {
	switch {
	case errors.Is(err, egret.ErrMemberNotReached):
		return Unreachable
	case err != nil:
		return ReachabilityUnknown
	case state.Role == egret.RolePrimary && state.GrantedTerm == term:
		return Reachable
	default:
		return Unreachable
	}
}
