package sess

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/exec"
	"egretlane.example/egret/egretlab/pgsim/locks"
	"egretlane.example/egret/egretlab/pgsim/vars"
)

const (
	// maxQueuedMessages is the maximum number of messages read ahead of the running one. When the queue is
	// full, the end of the connection is noticed only after a message has run.
	maxQueuedMessages = 1024

	// writeTimeout limits a write to a client that doesn't read.
	writeTimeout = 30 * time.Second

	// finalWriteTimeout limits the last write to a client whose session ends.
	finalWriteTimeout = 200 * time.Millisecond

	// flushBytes is the size of buffered rows that triggers a write.
	flushBytes = 1 << 16
)

// Session is the session of one client. Its exported fields must be set before Run.
type Session struct {
	// Shared holds what all sessions of the member use.
	Shared *Shared

	// Conn is the connection to the client.
	Conn net.Conn

	// Backend reads from and writes to Conn.
	Backend *pgproto3.Backend

	// Process is the connection's process number. Numbers are not reused while the member runs.
	Process uint32

	// Database is the database name in the client's start-up message.
	Database string

	// Settings holds the session's settings.
	Settings vars.Settings

	// block is the state of the transaction.
	block transactionBlock

	// statements holds the prepared statements by name.
	statements map[string]*statement

	// portals holds the portals by name. They are closed at the end of the transaction.
	portals map[string]*portal

	// skippingToSync reports whether messages are dropped until Sync, because of an error.
	skippingToSync bool

	// answerBuffered reports whether the buffer holds the answer to a statement, which the delay of Faults
	// applies to. Answers of the platform's functions are not delayed.
	answerBuffered bool

	// mu guards the field below.
	mu sync.Mutex

	// cancelMessage cancels the running message. It is nil while no message runs.
	cancelMessage context.CancelCauseFunc
}

// Run serves the client until the connection ends or the context is done. Then it rolls back an open
// transaction and releases the advisory locks.
func (s *Session) Run(ctx context.Context) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	s.statements = make(map[string]*statement)
	s.portals = make(map[string]*portal)
	defer s.Shared.Platform.Locks.ReleaseAll(s.Process)
	defer s.rollBack()
	messages := make(chan pgproto3.FrontendMessage, maxQueuedMessages)
	go s.readMessages(ctx, end, messages)
	stop := context.AfterFunc(ctx, func() {
		// Closing the connection ends a blocked write, which would keep the transaction's locks held.
		time.AfterFunc(finalWriteTimeout, func() {
			s.Conn.Close()
		})
	})
	defer stop()
	s.serve(ctx, messages)
}

// Cancel cancels the running message, if any.
func (s *Session) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelMessage != nil {
		s.cancelMessage(errCanceled)
	}
}

func (s *Session) serve(ctx context.Context, messages <-chan pgproto3.FrontendMessage) {
	for {
		select {
		case <-ctx.Done():
			s.sendFatal(context.Cause(ctx))
			return
		case m := <-messages:
			if err := s.handle(ctx, m); err != nil {
				s.sendFatal(err)
				return
			}
		}
	}
}

// sendFatal tells the client why its session ends, unless the client has disconnected.
func (s *Session) sendFatal(reason error) {
	if errors.Is(reason, ErrClientGone) {
		return
	}
	_ = s.Conn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
	s.Backend.Send(ErrorResponse("FATAL", reason))
	_ = s.Backend.Flush()
}

// readMessages reads the client's messages into the channel until the connection ends.
func (s *Session) readMessages(ctx context.Context, end context.CancelCauseFunc, messages chan<- pgproto3.FrontendMessage) {
	for {
		m, err := s.Backend.Receive()
		if err != nil {
			end(ErrClientGone)
			return
		}
		if _, last := m.(*pgproto3.Terminate); last {
			end(ErrClientGone)
			return
		}
		select {
		case <-ctx.Done():
			return
		case messages <- cloneMessage(m):
		}
	}
}

