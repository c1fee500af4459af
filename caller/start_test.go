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

// packet puts a length in front of a body.
func packet(body ...byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

func TestBrokenStartIsRefused(t *testing.T) {
	tr := startTrial(t, nil)
	version := []byte{0, 3, 0, 0}
	for _, c := range []struct {
		name string
		data []byte
		code string
	}{
		{name: "a length of zero", data: []byte{0, 0, 0, 0}, code: "08P01"},
		{name: "a length beyond all", data: []byte{0x7f, 0xff, 0xff, 0xff}, code: "08P01"},
		{name: "HTTP", data: []byte("GET / HTTP/1.1\r\n\r\n"), code: "08P01"},
		{name: "protocol 2.0", data: packet(0, 2, 0, 0), code: "08P01"},
		{name: "no end of a value", data: packet(append(version, "user\x00workshop"...)...), code: "08P01"},
		{name: "no parameters", data: packet(append(version, 0)...), code: "08P01"},
		{name: "no user", data: packet(append(version, "database\x00x\x00\x00"...)...), code: "28000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, f := tr.raw()
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
	tr.connect(tr.config(""))
}

// TestStartParameters checks that a caller is refused what the proxy would have to ignore.
func TestStartParameters(t *testing.T) {
	tr := startTrial(t, nil)
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
		config := tr.config("")
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
		conn.Close(t.Context())
	}
	tr.script.mu.Lock()
	defer tr.script.mu.Unlock()
	if s := tr.script.started[2]; s.Token != "abc" || !s.ReadOnly {
		t.Errorf("options gave %+v", s)
	}
}

func TestProtocolVersions(t *testing.T) {
	tr := startTrial(t, nil)
	for _, c := range []struct {
		name    string
		version uint32
		option  string

		// newest is the version that the proxy settles on. Zero says that nothing is negotiated.
		newest uint32
	}{
		{name: "3.0", version: 196608},
		{name: "3.2", version: 196610},
		{name: "3.9999", version: 196608 + 9999, newest: 196610},
		{name: "an option", version: 196608, option: "_pq_.test", newest: 196608},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, f := tr.raw()
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
	for _, words := range []string{"max_protocol_version=3.2", "max_protocol_version=latest", "min_protocol_version=3.2"} {
		tr.connect(tr.config(words))
	}
}

func TestEncryptionRequestsWithoutCertificate(t *testing.T) {
	tr := startTrial(t, nil)
	n, f := tr.raw()
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
	tr.connect(tr.config("sslmode=prefer"))
	_, err := pgconn.ConnectConfig(t.Context(), tr.config("sslmode=require"))
	if err == nil {
		t.Error("a caller that needs encryption was connected without")
	}
}

func TestCancelRequests(t *testing.T) {
	tr := startTrial(t, nil)
	conn := tr.connect(tr.config(""))
	if err := conn.CancelRequest(t.Context()); err != nil {
		t.Fatal(err)
	}
	until(t, "the cancel request", func() bool {
		tr.script.mu.Lock()
		defer tr.script.mu.Unlock()
		return len(tr.script.canceled) == 1
	})
	if k := tr.script.canceled[0]; k != tr.script.Key() {
		t.Errorf("canceled %v", k)
	}
	n, f := tr.raw()
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
	tr.script.mu.Lock()
	defer tr.script.mu.Unlock()
	if len(tr.script.canceled) != 1 {
		t.Error("a secret of a foreign length was passed on")
	}
}

// TestSessionLimit checks that the limit is told before a caller is connected, and holds for
// handshakes too.
func TestSessionLimit(t *testing.T) {
	tr := startTrial(t, func(s *Server) {
		s.SessionLimit = 2
	})
	first := tr.connect(tr.config(""))
	tr.connect(tr.config(""))
	_, err := pgconn.ConnectConfig(t.Context(), tr.config(""))
	wantCode(t, err, "53300")
	first.Close(t.Context())
	until(t, "room for a session", func() bool {
		conn, err := pgconn.ConnectConfig(t.Context(), tr.config(""))
		if err == nil {
			conn.Close(t.Context())
		}
		return err == nil
	})
	silent := []net.Conn{}
	for range 2 {
		n, _ := tr.raw()
		silent = append(silent, n)
	}
	until(t, "handshakes to fill the limit", func() bool {
		return tr.handshakes() == 2
	})
	n, _ := tr.raw()
	if _, err := n.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a handshake over the limit: %v, want EOF", err)
	}
	for _, n := range silent {
		n.Close()
	}
	until(t, "room for a handshake", func() bool {
		conn, err := pgconn.ConnectConfig(t.Context(), tr.config(""))
		if err == nil {
			conn.Close(t.Context())
		}
		return err == nil
	})
}

// TestHalfOpenHandshake checks that a caller that says nothing is told so and let go.
func TestHalfOpenHandshake(t *testing.T) {
	tr := startTrial(t, func(s *Server) {
		s.HandshakeTimeout = 50 * time.Millisecond
	})
	n, f := tr.raw()
	if _, err := n.Write([]byte{0, 0}); err != nil {
		t.Fatal(err)
	}
	if e := expect[*pgproto3.ErrorResponse](t, f); e.Code != "08P01" {
		t.Errorf("SQLSTATE %s, want 08P01", e.Code)
	}
	tr.refused("timeout", 1)
}
