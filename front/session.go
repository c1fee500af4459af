package front

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/floor"
	"egretlane.example/egret/spans"
)

// proxySignature replaces a member's signature in answers of the proxy itself.
const proxySignature = "-"

const (
	// maxSessionValues and maxPreparedStatements limit the state of one session.
	maxSessionValues      = 64
	maxPreparedStatements = 256

	// freeStateBytes is the part of a session's state that needs no memory of the budget.
	freeStateBytes = 8 << 10

	// detachedBytes is the size from which on the part of a message that is kept is copied, so that the rest isn't kept too.
	detachedBytes = 1 << 10

	// successLogInterval is the sampling interval of the log: one in this many successful statements is logged.
	successLogInterval = 64
)

// session is the session of one caller. All fields except phase, idleSince and outstanding are used by its own
// goroutine only, or don't change.
type session struct {
	server   *Server
	conn     egret.CallerConn
	database string
	stream   egret.Stream

	// credential identifies the caller's workspace. It is checked again for each transaction, at BEGIN and at the first statement, as
	// the key may be withdrawn.
	credential egret.Credential

	// workspace is the name of the workspace of the open transaction or of the last statement outside of transactions, and
	// metered whether that counts towards the workspace's quota.
	workspace string
	metered   bool

	// knownAs is the name of the workspace that the key belonged to when it was last known, or empty. unauthorized is set
	// while the last operation was refused because of the key.
	knownAs      string
	unauthorized bool

	// values are ordered by name.
	values   []egret.SessionValue
	prepared map[string]egret.PreparedStatement

	// stateBytes is the size of values and prepared.
	stateBytes int

	// commits are the session's own commits, which its reads have to see.
	commits floor.SessionCommits

	// service is that of the last statement that was forwarded, or empty.
	service string

	// status is the transaction status that the caller was told last.
	status egret.TxStatus

	// pendingBegin is the verb that began the open transaction if that was not sent to a member yet, else
	// VerbInvalid.
	pendingBegin egret.Verb

	// route is the route of the open transaction. It stays the same if newer tables have another route.
	route *egret.Route

	// wrote is set if the open transaction may have written.
	wrote bool

	// successes counts the successful statements that were not late, to sample them for the log.
	successes int

	// phase says what the session does. The server may set phaseEnding while the session waits for a statement; the
	// session itself ends then, unless it has read a statement meanwhile.
	phase atomic.Int32

	// openedAt is when the session was opened.
	openedAt clock.Time

	// idleSince is the clock.Time at which the session last became idle.
	idleSince atomic.Int64

	// outstanding is the statement that was read last if its answer is not written yet, else nil.
	outstanding atomic.Pointer[outstandingStatement]
}

// outstandingStatement is a statement that has no answer yet.
type outstandingStatement struct {
	id     string
	readAt clock.Time
}

// Phases of a session.
const (
	// phaseBusy: a statement is in progress.
	phaseBusy int32 = iota

	// phaseIdle: the session waits for the caller's next statement, with no transaction open.
	phaseIdle

	// phaseInTransaction: the session waits for the caller's next statement, with a transaction open.
	phaseInTransaction

	// phaseEnding: the server has asked the session to end instead of waiting any longer.
	phaseEnding
)

// endIn makes the session end if it is in the phase, which is one of those that wait for a statement.
func (s *session) endIn(phase int32) {
	if s.phase.CompareAndSwap(phase, phaseEnding) {
		s.conn.Interrupt()
	}
}

