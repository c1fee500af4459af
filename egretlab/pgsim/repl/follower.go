package repl

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
	"github.com/phuslu/log"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

const (
	dialTimeout = time.Second
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// Follower keeps a member's log up with that of the primary that it is told to follow.
type Follower struct {
	// Member is the replica. While it has another role the follower waits.
	Member *core.Member

	// Addresses says where to dial instead.
	Addresses egret.AddressMap
}

// Run follows the primary of each grant in turn. It returns when the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.Member.Changed()
		g := f.Member.State().Grant
		if g.Role == egret.RoleReplica && g.Upstream.IsValid() {
			f.followGrant(ctx, g)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// followGrant streams, and reconnects, for as long as the member has the grant.
func (f *Follower) followGrant(ctx context.Context, g walog.Grant) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.watchGrant(ctx, cancel, g)
	backoff := minBackoff
	connected := true
	for {
		s := stream{
			member: f.Member,
			grant:  g,
		}
		err := s.run(ctx, f.Addresses.Resolve(g.Upstream))
		if ctx.Err() != nil {
			return
		}
		if s.started || connected {
			log.Warn().Str("member", f.Member.Name).Str("upstream", g.Upstream.String()).Err(err).Msg("replication stopped")
		}
		if s.started {
			backoff = minBackoff
		}
		connected = false
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// watchGrant cancels when the member no longer has the grant.
func (f *Follower) watchGrant(ctx context.Context, cancel context.CancelFunc, g walog.Grant) {
	defer cancel()
	for {
		changed := f.Member.Changed()
		if f.Member.State().Grant != g {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// stream is one connection to the primary.
type stream struct {
	// member is the replica.
	member *core.Member

	// grant is what the stream is for. The member refuses entries once it has another.
	grant walog.Grant

	// conn is the connection.
	conn net.Conn

	// frontend reads from and writes to conn.
	frontend *pgproto3.Frontend

	// started says that the logs are joined.
	started bool
}

// run streams until an error.
func (s *stream) run(ctx context.Context, address netip.AddrPort) error {
	d := net.Dialer{
		Timeout: dialTimeout,
	}
	conn, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return errors.Annotate(err, "dialling the primary")
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() {
		conn.Close()
	})
	defer stop()
	s.conn = conn
	s.frontend = pgproto3.NewFrontend(conn, conn)
	if err := s.open(); err != nil {
		return err
	}
	for {
		f, err := s.receive()
		if err != nil {
			return err
		}
		if err := s.take(f); err != nil {
			return err
		}
	}
}

// open starts the connection and asks for the log.
func (s *stream) open() error {
	s.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             "replication",
			"replication":      "true",
			"application_name": s.member.Name,
		},
	})
	if err := s.flush(); err != nil {
		return err
	}
	for {
		m, err := s.message()
		if err != nil {
			return err
		}
		if _, ready := m.(*pgproto3.ReadyForQuery); ready {
			return s.request()
		}
	}
}

func (s *stream) request() error {
	data, err := json.Marshal(Request{
		Member: s.member.Name,
		Term:   s.grant.Term,
		Spans:  s.member.Spans(),
	})
	if err != nil {
		return errors.Annotate(err, "encoding the request")
	}
	s.frontend.Send(&pgproto3.Query{
		String: command + string(data),
	})
	return s.flush()
}

// take joins the logs with the first frame, and receives the entries of those that follow.
func (s *stream) take(f Frame) error {
	if f.Common != nil {
		if err := s.member.Truncate(s.grant, *f.Common); err != nil {
			return err
		}
		s.started = true
		log.Info().Str("member", s.member.Name).Str("upstream", s.grant.Upstream.String()).
			Uint64("term", s.grant.Term).Uint64("common", *f.Common).Msg("replication started")
	}
	if err := s.member.Receive(s.grant, f.Entries); err != nil {
		return err
	}
	return s.reply()
}

func (s *stream) reply() error {
	data, err := json.Marshal(Reply{
		Received: s.member.State().Received.Offset,
	})
	if err != nil {
		return errors.Annotate(err, "encoding a reply")
	}
	s.frontend.Send(&pgproto3.CopyData{
		Data: data,
	})
	return s.flush()
}

// receive returns the next frame.
func (s *stream) receive() (Frame, error) {
	for {
		m, err := s.message()
		if err != nil {
			return Frame{}, err
		}
		d, ok := m.(*pgproto3.CopyData)
		if !ok {
			continue
		}
		var f Frame
		err = json.Unmarshal(d.Data, &f)
		return f, errors.Annotate(err, "decoding a frame")
	}
}

// message returns the primary's next message, or an error if it is silent or refuses.
func (s *stream) message() (pgproto3.BackendMessage, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(silence)); err != nil {
		return nil, errors.Trace(err)
	}
	m, err := s.frontend.Receive()
	if err != nil {
		return nil, errors.Annotate(err, "reading from the primary")
	}
	if e, refused := m.(*pgproto3.ErrorResponse); refused {
		return nil, errors.Errorf("the primary refused: %s (SQLSTATE %s)", e.Message, e.Code)
	}
	return m, nil
}

func (s *stream) flush() error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(silence)); err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(s.frontend.Flush(), "writing to the primary")
}
