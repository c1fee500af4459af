package pgsim

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/query"
	"egretlane.example/egret/egretlab/pgsim/stats"
)

// state is the columns of a state row that the tests look at.
type state struct {
	role              string
	granted           uint64
	received, applied egret.Position
	upstream          string
}

// ask returns the state row of a platform function.
func ask(t *testing.T, c *pgx.Conn, sql string, arguments ...any) state {
	t.Helper()
	var s state
	var name string
	var leaving bool
	var connections, running int64
	err := c.QueryRow(context.Background(), sql, arguments...).Scan(&name, &s.role, &s.granted,
		&s.received.Term, &s.received.Offset, &s.applied.Term, &s.applied.Offset, &s.upstream,
		&leaving, &connections, &running)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return s
}

func at(term, offset uint64) egret.Position {
	return egret.Position{
		Term:   term,
		Offset: offset,
	}
}

// TestLag checks that a replica receives at once and applies later.
func TestLag(t *testing.T) {
	one := startBox(t, "member-1", netip.AddrPort{}, nil)
	two := startBox(t, "member-2", one.address, func(s *Server) {
		s.Member.Lag = time.Hour
	})
	c, r := one.connect(t, ""), two.connect(t, "")
	exec(t, c, "INSERT INTO orders VALUES ('a', '1')")
	s := ask(t, r, "SELECT * FROM platform.await(1, 2, 10000)")
	if s.received != at(1, 2) || !s.applied.IsZero() {
		t.Errorf("received %s and applied %s, want 1/2 and 0/0", s.received, s.applied)
	}
	wantCode(t, r, "EL001", "SELECT * FROM platform.require(1, 2, 20)")
	if got := get[int64](t, r, "SELECT count(*) FROM orders"); got != 0 {
		t.Errorf("the replica reads %d rows before the lag is over", got)
	}
	reached := start(two.connect(t, ""), "SELECT * FROM platform.require(1, 2, 10000)")
	two.Member.SetLag(0)
	if got := wait(t, "the floor is reached", reached); got != "" {
		t.Errorf("require: %s", got)
	}
	if got := get[string](t, r, "SELECT item FROM orders WHERE id = 'a'"); got != "1" {
		t.Errorf("item %q", got)
	}
	wantCode(t, r, "25006", "INSERT INTO orders VALUES ('b', '1')")
}

// TestSupersede promotes a replica that lacks the tail of a primary that went on. The old primary
// drops the tail when it follows.
func TestSupersede(t *testing.T) {
	one := startBox(t, "member-1", netip.AddrPort{}, nil)
	two := startBox(t, "member-2", one.address, nil)
	three := startBox(t, "member-3", one.address, nil)
	c1, c2, c3 := one.connect(t, ""), two.connect(t, ""), three.connect(t, "")
	exec(t, c1, "INSERT INTO orders VALUES ('shared', '1')")
	for _, c := range []*pgx.Conn{c2, c3} {
		ask(t, c, "SELECT * FROM platform.await(1, 2, 10000)")
		if s := ask(t, c, "SELECT * FROM platform.fence(2)"); s.role != "fenced" || s.received != at(1, 2) || s.upstream != "" {
			t.Errorf("fenced: %+v", s)
		}
		wantCode(t, c, "EL002", "SELECT * FROM platform.fence(2)")
		wantCode(t, c, "25006", "DELETE FROM orders")
	}
	exec(t, c1, "INSERT INTO orders VALUES ('tail', '1')")
	if s := ask(t, c2, "SELECT * FROM platform.promote(2)"); s.role != "primary" || s.applied != at(2, 3) {
		t.Errorf("promoted: %+v", s)
	}
	ask(t, c2, "SELECT * FROM platform.promote(2)")
	if n := len(two.Member.Entries(0)); n != 3 {
		t.Errorf("%d entries after two promotions in one term, want 3", n)
	}
	open := one.connect(t, "")
	exec(t, open, "BEGIN")
	exec(t, open, "INSERT INTO orders VALUES ('late', '1')")
	for _, c := range []*pgx.Conn{c1, c3} {
		s := ask(t, c, "SELECT * FROM platform.follow(2, $1)", two.address.String())
		if s.role != "replica" || s.granted != 2 || s.upstream != two.address.String() {
			t.Errorf("following: %+v", s)
		}
		wantCode(t, c, "EL002", "SELECT * FROM platform.follow(1, '127.0.0.1:1')")
	}
	wantCode(t, open, core.CodeRolledBack, "COMMIT")
	exec(t, c2, "INSERT INTO orders VALUES ('new', '1')")
	for _, c := range []*pgx.Conn{c1, c3} {
		exec(t, c, "SELECT * FROM platform.require(2, 4, 10000)")
		if got := get[int64](t, c, "SELECT count(*) FROM orders"); got != 2 {
			t.Errorf("%d rows, want those of the new primary", got)
		}
	}
	if got := get[int64](t, c1, "SELECT count(*) FROM orders WHERE id = 'tail'"); got != 0 {
		t.Error("the tail that the new primary lacks is still there")
	}
}