// run serves statements until the caller or the proxy ends the session. Statements that are read after the end of the
// context are still answered.
func (s *session) run(ctx context.Context) {
	s.status = egret.TxIdle
	for {
		waiting := phaseInTransaction
		if s.status == egret.TxIdle {
			s.idleSince.Store(int64(clock.Now()))
			waiting = phaseIdle
		}
		s.phase.Store(waiting)
		q, err := s.conn.ReadQuery()
		ending := s.phase.Swap(phaseBusy) == phaseEnding
		switch {
		case errors.Is(err, egret.ErrInterrupted) && !ending:
			// The server asked for the end of an earlier wait.
			continue
		case errors.Is(err, egret.ErrInterrupted):
			s.end()
			return
		case err != nil:
			s.handleReadError(err)
			return
		}
		s.outstanding.Store(&outstandingStatement{
			id:     q.ID,
			readAt: clock.Now(),
		})
		a := s.handle(ctx, &q)
		if err := s.conn.WriteAnswer(a); err != nil {
			s.logUnanswered("the answer could not be written", err)
			return
		}
		s.outstanding.Store(nil)
		s.status = a.Status
		if q.Verb == egret.VerbRollback {
			// The caller has its answer already. The member rolls back before the next statement is read.
			s.rollbackOnMember(ctx)
		}
	}
}

// logUnanswered logs that the connection ends without an answer to the outstanding statement, if there is one.
func (s *session) logUnanswered(cause string, err error) {
	o := s.outstanding.Load()
	if o == nil {
		return
	}
	s.server.EventLog.Event("statement-unanswered").Str("request", o.id).Str("database", s.database).Str("cause", cause).
		Dur("elapsed", clock.Since(o.readAt)).Err(err).Msg("the connection ends without an answer")
}

// end ends the session while no statement is outstanding. The caller of an open transaction is told that nothing of it is
// kept.
func (s *session) end() {
	if s.status == egret.TxIdle {
		return
	}
	s.server.EventLog.Event("transaction-ended").Str("database", s.database).Msg("ended a session with an open transaction: the proxy ends")
	// Ignore the error: the caller may have disconnected already.
	_ = s.conn.Refuse(egret.Fault{
		Kind: egret.FaultAborted,
		Text: "the proxy ends; the transaction is rolled back",
	})
}

// handleReadError ends the session after the next statement could not be read.
func (s *session) handleReadError(err error) {
	if errors.Is(err, io.EOF) {
		return
	}
	kind, cause := readCause(err)
	if cause != causeMalformed {
		s.server.countRefusal(cause, err.Error())
	} else {
		s.server.EventLog.Event("session-broken").Str("database", s.database).Err(err).Msg("session ended by a read error")
	}
	// Ignore the error: the caller may have disconnected already.
	_ = s.conn.Refuse(egret.Fault{
		Kind: kind,
		Text: err.Error(),
	})
}

// handle executes a statement, or answers it without a member, and returns the answer.
func (s *session) handle(ctx context.Context, q *egret.Query) egret.Answer {
	if s.status == egret.TxFailed {
		return s.handleInFailedTransaction(q)
	}
	switch q.Verb {
	case egret.VerbBegin, egret.VerbBeginRead:
		return s.beginTransaction(q)
	case egret.VerbCommit:
		if s.status != egret.TxOpen {
			return s.fault(egret.FaultMalformed, "no transaction is open")
		}
	case egret.VerbRollback:
		return egret.Answer{
			Signature: proxySignature,
			Status:    egret.TxIdle,
		}
	case egret.VerbSet:
		return s.setValue(q)
	case egret.VerbPrepare:
		return s.prepare(q)
	case egret.VerbClose:
		return s.closePrepared(q.Name)
	case egret.VerbExecute:
		if _, found := s.prepared[q.Name]; !found {
			return s.fault(egret.FaultNoStatement, "no prepared statement "+q.Name)
		}
	case egret.VerbInvalid:
		return s.fault(egret.FaultMalformed, q.Argument)
	}
	return s.forward(ctx, q)
}

// handleInFailedTransaction answers a statement inside a failed transaction. Only a rollback or a commit ends
// it.
func (s *session) handleInFailedTransaction(q *egret.Query) egret.Answer {
	switch q.Verb {
	case egret.VerbRollback:
		s.clearTransaction()
		return egret.Answer{
			Signature: proxySignature,
			Status:    egret.TxIdle,
		}
	case egret.VerbCommit:
		s.clearTransaction()
		return egret.Answer{
			Fault: egret.Fault{
				Kind: egret.FaultAborted,
				Text: "the transaction had failed and was rolled back",
			},
			Status: egret.TxIdle,
		}
	default:
		return s.fault(egret.FaultMalformed, "the transaction has failed and has to be ended")
	}
}

