package lane

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/member"
)

const (
	// chunkSize is how many bytes of an answer are handed on at once.
	chunkSize = 32 << 10

	// maxHeld is how many bytes of an answer wait for a write's confirmation.
	maxHeld = 1 << 20

	// overdueWait is how long a cancelled statement may take to answer.
	overdueWait = 250 * time.Millisecond

	// cancelWait bounds sending a cancel request.
	cancelWait = time.Second
)

// errUnexpected says that a member's answer didn't come as expected.
const errUnexpected = errors.ConstError("unexpected answer")

// exchange is one batch on one connection.
type exchange struct {
	conn     *conn
	opening  egret.Opening
	pipeline pipeline

	// sink takes the answer. It keeps no part of what it is given.
	sink func(messages []byte) error

	// first says that nothing of the transaction ran before.
	first bool

	// out is what the caller gets next.
	out []byte

	// held is where in out the part starts that waits for a confirmation. It counts only if wrote
	// is set.
	held int

	// sunk says that bytes went to the caller.
	sunk bool

	// effects says that a command was completed that may have had an effect. Nothing in a read-only
	// transaction has one.
	effects bool

	// wrote says that a command was completed that may have written.
	wrote bool

	// ended says that a statement has ended since the last ReadyForQuery.
	ended bool

	// status is the transaction status after the last ReadyForQuery.
	status egret.TxStatus

	// state is the member's state after the batch. Its Member is empty if it wasn't asked.
	state egret.MemberState

	// refused is what a member's error proves if nothing else of the transaction ran, else nil.
	refused *egret.Failure

	// code is the SQLSTATE of the last error that went to the caller, or "".
	code string

	// sent says that a byte may have reached the member.
	sent bool

	// overdue says that time ran out and the statement was cancelled.
	overdue bool

	// dirty says that the connection must not be lent again.
	dirty bool
}

// runTraced is run with a span.
func (e *exchange) runTraced(ctx context.Context) error {
	ctx, span := tracer.Start(ctx, "member.exchange")
	defer span.End()
	err := e.run(ctx)
	if err != nil {
		span.RecordError(err)
	}
	return err
}

// run sends the pipeline and takes in the answer. An error says that the answer isn't whole.
func (e *exchange) run(ctx context.Context) error {
	e.conn.wire.SetDeadline(time.Time{})
	stop := context.AfterFunc(ctx, func() {
		e.conn.wire.SetDeadline(time.Unix(1, 0))
	})
	defer func() {
		if !stop() {
			e.dirty = true
		}
	}()
	if err := e.send(); err != nil {
		return err
	}
	if err := e.receive(); err != nil {
		return err
	}
	return errors.Trace(e.conn.wire.Settle())
}

func (e *exchange) send() error {
	for _, m := range e.pipeline.messages {
		e.conn.wire.Send(m)
	}
	err := e.conn.wire.Flush(e.pipeline.size)
	e.sent = err == nil || !pgconn.SafeToRetry(err)
	return errors.Annotate(err, "sending")
}

// receive takes in messages until no reply is expected any more.
func (e *exchange) receive() error {
	r := &e.pipeline.replies
	for !r.done() {
		if x := r.front(); x.kind == replyMade {
			r.pop()
			if err := e.forward(x.made); err != nil {
				return err
			}
			continue
		}
		m, err := e.next()
		if err != nil && e.mayWait(err) {
			continue
		}
		if err != nil {
			return errors.Annotate(err, "receiving")
		}
		if err := e.take(m); err != nil {
			return err
		}
	}
	return nil
}

// next waits for a message, and lets the lane know that it does.
func (e *exchange) next() (pgproto3.BackendMessage, error) {
	if e.conn.wire.Buffered() {
		return e.conn.wire.Receive()
	}
	e.conn.silence.begin()
	defer e.conn.silence.end()
	return e.conn.wire.Receive()
}

// mayWait reports whether the answer may still come: when time runs out, the statement is cancelled
// and its answer is awaited for a moment.
func (e *exchange) mayWait(err error) bool {
	var timeout net.Error
	if e.overdue || !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	e.overdue = true
	e.dirty = true
	e.conn.wire.SetDeadline(time.Now().Add(overdueWait))
	e.conn.cancel()
	return true
}

// take handles a message of the member.
func (e *exchange) take(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.NoticeResponse:
		if e.pipeline.replies.front().owner == ownerCaller {
			return e.forward(m)
		}
		return nil
	case *pgproto3.ErrorResponse:
		return e.takeError(m)
	}
	x := e.pipeline.replies.front()
	accepted, ends := x.kind.accepts(m)
	if !accepted {
		return errors.Annotatef(errUnexpected, "%T", m)
	}
	if ends {
		e.pipeline.replies.pop()
	}
	return e.takeReply(x, m)
}

