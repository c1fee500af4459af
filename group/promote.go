package group

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

const (
	// transactionDrainTimeout is how long open transactions on the old primary may take to end in a switchover.
	transactionDrainTimeout = 700 * time.Millisecond

	// catchUpTimeout is how long a replica may take to receive the last commit in a switchover.
	catchUpTimeout = time.Second

	// promotionTimeout bounds the time until a promoted member reports itself primary.
	promotionTimeout = 2 * time.Second

	// pollInterval is the interval between status requests while a promotion takes effect or a replica catches up.
	pollInterval = 40 * time.Millisecond

	// minLeaseRemaining is the least time that the lease must stay valid when the platform is called to promote a
	// member, so that the call can't arrive after that of the next holder.
	minLeaseRemaining = 500 * time.Millisecond

	// switchoverLagTimeout is how long a switchover is delayed until a replica is within maxSwitchoverLagCommits.
	switchoverLagTimeout = 3 * time.Second

	// maxSwitchoverLagCommits is how many commits a replica may be behind the primary when a switchover begins.
	maxSwitchoverLagCommits = 50
)

// switchOver replaces a primary that is leaving. No acknowledged commit is lost if a replica catches up in time: open
// transactions end and the replica receives the last commit before it is promoted.
func (l *Lane) switchOver(ctx context.Context) {
	began := clock.Now()
	for clock.Since(began) < switchoverLagTimeout && ctx.Err() == nil && l.Lease.Valid() && !l.primaryDrained() {
		candidate, found := l.mostAdvanced(l.askMembers(ctx), false)
		if found && l.commitsBehind(candidate) <= maxSwitchoverLagCommits {
			break
		}
		l.sleep(ctx, maintenanceInterval)
	}
	l.mu.Lock()
	old := l.members[l.primary]
	l.hasPrimary = false
	l.EventLog.Event("primary-leaving").Str("service", l.Service).Str("member", l.primary).Dur("elapsed", clock.Since(began)).Msg("replacing the primary: it is draining or no longer registered")
	l.mu.Unlock()
	if old != nil {
		l.awaitTransactions(ctx, old)
	}
	l.awaitCaughtUp(ctx)
	l.replacePrimary(ctx, "the primary is draining or no longer registered")
}

// primaryDrained reports whether the primary gets no new statements any more, as it drains.
func (l *Lane) primaryDrained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.members[l.primary]
	return m != nil && l.drained(clock.Now(), m)
}

// commitsBehind returns how many acknowledged commits the reporting member lacks. If its log ends in an earlier term,
// the result is the offset of the newest commit.
func (l *Lane) commitsBehind(r statusReport) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.history.Newest()
	if r.status.Received.Reaches(newest) {
		return 0
	}
	if r.status.Received.Term != newest.Term {
		return newest.Offset
	}
	return newest.Offset - r.status.Received.Offset
}

// awaitTransactions waits until no statement or transaction uses a connection to the member, at most for
// transactionDrainTimeout.
func (l *Lane) awaitTransactions(ctx context.Context, m *member) {
	began := clock.Now()
	for clock.Since(began) < transactionDrainTimeout {
		l.mu.Lock()
		inUse := len(m.inUse)
		l.mu.Unlock()
		if inUse == 0 {
			return
		}
		l.sleep(ctx, pollInterval/4)
	}
}

// awaitCaughtUp waits until a replica has received every acknowledged commit, at most for catchUpTimeout.
func (l *Lane) awaitCaughtUp(ctx context.Context) {
	began := clock.Now()
	for clock.Since(began) < catchUpTimeout && ctx.Err() == nil {
		candidate, found := l.mostAdvanced(l.askMembers(ctx), false)
		if found && l.commitsBehind(candidate) == 0 {
			return
		}
		l.sleep(ctx, pollInterval)
	}
}

// recordedReplica returns the report of the member that is recorded as the primary, if it is a replica that can be promoted.
func (l *Lane) recordedReplica(reports []statusReport) (statusReport, bool) {
	recorded := l.Lease.Primary()
	if recorded == "" || l.Lease.PrimaryUncertain() {
		return statusReport{}, false
	}
	for _, r := range reports {
		if r.id == recorded && r.err == nil && r.status.Role == egret.RoleReplica {
			return l.mostAdvanced([]statusReport{r}, false)
		}
	}
	return statusReport{}, false
}

// mostAdvanced returns the report of the replica with the newest log end, of those that are reachable, registered and
// draining or not. It returns false if there is none.
func (l *Lane) mostAdvanced(reports []statusReport, draining bool) (statusReport, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	best, found := statusReport{}, false
	for _, r := range reports {
		m := r.member
		if r.err != nil || m.unreachable || r.id == l.primary || m.backend.Draining != draining || m.missingSince != 0 {
			continue
		}
		if !found || r.status.Received.Compare(best.status.Received) > 0 {
			best, found = r, true
		}
	}
	return best, found
}