// beginTransaction records that a transaction has begun. The member is chosen at the first statement.
func (s *session) beginTransaction(q *egret.Query) egret.Answer {
	if s.status != egret.TxIdle {
		return s.fault(egret.FaultMalformed, "a transaction is open already")
	}
	r := s.server.route(s.database)
	if r == nil {
		return s.fault(egret.FaultNoDatabase, "no route has database "+s.database)
	}
	if !s.authorize(r) {
		return s.fault(egret.FaultUnauthorized, unknownKeyText)
	}
	s.route = r
	s.pendingBegin = q.Verb
	s.wrote = false
	return egret.Answer{
		Signature: proxySignature,
		Status:    egret.TxOpen,
	}
}

func (s *session) setValue(q *egret.Query) egret.Answer {
	v := egret.SessionValue{
		Name:  q.Name,
		Value: q.Argument,
	}
	change := len(v.Name) + len(v.Value)
	i, found := slices.BinarySearchFunc(s.values, v.Name, func(v egret.SessionValue, name string) int {
		return strings.Compare(v.Name, name)
	})
	if found {
		change = len(v.Value) - len(s.values[i].Value)
	}
	if (found || len(s.values) < maxSessionValues) && !s.keepState(change) {
		return s.stateFault()
	}
	if change > detachedBytes {
		// The message is longer than what is kept of it.
		v.Name, v.Value = strings.Clone(v.Name), strings.Clone(v.Value)
	}
	switch {
	case found:
		// Copy the list, since streams may still use the old one.
		s.values = slices.Clone(s.values)
		s.values[i] = v
	case len(s.values) >= maxSessionValues:
		return s.fault(egret.FaultMalformed, "the session has too many values")
	default:
		s.values = slices.Insert(slices.Clone(s.values), i, v)
	}
	s.stateBytes += change
	return s.success()
}

// keepState takes the memory for a change of the session's state by the bytes. It returns false if there is none.
func (s *session) keepState(change int) bool {
	k, ok := s.conn.(stateKeeper)
	if !ok || k.KeepState(max(0, s.stateBytes+change-freeStateBytes)) {
		return true
	}
	s.server.countRefusal(causeState, "no memory for the state of a session")
	return false
}

// stateFault is the answer to a statement whose effect on the session's state needs memory that there isn't.
func (s *session) stateFault() egret.Answer {
	return s.fault(egret.FaultBusy, "the proxy has no memory for the session's values and prepared statements at present")
}

func (s *session) prepare(q *egret.Query) egret.Answer {
	former, found := s.prepared[q.Name]
	if !found && len(s.prepared) >= maxPreparedStatements {
		return s.fault(egret.FaultMalformed, "the session has too many prepared statements")
	}
	name, text := q.Name, q.Argument
	change := len(name) + len(text)
	if found {
		change = len(text) - len(former.Text)
	}
	if !s.keepState(change) {
		return s.stateFault()
	}
	if change > detachedBytes {
		// The message is longer than what is kept of it.
		name, text = strings.Clone(name), strings.Clone(text)
	}
	s.prepared[name] = egret.PreparedStatement{
		Text:   text,
		Writes: q.Writes,
	}
	s.stateBytes += change
	return s.success()
}

// closePrepared removes a prepared statement.
func (s *session) closePrepared(name string) egret.Answer {
	if p, found := s.prepared[name]; found {
		change := -len(name) - len(p.Text)
		// Less memory is never refused.
		s.keepState(change)
		s.stateBytes += change
		delete(s.prepared, name)
	}
	return s.success()
}

