package pgsim

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"egretlane.example/egret/egretlab/pgsim/core"
)

// execAsync runs a statement in the background. The channel delivers its SQLSTATE, or "" on success.
func execAsync(c *pgx.Conn, sql string) <-chan string {
	done := make(chan string, 1)
	go func() {
		_, err := c.Exec(context.Background(), sql)
		done <- code(err)
	}()
	return done
}

// waitCode returns the SQLSTATE of a statement started with execAsync.
func waitCode(t *testing.T, what string, done <-chan string) string {
	t.Helper()
	select {
	case c := <-done:
		return c
	case <-time.After(testTimeout):
		t.Fatalf("not in %s: %s", testTimeout, what)
		return ""
	}
}

// TestCancel cancels a statement that sleeps, one that waits for a slot and one that waits for a row
// lock. The connection stays usable after each.
func TestCancel(t *testing.T) {
	m := startMember(t, "member-1", netip.AddrPort{}, func(s *Server) {
		s.Slots = 1
	})
	holder, c := m.connect(t, ""), m.connect(t, "")
	cancel := func(what string, done <-chan string) {
		t.Helper()
		for {
			if err := c.PgConn().CancelRequest(context.Background()); err != nil {
				t.Fatal(err)
			}
			select {
			case got := <-done:
				if got != core.CodeCanceled {
					t.Errorf("%s: got %q, want %q", what, got, core.CodeCanceled)
				}
				return
			case <-time.After(10 * time.Millisecond):
				// The statement had not started yet, so the request had no effect.
			}
		}
	}
	cancel("sleeping", execAsync(c, "SELECT pg_sleep(60)"))
	sleeps := execAsync(holder, "SELECT pg_sleep(60)")
	eventually(t, "the slot is held", m.runningEquals(1))
	cancel("waiting for a slot", execAsync(c, "SELECT count(*) FROM orders"))
	if err := holder.PgConn().CancelRequest(context.Background()); err != nil {
		t.Fatal(err)
	}
	waitCode(t, "the sleep's end", sleeps)
	exec(t, holder, "BEGIN")
	exec(t, holder, "INSERT INTO orders VALUES ('a', '1')")
	cancel("waiting for a lock", execAsync(c, "INSERT INTO orders VALUES ('a', '2')"))
	if got := get[int64](t, c, "SELECT count(*) FROM orders"); got != 0 {
		t.Errorf("count %d", got)
	}
}

// TestGoneClients closes connections inside a transaction while they are idle, sleep or wait for a row
// lock. What they held must be released immediately.
func TestGoneClients(t *testing.T) {
	m := startMember(t, "member-1", netip.AddrPort{}, nil)
	admin := m.connect(t, "")
	for _, sql := range []string{
		"SELECT 1",
		"SELECT pg_sleep(60)",
		"INSERT INTO orders VALUES ('held', '2')",
	} {
		exec(t, admin, "BEGIN")
		exec(t, admin, "INSERT INTO orders VALUES ('held', '1')")
		c := m.connect(t, "")
		exec(t, c, "BEGIN")
		exec(t, c, "SELECT pg_try_advisory_lock(7)")
		exec(t, c, "INSERT INTO orders VALUES ('a', '1')")
		before := m.statementCount()
		gone := execAsync(c, sql)
		eventually(t, sql+": it has arrived", func() bool {
			return m.statementCount() > before
		})
		c.PgConn().Conn().Close()
		eventually(t, sql+": the connection is gone", func() bool {
			return m.registry.ConnectionCount() == 1 && len(m.locks.List()) == 0 && m.runningEquals(0)()
		})
		exec(t, admin, "INSERT INTO orders VALUES ('a', '2')")
		exec(t, admin, "ROLLBACK")
		waitCode(t, "the client's own end", gone)
	}
	c := m.connect(t, "")
	if !get[bool](t, admin, "SELECT pg_terminate_backend($1)", c.PgConn().PID()) {
		t.Error("no such connection")
	}
	wantCode(t, c, "57P01", "SELECT 1")
	if get[bool](t, admin, "SELECT pg_terminate_backend(9999)") {
		t.Error("a connection that isn't there was ended")
	}
}

// statementCount returns how many statements the member has received.
func (m *testMember) statementCount() uint64 {
	n := uint64(0)
	for _, o := range m.recorder.Totals() {
		n += o.Count
	}
	return n
}

