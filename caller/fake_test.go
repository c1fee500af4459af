package caller

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/xdg-go/scram"

	"egretlane.example/egret"
)

const (
	user     = "workshop"
	password = "a sieve of 63 micrometres"
)

// script is a handler that answers as a database without rows would. It refuses what has "refused"
// in its text.
type script struct {
	mu sync.Mutex

	// started has the start of each session, and canceled the keys of cancel requests.
	started  []Startup
	canceled []CancelKey

	// batches has what came in, and failed the errors that ended sessions.
	batches []*Incoming
	failed  []error

	// transaction makes sessions wait as in an open transaction, until the given time from then on.
	transaction time.Duration

	// flood is how much output each batch is answered with.
	flood int
}

func (h *script) Admit(s *Startup) error {
	if s.Database == "nowhere" {
		return &egret.Failure{
			Code:    egret.CodeNoRoute,
			Message: "no route",
		}
	}
	return nil
}

func (h *script) Key() CancelKey {
	return CancelKey{
		Process: 7,
		Secret:  [4]byte{1, 2, 3, 4},
	}
}

func (h *script) Cancel(_ context.Context, k CancelKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.canceled = append(h.canceled, k)
}

func (h *script) Serve(_ context.Context, c *Conn) {
	h.mu.Lock()
	h.started = append(h.started, c.Start)
	h.mu.Unlock()
	for {
		idleEnd := time.Time{}
		if h.transaction > 0 {
			idleEnd = time.Now().Add(h.transaction)
		}
		in, err := c.Next(h.transaction > 0, idleEnd)
		if err == nil {
			err = h.answer(c, in)
		}
		if err != nil {
			h.mu.Lock()
			h.failed = append(h.failed, err)
			h.mu.Unlock()
			return
		}
	}
}

func (h *script) answer(c *Conn, in *Incoming) error {
	h.mu.Lock()
	h.batches = append(h.batches, in)
	h.mu.Unlock()
	switch {
	case in.Refusal != nil:
		if !in.Answered {
			c.Fail(in.Refusal)
		}
	case bytes.Contains(in.Batch.Messages, []byte("refused")):
		c.Settle(in, 0)
		c.Fail(&egret.Failure{
			Outcome: egret.Rejected,
			Code:    "42601",
			Message: "refused",
		})
	default:
		c.Answer(in, Answer{
			Tag: "OK",
		})
	}
	for range h.flood / flushBytes {
		if err := c.Write(make([]byte, flushBytes)); err != nil {
			return err
		}
	}
	c.Ready(egret.TxIdle)
	return c.Flush()
}

// failure returns the error that ended the first session, once there is one.
func (h *script) failure(t *testing.T) error {
	t.Helper()
	var err error
	until(t, "the end of a session", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		if len(h.failed) > 0 {
			err = h.failed[0]
		}
		return err != nil
	})
	return err
}

// trial is a running server.
type trial struct {
	t      *testing.T
	script *script
	server *Server
}

// startTrial runs a server on loopback. The change is made before it runs.
func startTrial(t *testing.T, change func(s *Server)) *trial {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().(*net.TCPAddr).AddrPort()
	l.Close()
	h := &script{}
	s := &Server{
		Listen:         netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), address.Port()),
		StatementLimit: 1 << 16,
		SessionLimit:   100,
		Handler:        h,
		Metrics:        NewMetrics(prometheus.NewRegistry()),
	}
	if change != nil {
		change(s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		if err := s.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	tr := &trial{
		t:      t,
		script: h,
		server: s,
	}
	until(t, "the server", func() bool {
		n, err := net.Dial("tcp", s.Listen.String())
		if err == nil {
			n.Close()
		}
		return err == nil
	})
	return tr
}

// config returns a driver's settings. Words are added to the connection string.
func (tr *trial) config(words string) *pgconn.Config {
	tr.t.Helper()
	c, err := pgconn.ParseConfig(fmt.Sprintf("host=127.0.0.1 port=%d user=%s dbname=catalogo-db sslmode=disable connect_timeout=5 %s",
		tr.server.Listen.Port(), user, words))
	if err != nil {
		tr.t.Fatal(err)
	}
	return c
}

func (tr *trial) connect(c *pgconn.Config) *pgconn.PgConn {
	tr.t.Helper()
	conn, err := pgconn.ConnectConfig(tr.t.Context(), c)
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.t.Cleanup(func() {
		conn.Close(context.Background())
	})
	return conn
}

// raw opens a connection that the test itself speaks on. Reads end after some seconds.
func (tr *trial) raw() (net.Conn, *pgproto3.Frontend) {
	tr.t.Helper()
	n, err := net.Dial("tcp", tr.server.Listen.String())
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.t.Cleanup(func() {
		n.Close()
	})
	n.SetDeadline(time.Now().Add(5 * time.Second))
	return n, pgproto3.NewFrontend(n, n)
}

// login opens a connection and goes through its start.
func (tr *trial) login() (net.Conn, *pgproto3.Frontend) {
	tr.t.Helper()
	n, f := tr.raw()
	f.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user": user,
		},
	})
	if err := f.Flush(); err != nil {
		tr.t.Fatal(err)
	}
	expect[*pgproto3.ReadyForQuery](tr.t, f)
	return n, f
}

// handshakes returns the number of connections in their handshake.
func (tr *trial) handshakes() int {
	tr.server.mu.Lock()
	defer tr.server.mu.Unlock()
	return len(tr.server.greeted)
}

// idle returns the number of sessions that wait for a batch.
func (tr *trial) idle() int {
	tr.server.mu.Lock()
	defer tr.server.mu.Unlock()
	count := 0
	for c := range tr.server.conns {
		c.gate.mu.Lock()
		if c.gate.idle {
			count++
		}
		c.gate.mu.Unlock()
	}
	return count
}

// refused waits until a cause has at least the count of refusals. Drivers may try more than once.
func (tr *trial) refused(cause string, count float64) {
	tr.t.Helper()
	until(tr.t, "a refusal because of "+cause, func() bool {
		return testutil.ToFloat64(tr.server.Metrics.Refused.WithLabelValues(cause)) >= count
	})
}

// expect reads messages up to one of the kind.
func expect[M pgproto3.BackendMessage](t *testing.T, f *pgproto3.Frontend) M {
	t.Helper()
	for {
		m, err := f.Receive()
		if err != nil {
			t.Fatalf("waiting for %T: %v", *new(M), err)
		}
		if found, ok := m.(M); ok {
			return found
		}
	}
}

// until waits for a condition.
func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited too long for %s", what)
		}
	}
}

// credentials returns those of the user.
func credentials(t *testing.T) *Credentials {
	t.Helper()
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		t.Fatal(err)
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{
		Salt:  "0123456789abcdef",
		Iters: 4096,
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "credentials")
	if err := os.WriteFile(path, []byte("# callers\n"+user+":"+verifier(stored)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := ReadCredentials(path)
	if err != nil {
		t.Fatal(err)
	}
	return c
}
