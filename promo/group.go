package promo

import (
	"context"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/place"
)

// Intervals and limits of watching a group.
const (
	// peerQueryDelay is how long a heartbeat runs before other proxies are asked about the primary.
	peerQueryDelay = 400 * time.Millisecond

	// missedHeartbeatInterval is the interval of heartbeats after a missed one.
	missedHeartbeatInterval = 100 * time.Millisecond

	// maxMemberTimeout bounds the timeout of calls to members while the primary is slow.
	maxMemberTimeout = 5 * time.Second

	// timeoutLatencyFactor is the timeout of a call as a multiple of the primary's usual latency.
	timeoutLatencyFactor = 6

	// holderQueryInterval is the interval at which the holder of the lane is asked about a primary that answers here.
	holderQueryInterval = time.Second

	// The delay after an abandoned promotion is twice retryDelayBase after the first in a row, doubles with each
	// further one and is at most retryDelayMax, before jitter.
	retryDelayBase = 200 * time.Millisecond
	retryDelayMax  = 3 * time.Second

	// lanePromotionInterval is the least time between two promotions because the holder of the lane doesn't reach the
	// primary. Such a holder may reach no member at all, and then a promotion doesn't help.
	lanePromotionInterval = 30 * time.Second
)

// groupState is what the watcher remembers of a group. Only the group's goroutine uses it.
type groupState struct {
	name       string
	assignment *assignment

	// term is the term of the primary that the other fields are about.
	term uint64

	silentSince          time.Time
	misses               int
	timedOut             bool
	holder               Reachability
	witnesses            []Reachability
	laneUnreachableSince time.Time
	noPrimarySince       time.Time
	leavingSince         time.Time
	progress             Progress

	// primaryState is the primary's state as the holder of its lane last reported it.
	primaryState egret.MemberState

	// latency is the primary's usual latency: it rises at once and falls slowly.
	latency time.Duration

	// highestTerm is the highest term that a member is known to have granted.
	highestTerm uint64

	// surveyCall and holderCall run in the background, while heartbeats go on.
	surveyCall      asyncCall[[]egret.MemberState]
	holderCall      asyncCall[peerReport]
	nextSurvey      time.Time
	nextHolderQuery time.Time

	// holderQueriedAt is when holderCall was started.
	holderQueriedAt time.Time

	// laneAllowedAt is when a holder of the lane that doesn't reach the primary counts again as a cause, after a
	// promotion because of one.
	laneAllowedAt time.Time

	// failures counts the promotions abandoned in a row, nextAttempt is when the next may begin.
	failures    int
	nextAttempt time.Time
}

// watch checks a group at intervals until the context ends.
func (w *Watcher) watch(ctx context.Context, name string, a *assignment) {
	gs := &groupState{
		name:       name,
		assignment: a,
	}
	for {
		g, ok := findGroup(w.Peers.TablesInForce(), name)
		rank := w.rank(w.Peers.Live(), name)
		if ok && rank >= 0 {
			w.checkGroup(ctx, gs, g, rank)
		}
		if !w.waitNext(ctx, gs, rank) {
			return
		}
	}
}

// waitNext waits until the next heartbeat is due or a failure is suspected. It returns false if the context ended.
func (w *Watcher) waitNext(ctx context.Context, gs *groupState, rank int) bool {
	interval := w.Timing.HeartbeatInterval
	switch {
	case gs.misses > 0:
		interval = missedHeartbeatInterval
	case rank > 0:
		interval *= 2
	}
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-gs.assignment.wake:
		return true
	case <-t.C:
		return true
	}
}

// checkGroup sends a heartbeat and promotes if there is a cause. It reconciles the members if this watcher is the first
// or there is no active primary.
func (w *Watcher) checkGroup(ctx context.Context, gs *groupState, g egret.Group, rank int) {
	current, known := w.Peers.Primary(g.Name)
	if current.Term != gs.term {
		gs.reset(current.Term)
	}
	if known && g.Member(current.Primary) != nil {
		w.sendHeartbeat(ctx, gs, g, current)
		w.queryHolder(ctx, gs, g, current)
	}
	reconciles := rank == 0 || !known || !gs.noPrimarySince.IsZero()
	if reconciles {
		w.reconcile(ctx, gs, g, current, known)
	}
	w.promoteIfNeeded(ctx, gs, g, rank, current)
}

// reset clears what belongs to an earlier term.
func (gs *groupState) reset(term uint64) {
	*gs = groupState{
		name:          gs.name,
		assignment:    gs.assignment,
		term:          term,
		highestTerm:   max(gs.highestTerm, term),
		laneAllowedAt: gs.laneAllowedAt,
		latency:       gs.latency,
	}
}

// promoteIfNeeded starts a promotion if there is a cause and the delay after the last abandoned one is over.
func (w *Watcher) promoteIfNeeded(ctx context.Context, gs *groupState, g egret.Group, rank int, current egret.GroupPrimary) {
	now := time.Now()
	view := gs.view(now, rank, w.Timing.RankDelay)
	holder, _ := place.LaneHolder(w.Peers.Live(), memberOf(g, current.Primary))
	view.SelfHoldsLane = holder.ID == w.Peers.Self().ID
	cause := Decide(view)
	if cause == CauseNone || now.Before(gs.nextAttempt) {
		if gs.misses > 0 && cause == CauseNone {
			w.metrics.suppressed.Inc()
		}
		return
	}
	p := &promotion{
		watcher:       w,
		group:         g,
		rank:          rank,
		cause:         cause,
		previous:      current,
		highestTerm:   max(gs.highestTerm, current.Term),
		timeout:       w.memberTimeout(gs),
		detectionTime: now.Sub(gs.causeSince(cause, now)),
	}
	if p.run(ctx) {
		gs.failures = 0
		if cause == CauseLane {
			gs.laneAllowedAt = time.Now().Add(lanePromotionInterval)
		}
		return
	}
	gs.highestTerm = max(gs.highestTerm, p.highestTerm)
	gs.failures++
	delay := min(retryDelayBase<<min(gs.failures, 6), retryDelayMax)
	gs.nextAttempt = time.Now().Add(w.jitter(delay))
}

func (gs *groupState) view(now time.Time, rank int, rankDelay time.Duration) View {
	return View{
		Now:                  now,
		Rank:                 rank,
		RankDelay:            rankDelay,
		SilentSince:          gs.silentSince,
		Misses:               gs.misses,
		TimedOut:             gs.timedOut,
		Holder:               gs.holder,
		Witnesses:            gs.witnesses,
		LaneUnreachableSince: gs.laneUnreachableSince,
		NoPrimarySince:       gs.noPrimarySince,
		NeverKnown:           gs.term == 0,
		StalledSince:         gs.progress.StalledSince,
		UsualInterval:        gs.progress.UsualInterval,
		LeavingSince:         gs.leavingSince,
	}
}

// causeSince returns when the cause began to hold.
func (gs *groupState) causeSince(c Cause, now time.Time) time.Time {
	switch c {
	case CauseSilent:
		return gs.silentSince
	case CauseLane:
		return gs.laneUnreachableSince
	case CauseNoPrimary:
		return gs.noPrimarySince
	case CauseStalled:
		return gs.progress.StalledSince
	case CauseLeaving:
		return gs.leavingSince
	default:
		return now
	}
}

func memberOf(g egret.Group, name string) egret.Member {
	if m := g.Member(name); m != nil {
		return *m
	}
	return egret.Member{}
}
