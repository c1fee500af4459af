package caller

import (
	"encoding/binary"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// startupPacket returns a start-up packet with the body.
func startupPacket(body ...byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

func TestBrokenStartIsRefused(t *testing.T) {
	ts := startServer(t, nil)
	version := []byte{0, 3, 0, 0}
	for _, c := range []struct {
		name string
		data []byte
		code string
	}{
		{name: "a length of zero", data: []byte{0, 0, 0, 0}, code: "08P01"},
		{name: "a length beyond all", data: []byte{0x7f, 0xff, 0xff, 0xff}, code: "08P01"},
		{name: "HTTP", data: []byte("GET / HTTP/1.1\r\n\r\n"), code: "08P01"},
		{name: "protocol 2.0", data: startupPacket(0, 2, 0, 0), code: "08P01"},
		{name: "no end of a value", data: startupPacket(append(version, "user\x00workshop"...)...), code: "08P01"},
		{name: "no parameters", data: startupPacket(append(version, 0)...), code: "08P01"},
		{name: "no user", data: startupPacket(append(version, "database\x00x\x00\x00"...)...), code: "28000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, f := ts.dial()
			if _, err := n.Write(c.data); err != nil {
				t.Fatal(err)
			}
			if e := expect[*pgproto3.ErrorResponse](t, f); e.Code != c.code || e.Severity != "FATAL" {
				t.Errorf("%s %s, want FATAL %s", e.Severity, e.Code, c.code)
			}
			if m, err := f.Receive(); err == nil {
				t.Errorf("%T after the refusal", m)
			}
		})
	}
	ts.connect(ts.config(""))
}

// TestStartParameters checks that start-up parameters are applied, and that the proxy refuses those that it can't
// support instead of ignoring them.
func TestStartParameters(t *testing.T) {
	ts := startServer(t, nil)
	accepted := 0
	for _, c := range []struct {
		name, value string
		code        string
	}{
		{name: "application_name", value: "psql"},
		{name: "client_encoding", value: "'utf-8'"},
		{name: "options", value: "-c egretlane.token=abc --default-transaction-read-only=on"},
		{name: "replication", value: "off"},
		{name: "replication", value: "database", code: "0A000"},
		{name: "search_path", value: "other", code: "0A000"},
		{name: "client_encoding", value: "LATIN1", code: "0A000"},
		{name: "options", value: "-c statement_timeout=5s", code: "0A000"},
		{name: "database", value: "nowhere", code: "3D000"},
	} {
		config := ts.config("")
		config.RuntimeParams[c.name] = c.value
		if c.name == "database" {
			config.Database = c.value
		}
		conn, err := pgconn.ConnectConfig(t.Context(), config)
		if c.code != "" {
			wantCode(t, err, c.code)
			continue
		}
		if err != nil {
			t.Errorf("%s=%s: %v", c.name, c.value, err)
			continue
		}
		accepted++
		conn.Close(t.Context())
	}
	// The greeting is sent before the session is served, so that sessions may be noted late and in another order.
	waitFor(t, "all accepted sessions", func() bool {
		ts.handler.mu.Lock()
		defer ts.handler.mu.Unlock()
		return len(ts.handler.startups) >= accepted
	})
	ts.handler.mu.Lock()
	defer ts.handler.mu.Unlock()
	withOptions := 0
	for _, s := range ts.handler.startups {
		switch {
		case s.Token == "abc" && s.ReadOnly:
			withOptions++
		case s.Token != "" || s.ReadOnly:
			t.Errorf("start-up parameters gave %+v", s)
		}
	}
	if len(ts.handler.startups) != accepted || withOptions != 1 {
		t.Errorf("%d sessions, %d of them with the options; want %d and 1", len(ts.handler.startups), withOptions, accepted)
	}
}

func TestProtocolVersions(t *testing.T) {
	ts := startServer(t, nil)
	for _, c := range []struct {
		name    string
		version uint32
		option  string

		// newest is the version in NegotiateProtocolVersion. Zero means that the message isn't sent.
		newest uint32
	}{
		{name: "3.0", version: 196608},
		{name: "3.2", version: 196610},
		{name: "3.9999", version: 196608 + 9999, newest: 196610},
		{name: "an option", version: 196608, option: "_pq_.test", newest: 196608},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, f := ts.dial()
			m := &pgproto3.StartupMessage{
				ProtocolVersion: c.version,
				Parameters: map[string]string{
					"user": user,
				},
			}
			if c.option != "" {
				m.Parameters[c.option] = "1"
			}
			f.Send(m)
			if err := f.Flush(); err != nil {
				t.Fatal(err)
			}
			if c.newest > 0 {
				got := expect[*pgproto3.NegotiateProtocolVersion](t, f)
				if got.NewestMinorProtocol != c.newest || (c.option != "" && !slices.Equal(got.UnrecognizedOptions, []string{c.option})) {
					t.Errorf("negotiated %+v", got)
				}
			}
			expect[*pgproto3.ReadyForQuery](t, f)
		})
	}
	for _, options := range []string{"max_protocol_version=3.2", "max_protocol_version=latest", "min_protocol_version=3.2"} {
		ts.connect(ts.config(options))
	}
}

