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

// fakeHandler is a handler that answers each batch with a command tag and no rows. It answers batches that contain
// "refused" with an error.
type fakeHandler struct {
	mu sync.Mutex

	// startups has the parameters of each session, and canceledKeys the keys of cancel requests.
	startups     []Startup
	canceledKeys []CancelKey

	// batches has the received batches, and sessionErrors the errors that ended sessions.
	batches       []*IncomingBatch
	sessionErrors []error

	// transactionIdle is the idle timeout of transactions. If it is set, sessions wait for batches as in an open
	// transaction.
	transactionIdle time.Duration

	// outputBytes is the size of additional output in the answer to each batch.
	outputBytes int
}

func (h *fakeHandler) Admit(s *Startup) error {
	if s.Database == "nowhere" {
		return &egret.Failure{
			Code:    egret.CodeNoRoute,
			Message: "no route",
		}
	}
	return nil
}

func (h *fakeHandler) NewCancelKey() CancelKey {
	return CancelKey{
		ProcessID: 7,
		Secret:    [4]byte{1, 2, 3, 4},
	}
}

func (h *fakeHandler) Cancel(_ context.Context, k CancelKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.canceledKeys = append(h.canceledKeys, k)
}

func (h *fakeHandler) Serve(_ context.Context, c *Conn) {
	h.mu.Lock()
	h.startups = append(h.startups, c.Startup)
	h.mu.Unlock()
	for {
		idleDeadline := time.Time{}
		if h.transactionIdle > 0 {
			idleDeadline = time.Now().Add(h.transactionIdle)
		}
		in, err := c.ReadBatch(h.transactionIdle > 0, idleDeadline)
		if err == nil {
			err = h.answer(c, in)
		}
		if err != nil {
			h.mu.Lock()
			h.sessionErrors = append(h.sessionErrors, err)
			h.mu.Unlock()
			return
		}
	}
}

func (h *fakeHandler) answer(c *Conn, in *IncomingBatch) error {
	h.mu.Lock()
	h.batches = append(h.batches, in)
	h.mu.Unlock()
	switch {
	case in.Refusal != nil:
		if !in.RefusalSent {
			c.WriteError(in.Refusal)
		}
	case bytes.Contains(in.Batch.Messages, []byte("refused")):
		c.UpdatePrepared(in, 0)
		c.WriteError(&egret.Failure{
			Outcome: egret.OutcomeRejected,
			Code:    "42601",
			Message: "refused",
		})
	default:
		c.WriteAnswer(in, LocalAnswer{
			Tag: "OK",
		})
	}
	for range h.outputBytes / flushThresholdBytes {
		if err := c.Write(make([]byte, flushThresholdBytes)); err != nil {
			return err
		}
	}
	c.WriteReady(egret.TxIdle)
	return c.Flush()
}

// waitSessionError returns the error that ended the first session, once there is one.
func (h *fakeHandler) waitSessionError(t *testing.T) error {
	t.Helper()
	var err error
	waitFor(t, "the end of a session", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		if len(h.sessionErrors) > 0 {
			err = h.sessionErrors[0]
		}
		return err != nil
	})
	return err
}

// testServer is a running server with its handler.
type testServer struct {
	t       *testing.T
	handler *fakeHandler
	server  *Server
}

// startServer runs a server on loopback. It calls configure, if not nil, before the server starts.
func startServer(t *testing.T, configure func(s *Server)) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().(*net.TCPAddr).AddrPort()
	l.Close()
	h := &fakeHandler{}
	s := &Server{
		ListenAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), address.Port()),
		MaxBatchBytes: 1 << 16,
		SessionLimit:  100,
		Handler:       h,
		Metrics:       NewMetrics(prometheus.NewRegistry()),
	}
	if configure != nil {
		configure(s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		if err := s.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	ts := &testServer{
		t:       t,
		handler: h,
		server:  s,
	}
	waitFor(t, "the server", func() bool {
		n, err := net.Dial("tcp", s.ListenAddress.String())
		if err == nil {
			n.Close()
		}
		return err == nil
	})
	return ts
}

// config returns the driver's configuration. The options are appended to the connection string.
func (ts *testServer) config(options string) *pgconn.Config {
	ts.t.Helper()
	c, err := pgconn.ParseConfig(fmt.Sprintf("host=127.0.0.1 port=%d user=%s dbname=catalogo-db sslmode=disable connect_timeout=5 %s",
		ts.server.ListenAddress.Port(), user, options))
	if err != nil {
		ts.t.Fatal(err)
	}
	return c
}

func (ts *testServer) connect(c *pgconn.Config) *pgconn.PgConn {
	ts.t.Helper()
	conn, err := pgconn.ConnectConfig(ts.t.Context(), c)
	if err != nil {
		ts.t.Fatal(err)
	}
	ts.t.Cleanup(func() {
		conn.Close(context.Background())
	})
	return conn
}

// dial opens a connection without a start-up message, with a deadline of 5 s.
func (ts *testServer) dial() (net.Conn, *pgproto3.Frontend) {
	ts.t.Helper()
	n, err := net.Dial("tcp", ts.server.ListenAddress.String())
	if err != nil {
		ts.t.Fatal(err)
	}
	ts.t.Cleanup(func() {
		n.Close()
	})
	n.SetDeadline(time.Now().Add(5 * time.Second))
	return n, pgproto3.NewFrontend(n, n)
}

// login opens a connection and completes its handshake.
func (ts *testServer) login() (net.Conn, *pgproto3.Frontend) {
	ts.t.Helper()
	n, f := ts.dial()
	f.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user": user,
		},
	})
	if err := f.Flush(); err != nil {
		ts.t.Fatal(err)
	}
	expect[*pgproto3.ReadyForQuery](ts.t, f)
	return n, f
}

// handshakeCount returns the number of connections in their handshake.
func (ts *testServer) handshakeCount() int {
	ts.server.mu.Lock()
	defer ts.server.mu.Unlock()
	return len(ts.server.handshaking)
}

// idleCount returns the number of sessions that wait for a batch.
func (ts *testServer) idleCount() int {
	ts.server.mu.Lock()
	defer ts.server.mu.Unlock()
	count := 0
	for c := range ts.server.conns {
		c.reader.mu.Lock()
		if c.reader.idle {
			count++
		}
		c.reader.mu.Unlock()
	}
	return count
}

// waitRefused waits until at least count connections were refused with the cause. Drivers may connect more than once.
func (ts *testServer) waitRefused(cause string, count float64) {
	ts.t.Helper()
	waitFor(ts.t, "a refusal because of "+cause, func() bool {
		return testutil.ToFloat64(ts.server.Metrics.Refused.WithLabelValues(cause)) >= count
	})
}

// expect reads messages up to the first of type M and returns it.
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

// waitFor waits until the condition is true, and fails the test after 10 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// credentials returns the credentials of a file that has the user's verifier.
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
