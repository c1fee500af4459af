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

// codeTooMany is SQLSTATE too_many_connections.
const codeTooMany = "53300"

// refusalTimeout bounds the last word to a caller that is refused.
const refusalTimeout = time.Second

// TokenParameter is the name under which a session's token travels.
const TokenParameter = "egretlane.token"

// Startup is what a caller says when it connects.
type Startup struct {
	// User is the caller's name. It is proved when Admit sees it.
	User string

	// Database is the database that the caller asks for. It is the user's name if none was given.
	Database string

	// Token is the session's token, or "".
	Token string

	// ReadOnly says that the session's transactions read only, unless one says otherwise.
	ReadOnly bool

	// Remote is the caller's address.
	Remote netip.AddrPort
}

// handshakeError is an error of the handshake with its cause for the metrics.
type handshakeError struct {
	// cause is a word in kebab case.
	cause string

	// failure is what the caller was told. It may be nil.
	failure *egret.Failure
}

// Error names the cause and the failure.
func (e *handshakeError) Error() string {
	if e.failure == nil {
		return e.cause
	}
	return e.cause + ": " + e.failure.Error()
}

func causeOf(err error) string {
	var h *handshakeError
	if errors.As(err, &h) {
		return h.cause
	}
	return "network"
}

// handshake returns a connection that is ready for queries, or nil after a cancel request.
func (s *Server) handshake(ctx context.Context, n net.Conn) (*Conn, error) {
	if err := n.SetDeadline(time.Now().Add(s.handshakeTimeout())); err != nil {
		return nil, errors.Trace(err)
	}
	c := s.newConn(n)
	for {
		m, err := readPacket(c.net)
		if err != nil {
			return nil, c.refuse("protocol", egret.CodeProtocol, "the start-up message is broken", err)
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest:
			c, err = s.answerTLS(c)
		case *pgproto3.GSSEncRequest:
			_, err = c.net.Write([]byte{'N'})
		case *pgproto3.CancelRequest:
			s.cancel(ctx, m)
			return nil, nil
		case *pgproto3.StartupMessage:
			return c, s.start(c, m)
		}
		if err != nil {
			return nil, err
		}
	}
}

func (s *Server) answerTLS(c *Conn) (*Conn, error) {
	if _, encrypted := c.net.(*tls.Conn); encrypted {
		return nil, c.refuse("protocol", egret.CodeProtocol, "the connection is encrypted already", nil)
	}
	if s.TLS == nil {
		_, err := c.net.Write([]byte{'N'})
		return c, errors.Trace(err)
	}
	if _, err := c.net.Write([]byte{'S'}); err != nil {
		return nil, errors.Trace(err)
	}
	t := tls.Server(c.net, s.TLS)
	if err := t.Handshake(); err != nil {
		return nil, &handshakeError{
			cause: "tls",
		}
	}
	return s.newConn(t), nil
}

func (s *Server) cancel(ctx context.Context, m *pgproto3.CancelRequest) {
	if len(m.SecretKey) != len(CancelKey{}.Secret) {
		return
	}
	s.Handler.Cancel(ctx, CancelKey{
		Process: m.ProcessID,
		Secret:  [4]byte(m.SecretKey),
	})
}

func (s *Server) start(c *Conn, m *pgproto3.StartupMessage) error {
	if _, encrypted := c.net.(*tls.Conn); s.RequireTLS && !encrypted {
		return c.refuse("tls", egret.CodeCaller, "this proxy takes encrypted connections only", nil)
	}
	c.negotiate(m)
	start, err := startupOf(m)
	if err != nil {
		f := egret.FailureOf(err)
		return c.refuse("parameter", f.Code, f.Message, nil)
	}
	if start.User == "" {
		return c.refuse("protocol", egret.CodeCaller, "the start-up message names no user", nil)
	}
	start.Remote = remoteOf(c.net)
	c.Start = start
	if err := s.prove(c); err != nil {
		return err
	}
	if err := s.Handler.Admit(&c.Start); err != nil {
		f := egret.FailureOf(err)
		return c.refuse("not-admitted", f.Code, f.Message, nil)
	}
	if !s.add(c) {
		return c.refuse("limit", codeTooMany, "the proxy has its limit of connections", nil)
	}
	if err := s.admit(c); err != nil {
		s.remove(c)
		return errors.Trace(err)
	}
	return nil
}

// admit tells the caller that it is connected and ends the bound on the handshake.
func (s *Server) admit(c *Conn) error {
	c.Key = s.Handler.Key()
	c.backend.SetMaxBodyLen(c.limit)
	c.greet()
	if err := c.Flush(); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(c.net.SetDeadline(time.Time{}))
}

// greet says that the caller is connected.
func (c *Conn) greet() {
	c.send(&pgproto3.AuthenticationOk{})
	c.Parameter("server_version", "15.0 (egretlane)")
	c.Parameter("server_encoding", "UTF8")
	c.Parameter("client_encoding", "UTF8")
	c.Parameter("DateStyle", "ISO, MDY")
	c.Parameter("IntervalStyle", "postgres")
	c.Parameter("TimeZone", "UTC")
	c.Parameter("integer_datetimes", "on")
	c.Parameter("standard_conforming_strings", "on")
	c.send(&pgproto3.BackendKeyData{
		ProcessID: c.Key.Process,
		SecretKey: c.Key.Secret[:],
	})
	c.Ready(egret.TxIdle)
}

// refuse tells the caller why its connection ends.
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
	// The time of the handshake may be over, and the caller is to be told all the same.
	_ = c.net.SetDeadline(time.Now().Add(refusalTimeout))
	c.FailFatal(code, message)
	return &handshakeError{
		cause: cause,
		failure: &egret.Failure{
			Outcome: egret.NotRun,
			Code:    code,
			Message: message,
		},
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func remoteOf(n net.Conn) netip.AddrPort {
	a, ok := n.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return a.AddrPort()
}
