package promo

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/place"
)

// statusResult is a member's answer to a call.
type statusResult struct {
	state egret.MemberState
	err   error
}

// peerReports are the answers of the other proxies that were asked about the primary.
type peerReports struct {
	holder    peerReport
	witnesses []Reachability
}

// peerReport is another proxy's answer about the primary. The state is set only if the proxy reaches it.
type peerReport struct {
	reachability Reachability
	state        egret.MemberState
}

// sendHeartbeat sends a heartbeat to the primary. If there is no answer within peerQueryDelay, other proxies are
// asked about the primary while the heartbeat goes on.
func (w *Watcher) sendHeartbeat(ctx context.Context, gs *groupState, g egret.Group, current egret.GroupPrimary) {
	start := time.Now()
	primary := *g.Member(current.Primary)
	ctx, cancel := context.WithTimeout(ctx, w.memberTimeout(gs))
	defer cancel()
	results := make(chan statusResult, 1)
	go func() {
		ctx, cancel := withHiddenDeadline(ctx, w.memberTimeout(gs))
		defer cancel()
		s, err := w.Control.Status(ctx, primary)
		results <- statusResult{
			state: s,
			err:   err,
		}
	}()
	reports := make(chan peerReports, 1)
	queryPeers := func() {
		go func() {
			reports <- w.queryPeers(ctx, g, current)
		}()
	}
	delay := time.NewTimer(peerQueryDelay)
	defer delay.Stop()
	result := statusResult{}
	late := false
	select {
	case result = <-results:
	case <-delay.C:
		late = true
		queryPeers()
		result = <-results
	}
	if isRunning(result.err) {
		w.recordAnswer(gs, g, current, result, time.Since(start))
		return
	}
	if !late {
		queryPeers()
	}
	r := <-reports
	if ctx.Err() == context.Canceled {
		return
	}
	gs.recordMiss(start, ctx.Err() != nil, r)
	w.metrics.misses.Inc()
}

// memberTimeout returns the timeout of a call to a member: a multiple of the primary's usual latency, at least
// Timing.HeartbeatTimeout and at most maxMemberTimeout.
func (w *Watcher) memberTimeout(gs *groupState) time.Duration {
	return min(max(w.Timing.HeartbeatTimeout, timeoutLatencyFactor*gs.latency), maxMemberTimeout)
}

// isRunning reports whether a call with this error, or with none, reached a member that runs. A member that refuses
// with an SQLSTATE of class 57 is starting or shutting down, and doesn't serve.
func isRunning(err error) bool {
	if err == nil {
		return true
	}
	var refusal interface {
		SQLState() string
	}
	if !errors.As(err, &refusal) {
		return false
	}
	return !strings.HasPrefix(refusal.SQLState(), "57")
}

// recordAnswer clears the missed heartbeats and takes in the state that the primary answered with.
func (w *Watcher) recordAnswer(gs *groupState, g egret.Group, current egret.GroupPrimary, result statusResult, latency time.Duration) {
	if gs.misses > 0 {
		w.Log.Info().Str("group", g.Name).Str("member", current.Primary).Msg("primary answers again")
	}
	gs.misses = 0
	gs.timedOut = false
	gs.silentSince = time.Time{}
	gs.witnesses = nil
	gs.holder = ReachabilityUnknown
	gs.latency = max(latency, gs.latency-gs.latency/64)
	if result.err != nil {
		return
	}
	gs.highestTerm = max(gs.highestTerm, result.state.GrantedTerm)
	if result.state.Role == egret.RolePrimary && result.state.GrantedTerm > current.Term {
		w.Peers.AnnouncePrimary(egret.GroupPrimary{
			Group:   g.Name,
			Term:    result.state.GrantedTerm,
			Primary: current.Primary,
		})
	}
	if result.state.Role != egret.RolePrimary || result.state.GrantedTerm != current.Term {
		gs.nextSurvey = time.Time{}
		trackSince(&gs.noPrimarySince, true)
	}
	trackSince(&gs.leavingSince, result.state.Leaving || w.isLeaving(*g.Member(current.Primary)))
}

