package pgsim

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
	"github.com/phuslu/log"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/auth"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/locks"
	"egretlane.example/egret/egretlab/pgsim/plat"
	"egretlane.example/egret/egretlab/pgsim/repl"
	"egretlane.example/egret/egretlab/pgsim/sess"
	"egretlane.example/egret/egretlab/pgsim/slots"
	"egretlane.example/egret/egretlab/pgsim/stats"
	"egretlane.example/egret/egretlab/pgsim/vars"
)

const (
	// startupTimeout limits the start-up of a connection.
	startupTimeout = 10 * time.Second

	// acceptRetryDelay is the delay after a failed accept, for example when the process has run out of
	// file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

// Server is a database member that serves clients. Its exported fields must be set before Open.
type Server struct {
	// Member is the member's state. Open opens it and Run closes it.
	Member *core.Member

	// Addresses maps the primary's address to the address to dial.
	Addresses egret.AddressMap

	// Slots is the maximum number of statements that run at the same time. It must be above zero.
	Slots int

	// MaxConnections is the maximum number of client connections. Replication connections don't count.
	MaxConnections int

	// ConnectCost is the simulated duration of accepting a connection.
	ConnectCost time.Duration

	// StatementCost is the simulated duration of each statement. The statement holds its slot meanwhile.
	StatementCost time.Duration

	// TLS is the configuration for clients that request encryption, or nil to decline.
	TLS *tls.Config

	// Password verifies the password of clients, or is nil if none is needed. Replicas need no password.
	Password *auth.Verifier

	// shared holds what all sessions use.
	shared sess.Shared

	// faults holds the faults that operators inject.
	faults plat.Faults

	// recorder records statements and transactions.
	recorder stats.Recorder

	// locks holds the advisory locks.
	locks locks.Table

	// registry tracks the open client connections.
	registry registry

	// goroutines counts the goroutines of the connections, the applier and the follower.
	goroutines sync.WaitGroup
}

// Open recovers the member. It must be called before Run and Handler.
func (s *Server) Open() error {
	if err := s.Member.Open(); err != nil {
		return errors.Annotatef(err, "member %s", s.Member.Name)
	}
	s.registry.limit = s.MaxConnections
	s.shared = sess.Shared{
		Platform: plat.Platform{
			Member:   s.Member,
			Slots:    slots.New(s.Slots),
			Locks:    &s.locks,
			Faults:   &s.faults,
			Registry: &s.registry,
		},
		Stats:         &s.recorder,
		StatementCost: s.StatementCost,
	}
	return nil
}

// Run serves the clients of the listener until the context is done. Before it returns, it ends all
// connections and closes the member.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	serving, end := context.WithCancelCause(context.WithoutCancel(ctx))
	defer end(nil)
	f := repl.Follower{
		Member:    s.Member,
		Addresses: s.Addresses,
	}
	s.goroutines.Go(func() {
		s.Member.Run(serving)
	})
	s.goroutines.Go(func() {
		f.Run(serving)
	})
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		end(sess.ErrTerminated)
	})
	defer stop()
	s.accept(serving, l)
	s.goroutines.Wait()
	return errors.Annotate(s.Member.Close(), "closing the log")
}

func (s *Server) accept(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Error().Err(err).Msg("accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.goroutines.Go(func() {
			defer c.Close()
			s.serveConnection(ctx, c)
		})
	}
}

// serveConnection serves a connection from its start-up to its end.
func (s *Server) serveConnection(ctx context.Context, c net.Conn) {
	h := handshake{
		conn:    c,
		backend: newBackend(c),
		tls:     s.TLS,
	}
	_ = c.SetDeadline(time.Now().Add(startupTimeout))
	m, err := h.receiveStartup(ctx)
	if err != nil {
		return
	}
	if r, cancels := m.(*pgproto3.CancelRequest); cancels {
		s.registry.cancelStatement(r.ProcessID, r.SecretKey)
		return
	}
	start, starts := m.(*pgproto3.StartupMessage)
	if !starts {
		return
	}
	if start.Parameters["replication"] == "true" {
		s.serveReplica(ctx, &h)
		return
	}
	s.serveClient(ctx, &h, start)
}

func (s *Server) serveReplica(ctx context.Context, h *handshake) {
	if err := h.sendReady(nil, cancelKey{}); err != nil {
		return
	}
	_ = h.conn.SetDeadline(time.Time{})
	source := repl.Source{
		Member:  s.Member,
		Conn:    h.conn,
		Backend: h.backend,
	}
	// The replica logs why a stream ended.
	_ = source.Serve(ctx)
}

func (s *Server) serveClient(ctx context.Context, h *handshake, start *pgproto3.StartupMessage) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	session := &sess.Session{
		Shared:   &s.shared,
		Conn:     h.conn,
		Backend:  h.backend,
		Database: start.Parameters["database"],
		Settings: vars.New(start),
	}
	k, err := s.registry.add(session, end)
	if err != nil {
		h.reject(err)
		return
	}
	defer s.registry.remove(k.process)
	session.Process = k.process
	if !sleep(ctx, s.ConnectCost) {
		return
	}
	if start.ProtocolVersion > pgproto3.ProtocolVersion30 {
		h.negotiateVersion()
	}
	if err := s.authenticate(h); err != nil {
		h.reject(err)
		return
	}
	if err := h.sendReady(session.Settings.ParameterStatuses(), k); err != nil {
		return
	}
	_ = h.conn.SetDeadline(time.Time{})
	session.Run(ctx)
}

// authenticate verifies the client's password, if one is needed.
func (s *Server) authenticate(h *handshake) error {
	if s.Password == nil {
		return nil
	}
	if err := s.Password.Authenticate(h.backend); err != nil {
		return core.Errorf(codeInvalidPassword, "password authentication failed")
	}
	return nil
}

// sleep waits for d. It returns false if the context is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
