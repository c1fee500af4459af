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
	"egretlane.example/egret/spans"
)

// ownSignature stands for the member's in answers of the proxy itself.
const ownSignature = "-"

const (
	// maxValues and maxPrepared bound what one session keeps.
	maxValues   = 64
	maxPrepared = 256

	// sampleRate writes one in this many successful statements to the log.
	sampleRate = 64
)

// session is one caller's session. One goroutine uses it, but for phase.
type session struct {
	server   *Server
	conn     egret.CallerConn
	database string
	stream   egret.Stream

	// values are ordered by name.
	values   []egret.SessionValue
	prepared map[string]egret.Prepared

	// own is the session's newest commit on the service, in the leadership term ownTerm.
	own     egret.Position
	ownTerm uint64
	service string

	// status is what the caller was told.
	status egret.TxStatus

	// begin is how the open transaction began, if no member knows of it yet.
	begin egret.Verb

	// route is that of the open transaction, also if a newer configuration has another.
	route *egret.Route

	// wrote says that the open transaction may have written.
	wrote bool

	// count counts statements, for samples.
	count int

	// phase says who may end the session. It changes by compare-and-swap, so that a statement that
	// arrives while the session is being ended is either served whole or never sent to a member.
	phase atomic.Int32

	// opened is when the session began.
	opened clock.Time

	// rested is when the session began to rest, as a clock.Time.
	rested atomic.Int64
}

// The phases of a session.
const (
	// phaseBusy: a statement or a transaction is under way. Only the session's goroutine ends it.
	phaseBusy int32 = iota

	// phaseResting: the session waits for its caller outside of a transaction.
	phaseResting

	// phaseEnded: the connection was closed while the session rested.
	phaseEnded
)

// run serves statements until the caller or the proxy ends the session.
func (e *session) run(ctx context.Context) {
	e.status = egret.TxIdle
	for ctx.Err() == nil {
		if e.status == egret.TxIdle {
			e.rested.Store(int64(clock.Now()))
			e.phase.Store(phaseResting)
		}
		q, err := e.conn.Next()
		if err != nil {
			e.gone(err)
			return
		}
		if e.status == egret.TxIdle && !e.phase.CompareAndSwap(phaseResting, phaseBusy) {
			return
		}
		a := e.handle(ctx, &q)
		if err := e.conn.Answer(a); err != nil {
			return
		}
		e.status = a.Status
		if q.Verb == egret.VerbRollback {
			// The caller has its answer; the member hears of it before the next statement.
			e.rollback(ctx)
		}
	}
}

// gone ends a session whose caller can't be read any more.
func (e *session) gone(err error) {
	if errors.Is(err, io.EOF) || e.server.draining.Load() {
		return
	}
	e.server.Trail.Event("session-broken").Str("database", e.database).Err(err).Msg("the session ended")
	// The caller may be gone already.
	_ = e.conn.Refuse(egret.Fault{
		Kind: egret.FaultMalformed,
		Text: err.Error(),
	})
}

// handle returns the answer to a statement.
func (e *session) handle(ctx context.Context, q *egret.Query) egret.Answer {
	if e.status == egret.TxFailed {
		return e.handleFailed(q)
	}
	switch q.Verb {
	case egret.VerbBegin, egret.VerbBeginRead:
		return e.open(q)
	case egret.VerbCommit:
		if e.status != egret.TxOpen {
			return e.fail(egret.FaultMalformed, "no transaction is open")
		}
	case egret.VerbRollback:
		return egret.Answer{
			Signature: ownSignature,
			Status:    egret.TxIdle,
		}
	case egret.VerbSet:
		return e.set(q)
	case egret.VerbPrepare:
		return e.prepare(q)
	case egret.VerbClose:
		delete(e.prepared, q.Name)
		return e.done()
	case egret.VerbExecute:
		if _, found := e.prepared[q.Name]; !found {
			return e.fail(egret.FaultNoStatement, "no prepared statement "+q.Name)
		}
	case egret.VerbInvalid:
		return e.fail(egret.FaultMalformed, q.Argument)
	}
	return e.forward(ctx, q)
}

