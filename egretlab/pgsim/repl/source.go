package repl

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// Source serves one stream to a replica.
type Source struct {
	// Member is the primary.
	Member *core.Member

	// Conn is the connection, after its start-up.
	Conn net.Conn

	// Backend reads from and writes to Conn.
	Backend *pgproto3.Backend
}

// Serve streams until the connection or the context ends or the member has granted another term.
func (s *Source) Serve(ctx context.Context) error {
	m, err := s.Backend.Receive()
	if err != nil {
		return errors.Annotate(err, "replication command")
	}
	q, ok := m.(*pgproto3.Query)
	if !ok {
		return errors.NotValidf("replication message %T", m)
	}
	r, err := parseRequest(q.String)
	if err != nil {
		return s.refuse(err)
	}
	common, err := s.Member.CommonPosition(r.Term, r.Spans)
	if err != nil {
		return s.refuse(err)
	}
	s.Backend.Send(&pgproto3.CopyBothResponse{})
	err = s.send(Frame{
		Common: &common.Offset,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go s.readReplies(cancel)
	return s.stream(ctx, r.Term, common.Offset)
}

// stream sends what is beyond the offset, and heartbeats.
func (s *Source) stream(ctx context.Context, term uint64, offset uint64) error {
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		entries, changed, err := s.Member.EntriesToSend(term, offset)
		if err != nil {
			return s.refuse(err)
		}
		if len(entries) > 0 {
			entries = entries[:min(len(entries), maxEntries)]
			if err := s.sendEntries(entries); err != nil {
				return err
			}
			offset += uint64(len(entries))
			continue
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		case <-beat.C:
			if err := s.sendEntries(nil); err != nil {
				return err
			}
		}
	}
}

// readReplies ends the stream when the replica is silent.
func (s *Source) readReplies(cancel context.CancelCauseFunc) {
	for {
		if err := s.Conn.SetReadDeadline(time.Now().Add(silence)); err != nil {
			cancel(err)
			return
		}
		if _, err := s.Backend.Receive(); err != nil {
			cancel(err)
			return
		}
	}
}

func (s *Source) sendEntries(entries []walog.Entry) error {
	return s.send(Frame{
		Entries: entries,
	})
}

func (s *Source) send(f Frame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return errors.Annotate(err, "encoding a frame")
	}
	s.Backend.Send(&pgproto3.CopyData{
		Data: data,
	})
	return s.flush()
}

// refuse tells the replica why the stream ends.
func (s *Source) refuse(reason error) error {
	r := &pgproto3.ErrorResponse{
		Severity: "FATAL",
		Code:     "08P01",
		Message:  reason.Error(),
	}
	if e, ok := reason.(*core.Error); ok {
		r.Code = e.Code
		r.Message = e.Message
	}
	s.Backend.Send(r)
	if err := s.flush(); err != nil {
		return err
	}
	return reason
}

func (s *Source) flush() error {
	if err := s.Conn.SetWriteDeadline(time.Now().Add(silence)); err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(s.Backend.Flush(), "writing a frame")
}
