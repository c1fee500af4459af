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

// state has the columns of a state row that the tests check.
type state struct {
	role              string
	granted           uint64
	received, applied egret.Position
	upstream          string
}

// queryState runs a platform function and returns its state row.
func queryState(t *testing.T, c *pgx.Conn, sql string, arguments ...any) state {
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

func position(term, offset uint64) egret.Position {
	return egret.Position{
		Term:   term,
		Offset: offset,
	}
}

// TestLag checks that a replica receives entries immediately and applies them after its lag.
func TestLag(t *testing.T) {
	one := startMember(t, "member-1", netip.AddrPort{}, nil)
	two := startMember(t, "member-2", one.address, func(s *Server) {
		s.Member.Lag = time.Hour
	})
	c, r := one.connect(t, ""), two.connect(t, "")
	exec(t, c, "INSERT INTO orders VALUES ('a', '1')")
	s := queryState(t, r, "SELECT * FROM platform.await(1, 2, 10000)")
	if s.received != position(1, 2) || !s.applied.IsZero() {
		t.Errorf("received %s and applied %s, want 1/2 and 0/0", s.received, s.applied)
	}
	wantCode(t, r, "EL001", "SELECT * FROM platform.require(1, 2, 20)")
	if got := get[int64](t, r, "SELECT count(*) FROM orders"); got != 0 {
		t.Errorf("the replica reads %d rows before the lag is over", got)
	}
	reached := execAsync(two.connect(t, ""), "SELECT * FROM platform.require(1, 2, 10000)")
	two.Member.SetLag(0)
	if got := waitCode(t, "the floor is reached", reached); got != "" {
		t.Errorf("require: %s", got)
	}
	if got := get[string](t, r, "SELECT item FROM orders WHERE id = 'a'"); got != "1" {
		t.Errorf("item %q", got)
	}
	wantCode(t, r, "25006", "INSERT INTO orders VALUES ('b', '1')")
}

// TestSupersede promotes a replica while the old primary keeps committing. The old primary must drop the
// entries that the new primary lacks when it starts to follow it.
func TestSupersede(t *testing.T) {
	one := startMember(t, "member-1", netip.AddrPort{}, nil)
	two := startMember(t, "member-2", one.address, nil)
	three := startMember(t, "member-3", one.address, nil)
	c1, c2, c3 := one.connect(t, ""), two.connect(t, ""), three.connect(t, "")
	exec(t, c1, "INSERT INTO orders VALUES ('shared', '1')")
	for _, c := range []*pgx.Conn{c2, c3} {
		queryState(t, c, "SELECT * FROM platform.await(1, 2, 10000)")
		if s := queryState(t, c, "SELECT * FROM platform.fence(2)"); s.role != "fenced" || s.received != position(1, 2) || s.upstream != "" {
			t.Errorf("fenced: %+v", s)
		}
		wantCode(t, c, "EL002", "SELECT * FROM platform.fence(2)")
		wantCode(t, c, "25006", "DELETE FROM orders")
	}
	exec(t, c1, "INSERT INTO orders VALUES ('tail', '1')")
	if s := queryState(t, c2, "SELECT * FROM platform.promote(2)"); s.role != "primary" || s.applied != position(2, 3) {
		t.Errorf("promoted: %+v", s)
	}
	queryState(t, c2, "SELECT * FROM platform.promote(2)")
	if n := len(two.Member.EntriesAfter(0)); n != 3 {
		t.Errorf("%d entries after two promotions in one term, want 3", n)
	}
	open := one.connect(t, "")
	exec(t, open, "BEGIN")
	exec(t, open, "INSERT INTO orders VALUES ('late', '1')")
	for _, c := range []*pgx.Conn{c1, c3} {
		s := queryState(t, c, "SELECT * FROM platform.follow(2, $1)", two.address.String())
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

// TestFenceEndsWaits checks that platform.await returns when the member grants another term.
func TestFenceEndsWaits(t *testing.T) {
	m := startMember(t, "member-1", netip.AddrPort{}, nil)
	done := execAsync(m.connect(t, ""), "SELECT * FROM platform.await(1, 99, 60000)")
	if _, err := m.Member.Fence(2); err != nil {
		t.Fatal(err)
	}
	if got := waitCode(t, "the await's end", done); got != "" {
		t.Errorf("await: %s", got)
	}
	_, err := m.Member.Fence(2)
	if err == nil || err.Error() != "member member-1 has granted term 2 (SQLSTATE EL002)" {
		t.Errorf("second fence: %v", err)
	}
}

// TestRestart restarts a primary and a replica from their folders. The primary's log ends in a partially
// written entry.
func TestRestart(t *testing.T) {
	folders := []string{t.TempDir(), t.TempDir()}
	keep := func(folder string) func(s *Server) {
		return func(s *Server) {
			s.Member.Folder = folder
		}
	}
	one := startMember(t, "member-1", netip.AddrPort{}, keep(folders[0]))
	two := startMember(t, "member-2", one.address, keep(folders[1]))
	exec(t, one.connect(t, ""), "INSERT INTO orders VALUES ('a', '1')")
	if s := queryState(t, two.connect(t, ""), "SELECT * FROM platform.await(1, 2, 10000)"); s.received != position(1, 2) {
		t.Fatalf("received %s", s.received)
	}
	one.stop()
	two.stop()
	appendPartialEntry(t, folders[0])
	// The initial grant in the settings is ignored once the folder holds a grant.
	elsewhere := netip.MustParseAddrPort("127.0.0.1:1")
	two = startMember(t, "member-2", elsewhere, keep(folders[1]))
	if s := two.Member.State(); s.Grant.Upstream != one.address || s.Applied != position(1, 2) {
		t.Errorf("replica after its restart: %+v", s)
	}
	one = startMemberAt(t, "member-1", one.address, elsewhere, keep(folders[0]))
	if s := one.Member.State(); s.Grant.Role != egret.RolePrimary || s.Received != position(1, 2) {
		t.Errorf("primary after its restart: %+v", s)
	}
	exec(t, one.connect(t, ""), "INSERT INTO orders VALUES ('b', '1')")
	exec(t, two.connect(t, ""), "SELECT * FROM platform.require(1, 3, 10000)")
	one.stop()
	one = startMember(t, "member-1", elsewhere, keep(folders[0]))
	if s := one.Member.State(); s.Received != position(1, 3) {
		t.Errorf("primary after its second restart: %+v", s)
	}
}

// TestCommitMeetsFence grants a term between the last write and the commit. The commit fails, and the
// client must not be told that the last statement is complete.
func TestCommitMeetsFence(t *testing.T) {
	m := startMember(t, "member-1", netip.AddrPort{}, nil)
	f := m.connectRaw(t)
	f.Send(&pgproto3.Query{String: "INSERT INTO orders VALUES ('a', '1'); SELECT pg_sleep(0.1)"})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the statement sleeps", func() bool {
		return slices.ContainsFunc(m.recorder.Totals(), func(o stats.Total) bool {
			return o.Command == query.FunctionSleep
		})
	})
	if _, err := m.Member.Fence(2); err != nil {
		t.Fatal(err)
	}
	if got := readReplies(t, f); !slices.Equal(got, []string{"C", "T", "", "E", "Z"}) {
		t.Errorf("replies %q", got)
	}
	if n := m.Member.OrderCount(); n != 0 {
		t.Errorf("%d rows of a transaction that met a fence", n)
	}
}

// TestSilentUpstream stalls a replica's connection without closing it. The replica must notice the
// silence and reconnect within two seconds.
func TestSilentUpstream(t *testing.T) {
	one := startMember(t, "member-1", netip.AddrPort{}, nil)
	l := startForwarder(t, one.address)
	two := startMember(t, "member-2", one.address, func(s *Server) {
		s.Addresses = egret.AddressMap{
			Rules: []egret.AddressRule{{
				From: one.address,
				To:   l.address,
			}},
		}
	})
	c, r := one.connect(t, ""), two.connect(t, "")
	queryState(t, r, "SELECT * FROM platform.await(1, 1, 10000)")
	l.stall()
	exec(t, c, "INSERT INTO orders VALUES ('a', '1')")
	begun := time.Now()
	if s := queryState(t, r, "SELECT * FROM platform.await(1, 2, 10000)"); s.received != position(1, 2) {
		t.Errorf("received %s through a new connection", s.received)
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("noticed in %s, want 2s or less", took)
	}
}

// forwarder is a TCP proxy that can stall its connections: they stay open but forward no more bytes.
type forwarder struct {
	// address is the listen address.
	address netip.AddrPort

	// mu guards the field below.
	mu sync.Mutex

	// stalled is closed to stall the connections accepted so far, and then replaced.
	stalled chan struct{}
}

func startForwarder(t *testing.T, to netip.AddrPort) *forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		listener.Close()
	})
	l := &forwarder{
		address: netip.MustParseAddrPort(listener.Addr().String()),
		stalled: make(chan struct{}),
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
			stalled := l.stalled
			l.mu.Unlock()
			go forward(stalled, from, out)
			go forward(stalled, out, from)
		}
	}()
	return l
}

func (l *forwarder) stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.stalled)
	l.stalled = make(chan struct{})
}

// forward copies bytes until the connection is stalled or closed.
func forward(stalled <-chan struct{}, from io.Reader, to io.WriteCloser) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-stalled:
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