// forward sends a statement to the proxy that holds its service.
func (s *session) forward(ctx context.Context, q *egret.Query) egret.Answer {
	r := s.route
	if s.status == egret.TxIdle {
		if r = s.server.route(s.database); r == nil {
			return s.fault(egret.FaultNoDatabase, "no route has database "+s.database)
		}
	}
	if (s.status == egret.TxIdle || s.pendingBegin != egret.VerbInvalid) && !s.authorize(r) {
		// A transaction whose first statement is refused has not begun on any member.
		s.clearTransaction()
		return egret.Answer{
			Fault: egret.Fault{
				Kind: egret.FaultUnauthorized,
				Text: unknownKeyText,
			},
			Status: egret.TxIdle,
		}
	}
	began := clock.Now()
	req := s.newRequest(q, r)
	if remaining, ends := s.server.remaining(); ends {
		req.Timeout = min(req.Timeout, remaining)
	}
	ctx, span := spans.Start(ctx, "caller", req.Query.ID, req.Service)
	a := s.stream.Do(ctx, req)
	spans.End(span, a.Member, a.Fault.Kind.String())
	s.pendingBegin = egret.VerbInvalid
	if a.Fault.Kind == egret.FaultNotHolder || a.Fault.Kind == egret.FaultNoAnswer {
		a.Fault.Kind = egret.FaultBusy
	}
	s.updateState(q, &req, &a)
	s.server.observe(r, a, began)
	s.logStatement(q, r, &req, &a, clock.Since(began))
	return a
}

// authorize sets the workspace for an operation on the route. It returns false if the caller's key belongs to none and the
// route requires one.
func (s *session) authorize(r *egret.Route) bool {
	w, authorized := s.server.authorize(r, s.credential)
	s.workspace, s.metered = "", false
	if w != nil {
		s.workspace, s.metered = w.Name, !r.Public
		s.knownAs = w.Name
	}
	if !authorized {
		s.noteUnauthorized(r)
	}
	s.unauthorized = !authorized
	return authorized
}

// noteUnauthorized counts an operation that is refused because of its key, and logs the first of several.
func (s *session) noteUnauthorized(r *egret.Route) {
	if s.server.Metrics != nil {
		s.server.Metrics.CountRefusedOperation(egret.FaultUnauthorized, s.knownAs)
	}
	if !s.unauthorized {
		s.server.EventLog.Event("key-withdrawn").Str("route", r.Name).Str("workspace", s.knownAs).Msg("refused an operation: the key of the open session was withdrawn")
	}
}

// newRequest returns the statement with the parameters that the holder of its service needs.
func (s *session) newRequest(q *egret.Query, r *egret.Route) egret.StatementRequest {
	last := s.commits.Newest(r.Pool)
	if s.service != r.Pool {
		s.logServiceChange(q, r.Pool, last)
		s.service = r.Pool
	}
	req := egret.StatementRequest{
		Service:        r.Pool,
		Route:          r.Name,
		Workspace:      s.workspace,
		Metered:        s.metered,
		Domain:         s.server.Domain,
		Query:          *q,
		Prepared:       s.prepared[q.Name],
		Values:         s.values,
		Begin:          s.pendingBegin,
		InTransaction:  s.status == egret.TxOpen && s.pendingBegin == egret.VerbInvalid,
		Consistency:    r.Consistency,
		MaxStaleness:   r.MaxAge,
		LastCommit:     last.Position,
		LastCommitTerm: last.Term,
		Timeout:        r.Budget,
		LatencyTarget:  r.LatencyTarget,
		Priority:       r.Priority,
		IdleTimeout:    s.transactionIdleTimeout(),
	}
	if req.Timeout <= 0 {
		req.Timeout = defaultStatementTimeout
	}
	switch q.Verb {
	case egret.VerbWrite:
		req.Writes = true
	case egret.VerbExecute:
		req.Writes = req.Prepared.Writes
	case egret.VerbCommit:
		req.Writes = s.wrote
	}
	return req
}

