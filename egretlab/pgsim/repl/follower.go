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
	// dialTimeout limits a connection attempt.
	dialTimeout = time.Second

	// minBackoff is the delay before the first reconnection. It doubles with each failed attempt.
	minBackoff = 50 * time.Millisecond

	// maxBackoff is the longest delay between two attempts.
	maxBackoff = 500 * time.Millisecond
)

// Follower replicates the log of the primary that a member has been told to follow.
type Follower struct {
	// Member is the replica. The follower is idle while the member has another role.
	Member *core.Member

	// Addresses maps the primary's address to the address to dial.
	Addresses egret.AddressMap
}

// Run follows the primary of the member's current grant. It returns when the context is done.
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

// followGrant streams from the grant's primary, and reconnects, until the member has another grant or the
// context is done.
func (f *Follower) followGrant(ctx context.Context, g walog.Grant) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.cancelOnNewGrant(ctx, cancel, g)
	backoff := minBackoff
	// Of consecutive failed attempts, only the first is logged.
	firstAttempt := true
	for {
		s := stream{
			member: f.Member,
			grant:  g,
		}
		err := s.run(ctx, f.Addresses.Resolve(g.Upstream))
		if ctx.Err() != nil {
			return
		}
		if s.started || firstAttempt {
			log.Warn().Str("member", f.Member.Name).Str("upstream", g.Upstream.String()).Err(err).Msg("replication stopped")
		}
		if s.started {
			backoff = minBackoff
		}
		firstAttempt = false
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// cancelOnNewGrant calls cancel when the member has another grant.
func (f *Follower) cancelOnNewGrant(ctx context.Context, cancel context.CancelFunc, g walog.Grant) {
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

// stream is one replication connection to the primary.
type stream struct {
	// member is the replica.
	member *core.Member

	// grant is the member's grant when the stream was opened. The member refuses the stream's entries once
	// it has another.
	grant walog.Grant

	// conn is the connection to the primary.
	conn net.Conn

	// frontend reads from and writes to conn.
	frontend *pgproto3.Frontend

	// started reports whether the first frame has been processed.
	started bool
}

// run connects to the primary and receives frames until an error occurs.
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
	if err := s.sendStartup(); err != nil {
		return err
	}
	for {
		f, err := s.receiveFrame()
		if err != nil {
			return err
		}
		if err := s.handleFrame(f); err != nil {
			return err
		}
	}
}

// sendStartup performs the connection's start-up and requests the log.
func (s *stream) sendStartup() error {
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
		m, err := s.receiveMessage()
		if err != nil {
			return err
		}
		if _, ready := m.(*pgproto3.ReadyForQuery); ready {
			return s.sendRequest()
		}
	}
}

func (s *stream) sendRequest() error {
	data, err := json.Marshal(Request{
		Member: s.member.Name,
		Term:   s.grant.Term,
		Spans:  s.member.Spans(),
	})
	if err != nil {
		return errors.Annotate(err, "encoding the request")
	}
	s.frontend.Send(&pgproto3.Query{
		String: startCommand + string(data),
	})
	return s.flush()
}

// handleFrame truncates the log to the common offset if the frame has one, appends the frame's entries, and
// replies.
func (s *stream) handleFrame(f Frame) error {
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
	return s.sendReply()
}

func (s *stream) sendReply() error {
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

// receiveFrame returns the next frame. It skips other messages.
func (s *stream) receiveFrame() (Frame, error) {
	for {
		m, err := s.receiveMessage()
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

// receiveMessage returns the primary's next message. It fails if the primary is silent for the peer timeout
// or sends an error.
func (s *stream) receiveMessage() (pgproto3.BackendMessage, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(peerTimeout)); err != nil {
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
	if err := s.conn.SetWriteDeadline(time.Now().Add(peerTimeout)); err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(s.frontend.Flush(), "writing to the primary")
}
