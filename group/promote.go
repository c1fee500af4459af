package group

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

const (
	// settleTime is how long transactions on a primary that is replaced as planned may take to end.
	settleTime = 700 * time.Millisecond

	// catchUpTime is how long a replica may take to have the last commit, in a planned replacement.
	catchUpTime = time.Second

	// takeEffect bounds the time until a promoted member says that it leads.
	takeEffect = 2 * time.Second

	// promotePoll is how often the promoted member is asked.
	promotePoll = 40 * time.Millisecond

	// leastLeft is what must be left of the holding when the failover call is made, so that the
	// call can't arrive after that of a successor.
	leastLeft = 500 * time.Millisecond

	// maxHandover is how long a leaving primary is kept for a replica to come near its position.
	maxHandover = 3 * time.Second

	// nearEnough is how many commits a replica may be behind when a planned replacement begins.
	nearEnough = 50
)

// hand replaces a primary that leaves, without a loss: its transactions end and a replica catches up
// before the replica is promoted.
func (l *Lane) hand(ctx context.Context) {
	began := clock.Now()
	for clock.Since(began) < maxHandover && ctx.Err() == nil && l.Holding.Valid() {
		candidate, found := l.furthest(l.ask(ctx))
		if found && l.behind(candidate) <= nearEnough {
			break
		}
		l.pause(ctx, leadInterval)
	}
	l.mu.Lock()
	old := l.members[l.primary]
	l.led = false
	l.Trail.Event("primary-leaving").Str("service", l.Service).Str("member", l.primary).Dur("elapsed", clock.Since(began)).Msg("the primary leaves and is replaced")
	l.mu.Unlock()
	if old != nil {
		l.settle(ctx, old)
	}
	l.awaitCopy(ctx)
	l.replace(ctx, "the primary leaves")
}

// behind returns how many commits the reporting member lacks.
func (l *Lane) behind(r report) uint64 {
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

// settle waits until nothing runs on the member and no transaction holds a connection to it.
func (l *Lane) settle(ctx context.Context, m *member) {
	began := clock.Now()
	for clock.Since(began) < settleTime {
		l.mu.Lock()
		used := len(m.started)
		l.mu.Unlock()
		if used == 0 {
			return
		}
		l.pause(ctx, promotePoll/4)
	}
}

// awaitCopy waits until a replica has received every acknowledged commit.
func (l *Lane) awaitCopy(ctx context.Context) {
	began := clock.Now()
	for clock.Since(began) < catchUpTime && ctx.Err() == nil {
		candidate, found := l.furthest(l.ask(ctx))
		if found && l.behind(candidate) == 0 {
			return
		}
		l.pause(ctx, promotePoll)
	}
}

// furthest returns the report of the replica that has received most and stays.
func (l *Lane) furthest(reports []report) (report, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	best, found := report{}, false
	for _, r := range reports {
		m := r.member
		if r.err != nil || m.down || r.id == l.primary || m.backend.Draining || m.missing != 0 {
			continue
		}
		if !found || r.status.Received.Compare(best.status.Received) > 0 {
			best, found = r, true
		}
	}
	return best, found
}

// replace promotes the replica that has received most. It returns without a primary if that fails,
// and lead tries again.
func (l *Lane) replace(ctx context.Context, cause string) {
	began := clock.Now()
	l.mu.Lock()
	old, term := l.primary, l.history.Term()
	l.led = false
	if m := l.members[old]; m != nil {
		// Nothing goes to the old primary any more, and what runs there is not acknowledged.
		l.dropIdle(m)
		for c := range m.started {
			c.backend.Close()
		}
	}
	l.mu.Unlock()
	reports := l.ask(ctx)
	for _, r := range reports {
		if r.err == nil {
			term = max(term, r.status.Term)
		}
	}
	candidate, found := l.candidate(reports)
	if !found {
		l.Trail.Event("promotion-waits").Str("service", l.Service).Str("cause", cause).Int("members", len(reports)).Msg("no replica can be promoted")
		l.retryOld(old)
		return
	}
	if !l.promote(ctx, candidate, cause, old) {
		return
	}
	l.awaitPrimary(ctx, candidate, term, began, old)
}

// candidate returns the replica to promote. If commits wait for replicas, it must have them all.
func (l *Lane) candidate(reports []report) (report, bool) {
	best, found := l.furthest(reports)
	if !found {
		return best, false
	}
	l.mu.Lock()
	sync := l.syncReplicas > 0
	heard := 0
	for _, r := range reports {
		if r.err == nil && r.id != l.primary {
			heard++
		}
	}
	others := len(l.members) - 1
	l.mu.Unlock()
	if sync && l.behind(best) > 0 && heard < others {
		return best, false
	}
	return best, true
}

// retryOld lets lead look for the old primary again, if nobody else can lead.
func (l *Lane) retryOld(old string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.members[old]; m != nil && !m.down && !m.backend.Draining {
		l.primary = ""
	}
}

// promote records the new primary and makes the failover call.
func (l *Lane) promote(ctx context.Context, r report, cause, old string) bool {
	if l.Holding.Primary() != r.id {
		if err := l.Holding.SetPrimary(ctx, r.id); err != nil {
			l.Trail.Event("promotion-failed").Str("service", l.Service).Str("member", r.id).Str("step", "record").Err(err).Msg("the new primary could not be recorded")
			return false
		}
	}
	if l.Holding.Left() < leastLeft {
		l.Trail.Event("promotion-failed").Str("service", l.Service).Str("member", r.id).Str("step", "holding").Dur("left", l.Holding.Left()).Msg("too little is left of the holding")
		l.pause(ctx, leadInterval)
		return false
	}
	err := l.Promoter.Promote(ctx, l.Service, r.id, l.Holding.Holder(), l.Holding.Token())
	l.Trail.Event("promotion-called").Str("service", l.Service).Str("member", r.id).Str("old", old).Str("cause", cause).
		Uint64("token", l.Holding.Token()).Str("received", r.status.Received.String()).Err(err).Msg("a new primary was named")
	if errors.Is(err, egret.ErrNotServed) {
		l.pause(ctx, leadInterval)
		return false
	}
	// An answer that was lost says nothing: the member itself tells whether it leads.
	return true
}

// awaitPrimary waits until the promoted member leads a new term.
func (l *Lane) awaitPrimary(ctx context.Context, candidate report, term uint64, began clock.Time, old string) {
	called := clock.Now()
	for clock.Since(called) < takeEffect && ctx.Err() == nil && l.Holding.Valid() {
		r := l.askMember(ctx, candidate.member)
		if r.err == nil && r.status.Role == egret.RolePrimary && r.status.Term > term {
			l.mu.Lock()
			if old != "" && old != r.id && l.members[old] != nil {
				l.superseded[old] = r.status.Term
			}
			for _, m := range l.members {
				m.view.Position = egret.Position{}
				m.view.Behind = clock.Now().Add(firstLag)
			}
			l.mu.Unlock()
			l.adopt(r, began, "promoted")
			if l.Counts != nil {
				l.Counts.Promoted(l.Service, clock.Since(began))
			}
			return
		}
		l.pause(ctx, promotePoll)
	}
	l.Trail.Event("promotion-failed").Str("service", l.Service).Str("member", candidate.id).Str("step", "effect").Dur("elapsed", clock.Since(called)).Msg("the member does not lead yet")
}