// TestFenceEndsWaits checks that an await ends when another term is granted.
func TestFenceEndsWaits(t *testing.T) {
	b := startBox(t, "member-1", netip.AddrPort{}, nil)
	done := start(b.connect(t, ""), "SELECT * FROM platform.await(1, 99, 60000)")
	if _, err := b.Member.Fence(2); err != nil {
		t.Fatal(err)
	}
	if got := wait(t, "the await's end", done); got != "" {
		t.Errorf("await: %s", got)
	}
	_, err := b.Member.Fence(2)
	if err == nil || err.Error() != "member member-1 has granted term 2 (SQLSTATE EL002)" {
		t.Errorf("second fence: %v", err)
	}
}

// TestRestart ends a primary and a replica and starts them from their folders, the primary with a
// last entry that was only half written.
func TestRestart(t *testing.T) {
	folders := []string{t.TempDir(), t.TempDir()}
	keep := func(folder string) func(s *Server) {
		return func(s *Server) {
			s.Member.Folder = folder
		}
	}
	one := startBox(t, "member-1", netip.AddrPort{}, keep(folders[0]))
	two := startBox(t, "member-2", one.address, keep(folders[1]))
	exec(t, one.connect(t, ""), "INSERT INTO orders VALUES ('a', '1')")
	if s := ask(t, two.connect(t, ""), "SELECT * FROM platform.await(1, 2, 10000)"); s.received != at(1, 2) {
		t.Fatalf("received %s", s.received)
	}
	one.stop()
	two.stop()
	tear(t, folders[0])
	// What the settings say first is of no matter once the folder has a grant.
	elsewhere := netip.MustParseAddrPort("127.0.0.1:1")
	two = startBox(t, "member-2", elsewhere, keep(folders[1]))
	if s := two.Member.State(); s.Grant.Upstream != one.address || s.Applied != at(1, 2) {
		t.Errorf("replica after its restart: %+v", s)
	}
	one = startBoxAt(t, "member-1", one.address, elsewhere, keep(folders[0]))
	if s := one.Member.State(); s.Grant.Role != egret.RolePrimary || s.Received != at(1, 2) {
		t.Errorf("primary after its restart: %+v", s)
	}
	exec(t, one.connect(t, ""), "INSERT INTO orders VALUES ('b', '1')")
	exec(t, two.connect(t, ""), "SELECT * FROM platform.require(1, 3, 10000)")
	one.stop()
	one = startBox(t, "member-1", elsewhere, keep(folders[0]))
	if s := one.Member.State(); s.Received != at(1, 3) {
		t.Errorf("primary after its second restart: %+v", s)
	}
}

// TestCommitMeetsFence grants a term between the last write and the commit. The client isn't told
// that the last statement is complete.
func TestCommitMeetsFence(t *testing.T) {
	b := startBox(t, "member-1", netip.AddrPort{}, nil)
	f := b.raw(t)
	f.Send(&pgproto3.Query{String: "INSERT INTO orders VALUES ('a', '1'); SELECT pg_sleep(0.1)"})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the statement sleeps", func() bool {
		return slices.ContainsFunc(b.recorder.Totals(), func(o stats.Total) bool {
			return o.Command == query.FunctionSleep
		})
	})
	if _, err := b.Member.Fence(2); err != nil {
		t.Fatal(err)
	}
	if got := replies(t, f); !slices.Equal(got, []string{"C", "T", "", "E", "Z"}) {
		t.Errorf("replies %q", got)
	}
	if n := b.Member.Orders(); n != 0 {
		t.Errorf("%d rows of a transaction that met a fence", n)
	}
}

// TestSilentUpstream cuts a replica's link without closing it. The replica finds out and connects
// anew, within two seconds.
func TestSilentUpstream(t *testing.T) {
	one := startBox(t, "member-1", netip.AddrPort{}, nil)
	l := startLink(t, one.address)
	two := startBox(t, "member-2", one.address, func(s *Server) {
		s.Addresses = egret.AddressMap{
			Rules: []egret.AddressRule{{
				From: one.address,
				To:   l.address,
			}},
		}
	})
	c, r := one.connect(t, ""), two.connect(t, "")
	ask(t, r, "SELECT * FROM platform.await(1, 1, 10000)")
	l.silence()
	exec(t, c, "INSERT INTO orders VALUES ('a', '1')")
	begun := time.Now()
	if s := ask(t, r, "SELECT * FROM platform.await(1, 2, 10000)"); s.received != at(1, 2) {
		t.Errorf("received %s through a new connection", s.received)
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("noticed in %s, want 2s or less", took)
	}
}

// link passes bytes on. Connections that are silenced stay open and pass none.
type link struct {
	// address is where the link listens.
	address netip.AddrPort

	// mu guards the field below.
	mu sync.Mutex

	// silent is closed when the connections so far pass nothing more.
	silent chan struct{}
}

func startLink(t *testing.T, to netip.AddrPort) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		listener.Close()
	})
	l := &link{
		address: netip.MustParseAddrPort(listener.Addr().String()),
		silent:  make(chan struct{}),
	}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to.String())
			if err != nil {
				from.Close()
				continue
			}
			l.mu.Lock()
			silent := l.silent
			l.mu.Unlock()
			go pass(silent, from, out)
			go pass(silent, out, from)
		}
	}()
	return l
}

func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.silent)
	l.silent = make(chan struct{})
}

// pass copies bytes until the link is silent.
func pass(silent <-chan struct{}, from io.Reader, to io.WriteCloser) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			return
		default:
		}
		if err != nil {
			to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
