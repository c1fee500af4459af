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

// patience bounds the waits of tests. No test passes by waiting that long.
const patience = 10 * time.Second

// box is a member in this process.
type box struct {
	*Server

	// address is where the member listens.
	address netip.AddrPort

	// stop ends the member and waits for its end.
	stop func()
}

// startBox starts a member at a free port, or at the address given.
func startBox(t *testing.T, name string, upstream netip.AddrPort, change func(s *Server)) *box {
	t.Helper()
	return startBoxAt(t, name, netip.MustParseAddrPort("127.0.0.1:0"), upstream, change)
}

func startBoxAt(t *testing.T, name string, at netip.AddrPort, upstream netip.AddrPort, change func(s *Server)) *box {
	t.Helper()
	role := egret.RolePrimary
	if upstream.IsValid() {
		role = egret.RoleReplica
	}
	s := &Server{
		Member: &core.Member{
			Name: name,
			Initial: walog.Grant{
				Term:     1,
				Role:     role,
				Upstream: upstream,
			},
			LockWait: patience,
			Now:      time.Now,
		},
		Slots:       2,
		Connections: 16,
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
	b := &box{
		Server:  s,
		address: netip.MustParseAddrPort(l.Addr().String()),
	}
	stopped := false
	b.stop = func() {
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
		case <-time.After(patience):
			t.Errorf("%s did not end", name)
		}
	}
	t.Cleanup(b.stop)
	return b
}

// connect opens a connection. Options are those of a connection string.
func (b *box) connect(t *testing.T, options string) *pgx.Conn {
	t.Helper()
	c, err := b.tryConnect(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close(context.Background())
	})
	return c
}

func (b *box) tryConnect(options string) (*pgx.Conn, error) {
	return pgx.Connect(context.Background(), fmt.Sprintf(
		"host=%s port=%d user=workshop dbname=catalogo-db sslmode=disable %s", b.address.Addr(), b.address.Port(), options))
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

// get returns the one value of a statement.
func get[V any](t *testing.T, c *pgx.Conn, sql string, arguments ...any) V {
	t.Helper()
	var v V
	if err := c.QueryRow(context.Background(), sql, arguments...).Scan(&v); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return v
}

// code returns the SQLSTATE of an error, or "" if there is none.
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

// wantCode runs a statement that must fail.
func wantCode(t *testing.T, c *pgx.Conn, want string, sql string, arguments ...any) {
	t.Helper()
	_, err := c.Exec(context.Background(), sql, arguments...)
	if got := code(err); got != want {
		t.Errorf("%s: got %q, want %q", sql, got, want)
	}
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, met func() bool) {
	t.Helper()
	end := time.Now().Add(patience)
	for !met() {
		if time.Now().After(end) {
			t.Fatalf("not in %s: %s", patience, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// running returns a condition: that so many statements hold a slot.
func (b *box) running(n int) func() bool {
	return func() bool {
		now, _ := b.host.Platform.Slots.Usage()
		return now == n
	}
}

// tear leaves half an entry at the end of a log.
func tear(t *testing.T, folder string) {
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
