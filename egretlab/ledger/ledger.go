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

// maxViolations bounds how many violations are kept.
const maxViolations = 200

// Ledger checks the guarantees of the proxies. It records the statements and answers of callers, and what members
// execute, commit and roll back.
type Ledger struct {
	// Now returns the current time.
	Now func() time.Time

	mu              sync.Mutex
	startedAt       time.Time
	requests        map[string]*request
	commits         map[string]*commit
	runsBySignature map[string]dbsim.Execution

	// transactionOwners maps a member's transaction to the caller's transaction that it belongs to, pins a caller's
	// transaction to the member's.
	transactionOwners map[memberTransaction]string
	pins              map[string]*transactionPin

	// acked has the acknowledged commits of each service, in order of time.
	acked map[string][]ack

	// allowedServices has the services that any configuration has named for a database.
	allowedServices map[string]map[string]bool

	// tokenHolders has the lease holder that used each fencing token, by service.
	tokenHolders map[string]map[uint64]string

	// keys has the keys that were ever in the configuration. suspended counts the reasons for which no withdrawal is
	// checked.
	keys      map[string]*keyState
	suspended int

	// quotas has the limited workspaces by name.
	quotas map[string]*quotaState

	violations []Violation

	// Counts of statements by outcome.
	served, refused, failed, unanswered int
}

// Violation is a breach of a guarantee.
type Violation struct {
	// Rule names the guarantee, At is the time since the start of the run.
	Rule string        `json:"rule"`
	At   time.Duration `json:"at"`

	// Detail describes the evidence.
	Detail string `json:"what"`
}

// Session is the state of a caller's session that was acknowledged to it. The ledger's mutex guards it.
type Session struct {
	// Database and Kind are those of the session's route. MaxAge bounds the staleness of reads.
	Database string
	Kind     egret.Consistency
	MaxAge   time.Duration

	// Key is the key that the session was opened with, and Public says that its route needs none.
	Key    string
	Public bool

	values   map[string]string
	prepared map[string]string

	// lastCommits is the position of the session's newest acknowledged commit on each service.
	lastCommits map[string]egret.Position
}

// request is a statement that a caller has sent.
type request struct {
	session *Session
	text    string

	// startedAt is when the first byte of the statement was sent, or of its transaction if it has one.
	startedAt time.Time

	// ownCommits are the positions of the session's own commits when the statement was sent, values and prepared the
	// state acknowledged by then. They are copies, as a statement that its caller has given up may still run with
	// them.
	ownCommits map[string]egret.Position
	values     map[string]string
	prepared   map[string]string

	// transaction is the name of the caller's transaction, or empty outside a transaction.
	transaction string

	// ranAt is when a member last reported that it has run the statement, or zero.
	ranAt time.Time

	// answered says that its caller has an answer, and promisedNoEffect that this answer is an error which promises that the
	// statement had no effect.
	answered, promisedNoEffect bool
}

// memberTransaction is a transaction of a member.
type memberTransaction struct {
	service string
	number  uint64
}

// transactionPin is the member's transaction that a caller's transaction runs in, and its first statement.
type transactionPin struct {
	location memberTransaction
	firstID  string
}

// commit is a commit that writes.
type commit struct {
	dbsim.Commit
	rolledBack bool
	acked      bool
}

// ack is the acknowledgement of a commit.
type ack struct {
	at       time.Time
	position egret.Position
	id       string
}

// noEffectCodes are the error codes that promise that a statement had no effect.
var noEffectCodes = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY", "NOAUTH"}

// initMaps creates the maps at the first call. The caller holds mu.
func (l *Ledger) initMaps() {
	if l.requests != nil {
		return
	}
	l.startedAt = l.Now()
	l.requests = map[string]*request{}
	l.commits = map[string]*commit{}
	l.runsBySignature = map[string]dbsim.Execution{}
	l.transactionOwners = map[memberTransaction]string{}
	l.pins = map[string]*transactionPin{}
	l.acked = map[string][]ack{}
	l.allowedServices = map[string]map[string]bool{}
	l.tokenHolders = map[string]map[uint64]string{}
}

// AllowRoute records that a configuration routes a database to a service.
func (l *Ledger) AllowRoute(database, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	if l.allowedServices[database] == nil {
		l.allowedServices[database] = map[string]bool{}
	}
	l.allowedServices[database][service] = true
}

