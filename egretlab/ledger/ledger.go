package ledger

import (
	"fmt"
	"maps"
	"slices"
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

var _ dbsim.Witness = (*Ledger)(nil)