// replacePrimary promotes the replica with the newest log end. If that fails, it returns without a primary, and
// maintainPrimary tries again.
func (l *Lane) replacePrimary(ctx context.Context, cause string) {
	began := clock.Now()
	l.mu.Lock()
	old, term := l.primary, l.history.Term()
	l.hasPrimary = false
	if m := l.members[old]; m != nil {
		// No statement may be sent to the old primary any more, and none that runs there may be acknowledged.
		l.closeIdle(m)
		for c := range m.inUse {
			c.backend.Close()
		}
	}
	l.mu.Unlock()
	reports := l.askMembers(ctx)
	for _, r := range reports {
		if r.err == nil {
			term = max(term, r.status.Term)
		}
	}
	candidate, found := l.promotionCandidate(reports)
	if !found {
		l.EventLog.Event("promotion-waits").Str("service", l.Service).Str("cause", cause).Int("members", len(reports)).Msg("no replica can be promoted now")
		l.reconsiderPrimary(old)
		return
	}
	if !l.promote(ctx, candidate, cause, old) {
		return
	}
	l.awaitPrimary(ctx, candidate, term, began, old)
}

// promotionCandidate returns the replica to promote, or false if none can be promoted now.
func (l *Lane) promotionCandidate(reports []statusReport) (statusReport, bool) {
	// The platform may still carry out a call for the recorded member. Another one would lead beside it then.
	if recorded, found := l.recordedReplica(reports); found && l.hasCommits(recorded, reports) {
		return recorded, true
	}
	best, found := l.mostAdvanced(reports, false)
	if found && l.hasCommits(best, reports) {
		return best, true
	}
	if l.needsDraining(reports) {
		best, found = l.mostAdvanced(reports, true)
		if found && !l.hasDrained(best.member) && l.hasCommits(best, reports) {
			return best, true
		}
	}
	return statusReport{}, false
}

// needsDraining reports whether a draining replica may be promoted, to lead until another one has caught up with it: it may be
// the only one that has every acknowledged commit.
func (l *Lane) needsDraining(reports []statusReport) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.syncReplicas > 0 && !slices.ContainsFunc(reports, func(r statusReport) bool { return r.err == nil && r.id == l.primary })
}

// reconsiderPrimary lets the old primary be adopted or promoted again, after no replica could be promoted. It does
// nothing if the old primary is unreachable or draining.
func (l *Lane) reconsiderPrimary(old string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.members[old]; m != nil && !m.unreachable && !m.backend.Draining {
		l.primary = ""
	}
}

// promote records the new primary and calls the platform to promote it. It returns false if the call was not made or
// was refused without an effect.
func (l *Lane) promote(ctx context.Context, r statusReport, cause, old string) bool {
	if l.Lease.Primary() != r.id {
		if err := l.Lease.SetPrimary(ctx, r.id); err != nil {
			l.EventLog.Event("promotion-failed").Str("service", l.Service).Str("member", r.id).Str("step", "record").Err(err).Msg("could not record the new primary; no member was promoted")
			return false
		}
	}
	if l.Lease.Remaining() < minLeaseRemaining {
		l.EventLog.Event("promotion-failed").Str("service", l.Service).Str("member", r.id).Str("step", "holding").Dur("left", l.Lease.Remaining()).Msg("the lease is about to expire; no member was promoted")
		l.sleep(ctx, maintenanceInterval)
		return false
	}
	err := l.Promoter.Promote(ctx, l.Service, r.id, l.Lease.HolderName(), l.Lease.FencingToken())
	l.EventLog.Event("promotion-called").Str("service", l.Service).Str("member", r.id).Str("old", old).Str("cause", cause).
		Uint64("token", l.Lease.FencingToken()).Str("received", r.status.Received.String()).Err(err).Msg("called the platform to promote the member")
	if errors.Is(err, egret.ErrRefused) {
		l.sleep(ctx, maintenanceInterval)
		return false
	}
	// After any other error, the call may have succeeded: the status of the member shows whether it was promoted.
	return true
}

// awaitPrimary waits until the promoted member reports itself primary of a newer term, and adopts it.
func (l *Lane) awaitPrimary(ctx context.Context, candidate statusReport, term uint64, began clock.Time, old string) {
	called := clock.Now()
	for clock.Since(called) < promotionTimeout && ctx.Err() == nil && l.Lease.Valid() {
		r := l.askMember(ctx, candidate.member)
		if r.err == nil && r.status.Role == egret.RolePrimary && r.status.Term > term {
			l.mu.Lock()
			if old != "" && old != r.id && l.members[old] != nil {
				l.superseded[old] = r.status.Term
			}
			for _, m := range l.members {
				m.view.Position = egret.Position{}
				m.view.LaggingUntil = clock.Now().Add(initialLag)
			}
			l.mu.Unlock()
			l.adoptPrimary(r, began, "promoted")
			if l.Metrics != nil {
				l.Metrics.ObservePromotion(l.Service, clock.Since(began))
			}
			return
		}
		l.sleep(ctx, pollInterval)
	}
	l.EventLog.Event("promotion-failed").Str("service", l.Service).Str("member", candidate.id).Str("step", "effect").Dur("elapsed", clock.Since(called)).Msg("the promoted member did not become primary in time")
}
