package caller

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret"
)

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
	if err := n.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, errors.Trace(err)
	}
	c := newConn(n, s.StatementLimit)
	for {
		m, err := c.backend.ReceiveStartupMessage()
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
		default:
			err = c.refuse("protocol", egret.CodeProtocol, "the start-up message has an unknown kind", nil)
		}
		if err != nil {
			return nil, err
		}
	}
}

func (s *Server) answerTLS(c *Conn) (*Conn, error) {
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
	return newConn(t, s.StatementLimit), nil
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
	c.Start = startupOf(m, c.net)
	if c.Start.User == "" {
		return c.refuse("protocol", egret.CodeCaller, "the start-up message names no user", nil)
	}
	if err := s.prove(c); err != nil {
		return err
	}
	if err := s.Handler.Admit(&c.Start); err != nil {
		f := egret.FailureOf(err)
		return c.refuse("not-admitted", f.Code, f.Message, nil)
	}
	c.Key = s.Handler.Key()
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
	if err != nil {
		message = message + ": " + err.Error()
	}
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

func startupOf(m *pgproto3.StartupMessage, n net.Conn) Startup {
	s := Startup{
		User:     m.Parameters["user"],
		Database: m.Parameters["database"],
		Token:    m.Parameters[TokenParameter],
	}
	if s.Database == "" {
		s.Database = s.User
	}
	if s.Token == "" {
		s.Token = tokenOption(m.Parameters["options"])
	}
	if a, ok := n.RemoteAddr().(*net.TCPAddr); ok {
		s.Remote = a.AddrPort()
	}
	return s
}

// tokenOption finds the token in options of the form "-c egretlane.token=...", which drivers offer
// that know only the standard parameters.
func tokenOption(options string) string {
	for field := range strings.FieldsSeq(options) {
		field = strings.TrimPrefix(field, "-c")
		field = strings.TrimPrefix(field, "--")
		if value, found := strings.CutPrefix(field, TokenParameter+"="); found {
			return value
		}
	}
	return ""
}
