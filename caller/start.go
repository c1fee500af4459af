package caller

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret"
)

// codeTooManyConnections is SQLSTATE too_many_connections.
const codeTooManyConnections = "53300"

// refusalTimeout limits how long sending the error to a refused caller takes.
const refusalTimeout = time.Second

// TokenParameter is the name of the parameter that carries a session's token.
const TokenParameter = "egretlane.token"

// Startup has the parameters that a caller sends when it connects.
type Startup struct {
	// User is the caller's name. It is authenticated before Handler.Admit is called.
	User string

	// Database is the requested database. It defaults to the user's name.
	Database string

	// Token is the session token, or "".
	Token string

	// ReadOnly reports whether transactions are read-only by default.
	ReadOnly bool

	// RemoteAddr is the caller's address.
	RemoteAddr netip.AddrPort
}

// handshakeError is a failed handshake, with the cause that metrics count it under.
type handshakeError struct {
	// cause is the value of the metric's label, in kebab case.
	cause string

	// failure is the error that the caller was sent. It may be nil.
	failure *egret.Failure
}

// Error names the cause and the failure.
func (e *handshakeError) Error() string {
	if e.failure == nil {
		return e.cause
	}
	return e.cause + ": " + e.failure.Error()
}

// causeOf returns the metric label of a failed handshake.
func causeOf(err error) string {
	var h *handshakeError
	if errors.As(err, &h) {
		return h.cause
	}
	return "network"
}

// handshake processes start-up packets up to the start-up message. It returns a connection that is ready for queries,
// or nil after a cancel request.
func (s *Server) handshake(ctx context.Context, n net.Conn) (opened *Conn, err error) {
	c := s.newConn(n)
	defer func() {
		if err != nil && c != nil {
			// Messages of the authentication may have taken memory.
			c.memory.account.Close()
		}
	}()
	for {
		m, err := readPacket(c.netConn)
		if err != nil {
			return nil, c.refuse("protocol", egret.CodeProtocol, "the start-up message is broken", err)
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest:
			c, err = s.negotiateTLS(c)
		case *pgproto3.GSSEncRequest:
			_, err = c.netConn.Write([]byte{'N'})
		case *pgproto3.CancelRequest:
			s.forwardCancel(ctx, m)
			return nil, nil
		case *pgproto3.StartupMessage:
			return c, s.startSession(c, m)
		}
		if err != nil {
			return nil, err
		}
	}
}

// negotiateTLS answers a request for encryption. It returns the connection to go on with, encrypted if the server has a
// TLS configuration.
func (s *Server) negotiateTLS(c *Conn) (*Conn, error) {
	if _, encrypted := c.netConn.(*tls.Conn); encrypted {
		return nil, c.refuse("protocol", egret.CodeProtocol, "the connection is encrypted already", nil)
	}
	if s.TLS == nil {
		_, err := c.netConn.Write([]byte{'N'})
		return c, errors.Trace(err)
	}
	if _, err := c.netConn.Write([]byte{'S'}); err != nil {
		return nil, errors.Trace(err)
	}
	t := tls.Server(c.netConn, s.TLS)
	if err := t.Handshake(); err != nil {
		return nil, &handshakeError{
			cause: "tls",
		}
	}
	return s.newConn(t), nil
}

// forwardCancel passes a cancel request to the handler. It ignores a secret of any length other than that of
// CancelKey.Secret.
func (s *Server) forwardCancel(ctx context.Context, m *pgproto3.CancelRequest) {
	if len(m.SecretKey) != len(CancelKey{}.Secret) {
		return
	}
	s.Handler.Cancel(ctx, CancelKey{
		ProcessID: m.ProcessID,
		Secret:    [4]byte(m.SecretKey),
	})
}

// startSession processes a start-up message: it authenticates and admits the caller, or refuses it.
func (s *Server) startSession(c *Conn, m *pgproto3.StartupMessage) error {
	if _, encrypted := c.netConn.(*tls.Conn); s.RequireTLS && !encrypted {
		return c.refuse("tls", egret.CodeAuthentication, "this proxy takes encrypted connections only", nil)
	}
	c.negotiateProtocol(m)
	start, err := parseStartup(m)
	if err != nil {
		f := egret.FailureOf(err)
		return c.refuse("parameter", f.Code, f.Message, nil)
	}
	if start.User == "" {
		return c.refuse("protocol", egret.CodeAuthentication, "the start-up message names no user", nil)
	}
	start.RemoteAddr = remoteAddr(c.netConn)
	c.Startup = start
	if err := s.authenticate(c); err != nil {
		return err
	}
	if err := s.Handler.Admit(&c.Startup); err != nil {
		f := egret.FailureOf(err)
		return c.refuse("not-admitted", f.Code, f.Message, nil)
	}
	if !s.addConn(c) {
		return c.refuse("limit", codeTooManyConnections, "the proxy has its limit of connections", nil)
	}
	if err := s.completeHandshake(c); err != nil {
		s.removeConn(c)
		return errors.Trace(err)
	}
	return nil
}

// completeHandshake tells the caller that it is connected and removes the deadline of the handshake.
func (s *Server) completeHandshake(c *Conn) error {
	c.CancelKey = s.Handler.NewCancelKey()
	c.backend.SetMaxBodyLen(c.maxBatchBytes)
	c.sendStartupResponse()
	if err := c.Flush(); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(c.netConn.SetDeadline(time.Time{}))
}

// sendStartupResponse sends the messages that tell the caller that it is connected.
func (c *Conn) sendStartupResponse() {
	c.send(&pgproto3.AuthenticationOk{})
	c.WriteParameter("server_version", "15.0 (egretlane)")
	c.WriteParameter("server_encoding", "UTF8")
	c.WriteParameter("client_encoding", "UTF8")
	c.WriteParameter("DateStyle", "ISO, MDY")
	c.WriteParameter("IntervalStyle", "postgres")
	c.WriteParameter("TimeZone", "UTC")
	c.WriteParameter("integer_datetimes", "on")
	c.WriteParameter("standard_conforming_strings", "on")
	c.send(&pgproto3.BackendKeyData{
		ProcessID: c.CancelKey.ProcessID,
		SecretKey: c.CancelKey.Secret[:],
	})
	c.WriteReady(egret.TxIdle)
}

// refuse sends the caller a fatal error and returns a handshakeError with the cause. err, if any, is added to the
// message. A caller that has disconnected or has been too slow is counted as closed or timeout instead.
func (c *Conn) refuse(cause, code, message string, err error) error {
	if errors.Is(err, io.EOF) {
		return &handshakeError{
			cause: "closed",
		}
	}
	if isTimeout(err) {
		cause = "timeout"
	}
	if err != nil {
		message = message + ": " + err.Error()
	}
	// The deadline of the handshake may have passed, and the error should be sent nevertheless.
	_ = c.netConn.SetDeadline(time.Now().Add(refusalTimeout))
	c.WriteFatal(code, message)
	return &handshakeError{
		cause: cause,
		failure: &egret.Failure{
			Outcome: egret.OutcomeNotRun,
			Code:    code,
			Message: message,
		},
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func remoteAddr(n net.Conn) netip.AddrPort {
	a, ok := n.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return a.AddrPort()
}
