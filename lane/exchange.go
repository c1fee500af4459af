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
	// chunkBytes is the size of the chunks in which a reply is delivered.
	chunkBytes = 32 << 10

	// maxHeldBytes is how much of a reply is buffered until a write is confirmed.
	maxHeldBytes = 1 << 20

	// cancelledReplyTimeout is how long a statement may take to answer after a cancel request.
	cancelledReplyTimeout = 250 * time.Millisecond

	// cancelTimeout bounds sending a cancel request.
	cancelTimeout = time.Second
)

// errUnexpectedReply says that a message of the member isn't part of the expected reply.
const errUnexpectedReply = errors.ConstError("unexpected answer")

// exchange is one batch on one connection.
type exchange struct {
	conn     *conn
	options  egret.TransactionOptions
	pipeline pipeline

	// sink receives the reply in chunks. It must not retain them.
	sink func(messages []byte) error

	// firstBatch says that this is the transaction's first batch.
	firstBatch bool

	// out is the part of the reply that wasn't delivered yet.
	out []byte

	// heldFrom is the offset in out from which the reply must wait for a confirmation. It is valid
	// only if wrote is set.
	heldFrom int

	// delivered says that part of the reply was passed to sink.
	delivered bool

	// hadEffect says that a completed command may have had an effect. Commands of read-only
	// transactions have none.
	hadEffect bool

	// wrote says that a completed command may have written.
	wrote bool

	// statementEnded says that a statement has completed or failed since the last ReadyForQuery.
	statementEnded bool

	// status is the transaction status after the last ReadyForQuery.
	status egret.TxStatus

	// state is the member's state after the batch. Its Member is empty if the state wasn't
	// requested.
	state egret.MemberState

	// refusal is the failure that a member's error amounts to if nothing else of the transaction
	// ran, or nil.
	refusal *egret.Failure

	// errorCode is the SQLSTATE of the last error that was forwarded to the caller, or "".
	errorCode string

	// sent says that part of the batch may have reached the member.
	sent bool

	// timedOut says that the context ended before the reply was complete, and that the statement was
	// cancelled.
	timedOut bool

	// dirty says that the connection must not be reused.
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

// run sends the pipeline and processes the reply. It returns an error if the reply is incomplete.
func (e *exchange) run(ctx context.Context) error {
	e.conn.memberConn.SetDeadline(time.Time{})
	stop := context.AfterFunc(ctx, func() {
		e.conn.memberConn.SetDeadline(time.Unix(1, 0))
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
	return errors.Trace(e.conn.memberConn.WaitFlush())
}

func (e *exchange) send() error {
	for _, m := range e.pipeline.messages {
		e.conn.memberConn.Send(m)
	}
	err := e.conn.memberConn.Flush(e.pipeline.size)
	e.sent = err == nil || !pgconn.SafeToRetry(err)
	return errors.Annotate(err, "sending")
}

// receive processes messages until all expected replies are complete.
func (e *exchange) receive() error {
	r := &e.pipeline.replies
	for !r.isEmpty() {
		if front := r.front(); front.kind == replySynthetic {
			r.pop()
			if err := e.forward(front.synthetic); err != nil {
				return err
			}
			continue
		}
		m, err := e.nextMessage()
		if err != nil && e.cancelAfterTimeout(err) {
			continue
		}
		if err != nil {
			return errors.Annotate(err, "receiving")
		}
		if err := e.handleMessage(m); err != nil {
			return err
		}
	}
	return nil
}

// nextMessage receives a message. If none is buffered, the reply timer runs meanwhile, so that the
// lane can detect a lost reply.
func (e *exchange) nextMessage() (pgproto3.BackendMessage, error) {
	if e.conn.memberConn.Buffered() {
		return e.conn.memberConn.Receive()
	}
	e.conn.replyTimer.start()
	defer e.conn.replyTimer.stop()
	return e.conn.memberConn.Receive()
}

// cancelAfterTimeout cancels the statement if the error is the first time-out, and reports whether
// the reply should be awaited for another cancelledReplyTimeout.
func (e *exchange) cancelAfterTimeout(err error) bool {
	var timeout net.Error
	if e.timedOut || !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	e.timedOut = true
	e.dirty = true
	e.conn.memberConn.SetDeadline(time.Now().Add(cancelledReplyTimeout))
	e.conn.cancel()
	return true
}

// handleMessage processes a message of the member.
func (e *exchange) handleMessage(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.NoticeResponse:
		if e.pipeline.replies.front().owner == ownerCaller {
			return e.forward(m)
		}
		return nil
	case *pgproto3.ErrorResponse:
		return e.handleError(m)
	}
	front := e.pipeline.replies.front()
	accepted, ends := front.kind.accepts(m)
	if !accepted {
		return errors.Annotatef(errUnexpectedReply, "%T", m)
	}
	if ends {
		e.pipeline.replies.pop()
	}
	return e.handleReply(front, m)
}

// handleReply processes a message of the reply that was at the front of the queue.
func (e *exchange) handleReply(r reply, m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		return e.handleReady(r, m)
	case *pgproto3.ParseComplete:
		if r.name != "" {
			e.conn.prepared.add(r.name)
		}
	case *pgproto3.EmptyQueryResponse:
		e.statementEnded = true
	case *pgproto3.CommandComplete:
		e.statementEnded = true
		if r.owner == ownerCaller {
			return e.handleCommand(m)
		}
	case *pgproto3.DataRow:
		if r.owner == ownerStatus {
			return e.handleState(m)
		}
	}
	if r.owner != ownerCaller {
		return nil
	}
	return e.forward(m)
}

// handleReady records the transaction status. The reply to a simple query is complete only if one
// of its statements has ended.
func (e *exchange) handleReady(r reply, m *pgproto3.ReadyForQuery) error {
	if r.kind == replyQuery && !e.statementEnded {
		return errors.Annotate(errUnexpectedReply, "query without an end")
	}
	e.statementEnded = false
	e.status = egret.TxStatus(m.TxStatus)
	return nil
}

// handleCommand records the effects of a completed command. From the completion of a write on, the
// reply is held back.
func (e *exchange) handleCommand(m *pgproto3.CommandComplete) error {
	tag := string(m.CommandTag)
	e.hadEffect = e.hadEffect || hasEffect(tag) && !e.options.ReadOnly
	inBlock := e.status != egret.TxIdle || e.pipeline.opensTransaction
	if writesTag(tag, e.options.ReadOnly, inBlock) && !e.wrote {
		e.wrote = true
		e.heldFrom = len(e.out)
	}
	return e.forward(m)
}

func (e *exchange) handleState(m *pgproto3.DataRow) error {
	state, err := member.ParseState(m.Values, time.Now())
	if err != nil {
		return errors.Trace(err)
	}
	e.state = state
	return nil
}

// handleError processes an error according to the owner of the reply that it ends.
func (e *exchange) handleError(m *pgproto3.ErrorResponse) error {
	if isFatal(m) {
		return errors.Errorf("member ended the connection: %s (SQLSTATE %s)", m.Message, m.Code)
	}
	e.statementEnded = true
	front := e.pipeline.replies.front()
	e.pipeline.replies.skipToSync()
	e.dirty = e.dirty || invalidatesPrepared(m)
	if e.refusal == nil && e.firstBatch && !e.hadEffect && !e.delivered {
		e.refusal = memberRefusal(m, e.options.Member, e.options.ReadOnly)
	}
	switch front.owner {
	case ownerCaller, ownerStatement:
		e.errorCode = m.Code
		return e.forward(m)
	case ownerFloor:
		if e.refusal == nil {
			e.refusal = notRun(egret.ReasonFloor, "member %s: %s", e.options.Member, m.Message)
		}
		return nil
	default:
		e.dirty = true
		return nil
	}
}

// forward adds a message to the reply and delivers it if it needs no confirmation and a chunk is
// full.
func (e *exchange) forward(m pgproto3.BackendMessage) error {
	out, err := m.Encode(e.out)
	if err != nil {
		return errors.Trace(err)
	}
	e.out = out
	if e.wrote {
		if len(e.out)-e.heldFrom > maxHeldBytes {
			return errors.Errorf("more than %d bytes wait for a write's confirmation", maxHeldBytes)
		}
		return nil
	}
	if len(e.out) < chunkBytes || e.refusal != nil {
		return nil
	}
	return e.deliver()
}

// deliver passes the buffered reply to the caller in chunks.
func (e *exchange) deliver() error {
	for chunk := range slices.Chunk(e.out, chunkBytes) {
		e.delivered = true
		if err := e.sink(chunk); err != nil {
			return errors.Annotate(err, "answering the caller")
		}
	}
	e.out = e.out[:0]
	e.heldFrom = 0
	return nil
}

// failure returns the failure that a complete reply amounts to, or nil if the reply is for the
// caller. If the caller itself made its transaction read-only on the primary, the refusal of a
// write comes from the database, and the caller gets it as it is.
func (e *exchange) failure() *egret.Failure {
	if e.timedOut && e.errorCode == codeCanceled {
		return e.cancelledFailure()
	}
	if e.refusal == nil || e.hadEffect || e.delivered {
		return nil
	}
	if e.refusal.Reason == egret.ReasonNotPrimary && e.errorCode == egret.CodeReadOnly && e.state.Role == egret.RolePrimary {
		return nil
	}
	return e.refusal
}

// mayStillRun reports whether the member may still run the statement.
func (e *exchange) mayStillRun() bool {
	return e.sent && !e.pipeline.replies.isEmpty()
}

// cancelledFailure returns the failure of a statement that the member cancelled after a time-out.
// The member rolls a cancelled statement back, so that nothing of a write is kept; only what the
// batch committed before it may persist. A read has run in part.
func (e *exchange) cancelledFailure() *egret.Failure {
	if e.hadEffect && e.status == egret.TxIdle {
		return unknown(egret.ReasonOther, "member %s: time ran out behind a completed command", e.options.Member)
	}
	if e.options.ReadOnly {
		return unknown(egret.ReasonOther, "member %s: time ran out, the read was cancelled", e.options.Member)
	}
	return notRun(egret.ReasonOther, "member %s: time ran out, the statement was cancelled", e.options.Member)
}

// incompleteFailure returns the failure of a batch whose reply is incomplete.
func (e *exchange) incompleteFailure(err error) *egret.Failure {
	switch {
	case !e.sent && e.firstBatch:
		return notRun(egret.ReasonMemberUnreachable, "member %s: %v", e.options.Member, err)
	case !e.sent:
		return notRun(egret.ReasonOther, "member %s, transaction rolled back: %v", e.options.Member, err)
	default:
		return unknown(egret.ReasonMemberUnreachable, "member %s: %v", e.options.Member, err)
	}
}
