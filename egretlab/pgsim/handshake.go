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
	// codeProtocolViolation is the SQLSTATE protocol_violation, for a malformed start-up.
	codeProtocolViolation = "08P01"

	// codeInvalidPassword is the SQLSTATE invalid_password.
	codeInvalidPassword = "28P01"

	// maxMessageBytes limits the body of one client message.
	maxMessageBytes = 64 << 20
)

// handshake performs the start-up of a connection, up to the first ReadyForQuery.
type handshake struct {
	// conn is the connection, wrapped in TLS after startTLS.
	conn net.Conn

	// backend reads from and writes to conn.
	backend *pgproto3.Backend

	// tls is the configuration for clients that request encryption. If nil, requests are declined.
	tls *tls.Config
}

// cancelKey is the BackendKeyData that a client needs to cancel a statement.
type cancelKey struct {
	// process is the connection's process number.
	process uint32

	// secret is a random number that a CancelRequest has to repeat.
	secret uint32
}

// receiveStartup returns the first start-up message that is not an encryption request. It switches to
// TLS if the client requests it.
func (h *handshake) receiveStartup(ctx context.Context) (pgproto3.FrontendMessage, error) {
	stop := context.AfterFunc(ctx, func() {
		// Before its session starts, the client gets no message about the shutdown.
		_ = h.conn.SetReadDeadline(time.Now())
	})
	defer stop()
	for {
		m, err := h.backend.ReceiveStartupMessage()
		if err != nil {
			h.reject(core.Errorf(codeProtocolViolation, "broken start-up: %s", err))
			return nil, errors.Trace(err)
		}
		switch m.(type) {
		case *pgproto3.SSLRequest:
			err = h.startTLS()
		case *pgproto3.GSSEncRequest:
			err = h.writeByte('N')
		default:
			return m, nil
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
	}
}

// startTLS switches the connection to TLS, or declines if the member has no certificate.
func (h *handshake) startTLS() error {
	if h.tls == nil {
		return h.writeByte('N')
	}
	if err := h.writeByte('S'); err != nil {
		return err
	}
	h.conn = tls.Server(h.conn, h.tls)
	h.backend = newBackend(h.conn)
	return nil
}

func (h *handshake) writeByte(b byte) error {
	_, err := h.conn.Write([]byte{b})
	return errors.Trace(err)
}

func newBackend(c net.Conn) *pgproto3.Backend {
	b := pgproto3.NewBackend(c, c)
	b.SetMaxBodyLen(maxMessageBytes)
	return b
}

// negotiateVersion tells a client that requested a later protocol version that the server supports 3.0.
func (h *handshake) negotiateVersion() {
	h.backend.Send(&pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: pgproto3.ProtocolVersion30,
	})
}

// sendReady completes the start-up: the client may now send statements.
func (h *handshake) sendReady(settings []*pgproto3.ParameterStatus, k cancelKey) error {
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

// reject sends the reason as a fatal error.
func (h *handshake) reject(reason error) {
	h.backend.Send(sess.ErrorResponse("FATAL", reason))
	_ = h.backend.Flush()
}
