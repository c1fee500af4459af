package ledger

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/dbsim"
)

// Ran checks a statement at a member. It implements dbsim.Witness.
func (l *Ledger) Ran(r dbsim.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	q := l.requests[r.ID]
	if q == nil || stripName(q.text) != stripName(r.Text) {
		l.violate("UNASKED", "%s ran %s %q, which no caller sent", r.Member, r.ID, r.Text)
		return
	}
	q.ran = true
	if r.Signature != "" {
		l.runs[r.Signature] = r
	}
	s := q.session
	if !l.allowed[s.Database][r.Service] {
		l.violate("ROUTE", "%s of database %s ran at %s", r.ID, s.Database, r.Service)
	}
	if !maps.Equal(q.values, r.Values) {
		l.violate("PINNED", "%s ran with the values %v, acknowledged are %v", r.ID, r.Values, q.values)
	}
	l.checkPrepared(q, r)
	if (q.transaction != "") != (r.Transaction != 0) {
		l.violate("PINNED", "%s of transaction %q ran in transaction %d of %s", r.ID, q.transaction, r.Transaction, r.Member)
	}
	if q.transaction != "" {
		l.checkTransaction(q, r)
	}
	if r.Reads && r.Fault == "" {
		l.checkFresh(q, r)
	}
}

// checkPrepared checks which shape ran. The caller holds mu.
func (l *Ledger) checkPrepared(q *request, r dbsim.Run) {
	verb, rest, _ := strings.Cut(q.text, " ")
	if verb != "EXECUTE" {
		return
	}
	name, _, _ := strings.Cut(rest, " ")
	if r.Shape != q.prepared[name] {
		l.violate("PINNED", "%s ran the shape %q, prepared is %q", r.ID, r.Shape, q.prepared[name])
	}
}

// checkTransaction checks that a transaction of a caller is one of a member. A first statement that got
// no answer may start again in a new one: the caller has seen nothing of the old, which ends with its
// connection. The caller holds mu.
func (l *Ledger) checkTransaction(q *request, r dbsim.Run) {
	at := place{
		service: r.Service,
		number:  r.Transaction,
	}
	owner, found := l.owners[at]
	if found && owner != q.transaction {
		l.violate("PINNED", "%s of transaction %s ran in that of %s", r.ID, q.transaction, owner)
	}
	l.owners[at] = q.transaction
	p := l.pinned[q.transaction]
	switch {
	case p == nil:
		l.pinned[q.transaction] = &pin{
			at:    at,
			first: r.ID,
		}
	case p.at == at:
	case p.first == r.ID && !q.answered:
		p.at = at
	default:
		l.violate("PINNED", "%s of transaction %s ran in %v, others in %v", r.ID, q.transaction, at, p.at)
	}
}

// checkFresh checks that a read saw what it is owed. The caller holds mu.
func (l *Ledger) checkFresh(q *request, r dbsim.Run) {
	s := q.session
	due := q.begun
	if s.Kind != egret.RoutePrimary {
		due = due.Add(-s.MaxAge)
	}
	acked := l.acked[r.Service]
	n := sort.Search(len(acked), func(i int) bool {
		return !acked[i].at.Before(due)
	})
	for _, a := range acked[max(0, n-50):n] {
		if !r.Holds(a.position) {
			l.violate("STALE", "%s on %s ran at %s without %s at %s, acknowledged %s before", r.ID, s.Database, r.Member, a.id, a.position, q.begun.Sub(a.at))
			return
		}
	}
	own, found := q.before[r.Service]
	if s.Kind == egret.RouteSession && found && !l.lost(r.Service, own) && !r.Holds(own) {
		l.violate("STALE", "%s on %s ran at %s without the session's own commit at %s", r.ID, s.Database, r.Member, own)
	}
}

// lost reports whether a promotion has rolled a position back. The caller holds mu.
func (l *Ledger) lost(service string, p egret.Position) bool {
	for _, c := range l.commits {
		if c.Service == service && c.Position == p {
			return c.rolledBack
		}
	}
	return false
}

// Committed checks a commit. It implements dbsim.Witness.
func (l *Ledger) Committed(c dbsim.Commit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	if before := l.commits[c.ID]; before != nil && !before.rolledBack {
		l.violate("TWICE", "%s was committed at %s of %s and at %s of %s", c.ID, before.Position, before.Member, c.Position, c.Member)
	}
	l.commits[c.ID] = &commit{
		Commit: c,
		// The newer primary's log doesn't have it.
		rolledBack: c.Superseded,
	}
}

// Promoted notes what a promotion rolls back. It implements dbsim.Witness.
func (l *Ledger) Promoted(p dbsim.Promotion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	gone := func(q egret.Position) bool {
		return q.Term < p.Term && q.Offset > p.Kept
	}
	for _, c := range l.commits {
		if c.Service == p.Service && gone(c.Position) {
			c.rolledBack = true
		}
	}
	l.acked[p.Service] = slices.DeleteFunc(l.acked[p.Service], func(a ack) bool {
		return gone(a.position)
	})
}

// stripName removes the name of a prepared statement, which proxies may change.
func stripName(text string) string {
	rest, found := strings.CutPrefix(text, "EXECUTE ")
	if !found {
		return text
	}
	_, rest, _ = strings.Cut(rest, " ")
	return "EXECUTE " + rest
}
