package caller

import (
	"crypto/tls"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestCloseDeliversAnswer guards against answers and errors that are lost since their connection is closed while it has unread
// bytes. The caller reads slowly, so that most of the answer is still in buffers of the sockets.
func TestCloseDeliversAnswer(t *testing.T) {
	const answerBytes = 1 << 20
	a := newAuthority(t)
	for _, c := range []struct {
		name string
		tls  bool
	}{
		{name: "plain"},
		{name: "TLS", tls: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ts := startServer(t, func(s *Server) {
				if c.tls {
					s.TLS = &tls.Config{
						Certificates: []tls.Certificate{a.sign(t, "proxy")},
					}
				}
			})
			ts.handler.outputBytes = answerBytes
			raw, err := net.Dial("tcp", ts.server.ListenAddress.String())
			if err != nil {
				t.Fatal(err)
			}
			defer raw.Close()
			if err := raw.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
				t.Fatal(err)
			}
			if err := raw.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			n := raw
			if c.tls {
				n = encrypt(t, raw, a)
			}
			f := pgproto3.NewFrontend(n, n)
			f.Send(&pgproto3.StartupMessage{
				ProtocolVersion: pgproto3.ProtocolVersion30,
				Parameters: map[string]string{
					"user": user,
				},
			})
			f.Send(&pgproto3.Query{
				String: "SELECT 1",
			})
			if err := f.Flush(); err != nil {
				t.Fatal(err)
			}
			// The size of the second message ends the session.
			if _, err := io.WriteString(n, "Q\x7f\xff\xff\xff"+strings.Repeat(" ", 64<<10)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			text, err := io.ReadAll(n)
			if len(text) < answerBytes || !strings.HasSuffix(string(text), "Z\x00\x00\x00\x05I") {
				t.Errorf("the caller gets %d bytes, %v", len(text), err)
			}
		})
	}
}

// TestCloseDeliversRefusal guards against refused callers that get a reset in place of the reason.
func TestCloseDeliversRefusal(t *testing.T) {
	ts := startServer(t, nil)
	n, f := ts.dial()
	f.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":     user,
			"database": "nowhere",
		},
	})
	f.Send(&pgproto3.Query{
		String: "SELECT 1",
	})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	ts.waitRefused("not-admitted", 1)
	if e := expect[*pgproto3.ErrorResponse](t, f); e.Code != "3D000" {
		t.Errorf("SQLSTATE %s, want 3D000", e.Code)
	}
	if _, err := n.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("reading after the refusal: %v, want EOF", err)
	}
}

// encrypt negotiates TLS on a new connection.
func encrypt(t *testing.T, n net.Conn, a *authority) net.Conn {
	t.Helper()
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := n.Write(request); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 1)
	if _, err := io.ReadFull(n, answer); err != nil || answer[0] != 'S' {
		t.Fatalf("answer %q, %v", answer, err)
	}
	return tls.Client(n, &tls.Config{
		RootCAs:    a.pool,
		ServerName: "127.0.0.1",
	})
}