// handleFailed answers inside a failed transaction, which only its end leaves.
func (e *session) handleFailed(q *egret.Query) egret.Answer {
	switch q.Verb {
	case egret.VerbRollback:
		e.reset()
		return egret.Answer{
			Signature: ownSignature,
			Status:    egret.TxIdle,
		}
	case egret.VerbCommit:
		e.reset()
		return egret.Answer{
			Fault: egret.Fault{
				Kind: egret.FaultAborted,
				Text: "the transaction had failed and was rolled back",
			},
			Status: egret.TxIdle,
		}
	default:
		return e.fail(egret.FaultMalformed, "the transaction has failed and has to be ended")
	}
}

// open notes a transaction. Its member is chosen with its first statement.
func (e *session) open(q *egret.Query) egret.Answer {
	if e.status != egret.TxIdle {
		return e.fail(egret.FaultMalformed, "a transaction is open already")
	}
	r := e.server.route(e.database)
	if r == nil {
		return e.fail(egret.FaultNoDatabase, "no route has database "+e.database)
	}
	e.route = r
	e.begin = q.Verb
	e.wrote = false
	return egret.Answer{
		Signature: ownSignature,
		Status:    egret.TxOpen,
	}
}

func (e *session) set(q *egret.Query) egret.Answer {
	v := egret.SessionValue{
		Name:  q.Name,
		Value: q.Argument,
	}
	i, found := slices.BinarySearchFunc(e.values, v.Name, func(v egret.SessionValue, name string) int {
		return strings.Compare(v.Name, name)
	})
	switch {
	case found:
		// A copy, since streams may still hold the old list.
		e.values = slices.Clone(e.values)
		e.values[i] = v
	case len(e.values) >= maxValues:
		return e.fail(egret.FaultMalformed, "the session has too many values")
	default:
		e.values = slices.Insert(slices.Clone(e.values), i, v)
	}
	return e.done()
}

func (e *session) prepare(q *egret.Query) egret.Answer {
	if _, found := e.prepared[q.Name]; !found && len(e.prepared) >= maxPrepared {
		return e.fail(egret.FaultMalformed, "the session has too many prepared statements")
	}
	e.prepared[q.Name] = egret.Prepared{
		Shape:  q.Argument,
		Writes: q.Writes,
	}
	return e.done()
}

// forward sends a statement to the holder of its service.
func (e *session) forward(ctx context.Context, q *egret.Query) egret.Answer {
	r := e.route
	if e.status == egret.TxIdle {
		if r = e.server.route(e.database); r == nil {
			return e.fail(egret.FaultNoDatabase, "no route has database "+e.database)
		}
	}
	began := clock.Now()
	w := e.work(q, r)
	ctx, span := spans.Start(ctx, "caller", w.Query.ID, w.Service)
	a := e.stream.Do(ctx, w)
	spans.End(span, a.Member, a.Fault.Kind.String())
	e.begin = egret.VerbInvalid
	if a.Fault.Kind == egret.FaultMoved || a.Fault.Kind == egret.FaultLost {
		a.Fault.Kind = egret.FaultBusy
	}
	e.settle(q, &w, &a)
	e.server.count(r, a, began)
	e.log(q, r, &w, &a, clock.Since(began))
	return a
}

