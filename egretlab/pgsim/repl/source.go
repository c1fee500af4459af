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

// Source serves the primary's side of one replication stream.
type Source struct {
	// Member is the primary.
	Member *core.Member

	// Conn is the connection to the replica, after its start-up.
	Conn net.Conn

	// Backend reads from and writes to Conn.
	Backend *pgproto3.Backend
}

// Serve streams the log until the connection ends, the context is done or the member has granted another
// term.
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
		return s.sendError(err)
	}
	common, err := s.Member.CommonPosition(r.Term, r.Spans)
	if err != nil {
		return s.sendError(err)
	}
	s.Backend.Send(&pgproto3.CopyBothResponse{})
	err = s.sendFrame(Frame{
		Common: &common.Offset,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go s.readReplies(cancel)
	return s.sendLog(ctx, r.Term, common.Offset)
}

// sendLog sends the entries after the offset as they are appended, and heartbeats.
func (s *Source) sendLog(ctx context.Context, term uint64, offset uint64) error {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		entries, changed, err := s.Member.EntriesToSend(term, offset)
		if err != nil {
			return s.sendError(err)
		}
		if len(entries) > 0 {
			entries = entries[:min(len(entries), maxFrameEntries)]
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
		case <-heartbeat.C:
			if err := s.sendEntries(nil); err != nil {
				return err
			}
		}
	}
}

// readReplies discards the replica's replies. It cancels the stream if the connection ends or the replica
// is silent for the peer timeout.
func (s *Source) readReplies(cancel context.CancelCauseFunc) {
	for {
		if err := s.Conn.SetReadDeadline(time.Now().Add(peerTimeout)); err != nil {
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
	return s.sendFrame(Frame{
		Entries: entries,
	})
}

func (s *Source) sendFrame(f Frame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return errors.Annotate(err, "encoding a frame")
	}
	s.Backend.Send(&pgproto3.CopyData{
		Data: data,
	})
	return s.flush()
}

// sendError sends the reason for the end of the stream to the replica. It returns the reason, or the error of
// the write.
func (s *Source) sendError(reason error) error {
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
	if err := s.Conn.SetWriteDeadline(time.Now().Add(peerTimeout)); err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(s.Backend.Flush(), "writing a frame")
}
