package soak

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/dbsim"
)

// maxViolations bounds how many are kept.
const maxViolations = 200

// Ledger checks promises. Callers tell it of each statement before they send it and of each answer; it
// witnesses what members do. It needs no network.
type Ledger struct {
	// Now is the clock.
	Now func() time.Time

	mu       sync.Mutex
	began    time.Time
	requests map[string]*request
	commits  map[string]*commit
	runs     map[string]dbsim.Run

	// owners has the caller's transaction of each one of a member, pinned the reverse.
	owners map[place]string
	pinned map[string]*pin

	// acked has the commits that were acknowledged for each service, in order of time.
	acked map[string][]ack

	// allowed has the services that a configuration has named for a database.
	allowed map[string]map[string]bool

	// tokens has the holder that used each promotion token of a service.
	tokens map[string]map[uint64]string

	violations []Violation

	// Counts of statements by what became of them.
	served, refused, failed, unanswered int
}

// Violation is a broken promise.
type Violation struct {
	// Rule names the promise, and At is when it was broken, since the start.
	Rule string        `json:"rule"`
	At   time.Duration `json:"at"`

	// What tells the evidence.
	What string `json:"what"`
}

// Session is a caller's session, as it was acknowledged. It is guarded by the ledger.
type Session struct {
	// Database and Kind are those of its route. MaxAge bounds how old reads may be.
	Database string
	Kind     egret.RouteKind
	MaxAge   time.Duration

	values   map[string]string
	prepared map[string]string

	// last is the position of the session's newest acknowledged commit on each service.
	last map[string]egret.Position
}

// request is a statement that a caller has sent.
type request struct {
	session *Session
	text    string

	// begun is when the first byte of the statement or its transaction was sent.
	begun time.Time

	// before are the session's own commits when it was sent, values and prepared what was
	// acknowledged to it. A statement that its caller has given up may still run with these.
	before   map[string]egret.Position
	values   map[string]string
	prepared map[string]string

	// transaction names the transaction of the caller, or is empty.
	transaction string

	// ran says that a member ran it, answered that its caller has an answer, and promised that this
	// answer promises that nothing is kept.
	ran, answered, promised bool
}

// place is a transaction of a member.
type place struct {
	service string
	number  uint64
}

// pin is where a transaction of a caller runs, and its first statement.
type pin struct {
	at    place
	first string
}

// commit is a commit that writes.
type commit struct {
	dbsim.Commit
	rolledBack bool
	acked      bool
}

// ack is an acknowledged commit.
type ack struct {
	at       time.Time
	position egret.Position
	id       string
}

// promises are the codes that say that nothing is kept.
var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"}

// init prepares the maps. The caller holds mu.
func (l *Ledger) init() {
	if l.requests != nil {
		return
	}
	l.began = l.Now()
	l.requests = map[string]*request{}
	l.commits = map[string]*commit{}
	l.runs = map[string]dbsim.Run{}
	l.owners = map[place]string{}
	l.pinned = map[string]*pin{}
	l.acked = map[string][]ack{}
	l.allowed = map[string]map[string]bool{}
	l.tokens = map[string]map[uint64]string{}
}

// Allow notes that a configuration routes a database to a service.
func (l *Ledger) Allow(database, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	if l.allowed[database] == nil {
		l.allowed[database] = map[string]bool{}
	}
	l.allowed[database][service] = true
}

// Sending notes a statement that is about to be sent. Begun is when its transaction's first byte was
// sent, or zero outside a transaction, which is named.
func (l *Ledger) Sending(s *Session, id, text string, begun time.Time, transaction string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	if begun.IsZero() {
		begun = l.Now()
	}
	l.requests[id] = &request{
		session:     s,
		text:        text,
		begun:       begun,
		before:      maps.Clone(s.last),
		values:      maps.Clone(s.values),
		prepared:    maps.Clone(s.prepared),
		transaction: transaction,
	}
}