// work returns the statement with what the lane needs.
func (e *session) work(q *egret.Query, r *egret.Route) egret.Work {
	if e.service != r.Pool {
		e.service = r.Pool
		e.own, e.ownTerm = egret.Position{}, 0
	}
	w := egret.Work{
		Service:       r.Pool,
		Route:         r.Name,
		Query:         *q,
		Prepared:      e.prepared[q.Name],
		Values:        e.values,
		Begin:         e.begin,
		InTransaction: e.status == egret.TxOpen && e.begin == egret.VerbInvalid,
		Kind:          r.Kind,
		MaxStaleness:  r.MaxAge,
		Own:           e.own,
		OwnTerm:       e.ownTerm,
		Timeout:       r.Budget,
		Target:        r.Target,
		Priority:      r.Priority,
		Idle:          e.idle(),
	}
	if w.Timeout <= 0 {
		w.Timeout = defaultTimeout
	}
	switch q.Verb {
	case egret.VerbWrite:
		w.Writes = true
	case egret.VerbExecute:
		w.Writes = w.Prepared.Writes
	case egret.VerbCommit:
		w.Writes = e.wrote
	}
	return w
}

func (e *session) idle() time.Duration {
	if t := e.server.Tables(); t != nil && t.TransactionIdle > 0 {
		return t.TransactionIdle
	}
	return defaultIdle
}

// settle brings the session's state to what the answer says.
func (e *session) settle(q *egret.Query, w *egret.Work, a *egret.Answer) {
	inside := e.status == egret.TxOpen
	if a.Fault.Kind == egret.FaultNone && w.Writes && (!inside || q.Verb == egret.VerbCommit) {
		e.own, e.ownTerm = a.Position, a.Term
	}
	switch {
	case inside && q.Verb == egret.VerbCommit:
		a.Status = egret.TxIdle
		e.reset()
	case inside && a.Fault.Kind != egret.FaultNone:
		a.Status = egret.TxFailed
	case inside:
		e.wrote = e.wrote || w.Writes
		a.Status = egret.TxOpen
	default:
		a.Status = egret.TxIdle
	}
}

// rollback tells the member that the transaction has ended, if one knows of it.
func (e *session) rollback(ctx context.Context) {
	begun := e.route != nil && e.begin == egret.VerbInvalid
	r := e.route
	e.reset()
	if !begun {
		return
	}
	// Whatever the answer, the caller was told that nothing is kept, and nothing was committed.
	e.stream.Do(ctx, egret.Work{
		Service: r.Pool,
		Route:   r.Name,
		Query: egret.Query{
			Verb: egret.VerbRollback,
		},
		InTransaction: true,
		Timeout:       defaultTimeout,
	})
}

// reset forgets the transaction.
func (e *session) reset() {
	e.route = nil
	e.begin = egret.VerbInvalid
	e.wrote = false
}

// done is the answer to what the proxy does itself.
func (e *session) done() egret.Answer {
	return egret.Answer{
		Signature: ownSignature,
		Status:    e.status,
	}
}

// fail is the answer to what is not sent to a member.
func (e *session) fail(kind egret.FaultKind, text string) egret.Answer {
	return egret.Answer{
		Fault: egret.Fault{
			Kind: kind,
			Text: text,
		},
		Status: e.status,
	}
}

// log writes each failed or late statement and some of the others.
func (e *session) log(q *egret.Query, r *egret.Route, w *egret.Work, a *egret.Answer, elapsed time.Duration) {
	event := "statement-failed"
	if a.Fault.Kind == egret.FaultNone && r.Target > 0 && elapsed > r.Target {
		event = "statement-late"
	} else if a.Fault.Kind == egret.FaultNone {
		e.count++
		if e.count%sampleRate != 1 {
			return
		}
		event = "statement-served"
	}
	e.server.Trail.Event(event).Str("request", q.ID).Str("route", r.Name).Str("kind", r.Kind.String()).Str("service", r.Pool).
		Bool("writes", w.Writes).Bool("transaction", w.InTransaction || w.Begin != egret.VerbInvalid).
		Str("member", a.Member).Str("position", a.Position.String()).Str("fault", a.Fault.Kind.String()).
		Str("cause", a.Fault.Text).Dur("elapsed", elapsed).Dur("timeout", w.Timeout).Msg("answered")
}
