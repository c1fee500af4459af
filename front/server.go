package front

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/evlog"
)

// LastStatementTime is the least time that a statement of an open transaction gets when the server ends.
const LastStatementTime = time.Second

// MinIdleTime is how long a session should be idle before it is closed: several round trips to callers.
const MinIdleTime = 60 * time.Millisecond

const (
	// startTimeout limits how long a caller may take to open its session.
	startTimeout = 5 * time.Second

	// tablesTimeout is how long a new session waits for the first tables of the proxy: as long as callers wait
	// for a session to open. tablesPollInterval is how often the proxy checks for them.
	tablesTimeout      = 1500 * time.Millisecond
	tablesPollInterval = 20 * time.Millisecond

	// drainPollInterval is how often Drain looks for idle sessions to close.
	drainPollInterval = 10 * time.Millisecond

	// answerTransit is the part of a statement's time that is left for its answer to arrive from another proxy when the
	// server ends.
	answerTransit = 150 * time.Millisecond

	// defaultStatementTimeout applies to statements whose route has no budget.
	defaultStatementTimeout = 5 * time.Second

	// defaultTransactionIdleTimeout applies to transactions if the tables set no limit for their idle time.
	defaultTransactionIdleTimeout = 10 * time.Second

	// unknownKeyText is the message to callers whose key belongs to no workspace.
	unknownKeyText = "the key is unknown or was withdrawn"

	// acceptRetryDelay is the delay after a failed accept, for example when file descriptors are exhausted.
	acceptRetryDelay = 50 * time.Millisecond
)

// Metrics receives the server's measurements. Its methods must not block.
type Metrics interface {
	// SetSessions is called with the number of open sessions when it changes.
	SetSessions(n int)

	// ObserveAnswer is called with the result of each statement that was sent to the holder of its service, also if
	// it was refused there.
	ObserveAnswer(route string, kind egret.Consistency, fault egret.FaultKind, elapsed time.Duration)

	// CountRefusedSession is called for each session that is refused. CountRefusedOperation is called for each statement or
	// transaction that is refused as the caller may not run it, with the workspace that its key belonged to before.
	CountRefusedSession(fault egret.FaultKind)
	CountRefusedOperation(fault egret.FaultKind, workspace string)
}

// Server serves the sessions of callers. Its exported fields must be set before Serve is called.
type Server struct {
	// Tables returns the tables in force, or nil if there are none yet.
	Tables func() *egret.Tables

	// Codec returns the decoded form of a caller's connection.
	Codec func(c net.Conn) egret.CallerConn

	// NewStream returns a stream for the statements of one session.
	NewStream func() egret.Stream

	// Domain is the failure domain of the process.
	Domain string

	// MaxSessions is the maximum number of open sessions. Zero means no limit.
	MaxSessions int

	// Limits bound the connections.
	Limits Limits

	// OnRefusal is called with the cause of each refusal of a caller, if it isn't nil. It must not block.
	OnRefusal func(cause string)

	// EventLog logs sessions and statements. It may be nil.
	EventLog *evlog.Log

	// Metrics receives measurements. It may be nil.
	Metrics Metrics

	// endsAt is the clock.Time that EndAt was called with, or zero.
	endsAt atomic.Int64

	// mu guards the fields below. cancel ends the context of all sessions; Serve sets it.
	mu        sync.Mutex
	sessions  map[*session]struct{}
	admission admission
	refusals  map[string]*refusalLog
	cancel    context.CancelFunc

	// admitsNone is set once new sessions are refused.
	admitsNone bool
}

// Serve accepts connections of callers until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	// The sessions outlast the listener.
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.EventLog.Event("accept-failed").Err(err).Msg("could not accept a connection")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if opened, admitted := s.admit(c); admitted {
			go s.serve(ctx, opened)
		}
	}
}

