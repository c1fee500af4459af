package entry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/prometheus/client_golang/prometheus"

	"egretlane.example/egret"
	"egretlane.example/egret/caller"
	"egretlane.example/egret/retry"
	"egretlane.example/egret/token"
)

// fakePeers implements egret.Peers with one group of a primary and two replicas.
type fakePeers struct {
	mu      sync.Mutex
	current egret.GroupPrimary

	// budget is the time of a request.
	budget time.Duration
}

func (p *fakePeers) Self() egret.Node {
	return egret.Node{
		ID:     "proxy-1",
		Region: "lombardia",
	}
}

func (p *fakePeers) Live() []egret.Node {
	return []egret.Node{p.Self()}
}

func (p *fakePeers) Primary(string) (egret.GroupPrimary, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current, p.current.Term > 0
}

func (p *fakePeers) AnnouncePrimary(f egret.GroupPrimary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Term > p.current.Term {
		p.current = f
	}
}

func (p *fakePeers) TablesInForce() *egret.Tables {
	member := func(name string) egret.Member {
		return egret.Member{
			Name:   name,
			Region: "lombardia",
		}
	}
	return &egret.Tables{
		Revision: 1,
		Routes: []egret.Route{{
			Name:          "all",
			Caller:        "workshop",
			Database:      "catalogo-db",
			Pool:          "catalogo",
			Budget:        p.budget,
			AllowReplicas: true,
		}},
		Pools: []egret.Pool{{
			Name: "catalogo",
			Groups: []egret.Group{{
				Name:    "g",
				Members: []egret.Member{member("m1"), member("m2"), member("m3")},
			}},
		}},
	}
}

// fakeLanes implements egret.Lanes and egret.Positions. It answers each batch with the result of answer.
type fakeLanes struct {
	mu sync.Mutex

	// answer returns the result of the n-th attempt, counted from 1.
	answer func(n int, o egret.TransactionOptions) (egret.BatchResult, error)

	// hold, if not nil, is called with the context of each batch before the batch is answered.
	hold func(ctx context.Context)

	// rejects makes each answer an error of the database.
	rejects bool

	// attempts has the options of all attempts, in order.
	attempts []egret.TransactionOptions

	// lookups is the number of calls of ConfirmedPosition.
	lookups int

	// primary is the primary that Load reports.
	primary egret.GroupPrimary
}

func (l *fakeLanes) Begin(_ context.Context, o egret.TransactionOptions) (egret.Transaction, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, o)
	return &fakeTransaction{
		lanes:   l,
		options: o,
		attempt: len(l.attempts),
	}, nil
}

func (l *fakeLanes) Load(_ context.Context, member string) (egret.Load, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := egret.Load{
		State: egret.MemberState{
			Member: member,
			Role:   egret.RoleReplica,
		},
	}
	if member == l.primary.Primary {
		load.State.Role = egret.RolePrimary
		load.State.GrantedTerm = l.primary.Term
	}
	return load, nil
}

func (l *fakeLanes) ConfirmedPosition(context.Context, string) (egret.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lookups++
	return egret.Position{
		Term:   1,
		Offset: 40,
	}, nil
}

func (l *fakeLanes) allAttempts() []egret.TransactionOptions {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]egret.TransactionOptions(nil), l.attempts...)
}

type fakeTransaction struct {
	lanes   *fakeLanes
	options egret.TransactionOptions
	attempt int
}

func (t *fakeTransaction) Exchange(ctx context.Context, _ egret.Batch, sink func([]byte) error) (egret.BatchResult, error) {
	if t.lanes.hold != nil {
		t.lanes.hold(ctx)
	}
	result, err := t.lanes.answer(t.attempt, t.options)
	if err != nil {
		return egret.BatchResult{}, err
	}
	var answer pgproto3.BackendMessage = &pgproto3.CommandComplete{
		CommandTag: []byte("OK"),
	}
	if t.lanes.rejects {
		answer = &pgproto3.ErrorResponse{
			Code: "23505",
		}
	}
	m, err := answer.Encode(nil)
	if err != nil {
		return egret.BatchResult{}, err
	}
	return result, sink(m)
}

func (t *fakeTransaction) Cancel() {}

func (t *fakeTransaction) Close() {}

// testProxy is a handler with fake lanes and peers, and a server that serves callers on loopback with it.
type testProxy struct {
	lanes   *fakeLanes
	peers   *fakePeers
	server  *caller.Server
	handler *Handler
	addr    netip.AddrPort
}

func startProxy(t *testing.T, answer func(n int, o egret.TransactionOptions) (egret.BatchResult, error)) *testProxy {
	t.Helper()
	const sessions = 10
	return startProxyWithLimit(t, sessions, answer)
}

func startProxyWithLimit(t testing.TB, sessions int, answer func(n int, o egret.TransactionOptions) (egret.BatchResult, error)) *testProxy {
	t.Helper()
	r := prometheus.NewRegistry()
	l := &fakeLanes{
		answer: answer,
	}
	p := &fakePeers{
		current: egret.GroupPrimary{
			Group:   "g",
			Term:    1,
			Primary: "m1",
		},
		budget: 2 * time.Second,
	}
	h := &Handler{
		Peers:     p,
		Lanes:     l,
		Positions: l,
		Signer: &token.Signer{
			Keys: [][]byte{[]byte("0123456789abcdef")},
		},
		Backoff: retry.Backoff{
			Base: time.Millisecond,
			Cap:  2 * time.Millisecond,
		},
		Throttle: &retry.Throttle{
			RetriesPerRequest: 0.1,
			Burst:             10,
		},
		ReplicaWaitTimeout:     time.Millisecond,
		TransactionIdleTimeout: time.Minute,
		Metrics:                NewMetrics(r),
	}
	s := &caller.Server{
		ListenAddress: freeAddress(t),
		MaxBatchBytes: 1 << 16,
		SessionLimit:  sessions,
		Handler:       h,
		Metrics:       caller.NewMetrics(r),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		if err := s.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	return &testProxy{
		lanes:   l,
		peers:   p,
		server:  s,
		handler: h,
		addr:    s.ListenAddress,
	}
}

func (tp *testProxy) connect(t testing.TB, tok string) *pgconn.PgConn {
	t.Helper()
	tp.awaitListening(t)
	c, err := pgconn.ParseConfig("host=127.0.0.1 user=workshop dbname=catalogo-db sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	c.Port = tp.addr.Port()
	if tok != "" {
		c.RuntimeParams[caller.TokenParameter] = tok
	}
	conn, err := pgconn.ConnectConfig(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close(context.Background())
	})
	return conn
}

// awaitListening waits until the server accepts connections.
func (tp *testProxy) awaitListening(t testing.TB) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", tp.addr.String())
		if err == nil {
			c.Close()
			return
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}
