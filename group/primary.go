package group

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/sched"
)

const (
	// statusTimeout bounds a member's answer to a status request, which waits for a slot on the member.
	statusTimeout = 700 * time.Millisecond

	// primarySearchTimeout is how long the lane waits for a member to report itself primary before it promotes a
	// replica of a service whose primary it has never seen.
	primarySearchTimeout = time.Second

	// maxFailedChecks is how many consecutive checks the primary fails before it is replaced.
	maxFailedChecks = 2

	// demoteTimeout bounds a former primary's answer to its demotion.
	demoteTimeout = 500 * time.Millisecond
)

// statusReport is a member's answer to a status request, or the error of the request.
type statusReport struct {
	member *member
	id     string
	status egret.BackendStatus
	err    error
}

// maintainPrimary finds the primary or replaces it if that is necessary, and demotes former ones. Only Run calls it.
func (l *Lane) maintainPrimary(ctx context.Context) {
	l.demoteSuperseded(ctx)
	l.mu.Lock()
	hasPrimary, primary := l.hasPrimary, l.members[l.primary]
	now := clock.Now()
	leaving, lost := false, false
	if primary != nil {
		leaving = primary.backend.Draining || primary.missingSince != 0 && now.Sub(primary.missingSince) > missingMemberTimeout
		lost = primary.unreachable && primary.failedChecks >= maxFailedChecks
	}
	l.mu.Unlock()
	switch {
	case !hasPrimary:
		l.findPrimary(ctx)
	case primary == nil || lost:
		l.replacePrimary(ctx, "the primary can't be reached")
	case leaving:
		l.switchOver(ctx)
	}
}

// findPrimary adopts the member that reports itself primary, or promotes one if there is none. It runs after this
// process took over the service, after the primary refused a write, and after a replacement of the primary failed.
func (l *Lane) findPrimary(ctx context.Context) {
	began := clock.Now()
	for ctx.Err() == nil && l.Lease.Valid() {
		recorded, uncertain := l.Lease.Primary(), l.Lease.PrimaryUncertain()
		if uncertain {
			recorded = ""
		}
		reports := l.askMembers(ctx)
		found, ok := reportedPrimary(reports, recorded)
		ok = ok && !superseded(reports, found, uncertain) && !l.hasDrained(found.member)
		if ok && found.id != recorded && (uncertain || recorded != "") && !l.recordFound(ctx, reports, found) {
			l.sleep(ctx, maintenanceInterval/2)
			continue
		}
		if ok {
			l.adoptPrimary(found, began, "found")
			return
		}
		if len(reports) > 0 && l.promotionNeeded(reports, recorded, clock.Since(began)) {
			l.replacePrimary(ctx, "no primary was found")
			return
		}
		l.sleep(ctx, maintenanceInterval/2)
	}
}

// reportedPrimary returns the report of the member that leads the latest term, if it is the recorded one, or if none is
// recorded, or if the recorded one leads an earlier term. It returns false if there is none.
func reportedPrimary(reports []statusReport, recorded string) (statusReport, bool) {
	best, found, recordedLeads := statusReport{}, false, recorded == ""
	for _, r := range reports {
		if r.err != nil || r.status.Role != egret.RolePrimary {
			continue
		}
		recordedLeads = recordedLeads || r.id == recorded
		if !found || r.status.Term > best.status.Term {
			best, found = r, true
		}
	}
	return best, found && recordedLeads
}

// superseded reports whether a member may be the primary of a later term than the one that was found: a member knows a
// later term, or doesn't answer although the recorded primary is uncertain.
func superseded(reports []statusReport, found statusReport, uncertain bool) bool {
	for _, r := range reports {
		if r.err != nil && uncertain || r.err == nil && r.status.Term > found.status.Term {
			return true
		}
	}
	return false
}

// hasDrained is drained for callers that don't hold mu.
func (l *Lane) hasDrained(m *member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.drained(clock.Now(), m)
}

// recordFound records the primary that was found although another one may be recorded, and has other members that report
// themselves primary demoted. It reports whether the primary could be recorded.
func (l *Lane) recordFound(ctx context.Context, reports []statusReport, found statusReport) bool {
	if err := l.Lease.SetPrimary(ctx, found.id); err != nil {
		l.EventLog.Event("primary-unrecorded").Str("service", l.Service).Str("member", found.id).Err(err).Msg("could not record the primary that was found")
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		if r.err == nil && r.status.Role == egret.RolePrimary && r.id != found.id {
			l.superseded[r.id] = found.status.Term
		}
	}
	return true
}

