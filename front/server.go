package front

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/trail"
)

// RestTime is how long a session should rest before it is ended: several round trips to callers.
const RestTime = 60 * time.Millisecond

const (
	// startTimeout bounds the opening of a session by a caller.
	startTimeout = 5 * time.Second

	// configurationTime is how long a caller waits for the proxy's first configuration, and
	// configurationPoll how often it is looked for.
	configurationTime = 1500 * time.Millisecond
	configurationPoll = 20 * time.Millisecond

	// drainPoll is how often sessions are looked at that shall end.
	drainPoll = 10 * time.Millisecond

	// defaultTimeout bounds a statement whose route sets no time.
	defaultTimeout = 5 * time.Second

	// defaultIdle bounds the rest of a transaction if the operator sets no time.
	defaultIdle = 10 * time.Second

	// acceptPause is the pause after a failed accept, as for want of descriptors.
	acceptPause = 50 * time.Millisecond
)

// Counts receives what the server counts. Methods must not block.
type Counts interface {
	// Sessions is called with the number of open sessions.
	Sessions(n int)

	// Answered is called for each statement that went to a member or was refused.
	Answered(route string, kind egret.RouteKind, fault egret.FaultKind, elapsed time.Duration)
}

// Server serves callers. Its exported fields are set before Serve.
type Server struct {
	// Tables returns the configuration in force, or nil if there is none yet.
	Tables func() *egret.Tables

	// Codec reads and writes a caller's connection.
	Codec func(c net.Conn) egret.CallerConn

	// Open returns a stream for the statements of one session.
	Open func() egret.Stream

	// Limit bounds the open sessions. Zero sets no bound.
	Limit int

	// Trail writes decisions. It may be nil.
	Trail *trail.Trail

	// Counts may be nil.
	Counts Counts

	// draining says that sessions are being ended.
	draining atomic.Bool

	mu       sync.Mutex
	sessions map[*session]struct{}
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Trail.Event("accept-failed").Err(err).Msg("no connection could be accepted")
			time.Sleep(acceptPause)
			continue
		}
		go s.serve(ctx, s.Codec(c))
	}
}

// Drain ends sessions until none is left or the time is over. A session ends when it has rested for
// the given time: right after an answer its caller's next statement may be on its way, and would be lost.
// What runs is never cut. It returns how many sessions are left.
func (s *Server) Drain(rest, limit time.Duration) int {
	s.draining.Store(true)
	began := clock.Now()
	for {
		left := s.EndResting(rest, clock.Now())
		if left == 0 || clock.Since(began) >= limit {
			return left
		}
		time.Sleep(drainPoll)
	}
}

// EndResting ends the sessions that have rested for the time and were opened before another. It returns
// how many are left. Their callers open others.
func (s *Server) EndResting(d time.Duration, before clock.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	for e := range s.sessions {
		if e.opened > before {
			continue
		}
		if now.Sub(clock.Time(e.rested.Load())) >= d && e.phase.CompareAndSwap(phaseResting, phaseEnded) {
			e.conn.Close()
		}
	}
	return len(s.sessions)
}

// serve runs one session.
func (s *Server) serve(ctx context.Context, c egret.CallerConn) {
	defer c.Close()
	database, err := c.Start(time.Now().Add(startTimeout))
	if err != nil {
		s.refuse(c, egret.FaultMalformed, "the session could not be opened: "+err.Error())
		return
	}
	if !s.configured(ctx) {
		s.refuse(c, egret.FaultBusy, "the proxy has no configuration yet")
		return
	}
	if s.route(database) == nil {
		s.refuse(c, egret.FaultNoDatabase, "no route has database "+database)
		return
	}
	e := &session{
		server:   s,
		conn:     c,
		database: database,
		opened:   clock.Now(),
		prepared: map[string]egret.Prepared{},
		stream:   s.Open(),
	}
	defer e.stream.Close()
	if !s.enter(e) {
		s.refuse(c, egret.FaultTooMany, "the proxy takes no more sessions")
		return
	}
	defer s.leave(e)
	if err := c.Admit(); err != nil {
		return
	}
	e.run(ctx)
}

// configured waits for a first configuration, for as long as callers wait for their session.
func (s *Server) configured(ctx context.Context) bool {
	deadline := time.Now().Add(configurationTime)
	for s.Tables() == nil {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		time.Sleep(configurationPoll)
	}
	return true
}

func (s *Server) refuse(c egret.CallerConn, kind egret.FaultKind, text string) {
	s.Trail.Event("session-refused").Str("fault", kind.String()).Str("cause", text).Msg("the session was not opened")
	// The caller may be gone already.
	_ = c.Refuse(egret.Fault{
		Kind: kind,
		Text: text,
	})
}

func (s *Server) enter(e *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Limit > 0 && len(s.sessions) >= s.Limit {
		return false
	}
	if s.sessions == nil {
		s.sessions = map[*session]struct{}{}
	}
	s.sessions[e] = struct{}{}
	if s.Counts != nil {
		s.Counts.Sessions(len(s.sessions))
	}
	return true
}

func (s *Server) leave(e *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, e)
	if s.Counts != nil {
		s.Counts.Sessions(len(s.sessions))
	}
}

// route returns the route of a database in the configuration in force, or nil.
func (s *Server) route(database string) *egret.Route {
	t := s.Tables()
	if t == nil {
		return nil
	}
	return t.RouteOf(database)
}

// count notes a statement that went to a member or was refused.
func (s *Server) count(r *egret.Route, a egret.Answer, began clock.Time) {
	if s.Counts != nil {
		s.Counts.Answered(r.Name, r.Kind, a.Fault.Kind, clock.Since(began))
	}
}
