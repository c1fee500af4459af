package ledger

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/dbsim"
)

// Executed checks a statement that a member ran. It implements dbsim.Observer.
func (l *Ledger) Executed(r dbsim.Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	q := l.requests[r.ID]
	if q == nil || stripStatementName(q.text) != stripStatementName(r.Text) {
		l.addViolation("UNASKED", "%s ran %s %q, which no caller sent", r.Member, r.ID, r.Text)
		return
	}
	q.ranAt = l.Now()
	if r.Signature != "" {
		l.runsBySignature[r.Signature] = r
	}
	s := q.session
	if !l.allowedServices[s.Database][r.Service] {
		l.addViolation("ROUTE", "%s of database %s ran at %s", r.ID, s.Database, r.Service)
	}
	if !maps.Equal(q.values, r.Values) {
		l.addViolation("PINNED", "%s ran with the values %v, acknowledged are %v", r.ID, r.Values, q.values)
	}
	l.checkWorkspace(q, r)
	l.recordOperation(q, r)
	l.checkPrepared(q, r)
	if (q.transaction != "") != (r.Transaction != 0) {
		l.addViolation("PINNED", "%s of transaction %q ran in transaction %d of %s", r.ID, q.transaction, r.Transaction, r.Member)
	}
	if q.transaction != "" {
		l.checkTransaction(q, r)
	}
	if r.Reads && r.Fault == "" {
		l.checkFreshness(q, r)
	}
}

// checkPrepared checks that an EXECUTE ran the statement that its session prepared. The caller holds mu.
func (l *Ledger) checkPrepared(q *request, r dbsim.Execution) {
	verb, rest, _ := strings.Cut(q.text, " ")
	if verb != "EXECUTE" {
		return
	}
	name, _, _ := strings.Cut(rest, " ")
	if r.Shape != q.prepared[name] {
		l.addViolation("PINNED", "%s ran the shape %q, prepared is %q", r.ID, r.Shape, q.prepared[name])
	}
}

// checkTransaction checks that a caller's transaction runs in a single transaction of a member, and shares it with no
// other. A first statement without an answer may run again in a new transaction: the caller has seen nothing of the
// old one, which ends with its connection. The caller holds mu.
func (l *Ledger) checkTransaction(q *request, r dbsim.Execution) {
	location := memberTransaction{
		service: r.Service,
		number:  r.Transaction,
	}
	owner, found := l.transactionOwners[location]
	if found && owner != q.transaction {
		l.addViolation("PINNED", "%s of transaction %s ran in that of %s", r.ID, q.transaction, owner)
	}
	l.transactionOwners[location] = q.transaction
	p := l.pins[q.transaction]
	switch {
	case p == nil:
		l.pins[q.transaction] = &transactionPin{
			location: location,
			firstID:  r.ID,
		}
	case p.location == location:
	case p.firstID == r.ID && !q.answered:
		p.location = location
	default:
		l.addViolation("PINNED", "%s of transaction %s ran in %v, others in %v", r.ID, q.transaction, location, p.location)
	}
}

// checkFreshness checks that a read saw the commits that its route guarantees: those acknowledged before its start, or
// more than MaxAge before it, of which it checks the newest 50, and on session routes the session's own. The caller
// holds mu.
func (l *Ledger) checkFreshness(q *request, r dbsim.Execution) {
	s := q.session
	horizon := q.startedAt
	if s.Kind != egret.ConsistencyPrimary {
		horizon = horizon.Add(-s.MaxAge)
	}
	acked := l.acked[r.Service]
	n := sort.Search(len(acked), func(i int) bool {
		return !acked[i].at.Before(horizon)
	})
	for _, a := range acked[max(0, n-50):n] {
		if !r.Holds(a.position) {
			l.addViolation("STALE", "%s on %s ran at %s without %s at %s, acknowledged %s before", r.ID, s.Database, r.Member, a.id, a.position, q.startedAt.Sub(a.at))
			return
		}
	}
	own, found := q.ownCommits[r.Service]
	if s.Kind == egret.ConsistencySession && found && !l.isRolledBack(r.Service, own) && !r.Holds(own) {
		l.addViolation("STALE", "%s on %s ran at %s without the session's own commit at %s", r.ID, s.Database, r.Member, own)
	}
}

// isRolledBack reports whether a promotion has rolled back the commit at a position. The caller holds mu.
func (l *Ledger) isRolledBack(service string, p egret.Position) bool {
	for _, c := range l.commits {
		if c.Service == service && c.Position == p {
			return c.rolledBack
		}
	}
	return false
}

// Committed checks a commit. It implements dbsim.Observer.
func (l *Ledger) Committed(c dbsim.Commit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	if before := l.commits[c.ID]; before != nil && !before.rolledBack {
		l.addViolation("TWICE", "%s was committed at %s of %s and at %s of %s", c.ID, before.Position, before.Member, c.Position, c.Member)
	}
	l.commits[c.ID] = &commit{
		Commit: c,
		// A primary of a later term leads, and its log doesn't have the commit.
		rolledBack: c.Superseded,
	}
}

// Promoted marks the commits that a promotion rolls back. It implements dbsim.Observer.
func (l *Ledger) Promoted(p dbsim.Promotion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	rolledBack := func(q egret.Position) bool {
		return q.Term < p.Term && q.Offset > p.KeptEntries
	}
	for _, c := range l.commits {
		if c.Service == p.Service && rolledBack(c.Position) {
			c.rolledBack = true
		}
	}
	l.acked[p.Service] = slices.DeleteFunc(l.acked[p.Service], func(a ack) bool {
		return rolledBack(a.position)
	})
}

// stripStatementName removes the name of the prepared statement from an EXECUTE, which proxies may change.
func stripStatementName(text string) string {
	rest, found := strings.CutPrefix(text, "EXECUTE ")
	if !found {
		return text
	}
	_, rest, _ = strings.Cut(rest, " ")
	return "EXECUTE " + rest
}
