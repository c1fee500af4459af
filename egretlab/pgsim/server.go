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
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/locks"
	"egretlane.example/egret/egretlab/pgsim/login"
	"egretlane.example/egret/egretlab/pgsim/plat"
	"egretlane.example/egret/egretlab/pgsim/repl"
	"egretlane.example/egret/egretlab/pgsim/sess"
	"egretlane.example/egret/egretlab/pgsim/slots"
	"egretlane.example/egret/egretlab/pgsim/stats"
	"egretlane.example/egret/egretlab/pgsim/vars"
)

const (
	// startTimeout bounds the start-up of a connection.
	startTimeout = 10 * time.Second

	// acceptPause follows a failed accept, as when the process has no more file descriptors.
	acceptPause = 50 * time.Millisecond
)

// Server is a database member that serves clients. Its exported fields are set before Run.
type Server struct {
	// Member is the member's state. Run opens and closes it.
	Member *core.Member

	// Addresses says where to dial instead of the primary's address.
	Addresses egret.AddressMap

	// Slots is how many statements run at once. It is above zero.
	Slots int

	// Connections is how many connections the member takes. Replicas don't count.
	Connections int

	// ConnectCost is how long a connection takes to be accepted.
	ConnectCost time.Duration

	// StatementCost is how long each statement takes while it holds its slot.
	StatementCost time.Duration

	// TLS encrypts connections whose clients ask for it, or is nil for none.
	TLS *tls.Config

	// Password is what clients have to prove, or nil. Replicas are let in without.
	Password *login.Verifier

	// host is what the sessions share.
	host sess.Host

	// faults is what operators ask the member to do wrong.
	faults plat.Faults

	// recorder records statements.
	recorder stats.Recorder

	// locks holds the advisory locks.
	locks locks.Table

	// directory knows the connections.
	directory directory

	// group waits for the connections.
	group sync.WaitGroup
}

// Open recovers the member. It comes before Run and Handler.
func (s *Server) Open() error {
	if err := s.Member.Open(); err != nil {
		return errors.Annotatef(err, "member %s", s.Member.Name)
	}
	s.directory.limit = s.Connections
	s.host = sess.Host{
		Platform: plat.Platform{
			Member:    s.Member,
			Slots:     slots.New(s.Slots),
			Locks:     &s.locks,
			Faults:    &s.faults,
			Directory: &s.directory,
		},
		Stats: &s.recorder,
		Cost:  s.StatementCost,
	}
	return nil
}

// Run serves clients of the listener until the context ends. It ends all connections and closes
// the member before it returns.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	serving, end := context.WithCancelCause(context.WithoutCancel(ctx))
	defer end(nil)
	f := repl.Follower{
		Member:    s.Member,
		Addresses: s.Addresses,
	}
	s.group.Go(func() {
		s.Member.Run(serving)
	})
	s.group.Go(func() {
		f.Run(serving)
	})
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		end(sess.ErrTerminated)
	})
	defer stop()
	s.accept(serving, l)
	s.group.Wait()
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
			time.Sleep(acceptPause)
			continue
		}
		s.group.Go(func() {
			defer c.Close()
			s.serve(ctx, c)
		})
	}
}

// serve runs a connection from its start-up to its end.
func (s *Server) serve(ctx context.Context, c net.Conn) {
	h := handshake{
		conn:    c,
		backend: newBackend(c),
		tls:     s.TLS,
	}
	_ = c.SetDeadline(time.Now().Add(startTimeout))
	m, err := h.receive(ctx)
	if err != nil {
		return
	}
	if r, cancels := m.(*pgproto3.CancelRequest); cancels {
		s.directory.cancel(r.ProcessID, r.SecretKey)
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
	if err := h.accept(nil, key{}); err != nil {
		return
	}
	_ = h.conn.SetDeadline(time.Time{})
	source := repl.Source{
		Member:  s.Member,
		Conn:    h.conn,
		Backend: h.backend,
	}
	// The replica logs the end of a stream.
	_ = source.Serve(ctx)
}

func (s *Server) serveClient(ctx context.Context, h *handshake, start *pgproto3.StartupMessage) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	session := &sess.Session{
		Host:     &s.host,
		Conn:     h.conn,
		Backend:  h.backend,
		Database: start.Parameters["database"],
		Settings: vars.New(start),
	}
	k, err := s.directory.add(session, end)
	if err != nil {
		h.refuse(err)
		return
	}
	defer s.directory.remove(k.process)
	session.Process = k.process
	if !pause(ctx, s.ConnectCost) {
		return
	}
	if start.ProtocolVersion > pgproto3.ProtocolVersion30 {
		h.negotiate()
	}
	if err := s.prove(h); err != nil {
		h.refuse(err)
		return
	}
	if err := h.accept(session.Settings.Report(), k); err != nil {
		return
	}
	_ = h.conn.SetDeadline(time.Time{})
	session.Run(ctx)
}

// prove makes a client prove the password, if there is one.
func (s *Server) prove(h *handshake) error {
	if s.Password == nil {
		return nil
	}
	if err := s.Password.Prove(h.backend); err != nil {
		return core.Refuse(codePassword, "password authentication failed")
	}
	return nil
}

// pause waits, or returns false if the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
