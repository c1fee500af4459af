package entry

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/caller"
	"egretlane.example/egret/route"
)

// Names of parameters that the caller receives (ParameterStatus) at the end of its requests.
const (
	memberParameter   = "egretlane.member"
	positionParameter = "egretlane.position"
)

// codeShutdown is SQLSTATE admin_shutdown.
const codeShutdown = "57P01"

// session is a caller's session. One goroutine uses it; only cancel may be called from others.
type session struct {
	handler *Handler
	conn    *caller.Conn

	// floor has, per group, the log position that the session has written or read up to. Its reads must see that.
	floor egret.Floor

	// raisedAt has the time at which the floor of a group was last raised. A group without an entry has no floor,
	// or one that comes from the caller's token.
	raisedAt map[string]time.Time

	// floorLookedUp has the groups whose confirmed position was looked up in this session.
	floorLookedUp map[string]struct{}

	// readOnly reports whether the session's transactions are read-only by default, also those of statements outside
	// of BEGIN.
	readOnly bool

	// openTx is the open transaction. Its tx is nil if there is none.
	openTx openTransaction

	// txLost reports whether the caller's transaction was rolled back and the caller has yet to end it.
	txLost bool

	// sentParameters has the parameter values that the caller received last.
	sentParameters sentParameters

	// mu guards the fields below.
	mu sync.Mutex

	// runningTx is the transaction that runs the request. It is nil between requests and before an attempt has one.
	runningTx egret.Transaction

	// canceled reports whether a cancel request came while a request was running or waiting.
	canceled bool

	// cancelWaits ends the context of the current request. It is nil between requests.
	cancelWaits context.CancelFunc
}

// openTransaction is a transaction that stays open after its first batch.
type openTransaction struct {
	// tx is the transaction on the lane.
	tx egret.Transaction

	// group is the group's name.
	group string

	// member is the member's name.
	member string

	// route is the route of the batch that opened the transaction.
	route *egret.Route

	// readOnly reports whether the transaction is read-only.
	readOnly bool

	// role is the role of the member, as a label of metrics.
	role string
}

// sentParameters has the values of parameters that the caller received last.
type sentParameters struct {
	token, member, position string
}

// run serves batches until the caller leaves, the connection fails or the proxy shuts down.
func (s *session) run(ctx context.Context) {
	defer s.closeTransaction()
	for {
		in, err := s.conn.ReadBatch(s.openTx.tx != nil, s.idleDeadline())
		if err != nil {
			s.reportSessionEnd(err)
			return
		}
		s.serve(ctx, in)
	}
}

// idleDeadline returns when an open transaction that stays idle is to be ended, or zero outside a transaction.
func (s *session) idleDeadline() time.Time {
	if s.openTx.tx == nil {
		return time.Time{}
	}
	return time.Now().Add(s.handler.TransactionIdleTimeout)
}

// reportSessionEnd tells the caller why the connection ends, unless the caller has ended it itself.
func (s *session) reportSessionEnd(err error) {
	switch {
	case errors.Is(err, caller.ErrDraining):
		message := "the proxy is shutting down: connect again"
		if s.openTx.tx != nil {
			message = "the proxy is shutting down, and the transaction is rolled back: connect again"
		}
		s.conn.WriteFatal(codeShutdown, message)
	case errors.Is(err, caller.ErrIdleTimeout):
		s.conn.WriteFatal("25P03", "the transaction was idle for too long and is rolled back")
	case errors.Is(err, caller.ErrMessageTooLarge):
		s.conn.WriteFatal(egret.CodeTooLarge, err.Error()+": the connection ends")
	case errors.Is(err, egret.ErrNoMemory):
		s.conn.WriteFatal("53200", err.Error())
	case errors.Is(err, caller.ErrTerminated):
	default:
		// Either a malformed message or a closed connection. In the latter case nobody receives the error.
		s.conn.WriteFatal(egret.CodeProtocol, "the connection ends: "+errors.Cause(err).Error())
	}
}

// serve answers one batch.
func (s *session) serve(ctx context.Context, in *caller.IncomingBatch) {
	if in.Refusal != nil {
		s.refuse(in.Refusal, in.RefusalSent)
		return
	}
	texts := scan(in.Texts)
	if f := forbiddenNameFailure(texts); f != nil {
		s.refuse(f, false)
		return
	}
	r := route.Classify(texts, s.readOnly)
	if s.txLost {
		s.serveLostTransaction(in, r)
		return
	}
	if s.serveLocally(in, r) {
		return
	}
	if s.openTx.tx != nil {
		s.serveInTransaction(ctx, in, r)
		return
	}
	s.serveNewTransaction(ctx, in, r)
}

// forbiddenNameFailure returns a failure if the texts use a name that callers may not use, or nil.
func forbiddenNameFailure(texts []route.ScannedQuery) *egret.Failure {
	for _, t := range texts {
		if t.ForbiddenName != "" {
			return unsupportedFailure("\"" + t.ForbiddenName + "\" is not offered to callers")
		}
	}
	return nil
}

func scan(texts []string) []route.ScannedQuery {
	scanned := make([]route.ScannedQuery, 0, len(texts))
	for _, t := range texts {
		scanned = append(scanned, route.Scan(t))
	}
	return scanned
}