// logServiceChange logs that the statement runs on another service than the session's statement before. last is the commit
// that reads on the new service have to see.
func (s *session) logServiceChange(q *egret.Query, service string, last floor.SessionCommit) {
	if s.service == "" {
		return
	}
	s.server.EventLog.Event("session-service-changed").Str("request", q.ID).Str("database", s.database).Str("former", s.service).
		Str("service", service).Str("last-commit", last.Position.String()).Uint64("last-commit-term", last.Term).
		Msg("the route of the session leads to another service")
}

func (s *session) transactionIdleTimeout() time.Duration {
	if t := s.server.Tables(); t != nil && t.TransactionIdleTimeout > 0 {
		return t.TransactionIdleTimeout
	}
	return defaultTransactionIdleTimeout
}

// updateState updates the session's state and the answer's status from the result of a statement.
func (s *session) updateState(q *egret.Query, req *egret.StatementRequest, a *egret.Answer) {
	inside := s.status == egret.TxOpen
	if a.Fault.Kind == egret.FaultNone && req.Writes && (!inside || q.Verb == egret.VerbCommit) {
		s.commits.Record(req.Service, floor.SessionCommit{
			Position: a.Position,
			Term:     a.Term,
		})
	}
	switch {
	case inside && q.Verb == egret.VerbCommit:
		a.Status = egret.TxIdle
		s.clearTransaction()
	case inside && a.Fault.Kind != egret.FaultNone:
		a.Status = egret.TxFailed
	case inside:
		s.wrote = s.wrote || req.Writes
		a.Status = egret.TxOpen
	default:
		a.Status = egret.TxIdle
	}
}

// rollbackOnMember rolls back the transaction on its member, if it was begun on one.
func (s *session) rollbackOnMember(ctx context.Context) {
	begun := s.route != nil && s.pendingBegin == egret.VerbInvalid
	r := s.route
	s.clearTransaction()
	if !begun {
		return
	}
	// The answer doesn't matter: the caller was told that the transaction is rolled back, and nothing was committed.
	s.stream.Do(ctx, egret.StatementRequest{
		Service: r.Pool,
		Route:   r.Name,
		Query: egret.Query{
			Verb: egret.VerbRollback,
		},
		InTransaction: true,
		Timeout:       defaultStatementTimeout,
	})
}

// clearTransaction resets the state of the transaction.
func (s *session) clearTransaction() {
	s.route = nil
	s.pendingBegin = egret.VerbInvalid
	s.wrote = false
}

// success returns the answer to a statement that the proxy executed itself.
func (s *session) success() egret.Answer {
	return egret.Answer{
		Signature: proxySignature,
		Status:    s.status,
	}
}

// fault returns the answer to a statement that is refused without being sent to a member.
func (s *session) fault(kind egret.FaultKind, text string) egret.Answer {
	return egret.Answer{
		Fault: egret.Fault{
			Kind: kind,
			Text: text,
		},
		Status: s.status,
	}
}

// logStatement logs each failed or late statement, and a sample of the others.
func (s *session) logStatement(q *egret.Query, r *egret.Route, req *egret.StatementRequest, a *egret.Answer, elapsed time.Duration) {
	event := "statement-failed"
	if a.Fault.Kind == egret.FaultNone && r.LatencyTarget > 0 && elapsed > r.LatencyTarget {
		event = "statement-late"
	} else if a.Fault.Kind == egret.FaultNone {
		s.successes++
		if s.successes%successLogInterval != 1 {
			return
		}
		event = "statement-served"
	}
	s.server.EventLog.Event(event).Str("request", q.ID).Str("route", r.Name).Str("kind", r.Consistency.String()).Str("service", r.Pool).
		Bool("writes", req.Writes).Bool("transaction", req.InTransaction || req.Begin != egret.VerbInvalid).
		Str("member", a.Member).Str("position", a.Position.String()).Str("fault", a.Fault.Kind.String()).
		Str("cause", a.Fault.Text).Dur("elapsed", elapsed).Dur("timeout", req.Timeout).Msg("answered")
}