// EndAt makes every statement end by the time. From now on, a statement gets no more time than is left, and one that still
// waits at the end is answered with what is known of it. Sessions that wait for a further statement of a transaction are
// closed LastStatementTime before, so that no statement is read that has no time to run. Drain has to be called as well.
func (s *Server) EndAt(end clock.Time) {
	s.endsAt.Store(int64(end))
	s.mu.Lock()
	cancel := s.cancel
	s.mu.Unlock()
	if cancel != nil {
		time.AfterFunc(clock.Until(end), cancel)
	}
}

// remaining returns how long a statement may take that is read now, and false if the server doesn't end.
func (s *Server) remaining() (time.Duration, bool) {
	end := clock.Time(s.endsAt.Load())
	if end == 0 {
		return 0, false
	}
	return clock.Until(end) - answerTransit, true
}

// RefuseNew refuses all callers whose sessions are not open yet. It is called once the listener is closed.
func (s *Server) RefuseNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitsNone = true
	for c := range s.admission.opening {
		c.Interrupt()
	}
}

// Drain ends idle sessions until no connection is left or the timeout has passed, and returns how many are left, with
// those whose sessions are being opened. A session is ended only after it has been idle for minIdle: right after an answer
// the caller's next statement may be on its way, and would be lost. Running statements are never interrupted, and open
// transactions only shortly before the time that EndAt was called with.
func (s *Server) Drain(minIdle, timeout time.Duration) int {
	began := clock.Now()
	for {
		left := s.CloseIdle(minIdle, clock.Now())
		if remaining, ends := s.remaining(); ends && remaining < LastStatementTime {
			s.closeTransactions()
		}
		if left == 0 || clock.Since(began) >= timeout {
			return left
		}
		time.Sleep(drainPollInterval)
	}
}

// CloseIdle ends the sessions that have been idle for at least minIdle and were opened no later than
// openedBefore. It returns how many connections are open, including those of the sessions just ended. The callers of
// ended sessions are expected to reconnect.
func (s *Server) CloseIdle(minIdle time.Duration, openedBefore clock.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	for ss := range s.sessions {
		if ss.openedAt <= openedBefore && now.Sub(clock.Time(ss.idleSince.Load())) >= minIdle {
			ss.endIn(phaseIdle)
		}
	}
	return len(s.sessions) + len(s.admission.opening) + s.admission.closing
}

// closeTransactions ends the sessions that wait for a further statement of an open transaction.
func (s *Server) closeTransactions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.sessions {
		ss.endIn(phaseInTransaction)
	}
}

// LogUnanswered logs each statement that has no answer yet. It is called when the process ends in spite of them.
func (s *Server) LogUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.sessions {
		ss.logUnanswered("the process ends", nil)
	}
}

// serve runs one session from its startup to its end.
func (s *Server) serve(ctx context.Context, c egret.CallerConn) {
	ss := s.openSession(ctx, c)
	if ss == nil {
		s.closeConn(c, nil)
		return
	}
	ss.run(ctx)
	ss.stream.Close()
	s.closeConn(c, ss)
}

// openSession opens the session of a new connection, or refuses it and returns nil.
func (s *Server) openSession(ctx context.Context, c egret.CallerConn) *session {
	startup, err := c.ReadStartup(time.Now().Add(startTimeout))
	switch {
	case err != nil && s.isAborted(c):
		// It was ended for a newer connection, and counted then.
		return nil
	case errors.Is(err, egret.ErrInterrupted):
		s.refuse(c, egret.FaultBusy, causeEnding, "the proxy ends")
		return nil
	case err != nil:
		kind, cause := readCause(err)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			cause = causeStartup
		}
		s.refuse(c, kind, cause, "the session could not be opened: "+err.Error())
		return nil
	case !s.waitForTables(ctx):
		s.refuse(c, egret.FaultBusy, causeNoTables, "the proxy has no configuration yet")
		return nil
	}
	r := s.route(startup.Database)
	if r == nil {
		s.refuse(c, egret.FaultNoDatabase, causeNoDatabase, "no route has database "+startup.Database)
		return nil
	}
	w, authorized := s.authorize(r, startup.Credential)
	if !authorized {
		s.refuse(c, egret.FaultUnauthorized, causeUnauthorized, unknownKeyText)
		return nil
	}
	ss := &session{
		server:     s,
		conn:       c,
		database:   startup.Database,
		credential: startup.Credential,
		openedAt:   clock.Now(),
		prepared:   map[string]egret.PreparedStatement{},
		stream:     s.NewStream(),
	}
	if w != nil {
		ss.knownAs = w.Name
	}
	if kind, cause, text := s.add(ss); cause != "" {
		// A connection that was ended for a newer one was counted then.
		if cause != causeOpening {
			s.refuse(c, kind, cause, text)
		}
		return nil
	}
	if err := c.Admit(); err != nil {
		s.remove(ss)
		return nil
	}
	return ss
}