// serveLostTransaction answers a batch after the caller's transaction was lost. It accepts only a statement that
// ends the transaction, alone in its batch: otherwise the other statements would either be reported as done
// without having run, or run outside the transaction.
func (s *session) serveLostTransaction(in *caller.IncomingBatch, r route.Request) {
	if len(r.Actions) != 1 || r.Actions[0] != route.ActionEnd {
		s.fail(&egret.Failure{
			Outcome: egret.OutcomeNotRun,
			Code:    "25P02",
			Message: "the transaction was rolled back: end it first, with a ROLLBACK by itself",
		}, egret.TxFailed)
		return
	}
	s.conn.WriteAnswer(in, caller.LocalAnswer{
		Tag: "ROLLBACK",
	})
	s.txLost = !in.Runs
	s.sendReady(s.txStatus())
}

// raiseFloor raises the session's floor in a group to p if it is lower.
func (s *session) raiseFloor(group string, p egret.Position) {
	if p.Compare(s.floor.At(group)) <= 0 {
		return
	}
	s.floor.Raise(group, p)
	s.raisedAt[group] = time.Now()
}

// refuse reports that a batch is not run, with f unless the batch has been answered. An open transaction is
// rolled back, as a database does after any error.
func (s *session) refuse(f *egret.Failure, answered bool) {
	s.handler.Metrics.Requests.WithLabelValues("", roleNone, outcomeLabel(f, false)).Inc()
	status := egret.TxIdle
	if s.openTx.tx != nil || s.txLost {
		s.closeTransaction()
		s.txLost = true
		status = egret.TxFailed
	}
	if !answered {
		s.conn.WriteError(f)
	}
	s.sendReady(status)
}

// fail reports a failure and the transaction status after it.
func (s *session) fail(f *egret.Failure, status egret.TxStatus) {
	s.conn.WriteError(f)
	s.sendReady(status)
}

// sendReady sends a changed token and then ReadyForQuery, after which the caller may send the next batch.
func (s *session) sendReady(status egret.TxStatus) {
	s.sendToken()
	s.conn.WriteReady(status)
}

// sendToken sends the session's token if the session has a floor and the caller doesn't have this token yet.
func (s *session) sendToken() {
	token := s.token()
	if s.floor.Len() > 0 && token != s.sentParameters.token {
		s.sentParameters.token = token
		s.conn.WriteParameter(caller.TokenParameter, token)
	}
}

// token returns the session's token. If not all groups fit into it, it has those whose floor was raised last. Reads see all
// acknowledged writes in the others too, as the first read of a session in a group looks up its confirmed position.
func (s *session) token() string {
	positions := s.floor.Positions()
	slices.SortStableFunc(positions, func(a, b egret.GroupPosition) int {
		return s.raisedAt[b.Group].Compare(s.raisedAt[a.Group])
	})
	return s.handler.Signer.Sign(s.conn.Startup.User, s.conn.Startup.Database, positions)
}

// sendMember sends the name and the log position of the member that served the request, if they have changed.
func (s *session) sendMember(member string, p egret.Position) {
	if member != s.sentParameters.member {
		s.sentParameters.member = member
		s.conn.WriteParameter(memberParameter, member)
	}
	if position := p.String(); !p.IsZero() && position != s.sentParameters.position {
		s.sentParameters.position = position
		s.conn.WriteParameter(positionParameter, position)
	}
}

// closeTransaction closes the open transaction, if any. The lane rolls it back unless it has ended.
func (s *session) closeTransaction() {
	if s.openTx.tx == nil {
		return
	}
	s.openTx.tx.Close()
	s.openTx = openTransaction{}
}

// cancel cancels the current request. A request that waits, and runs on no member yet, ends as not run.
func (s *session) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelWaits == nil {
		return
	}
	s.canceled = true
	if s.runningTx != nil {
		s.runningTx.Cancel()
		return
	}
	s.cancelWaits()
}

// setRunning sets the transaction that cancel cancels, or nil. It returns false if the request was canceled.
func (s *session) setRunning(tx egret.Transaction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningTx = tx
	return !s.canceled
}

// enableCancel lets cancel end the request, by its transaction or else by stop, until disableCancel is called.
func (s *session) enableCancel(stop context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelWaits = stop
	s.canceled = false
	s.runningTx = nil
}

func (s *session) disableCancel() {
	s.enableCancel(nil)
}

func (s *session) isCanceled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled
}

// replyWriter writes a request's answer to the caller and records what it contains.
type replyWriter struct {
	conn *caller.Conn

	// sentBytes is the number of bytes written.
	sentBytes int

	// parseCompletes is the number of statements that the database has prepared (ParseComplete messages).
	parseCompletes int

	// hasError reports whether the answer contains an error of the database.
	hasError bool
}

// write writes encoded messages to the caller. It expects complete messages.
func (w *replyWriter) write(messages []byte) error {
	const header = 5
	for rest := messages; len(rest) >= header; {
		switch rest[0] {
		case '1':
			w.parseCompletes++
		case 'E':
			w.hasError = true
		}
		length := 1 + int(binary.BigEndian.Uint32(rest[1:header]))
		if length > len(rest) {
			break
		}
		rest = rest[length:]
	}
	w.sentBytes += len(messages)
	return w.conn.Write(messages)
}