// RecordSent records a statement that is about to be sent. Inside a transaction, startedAt is when the first byte of
// the transaction was sent, and transaction is its name. Otherwise they are zero and empty.
func (l *Ledger) RecordSent(s *Session, id, text string, startedAt time.Time, transaction string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	if startedAt.IsZero() {
		startedAt = l.Now()
	}
	l.requests[id] = &request{
		session:     s,
		text:        text,
		startedAt:   startedAt,
		ownCommits:  maps.Clone(s.lastCommits),
		values:      maps.Clone(s.values),
		prepared:    maps.Clone(s.prepared),
		transaction: transaction,
	}
}

// RecordAnswer records and checks an answer. Fault is the error's code and text, or empty for a success.
func (l *Ledger) RecordAnswer(id string, rows []string, signature, fault string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.requests[id]
	q.answered = true
	if fault != "" {
		code, _, _ := strings.Cut(fault, " ")
		q.promisedNoEffect = slices.Contains(noEffectCodes, code)
		if code == "NOAUTH" {
			l.checkRefusal(q.session, id)
		}
		if q.promisedNoEffect {
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

// RanAt returns when a member last reported that it has run a statement, or zero.
func (l *Ledger) RanAt(id string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[id].ranAt
}

// RecordUnanswered records a statement that got no answer.
func (l *Ledger) RecordUnanswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unanswered++
}

// checkSuccess checks a successful answer that must come from a member, and records the commit that it acknowledges.
// The caller holds mu.
func (l *Ledger) checkSuccess(id string, q *request, rows []string, signature string) {
	run, found := l.runsBySignature[signature]
	if !found || run.ID != id || !slices.Equal(run.Rows, rows) {
		l.addViolation("MIXED", "%s %q got signature %q and rows %q; ran: %+v", id, q.text, signature, rows, run)
	}
	c := l.commits[id]
	if c == nil {
		return
	}
	c.acked = true
	switch {
	case c.Superseded:
		l.addViolation("ONE", "%s was committed at %s of %s, superseded, and acknowledged", id, c.Position, c.Member)
	case !c.rolledBack:
		l.acked[c.Service] = append(l.acked[c.Service], ack{
			at:       l.Now(),
			position: c.Position,
			id:       id,
		})
		if q.session.lastCommits == nil {
			q.session.lastCommits = map[string]egret.Position{}
		}
		q.session.lastCommits[c.Service] = c.Position
	}
}

// CheckPromotionOrder checks that the fencing token of a promotion order isn't lower than earlier ones of the service,
// and not in use by another holder.
func (l *Ledger) CheckPromotionOrder(service, holder string, token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	if l.tokenHolders[service] == nil {
		l.tokenHolders[service] = map[uint64]string{}
	}
	for earlier, by := range l.tokenHolders[service] {
		if earlier > token || (earlier == token && by != holder) {
			l.addViolation("ONE", "%s promotes in %s with token %d after %s with %d", holder, service, token, by, earlier)
		}
	}
	l.tokenHolders[service][token] = holder
}

// RecordViolation records a violation that was found outside of the ledger.
func (l *Ledger) RecordViolation(rule, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	l.addViolation(rule, "%s", detail)
}

// CheckLogs checks the final logs of the services against the answers. It is called once after the run. Synchronous
// has the services whose commits wait for a replica.
func (l *Ledger) CheckLogs(logs map[string][]*dbsim.Entry, synchronous map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	copies := map[string]int{}
	for _, log := range logs {
		for _, e := range log {
			copies[e.ID]++
		}
	}
	for id, n := range copies {
		if n > 1 {
			l.addViolation("TWICE", "%s is in the log %d times", id, n)
		}
		if q := l.requests[id]; q != nil && q.promisedNoEffect {
			l.addViolation("REFUSED", "%s %q is in the log, and its caller was told that nothing is kept", id, q.text)
		}
	}
	for id, c := range l.commits {
		if c.acked && synchronous[c.Service] && copies[id] == 0 {
			l.addViolation("LOST", "%s at %s of %s was acknowledged and isn't in the log", id, c.Position, c.Service)
		}
	}
}

// Violations returns the violations found so far, up to maxViolations.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

// Counts returns how many statements succeeded, and how many got an answer or failed to get one.
func (l *Ledger) Counts() (int, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served, l.served + l.refused + l.failed + l.unanswered
}

// addViolation adds a violation, unless there are maxViolations already. The caller holds mu.
func (l *Ledger) addViolation(rule, format string, args ...any) {
	if len(l.violations) == maxViolations {
		return
	}
	l.violations = append(l.violations, Violation{
		Rule:   rule,
		At:     l.Now().Sub(l.startedAt),
		Detail: fmt.Sprintf(format, args...),
	})
}

var _ dbsim.Observer = (*Ledger)(nil)