// takeReply handles a message of the reply that was at the front.
func (e *exchange) takeReply(x reply, m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		return e.takeReady(x, m)
	case *pgproto3.ParseComplete:
		if x.name != "" {
			e.conn.names.add(x.name)
		}
	case *pgproto3.EmptyQueryResponse:
		e.ended = true
	case *pgproto3.CommandComplete:
		e.ended = true
		if x.owner == ownerCaller {
			return e.takeCommand(m)
		}
	case *pgproto3.DataRow:
		if x.owner == ownerStatus {
			return e.takeState(m)
		}
	}
	if x.owner != ownerCaller {
		return nil
	}
	return e.forward(m)
}

// takeReady notes the transaction's status. A simple query isn't over before a statement of it is.
func (e *exchange) takeReady(x reply, m *pgproto3.ReadyForQuery) error {
	if x.kind == replyQuery && !e.ended {
		return errors.Annotate(errUnexpected, "query without an end")
	}
	e.ended = false
	e.status = egret.TxStatus(m.TxStatus)
	return nil
}

// takeCommand holds back the end of a write and what follows it.
func (e *exchange) takeCommand(m *pgproto3.CommandComplete) error {
	tag := string(m.CommandTag)
	e.effects = e.effects || hasEffect(tag) && !e.opening.ReadOnly
	inBlock := e.status != egret.TxIdle || e.pipeline.opens
	if writesTag(tag, e.opening.ReadOnly, inBlock) && !e.wrote {
		e.wrote = true
		e.held = len(e.out)
	}
	return e.forward(m)
}

func (e *exchange) takeState(m *pgproto3.DataRow) error {
	state, err := member.ParseState(m.Values, time.Now())
	if err != nil {
		return errors.Trace(err)
	}
	e.state = state
	return nil
}

// takeError sorts an error by whose message it answers.
func (e *exchange) takeError(m *pgproto3.ErrorResponse) error {
	if isFatal(m) {
		return errors.Errorf("member ended the connection: %s (SQLSTATE %s)", m.Message, m.Code)
	}
	e.ended = true
	x := e.pipeline.replies.front()
	e.pipeline.replies.skip()
	e.dirty = e.dirty || breaksNames(m)
	if e.refused == nil && e.first && !e.effects && !e.sunk {
		e.refused = refusal(m, e.opening.Member, e.opening.ReadOnly)
	}
	switch x.owner {
	case ownerCaller, ownerStatement:
		e.code = m.Code
		return e.forward(m)
	case ownerFloor:
		if e.refused == nil {
			e.refused = notRun(egret.ReasonFloor, "member %s: %s", e.opening.Member, m.Message)
		}
		return nil
	default:
		e.dirty = true
		return nil
	}
}

// forward adds a message to the answer and hands on what needs no confirmation.
func (e *exchange) forward(m pgproto3.BackendMessage) error {
	out, err := m.Encode(e.out)
	if err != nil {
		return errors.Trace(err)
	}
	e.out = out
	if e.wrote {
		if len(e.out)-e.held > maxHeld {
			return errors.Errorf("more than %d bytes wait for a write's confirmation", maxHeld)
		}
		return nil
	}
	if len(e.out) < chunkSize || e.refused != nil {
		return nil
	}
	return e.deliver()
}

// deliver hands the answer so far to the caller.
func (e *exchange) deliver() error {
	for chunk := range slices.Chunk(e.out, chunkSize) {
		e.sunk = true
		if err := e.sink(chunk); err != nil {
			return errors.Annotate(err, "answering the caller")
		}
	}
	e.out = e.out[:0]
	e.held = 0
	return nil
}

// verdict returns the failure that a whole answer stands for, or nil if it is for the caller. The
// caller's own read-only transaction on the primary is refused by the database, and the answer says
// so.
func (e *exchange) verdict() *egret.Failure {
	if e.overdue && e.code == codeCanceled {
		return e.canceled()
	}
	if e.refused == nil || e.effects || e.sunk {
		return nil
	}
	if e.refused.Reason == egret.ReasonNotPrimary && e.code == codeReadOnly && e.state.Role == egret.RolePrimary {
		return nil
	}
	return e.refused
}

// runsOn reports whether the statement may still run on the member.
func (e *exchange) runsOn() bool {
	return e.sent && !e.pipeline.replies.done()
}

// canceled is the outcome of a statement that the member cancelled when time ran out. The member
// rolls a cancelled statement back; only what was committed ahead of it in the batch may stand.
func (e *exchange) canceled() *egret.Failure {
	if e.effects && e.status == egret.TxIdle {
		return unknown(egret.ReasonOther, "member %s: time ran out behind a completed command", e.opening.Member)
	}
	return notRun(egret.ReasonOther, "member %s: time ran out, the statement was cancelled", e.opening.Member)
}

// broken is the outcome of a batch without a whole answer.
func (e *exchange) broken(err error) *egret.Failure {
	switch {
	case !e.sent && e.first:
		return notRun(egret.ReasonMember, "member %s: %v", e.opening.Member, err)
	case !e.sent:
		return notRun(egret.ReasonOther, "member %s, transaction rolled back: %v", e.opening.Member, err)
	case e.opening.ReadOnly && e.first && !e.sunk && !e.wrote:
		return notRun(egret.ReasonMember, "member %s: %v", e.opening.Member, err)
	default:
		return unknown(egret.ReasonMember, "member %s: %v", e.opening.Member, err)
	}
}
