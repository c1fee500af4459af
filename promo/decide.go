package promo

import (
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// Sight is what a proxy says of the primary.
type Sight int

// The sights of a proxy.
const (
	// SightNone: the proxy gave no answer.
	SightNone Sight = iota

	// SightUnseen: the proxy doesn't reach the primary.
	SightUnseen

	// SightSeen: the proxy reaches it, as the primary of the known term.
	SightSeen
)

// Cause is why a group needs a promotion.
type Cause string

// The causes of promotions.
const (
	// CauseNone: the group needs none.
	CauseNone Cause = "none"

	// CauseSilent: the primary doesn't answer.
	CauseSilent Cause = "silent"

	// CauseLane: the proxy that holds the primary's lane doesn't reach it, though others do.
	CauseLane Cause = "lane"

	// CauseOrphan: the members answer, and none of them leads. A promoter died on the way, or
	// fenced members of a group that has a primary.
	CauseOrphan Cause = "orphan"

	// CauseStalled: the replicas answer but receive nothing from the primary.
	CauseStalled Cause = "stalled"

	// CauseLeaving: the primary is about to leave.
	CauseLeaving Cause = "leaving"
)

// How long a cause has to hold before the first watcher acts, beyond what noticing it takes.
const (
	// refusedPatience is for a primary whose host refuses connections.
	refusedPatience = 200 * time.Millisecond

	// alonePatience is for a watcher that reaches no witness. It may be the one that is cut off.
	alonePatience = time.Second

	// lanePatience is for a primary that others reach, but not the holder of its lane.
	lanePatience = 1500 * time.Millisecond

	// cutPatience is for a primary that only the holder of its lane reaches, while its replicas
	// receive nothing.
	cutPatience = 2 * time.Second

	orphanPatience  = 1500 * time.Millisecond
	unknownPatience = 3 * time.Second
	stalledPatience = 8 * time.Second
	leavingPatience = 500 * time.Millisecond
)

// stallFactor is how many times the usual delay of replicas a stall has to last.
const stallFactor = 3

// View is what a watcher knows of a group. A time that is zero says that the thing isn't so.
type View struct {
	// Now is the present.
	Now time.Time

	// Rank is the watcher's place among those of the group, from zero.
	Rank int

	// Step is how much longer each further watcher waits.
	Step time.Duration

	// SilentSince is the start of the first of the heartbeats that failed in a row.
	SilentSince time.Time

	// Misses counts them.
	Misses int

	// TimedOut says that one of them ran into the timeout, which is evidence by itself. Others
	// failed at once and have to be repeated.
	TimedOut bool

	// HolderSelf says that this proxy holds the primary's lane.
	HolderSelf bool

	// Holder is the sight of the proxy that holds the primary's lane, if it is another one.
	Holder Sight

	// Witnesses are the sights of proxies of other failure domains.
	Witnesses []Sight

	// LaneSince is since when the holder of the lane doesn't reach a primary that answers here.
	LaneSince time.Time

	// OrphanSince is since when the members have no leader.
	OrphanSince time.Time

	// Unknown says that no primary was ever known here. The group may be starting.
	Unknown bool

	// StalledSince is since when the replicas received nothing of what the primary has.
	StalledSince time.Time

	// UsualStall is the longest that they recently took to receive anything. Replicas that lag by
	// that much aren't cut off.
	UsualStall time.Duration

	// LeavingSince is since when the primary is leaving and another member can follow it.
	LeavingSince time.Time
}

// Decide returns the cause for which the watcher acts now, or CauseNone.
func Decide(v View) Cause {
	switch {
	case v.silent():
		return CauseSilent
	case v.due(v.OrphanSince, v.orphanPatience()):
		return CauseOrphan
	case v.due(v.LaneSince, lanePatience):
		return CauseLane
	case v.due(v.StalledSince, max(stalledPatience, stallFactor*v.UsualStall)):
		return CauseStalled
	case v.due(v.LeavingSince, leavingPatience):
		return CauseLeaving
	default:
		return CauseNone
	}
}

func (v *View) orphanPatience() time.Duration {
	if v.Unknown {
		return unknownPatience
	}
	return orphanPatience
}

// due reports whether something has held for the patience and for this watcher's rank.
func (v *View) due(since time.Time, patience time.Duration) bool {
	if since.IsZero() {
		return false
	}
	return v.Now.Sub(since) >= patience+time.Duration(v.Rank)*v.Step
}

// silent reports whether the primary counts as gone.
//
// A primary that the holder of its lane reaches isn't gone: callers are served, unless the replicas
// receive nothing, so that no write can be confirmed. If the holder
// doesn't reach it, callers aren't, even if other proxies reach the primary; then it takes longer,
// since lanes move by themselves when it is the holder that fails.
func (v *View) silent() bool {
	if v.Misses == 0 {
		return false
	}
	if v.Holder == SightSeen {
		return v.Misses > 1 && v.due(v.StalledSince, cutPatience)
	}
	patience := refusedPatience
	if v.TimedOut {
		patience = 0
	}
	answered := v.HolderSelf && len(v.Witnesses) == 0 || v.Holder == SightUnseen
	seen := false
	for _, s := range v.Witnesses {
		answered = answered || s != SightNone
		seen = seen || s == SightSeen
	}
	switch {
	case seen && !v.HolderSelf && v.Holder != SightUnseen:
		return false
	case seen:
		// One miss may be that of a single connection that went silent.
		return v.Misses > 1 && v.due(v.SilentSince, lanePatience)
	case !answered:
		patience += alonePatience
	}
	return v.due(v.SilentSince, patience)
}

// sightOf reads the answer of a witness.
func sightOf(state egret.MemberState, err error, term uint64) Sight {
	switch {
	case errors.Is(err, egret.ErrUnseen):
		return SightUnseen
	case err != nil:
		return SightNone
	case state.Role == egret.RolePrimary && state.Granted == term:
		return SightSeen
	default:
		return SightUnseen
	}
}