func (gs *groupState) recordMiss(start time.Time, timedOut bool, r peerReports) {
	if gs.misses == 0 {
		gs.silentSince = start
	}
	gs.misses++
	gs.timedOut = gs.timedOut || timedOut
	gs.holder = r.holder.reachability
	gs.storePrimaryState(r.holder)
	gs.witnesses = r.witnesses
	gs.laneUnreachableSince = time.Time{}
}

// trackSince sets t to the present when a condition begins to hold, and clears it when the condition ends.
func trackSince(t *time.Time, holds bool) {
	switch {
	case !holds:
		*t = time.Time{}
	case t.IsZero():
		*t = time.Now()
	}
}

func (w *Watcher) isLeaving(m egret.Member) bool {
	return m.Leaving || w.Leaving != nil && w.Leaving(m.Name)
}

// queryPeers asks the holder of the primary's lane and the witnesses about the primary, all in parallel.
func (w *Watcher) queryPeers(ctx context.Context, g egret.Group, current egret.GroupPrimary) peerReports {
	live := w.Peers.Live()
	self := w.Peers.Self()
	holder, held := place.LaneHolder(live, memberOf(g, current.Primary))
	others := witnesses(live, self, holder, g.Name)
	r := peerReports{
		witnesses: make([]Reachability, len(others)),
	}
	wg := sync.WaitGroup{}
	if held && holder.ID != self.ID {
		wg.Go(func() {
			r.holder = w.queryPeer(ctx, holder, current)
		})
	}
	for i, n := range others {
		wg.Go(func() {
			r.witnesses[i] = w.queryPeer(ctx, n, current).reachability
		})
	}
	wg.Wait()
	return r
}

// witnesses returns up to two proxies of failure domains other than this proxy's, the holder of the lane excluded.
// Other watchers of the group come first.
func witnesses(live []egret.Node, self, holder egret.Node, group string) []egret.Node {
	found := []egret.Node{}
	added := map[string]bool{}
	add := func(nodes []egret.Node) {
		for _, n := range nodes {
			eligible := n.Domain != self.Domain && n.ID != holder.ID && !added[n.ID]
			if eligible && len(found) < 2 {
				added[n.ID] = true
				found = append(found, n)
			}
		}
	}
	add(place.Watchers(live, group))
	add(live)
	return found
}

func (w *Watcher) queryPeer(ctx context.Context, n egret.Node, current egret.GroupPrimary) peerReport {
	if w.StatusVia == nil {
		return peerReport{}
	}
	state, err := w.StatusVia(ctx, n, current.Group, current.Primary)
	return peerReport{
		reachability: reachabilityOf(state, err, current.Term),
		state:        state,
	}
}

// storePrimaryState keeps the primary's state as the holder of its lane reported it, if the holder reaches it.
func (gs *groupState) storePrimaryState(r peerReport) {
	if r.reachability == Reachable {
		gs.primaryState = r.state
	}
}

// queryHolder asks the holder of the primary's lane about a primary that answers here, since callers reach the primary
// through the holder only. It doesn't wait: the answer is taken in by the first queryHolder after it has arrived.
func (w *Watcher) queryHolder(ctx context.Context, gs *groupState, g egret.Group, current egret.GroupPrimary) {
	now := time.Now()
	if r, ok := gs.holderCall.poll(); ok {
		gs.recordHolderReport(r)
	}
	holder, held := place.LaneHolder(w.Peers.Live(), memberOf(g, current.Primary))
	if !held || holder.ID == w.Peers.Self().ID {
		gs.laneUnreachableSince = time.Time{}
		return
	}
	if gs.misses > 0 || now.Before(gs.nextHolderQuery) || now.Before(gs.laneAllowedAt) {
		return
	}
	gs.nextHolderQuery = now.Add(holderQueryInterval)
	timeout := w.memberTimeout(gs)
	if gs.holderCall.isIdle() {
		gs.holderQueriedAt = now
	}
	gs.holderCall.start(func() peerReport {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return w.queryPeer(ctx, holder, current)
	})
}

func (gs *groupState) recordHolderReport(r peerReport) {
	gs.storePrimaryState(r)
	switch r.reachability {
	case Reachable:
		gs.laneUnreachableSince = time.Time{}
	case Unreachable:
		if gs.laneUnreachableSince.IsZero() {
			gs.laneUnreachableSince = gs.holderQueriedAt
		}
	}
}