// closeConn closes a connection. It counts until it is closed, as the output must be delivered before the process ends.
// The session is nil if none was opened.
func (s *Server) closeConn(c egret.CallerConn, ss *session) {
	s.mu.Lock()
	s.forgetOpening(c)
	if !s.admission.isAborted(c) {
		// Otherwise it counts already.
		s.admission.closing++
	}
	delete(s.admission.aborted, c)
	s.mu.Unlock()
	if ss != nil {
		s.remove(ss)
	}
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.closing--
	s.forgetAddress(c)
}

// waitForTables waits until the proxy has its first tables. It returns false if the wait times out or the
// context ends.
func (s *Server) waitForTables(ctx context.Context) bool {
	deadline := time.Now().Add(tablesTimeout)
	for s.Tables() == nil {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		time.Sleep(tablesPollInterval)
	}
	return true
}

// refuse counts a refused session, and sends the caller the fault and its text.
func (s *Server) refuse(c egret.CallerConn, kind egret.FaultKind, cause, text string) {
	if s.Metrics != nil {
		s.Metrics.CountRefusedSession(kind)
	}
	s.countRefusal(cause, text)
	// Ignore the error: the caller may have disconnected already.
	_ = c.Refuse(egret.Fault{
		Kind: kind,
		Text: text,
	})
}

// add registers the session, or returns why it is refused, for counters and for the caller. One that was ended for a newer
// connection is refused as well.
func (s *Server) add(ss *session) (kind egret.FaultKind, cause, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.admitsNone:
		return egret.FaultBusy, causeEnding, "the proxy ends"
	case s.MaxSessions > 0 && len(s.sessions) >= s.MaxSessions:
		return egret.FaultTooManyConnections, causeSessions, "the proxy takes no more sessions"
	case s.admission.isAborted(ss.conn):
		return egret.FaultBusy, causeOpening, "a newer connection needed the place"
	}
	if s.sessions == nil {
		s.sessions = map[*session]struct{}{}
	}
	s.sessions[ss] = struct{}{}
	s.forgetOpening(ss.conn)
	if s.Metrics != nil {
		s.Metrics.SetSessions(len(s.sessions))
	}
	return egret.FaultNone, "", ""
}

func (s *Server) remove(ss *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ss)
	if s.Metrics != nil {
		s.Metrics.SetSessions(len(s.sessions))
	}
}

// route returns the route of a database in the tables in force, or nil if there is none.
func (s *Server) route(database string) *egret.Route {
	t := s.Tables()
	if t == nil {
		return nil
	}
	return t.RouteForDatabase(database)
}

// authorize returns the workspace of a caller on the route, and whether the caller is admitted. The workspace is nil if
// the caller has none.
func (s *Server) authorize(r *egret.Route, c egret.Credential) (*egret.Workspace, bool) {
	t := s.Tables()
	if !t.HasWorkspaces {
		return nil, true
	}
	w := t.WorkspaceOf(c)
	return w, w != nil || r.Public
}

// observe records the result of a statement that was sent to the holder of its service.
func (s *Server) observe(r *egret.Route, a egret.Answer, began clock.Time) {
	if s.Metrics != nil {
		s.Metrics.ObserveAnswer(r.Name, r.Consistency, a.Fault.Kind, clock.Since(began))
	}
}
