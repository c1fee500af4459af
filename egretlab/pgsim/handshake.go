package pgsim

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/sess"
)

const (
	// codeProtocol refuses a start-up that is not understood.
	codeProtocol = "08P01"

	// codePassword refuses a client that didn't prove the password.
	codePassword = "28P01"

	// maxMessageBytes bounds a message of a client.
	maxMessageBytes = 64 << 20
)

// handshake is the start-up of a connection.
type handshake struct {
	// conn is the connection.
	conn net.Conn

	// backend reads from and writes to conn.
	backend *pgproto3.Backend

	// tls encrypts connections whose clients ask for it, or is nil.
	tls *tls.Config
}

// key is what a client needs to cancel a statement.
type key struct {
	// process is the connection's number.
	process uint32

	// secret is random.
	secret uint32
}

// receive returns the message that starts a connection, after encryption if the client asks for it.
func (h *handshake) receive(ctx context.Context) (pgproto3.FrontendMessage, error) {
	stop := context.AfterFunc(ctx, func() {
		// Until a session has started, nothing is owed to the client.
		_ = h.conn.SetReadDeadline(time.Now())
	})
	defer stop()
	for {
		m, err := h.backend.ReceiveStartupMessage()
		if err != nil {
			h.refuse(core.Refuse(codeProtocol, "broken start-up: %s", err))
			return nil, errors.Trace(err)
		}
		switch m.(type) {
		case *pgproto3.SSLRequest:
			err = h.encrypt()
		case *pgproto3.GSSEncRequest:
			err = h.answer('N')
		default:
			return m, nil
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
	}
}

// encrypt takes up encryption, or declines it if the member has no certificate.
func (h *handshake) encrypt() error {
	if h.tls == nil {
		return h.answer('N')
	}
	if err := h.answer('S'); err != nil {
		return err
	}
	h.conn = tls.Server(h.conn, h.tls)
	h.backend = newBackend(h.conn)
	return nil
}

func (h *handshake) answer(b byte) error {
	_, err := h.conn.Write([]byte{b})
	return errors.Trace(err)
}

func newBackend(c net.Conn) *pgproto3.Backend {
	b := pgproto3.NewBackend(c, c)
	b.SetMaxBodyLen(maxMessageBytes)
	return b
}

// negotiate tells a client that asked for a later version that this is 3.0.
func (h *handshake) negotiate() {
	h.backend.Send(&pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: pgproto3.ProtocolVersion30,
	})
}

// accept lets the client in.
func (h *handshake) accept(settings []*pgproto3.ParameterStatus, k key) error {
	h.backend.Send(&pgproto3.AuthenticationOk{})
	for _, s := range settings {
		h.backend.Send(s)
	}
	h.backend.Send(&pgproto3.BackendKeyData{
		ProcessID: k.process,
		SecretKey: binary.BigEndian.AppendUint32(nil, k.secret),
	})
	h.backend.Send(&pgproto3.ReadyForQuery{
		TxStatus: 'I',
	})
	return errors.Trace(h.backend.Flush())
}

// refuse tells the client why it isn't let in.
func (h *handshake) refuse(reason error) {
	h.backend.Send(sess.Response("FATAL", reason))
	_ = h.backend.Flush()
}