// Answered checks an answer. Fault is the error's code and text, or empty for a success.
func (l *Ledger) Answered(id string, rows []string, signature, fault string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	q.answered = true
	if fault != "" {
		word, _, _ := strings.Cut(fault, " ")
		q.promised = slices.Contains(promises, word)
		if q.promised {
			l.refused++
		} else {
			l.failed++
		}
		return
	}
	l.served++
	verb, rest, _ := strings.Cut(q.text, " ")
	s := q.session
	switch verb {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		if s.values == nil {
			s.values = map[string]string{}
		}
		s.values[name] = value
	case "PREPARE":
		f := strings.SplitN(rest, " ", 3)
		if s.prepared == nil {
			s.prepared = map[string]string{}
		}
		s.prepared[f[0]] = f[2]
	case "CLOSE":
		delete(s.prepared, rest)
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		l.checkSuccess(id, q, rows, signature)
	}
}

// HasRun reports whether a member ran a statement.
func (l *Ledger) HasRun(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[id].ran
}

// Unanswered notes a statement that got no answer.
func (l *Ledger) Unanswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered++
}

// checkSuccess checks a success that only a member can give. The caller holds mu.
func (l *Ledger) checkSuccess(id string, q *request, rows []string, signature string) {
	run, found := l.runs[signature]
	if !found || run.ID != id || !slices.Equal(run.Rows, rows) {
		l.violate("MIXED", "%s %q got signature %q and rows %q; ran: %+v", id, q.text, signature, rows, run)
	}
	c := l.commits[id]
	if c == nil {
		return
	}
	c.acked = true
	switch {
	case c.Superseded:
		l.violate("ONE", "%s was committed at %s of %s, superseded, and acknowledged", id, c.Position, c.Member)
	case !c.rolledBack:
		l.acked[c.Service] = append(l.acked[c.Service], ack{
			at:       l.Now(),
			position: c.Position,
			id:       id,
		})
		if q.session.last == nil {
			q.session.last = map[string]egret.Position{}
		}
		q.session.last[c.Service] = c.Position
	}
}

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

// Ordered checks an order to promote a member.
func (l *Ledger) Ordered(service, holder string, token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	if l.tokens[service] == nil {
		l.tokens[service] = map[uint64]string{}
	}
	for used, by := range l.tokens[service] {
		if used > token || (used == token && by != holder) {
			l.violate("ONE", "%s promotes in %s with token %d after %s with %d", holder, service, token, by, used)
		}
	}
	l.tokens[service][token] = holder
}

// Broken notes a broken promise that others have seen.
func (l *Ledger) Broken(rule, what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.violate(rule, "%s", what)
}

// Close checks the logs that are left when all is over. Synchronous names the services whose commits
// wait for a replica.
func (l *Ledger) Close(logs map[string][]*dbsim.Entry, synchronous map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	kept := map[string]int{}
	for _, log := range logs {
		for _, e := range log {
			kept[e.ID]++
		}
	}
	for id, n := range kept {
		if n > 1 {
			l.violate("TWICE", "%s is in the log %d times", id, n)
		}
		if q := l.requests[id]; q != nil && q.promised {
			l.violate("REFUSED", "%s %q is in the log, and its caller was told that nothing is kept", id, q.text)
		}
	}
	for id, c := range l.commits {
		if c.acked && synchronous[c.Service] && kept[id] == 0 {
			l.violate("LOST", "%s at %s of %s was acknowledged and isn't in the log", id, c.Position, c.Service)
		}
	}
}

// Violations returns what was found.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

// Served returns how many statements got a success, and how many were sent.
func (l *Ledger) Served() (int, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served, l.served + l.refused + l.failed + l.unanswered
}

// violate keeps a violation. The caller holds mu.
func (l *Ledger) violate(rule, format string, args ...any) {
	if len(l.violations) == maxViolations {
		return
	}
	l.violations = append(l.violations, Violation{
		Rule: rule,
		At:   l.Now().Sub(l.began),
		What: fmt.Sprintf(format, args...),
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

var _ dbsim.Witness = (*Ledger)(nil)