// TestSlots runs more statements than there are slots. Statements that wait for a row lock must give up
// their slots, because the holder of the lock needs one to go on.
func TestSlots(t *testing.T) {
	m := startMember(t, "member-1", netip.AddrPort{}, nil)
	var sleeps []<-chan string
	for range 6 {
		sleeps = append(sleeps, execAsync(m.connect(t, ""), "SELECT pg_sleep(0.02)"))
	}
	for _, s := range sleeps {
		if got := waitCode(t, "a sleep's end", s); got != "" {
			t.Errorf("sleep: %s", got)
		}
	}
	if _, highest := m.shared.Platform.Slots.Usage(); highest != 2 {
		t.Errorf("%d statements at once, want 2", highest)
	}
	holder := m.connect(t, "")
	exec(t, holder, "BEGIN")
	exec(t, holder, "INSERT INTO orders VALUES ('a', '1')")
	var waiters []<-chan string
	for range 3 {
		waiters = append(waiters, execAsync(m.connect(t, ""), "INSERT INTO orders VALUES ('a', '2')"))
	}
	exec(t, holder, "UPDATE orders SET item = '3' WHERE id = 'a'")
	exec(t, holder, "COMMIT")
	for _, w := range waiters {
		if got := waitCode(t, "a waiter's end", w); got != core.CodeUniqueViolation {
			t.Errorf("second insert: got %q, want %q", got, core.CodeUniqueViolation)
		}
	}
}

// TestConnectionLimit opens one connection too many. Connections for platform functions count as well.
func TestConnectionLimit(t *testing.T) {
	m := startMember(t, "member-1", netip.AddrPort{}, func(s *Server) {
		s.MaxConnections = 2
		s.ConnectCost = 20 * time.Millisecond
	})
	begun := time.Now()
	c := m.connect(t, "")
	if took := time.Since(begun); took < 20*time.Millisecond {
		t.Errorf("connected in %s, want 20ms or more", took)
	}
	m.connect(t, "")
	if _, err := m.tryConnect(""); code(err) != "53300" {
		t.Errorf("third connection: %v", err)
	}
	c.Close(context.Background())
	eventually(t, "there is room again", func() bool {
		return m.registry.ConnectionCount() == 1
	})
	m.connect(t, "")
	if _, highest, refused := m.registry.usage(); highest != 2 || refused != 1 {
		t.Errorf("%d connections, %d refused", highest, refused)
	}
}

// TestSwitches checks the operators' port: the injected faults and the reports.
func TestSwitches(t *testing.T) {
	m := startMember(t, "member-1", netip.AddrPort{}, nil)
	h := m.Handler()
	post := func(path string) {
		t.Helper()
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, nil))
		if w.Code != http.StatusOK {
			t.Errorf("%s: %d %s", path, w.Code, w.Body)
		}
	}
	c := m.connect(t, "")
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO orders VALUES ('a', '1')")
	post("/refuse?value=true")
	wantCode(t, c, "57P03", "COMMIT")
	exec(t, c, "ROLLBACK")
	exec(t, c, "SELECT * FROM platform.status()")
	post("/refuse?value=false")
	if got := get[int64](t, c, "SELECT count(*) FROM orders"); got != 0 {
		t.Errorf("%d rows of a refused commit", got)
	}
	post("/leaving?value=true")
	post("/delay?duration=50ms")
	begun := time.Now()
	exec(t, c, "INSERT INTO orders VALUES ('a', '1')")
	if took := time.Since(begun); took < 50*time.Millisecond {
		t.Errorf("answered in %s, want 50ms or more", took)
	}
	late := execAsync(c, "INSERT INTO orders VALUES ('late', '1')")
	eventually(t, "the order is committed", func() bool {
		return m.Member.OrderCount() == 2
	})
	if err := c.PgConn().CancelRequest(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got := waitCode(t, "the late answer", late); got != "" {
		t.Errorf("cancel of what was committed: got %q", got)
	}
	if got := get[int64](t, c, "SELECT count(*) FROM orders"); got != 2 {
		t.Errorf("%d rows after a cancel that came too late, want 2", got)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/lag?duration=fast", nil))
	if w.Code != http.StatusBadRequest {
		t.Errorf("a broken duration: %d", w.Code)
	}
	for _, path := range []string{"/log", "/state", "/stats"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		if w.Code != http.StatusOK || w.Body.Len() == 0 {
			t.Errorf("%s: %d", path, w.Code)
		}
	}
}
