package pgsim

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// testTimeout limits each wait of a test. A test that waits that long fails.
const testTimeout = 10 * time.Second

// testMember is a member that runs in the test process.
type testMember struct {
	*Server

	// address is the member's listen address.
	address netip.AddrPort

	// stop shuts the member down and waits until it has ended.
	stop func()
}

// startMember starts a member on a free port. With a valid upstream it starts as a replica, otherwise as
// the primary.
func startMember(t *testing.T, name string, upstream netip.AddrPort, change func(s *Server)) *testMember {
	t.Helper()
	return startMemberAt(t, name, netip.MustParseAddrPort("127.0.0.1:0"), upstream, change)
}

func startMemberAt(t *testing.T, name string, at netip.AddrPort, upstream netip.AddrPort, change func(s *Server)) *testMember {
	t.Helper()
	role := egret.RolePrimary
	if upstream.IsValid() {
		role = egret.RoleReplica
	}
	s := &Server{
		Member: &core.Member{
			Name: name,
			InitialGrant: walog.Grant{
				Term:     1,
				Role:     role,
				Upstream: upstream,
			},
			LockTimeout: testTimeout,
			Now:         time.Now,
		},
		Slots:          2,
		MaxConnections: 16,
	}
	if change != nil {
		change(s)
	}
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- s.Run(ctx, l)
	}()
	m := &testMember{
		Server:  s,
		address: netip.MustParseAddrPort(l.Addr().String()),
	}
	stopped := false
	m.stop = func() {
		cancel()
		if stopped {
			return
		}
		stopped = true
		select {
		case err := <-done:
			if err != nil {
				t.Errorf("end of %s: %v", name, err)
			}
		case <-time.After(testTimeout):
			t.Errorf("%s did not end", name)
		}
	}
	t.Cleanup(m.stop)
	return m
}

// connect opens a connection. The options are appended to the connection string.
func (m *testMember) connect(t *testing.T, options string) *pgx.Conn {
	t.Helper()
	c, err := m.tryConnect(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close(context.Background())
	})
	return c
}

func (m *testMember) tryConnect(options string) (*pgx.Conn, error) {
	return pgx.Connect(context.Background(), fmt.Sprintf(
		"host=%s port=%d user=workshop dbname=catalogo-db sslmode=disable %s", m.address.Addr(), m.address.Port(), options))
}

// exec runs a statement that must succeed.
func exec(t *testing.T, c *pgx.Conn, sql string, arguments ...any) pgconn.CommandTag {
	t.Helper()
	tag, err := c.Exec(context.Background(), sql, arguments...)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return tag
}

// get runs a statement and returns the only value of its only row.
func get[V any](t *testing.T, c *pgx.Conn, sql string, arguments ...any) V {
	t.Helper()
	var v V
	if err := c.QueryRow(context.Background(), sql, arguments...).Scan(&v); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return v
}

// code returns the SQLSTATE of an error, the text of any other error, or "" for nil.
func code(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

// wantCode runs a statement that must fail with the SQLSTATE.
func wantCode(t *testing.T, c *pgx.Conn, want string, sql string, arguments ...any) {
	t.Helper()
	_, err := c.Exec(context.Background(), sql, arguments...)
	if got := code(err); got != want {
		t.Errorf("%s: got %q, want %q", sql, got, want)
	}
}

// eventually waits until the condition is met.
func eventually(t *testing.T, what string, met func() bool) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for !met() {
		if time.Now().After(end) {
			t.Fatalf("not in %s: %s", testTimeout, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// runningEquals returns a condition for eventually: exactly n statements hold a slot.
func (m *testMember) runningEquals(n int) func() bool {
	return func() bool {
		now, _ := m.shared.Platform.Slots.Usage()
		return now == n
	}
}

// appendPartialEntry writes the first half of an entry at the end of a log file.
func appendPartialEntry(t *testing.T, folder string) {
	t.Helper()
	f, err := os.OpenFile(filepath.Join(folder, "log"), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := f.WriteString(`{"term":1,"offs`); err != nil {
		t.Fatal(err)
	}
}