// promotionNeeded reports whether a replica has to be promoted because no member is going to report itself primary.
func (l *Lane) promotionNeeded(reports []statusReport, recorded string, waited time.Duration) bool {
	for _, r := range reports {
		if recorded != "" && r.id == recorded {
			// Either the member answers and isn't primary, so its recorded promotion was never carried out; or it
			// is unreachable, which requests during half of the timeout confirm.
			return r.err == nil || waited > primarySearchTimeout/2
		}
	}
	return waited > primarySearchTimeout
}

// askMembers requests the status of all members at once, each on a pooled connection. The reports are sorted by ID.
func (l *Lane) askMembers(ctx context.Context) []statusReport {
	l.mu.Lock()
	members := []*member{}
	for _, m := range l.members {
		members = append(members, m)
	}
	l.mu.Unlock()
	slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.id, b.id) })
	reports := make([]statusReport, len(members))
	wg := sync.WaitGroup{}
	for i, m := range members {
		wg.Go(func() {
			reports[i] = l.askMember(ctx, m)
		})
	}
	wg.Wait()
	return reports
}

// askMember requests the status of one member.
func (l *Lane) askMember(ctx context.Context, m *member) statusReport {
	l.mu.Lock()
	m.conns.Assign(clock.Now(), "")
	r := statusReport{
		member: m,
		id:     m.id,
	}
	l.mu.Unlock()
	c, err := l.getConn(ctx, m, purpose{
		need: sched.NeedMember,
	})
	if err != nil {
		r.err = err
		l.handleConnectError(ctx, m, err)
		return r
	}
	sent := clock.Now()
	r.status, r.err = c.backend.Status(time.Now().Add(statusTimeout))
	if r.err != nil {
		l.discardConn(c)
		refused := &egret.RefusedError{}
		if !errors.As(r.err, &refused) {
			l.mu.Lock()
			m.noteUnanswered(sent)
			l.startCheck(m)
			l.mu.Unlock()
		}
		return r
	}
	l.noteAnswer(m, egret.Position{})
	l.putConn(c)
	return r
}

// adoptPrimary makes the reporting member the primary that statements are sent to. The history of commits starts at
// the end of its log.
func (l *Lane) adoptPrimary(r statusReport, began clock.Time, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history.Reset(r.status.Term, r.status.Received)
	l.primary = r.id
	l.historyComplete = true
	l.hasPrimary = true
	// The member has just answered, so that its last check is out of date.
	r.member.unreachable, r.member.failedChecks = false, 0
	r.member.view.Position = r.status.Received
	delete(l.superseded, r.id)
	l.EventLog.Event("primary-adopted").Str("service", l.Service).Str("member", r.id).Str("how", how).
		Uint64("term", r.status.Term).Str("position", r.status.Received.String()).Uint64("token", l.Lease.FencingToken()).
		Dur("elapsed", clock.Since(began)).Msg("the service has a primary")
	l.dispatch()
}

// invalidatePrimary makes the lane look for the primary again after the current one refused a write as read-only.
func (l *Lane) invalidatePrimary(m *member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasPrimary && l.primary == m.id {
		l.hasPrimary = false
		l.EventLog.Event("primary-refused").Str("service", l.Service).Str("member", m.id).Msg("the primary refused a write as read-only")
		l.wake()
	}
}

// demoteSuperseded demotes the former primaries that are reachable to replicas.
func (l *Lane) demoteSuperseded(ctx context.Context) {
	l.mu.Lock()
	targets := []*member{}
	term := l.history.Term()
	for id := range l.superseded {
		m := l.members[id]
		if m == nil {
			delete(l.superseded, id)
			continue
		}
		if !m.unreachable && l.hasPrimary {
			targets = append(targets, m)
		}
	}
	l.mu.Unlock()
	for _, m := range targets {
		l.demote(ctx, m, term)
	}
}

// demote makes a former primary a replica of the primary of the term, and removes it from superseded on success.
func (l *Lane) demote(ctx context.Context, m *member, term uint64) {
	l.mu.Lock()
	m.conns.Assign(clock.Now(), "")
	id := m.id
	l.mu.Unlock()
	c, err := l.getConn(ctx, m, purpose{
		need: sched.NeedMember,
	})
	if err != nil {
		l.handleConnectError(ctx, m, err)
		return
	}
	answers, err := c.backend.Exchange(time.Now().Add(demoteTimeout), []egret.Command{{
		Kind: egret.CommandDemote,
		Term: term,
	}})
	if err != nil {
		l.discardConn(c)
		return
	}
	l.putConn(c)
	if answers[0].Fault.Kind != egret.FaultNone {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.superseded, id)
	m.view.Position = egret.Position{}
	l.EventLog.Event("member-demoted").Str("service", l.Service).Str("member", id).Uint64("term", term).Msg("the former primary is now a replica")
	l.dispatch()
}

// sleep waits for the duration, or until the context ends or the lane is closed.
func (l *Lane) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-l.done:
	case <-time.After(d):
	}
}