func TestEncryptionRequestsWithoutCertificate(t *testing.T) {
	ts := startServer(t, nil)
	n, f := ts.dial()
	for _, m := range []pgproto3.FrontendMessage{&pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}} {
		f.Send(m)
		if err := f.Flush(); err != nil {
			t.Fatal(err)
		}
		answer := [1]byte{}
		if _, err := io.ReadFull(n, answer[:]); err != nil || answer[0] != 'N' {
			t.Fatalf("%T: answer %q, %v", m, answer, err)
		}
	}
	ts.connect(ts.config("sslmode=prefer"))
	_, err := pgconn.ConnectConfig(t.Context(), ts.config("sslmode=require"))
	if err == nil {
		t.Error("a caller that requires encryption was connected without it")
	}
}

func TestCancelRequests(t *testing.T) {
	ts := startServer(t, nil)
	conn := ts.connect(ts.config(""))
	if err := conn.CancelRequest(t.Context()); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the cancel request", func() bool {
		ts.handler.mu.Lock()
		defer ts.handler.mu.Unlock()
		return len(ts.handler.canceledKeys) == 1
	})
	if k := ts.handler.canceledKeys[0]; k != ts.handler.NewCancelKey() {
		t.Errorf("canceled %v", k)
	}
	n, f := ts.dial()
	f.Send(&pgproto3.CancelRequest{
		ProcessID: 7,
		SecretKey: make([]byte, 32),
	})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(n); err != nil || len(rest) > 0 {
		t.Errorf("a cancel request was answered with %q, %v", rest, err)
	}
	ts.handler.mu.Lock()
	defer ts.handler.mu.Unlock()
	if len(ts.handler.canceledKeys) != 1 {
		t.Error("a cancel request whose secret has the wrong length was passed on")
	}
}

// TestSessionLimit checks that a caller above the limit gets an error in place of a session, and that the limit applies
// to concurrent handshakes as well.
func TestSessionLimit(t *testing.T) {
	ts := startServer(t, func(s *Server) {
		s.SessionLimit = 2
	})
	first := ts.connect(ts.config(""))
	ts.connect(ts.config(""))
	_, err := pgconn.ConnectConfig(t.Context(), ts.config(""))
	wantCode(t, err, "53300")
	first.Close(t.Context())
	waitFor(t, "room for a session", func() bool {
		conn, err := pgconn.ConnectConfig(t.Context(), ts.config(""))
		if err == nil {
			conn.Close(t.Context())
		}
		return err == nil
	})
	// The server may still count the handshake of the caller that has just connected.
	waitFor(t, "the end of the handshakes before", func() bool {
		return ts.handshakeCount() == 0
	})
	silent := []net.Conn{}
	for range 2 {
		n, _ := ts.dial()
		silent = append(silent, n)
	}
	waitFor(t, "handshakes to fill the limit", func() bool {
		return ts.handshakeCount() == 2
	})
	n, _ := ts.dial()
	if _, err := n.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a handshake over the limit: %v, want EOF", err)
	}
	for _, n := range silent {
		n.Close()
	}
	waitFor(t, "room for a handshake", func() bool {
		conn, err := pgconn.ConnectConfig(t.Context(), ts.config(""))
		if err == nil {
			conn.Close(t.Context())
		}
		return err == nil
	})
}

// TestHalfOpenHandshake checks that a caller that stops within a start-up packet gets an error when the handshake times
// out.
func TestHalfOpenHandshake(t *testing.T) {
	ts := startServer(t, func(s *Server) {
		s.HandshakeTimeout = 50 * time.Millisecond
	})
	n, f := ts.dial()
	if _, err := n.Write([]byte{0, 0}); err != nil {
		t.Fatal(err)
	}
	if e := expect[*pgproto3.ErrorResponse](t, f); e.Code != "08P01" {
		t.Errorf("SQLSTATE %s, want 08P01", e.Code)
	}
	ts.waitRefused("timeout", 1)
}
