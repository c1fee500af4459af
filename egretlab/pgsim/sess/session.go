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
	// maxWaiting is how many messages are read ahead of the one that runs. Beyond it the end of a
	// connection is noticed only when a message has run.
	maxWaiting = 1024

	// writeTimeout bounds a write to a client that doesn't read.
	writeTimeout = 30 * time.Second

	// lastWriteTimeout bounds the last write to a client whose session is ended.
	lastWriteTimeout = 200 * time.Millisecond

	// flushSize is how many bytes of rows are gathered before they are written.
	flushSize = 1 << 16
)

// Session is the session of one client. Its exported fields are set before Run.
type Session struct {
	// Host is what the member's sessions share.
	Host *Host

	// Conn is the connection.
	Conn net.Conn

	// Backend reads from and writes to Conn.
	Backend *pgproto3.Backend

	// Process is the connection's number, unique in the member's life.
	Process uint32

	// Database is the name that the client asked for.
	Database string

	// Settings is the session's settings.
	Settings vars.Settings

	// block is the transaction.
	block block

	// statements holds the prepared statements by name.
	statements map[string]*statement

	// portals holds the portals by name. They end with the transaction.
	portals map[string]*portal

	// skipping says that messages are dropped until Sync, because of an error.
	skipping bool

	// delayed says that the answer to a statement is in the buffer, and not written yet.
	delayed bool

	// mu guards the field below.
	mu sync.Mutex

	// cancel ends the message that runs. It is nil while none does.
	cancel context.CancelCauseFunc
}

// Run serves the client until the connection or the context ends. An open transaction is rolled
// back, and advisory locks are released.
func (s *Session) Run(ctx context.Context) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	s.statements = make(map[string]*statement)
	s.portals = make(map[string]*portal)
	defer s.Host.Platform.Locks.Release(s.Process)
	defer s.rollBack()
	messages := make(chan pgproto3.FrontendMessage, maxWaiting)
	go s.read(ctx, end, messages)
	stop := context.AfterFunc(ctx, func() {
		// A write that is blocked must not hold the transaction's locks.
		time.AfterFunc(lastWriteTimeout, func() {
			s.Conn.Close()
		})
	})
	defer stop()
	s.serve(ctx, messages)
}

// Cancel ends the message that runs, if there is one.
func (s *Session) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel(errCanceled)
	}
}

func (s *Session) serve(ctx context.Context, messages <-chan pgproto3.FrontendMessage) {
	for {
		select {
		case <-ctx.Done():
			s.sayGoodbye(context.Cause(ctx))
			return
		case m := <-messages:
			if err := s.handle(ctx, m); err != nil {
				s.sayGoodbye(err)
				return
			}
		}
	}
}

// sayGoodbye tells a client that is still there why its session ends.
func (s *Session) sayGoodbye(reason error) {
	if errors.Is(reason, ErrGone) {
		return
	}
	_ = s.Conn.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
	s.Backend.Send(Response("FATAL", reason))
	_ = s.Backend.Flush()
}

// read hands the client's messages over until the connection ends.
func (s *Session) read(ctx context.Context, end context.CancelCauseFunc, messages chan<- pgproto3.FrontendMessage) {
	for {
		m, err := s.Backend.Receive()
		if err != nil {
			end(ErrGone)
			return
		}
		if _, last := m.(*pgproto3.Terminate); last {
			end(ErrGone)
			return
		}
		select {
		case <-ctx.Done():
			return
		case messages <- retain(m):
		}
	}
}

// retain copies a message that is only valid until the next one is read.
func retain(m pgproto3.FrontendMessage) pgproto3.FrontendMessage {
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
		// The others are told apart by their type alone.
		return m
	}
}

// handle runs one message. An error ends the session.
func (s *Session) handle(ctx context.Context, m pgproto3.FrontendMessage) error {
	if _, sync := m.(*pgproto3.Sync); s.skipping && !sync {
		return nil
	}
	running, done := s.start(ctx)
	err := s.dispatch(running, m)
	done()
	if err != nil && (ctx.Err() != nil || errors.Is(err, ErrGone)) {
		return err
	}
	if err != nil {
		s.fail(err)
	}
	// The answer is written outside of the message's own context: what has run can't be cancelled.
	switch m.(type) {
	case *pgproto3.Query, *pgproto3.Sync:
		return s.ready(ctx)
	case *pgproto3.Flush:
		return s.flush(ctx)
	}
	if err == nil {
		return nil
	}
	s.skipping = true
	return s.flush(ctx)
}

// start makes the context of a message, which Cancel ends.
func (s *Session) start(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := func() {}
	if t := s.Settings.Timeout(); t > 0 {
		ctx, release = withTimeout(ctx, t)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = cancel
	return ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cancel = nil
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
		return s.simple(ctx, m.String)
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.execute(ctx, m)
	case *pgproto3.Close:
		s.close(m)
		return nil
	case *pgproto3.Sync:
		return s.commitImplicit()
	case *pgproto3.Flush:
		return nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// They may follow a COPY that was refused.
		return nil
	default:
		return core.Errorf(codeUnsupported, "message %T is not supported by this member", m)
	}
}

// fail tells the client of an error and ends the transaction. One that the client opened stays
// failed until the client ends it.
func (s *Session) fail(reason error) {
	s.rollBackInto(s.block.explicit)
	s.Backend.Send(Response("ERROR", reason))
}

// ready ends a batch.
func (s *Session) ready(ctx context.Context) error {
	s.skipping = false
	s.Backend.Send(&pgproto3.ReadyForQuery{
		TxStatus: s.block.status(),
	})
	return s.flush(ctx)
}

// flush writes the buffer, after the delay that a test may have set.
func (s *Session) flush(ctx context.Context) error {
	if s.delayed {
		s.delayed = false
		if err := exec.Sleep(ctx, s.Host.Platform.Faults.Delay()); err != nil {
			return err
		}
	}
	if err := s.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return ErrGone
	}
	if err := s.Backend.Flush(); err != nil {
		return ErrGone
	}
	return nil
}

func (s *Session) holder() locks.Holder {
	application, _ := s.Settings.Get(vars.Application)
	return locks.Holder{
		Process:     s.Process,
		Application: application,
	}
}