// cloneMessage returns a copy of a message, because the original is valid only until the next one is read.
func cloneMessage(m pgproto3.FrontendMessage) pgproto3.FrontendMessage {
	switch m := m.(type) {
	case *pgproto3.Query:
		c := *m
		return &c
	case *pgproto3.Parse:
		c := *m
		return &c
	case *pgproto3.Bind:
		c := *m
		c.Parameters = make([][]byte, len(m.Parameters))
		for i, p := range m.Parameters {
			if p != nil {
				c.Parameters[i] = append([]byte{}, p...)
			}
		}
		return &c
	case *pgproto3.Describe:
		c := *m
		return &c
	case *pgproto3.Execute:
		c := *m
		return &c
	case *pgproto3.Close:
		c := *m
		return &c
	default:
		// Other messages are handled by their type alone.
		return m
	}
}

// handle runs one message. An error ends the session.
func (s *Session) handle(ctx context.Context, m pgproto3.FrontendMessage) error {
	if _, sync := m.(*pgproto3.Sync); s.skippingToSync && !sync {
		return nil
	}
	running, done := s.messageContext(ctx)
	err := s.dispatch(running, m)
	done()
	if err != nil && (ctx.Err() != nil || errors.Is(err, ErrClientGone)) {
		return err
	}
	if err != nil {
		s.handleError(err)
	}
	// The answer is written with the session's context, because a message that has run can't be canceled.
	switch m.(type) {
	case *pgproto3.Query, *pgproto3.Sync:
		return s.sendReady(ctx)
	case *pgproto3.Flush:
		return s.flush(ctx)
	}
	if err == nil {
		return nil
	}
	s.skippingToSync = true
	return s.flush(ctx)
}

// messageContext returns the context in which a message runs. Cancel and statement_timeout cancel it. The
// returned function releases it when the message has run.
func (s *Session) messageContext(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := func() {}
	if t := s.Settings.StatementTimeout(); t > 0 {
		ctx, release = withTimeout(ctx, t)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelMessage = cancel
	return ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cancelMessage = nil
		release()
		cancel(nil)
	}
}

func withTimeout(ctx context.Context, t time.Duration) (context.Context, func()) {
	limited, cancel := context.WithTimeoutCause(ctx, t, errTimeout)
	return limited, cancel
}

func (s *Session) dispatch(ctx context.Context, m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.runQuery(ctx, m.String)
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.execute(ctx, m)
	case *pgproto3.Close:
		s.closeObject(m)
		return nil
	case *pgproto3.Sync:
		return s.commitImplicit()
	case *pgproto3.Flush:
		return nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// These may follow a COPY statement that was refused.
		return nil
	default:
		return core.Errorf(codeUnsupported, "message %T is not supported by this member", m)
	}
}

// handleError reports an error to the client and rolls back the transaction. An explicit transaction block
// stays failed until the client ends it.
func (s *Session) handleError(reason error) {
	s.rollBackBlock(s.block.explicit)
	s.Backend.Send(ErrorResponse("ERROR", reason))
}

// sendReady ends a Query message or a batch with ReadyForQuery.
func (s *Session) sendReady(ctx context.Context) error {
	s.skippingToSync = false
	s.Backend.Send(&pgproto3.ReadyForQuery{
		TxStatus: s.block.txStatus(),
	})
	return s.flush(ctx)
}

// flush writes the buffered messages, after the delay of Faults if there is one.
func (s *Session) flush(ctx context.Context) error {
	if s.answerBuffered {
		s.answerBuffered = false
		if err := exec.Sleep(ctx, s.Shared.Platform.Faults.AnswerDelay()); err != nil {
			return err
		}
	}
	if err := s.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return ErrClientGone
	}
	if err := s.Backend.Flush(); err != nil {
		return ErrClientGone
	}
	return nil
}

// lockHolder identifies the session as a holder of advisory locks.
func (s *Session) lockHolder() locks.Holder {
	application, _ := s.Settings.Get(vars.ApplicationName)
	return locks.Holder{
		Process:     s.Process,
		Application: application,
	}
}
