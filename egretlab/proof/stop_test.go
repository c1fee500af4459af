package proof

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// sqlStateShutdown (admin_shutdown) is the error by which a proxy that shuts down ends idle sessions.
const sqlStateShutdown = "57P01"

// shutdownTimeout bounds a graceful shutdown while no request takes long.
const shutdownTimeout = 15 * time.Second

// confirmLatency is the latency added, in each direction, to the links to the members that confirm writes.
const confirmLatency = 150 * time.Millisecond

// recentEvents is how many of a member's newest events are read to see that a statement has begun. Reading all of them
// takes seconds on a busy machine, in which the statement may end by its budget.
const recentEvents = 1000

// TestGracefulShutdown shuts down two proxies in turn under load, each with a long statement, an open transaction and an
// idle session. No request may be interrupted.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	const seed = 51
	t.Logf("seed %d", seed)
	c := startCluster(t, clusterSettings{})
	l := c.startLoad(loadSettings{
		Callers:  8,
		Seed:     seed,
		Prefix:   "stop",
		Reads:    true,
		Pin:      true,
		Failover: true,
	})
	for i := range 2 {
		l.waitAcknowledged(t, 50)
		stopGracefully(t, c, i)
		l.waitAcknowledged(t, 50)
	}
	records := l.stop()
	c.waitEqualLogs()
	c.wantNoViolations(t, withShutdownsNotRun(records))
	wantReadYourWrites(t, l.recorder)
	for _, e := range records {
		if e.outcome == unknown && sqlState(e.err) != sqlStateShutdown {
			t.Errorf("%s through proxy %d was interrupted: %v", e.id, e.proxy+1, e.err)
		}
	}
	c.wantWithinLimits(t)
	t.Log(l.recorder.summary())
	t.Run("baseline", func(t *testing.T) {
		testKilledProxy(t, c)
	})
}

// stopGracefully shuts down a proxy that has a long statement, an open transaction and an idle session. The statement
// and the transaction must succeed, and the idle session must end.
func stopGracefully(t *testing.T, c *cluster, proxy int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*shutdownTimeout)
	defer cancel()
	open := c.mustDial(ctx, proxy)
	defer open.Close(ctx)
	long := c.mustDial(ctx, proxy)
	defer long.Close(ctx)
	idle := c.mustDial(ctx, proxy)
	defer idle.Close(ctx)
	name := fmt.Sprintf("open-%d", proxy)
	for _, sql := range []string{"BEGIN", insertSQL(name, "a")} {
		if _, err := execSQL(ctx, open, sql); err != nil {
			t.Fatal(err)
		}
	}
	slept := make(chan error, 1)
	go func() {
		_, err := execSQL(ctx, long, "SELECT pg_sleep(3.5)")
		slept <- err
	}()
	waitUntil(t, 5*time.Second, "long statement on a member", func() error {
		return c.checkStatementBegun("pg_sleep(3.5)")
	})
	if len(slept) > 0 {
		t.Fatal("the long statement ended before the shutdown began")
	}
	// With slow confirmations, a write still waits for its confirmation when the lanes have no other work left.
	for _, m := range c.members[1:] {
		c.link(c.proxies[proxy].name, m.name).addLatency(confirmLatency)
	}
	began := time.Now()
	c.terminate(c.proxies[proxy])
	if err := <-slept; err != nil {
		t.Errorf("the long statement was interrupted: %v", err)
	}
	for _, sql := range []string{insertSQL(name, "b"), "COMMIT"} {
		asked := time.Now()
		if _, err := execSQL(ctx, open, sql); err != nil {
			t.Errorf("the open transaction was interrupted at %s: %v", sql, err)
		}
		t.Logf("%s after %s", sql, time.Since(asked).Round(time.Millisecond))
	}
	if err := c.proxies[proxy].waitExit(shutdownTimeout); err != nil {
		t.Error(err)
	}
	t.Logf("proxy %d ended after %s", proxy+1, time.Since(began).Round(time.Millisecond))
	if _, err := execSQL(ctx, idle, "SELECT 1"); err == nil {
		t.Error("the idle session still works after its proxy has ended")
	}
}

// withShutdownsNotRun returns the records with the requests that failed with sqlStateShutdown marked as not run, since
// their session was idle when it was ended. The check then fails if one of them did run.
func withShutdownsNotRun(records []record) []record {
	all := append([]record(nil), records...)
	for i := range all {
		if sqlState(all[i].err) == sqlStateShutdown {
			all[i].outcome = notRun
		}
	}
	return all
}

// testKilledProxy kills a proxy during a statement. The check must detect that the statement was interrupted.
func testKilledProxy(t *testing.T, c *cluster) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	conn := c.mustDial(ctx, 2)
	defer conn.Close(ctx)
	slept := make(chan error, 1)
	go func() {
		_, err := execSQL(ctx, conn, "SELECT pg_sleep(10)")
		slept <- err
	}()
	waitUntil(t, 5*time.Second, "long statement on a member", func() error {
		return c.checkStatementBegun("pg_sleep(10)")
	})
	if len(slept) > 0 {
		t.Fatal("the long statement ended before the kill")
	}
	c.proxies[2].kill()
	if err := <-slept; outcomeOf(err) != unknown {
		t.Errorf("the check does not detect an interrupted statement: %v", err)
	}
}

// mustDial opens a connection through the proxy, or fails the test.
func (c *cluster) mustDial(ctx context.Context, proxy int) *pgconn.PgConn {
	c.t.Helper()
	conn, err := c.dialProxy(ctx, proxy, "")
	if err != nil {
		c.t.Fatal(err)
	}
	return conn
}

// checkStatementBegun returns nil if a member has begun a statement that contains the text, and otherwise an error.
func (c *cluster) checkStatementBegun(text string) error {
	for _, m := range c.members {
		s, err := m.stats(recentEvents)
		if err != nil {
			continue
		}
		for _, k := range s.Connections {
			for _, e := range k.Events {
				if strings.Contains(e.Text, text) {
					return nil
				}
			}
		}
	}
	return fmt.Errorf("no member has begun %s", text)
}
