package proof

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// codeShutdown ends idle sessions of a proxy that shuts down.
const codeShutdown = "57P01"

// shutdownLimit bounds a graceful shutdown whose requests all end soon.
const shutdownLimit = 15 * time.Second

// slowConfirm is the latency to the members that confirm, in each direction.
const slowConfirm = 150 * time.Millisecond

// TestGracefulShutdown ends each proxy in turn under load, with a long statement, an open
// transaction and an idle session on it. No request may be cut.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	const seed = 51
	t.Logf("seed %d", seed)
	c := startCluster(t, clusterSettings{})
	l := c.startLoad(loadSettings{
		Callers: 8,
		Seed:    seed,
		Prefix:  "stop",
		Reads:   true,
		Pin:     true,
		Move:    true,
	})
	for i := range 2 {
		l.waitCount(t, 50)
		stopGracefully(t, c, i)
		l.waitCount(t, 50)
	}
	records := l.stop()
	c.waitEqualLogs()
	c.wantClean(t, endedBetween(records))
	wantReadYourWrites(t, l.recorder)
	for _, e := range records {
		if e.outcome == unknown && codeOf(e.err) != codeShutdown {
			t.Errorf("%s through proxy %d was cut: %v", e.id, e.proxy+1, e.err)
		}
	}
	c.wantWithinLimits(t)
	t.Log(l.recorder.tally())
	t.Run("baseline", func(t *testing.T) {
		killedUnderLoad(t, c)
	})
}

// stopGracefully shuts a proxy down while three sessions hold it.
func stopGracefully(t *testing.T, c *cluster, proxy int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*shutdownLimit)
	defer cancel()
	open := c.mustDial(ctx, proxy)
	defer open.Close(ctx)
	long := c.mustDial(ctx, proxy)
	defer long.Close(ctx)
	idle := c.mustDial(ctx, proxy)
	defer idle.Close(ctx)
	name := fmt.Sprintf("open-%d", proxy)
	for _, sql := range []string{"BEGIN", insertOf(name, "a")} {
		if _, err := run(ctx, open, sql); err != nil {
			t.Fatal(err)
		}
	}
	slept := make(chan error, 1)
	go func() {
		_, err := run(ctx, long, "SELECT pg_sleep(3.5)")
		slept <- err
	}()
	until(t, 5*time.Second, "long statement on a member", func() error {
		return c.running("pg_sleep(3.5)")
	})
	if len(slept) > 0 {
		t.Fatal("the long statement ended before the shutdown began")
	}
	// Confirmations that take long are under way when the lanes have nothing else left.
	for _, m := range c.members[1:] {
		c.link(c.proxies[proxy].name, m.name).delay(slowConfirm)
	}
	began := time.Now()
	c.terminate(c.proxies[proxy])
	if err := <-slept; err != nil {
		t.Errorf("the long statement was cut: %v", err)
	}
	for _, sql := range []string{insertOf(name, "b"), "COMMIT"} {
		asked := time.Now()
		if _, err := run(ctx, open, sql); err != nil {
			t.Errorf("the open transaction was cut at %s: %v", sql, err)
		}
		t.Logf("%s after %s", sql, time.Since(asked).Round(time.Millisecond))
	}
	if err := c.proxies[proxy].waitEnd(shutdownLimit); err != nil {
		t.Error(err)
	}
	t.Logf("proxy %d ended after %s", proxy+1, time.Since(began).Round(time.Millisecond))
	if _, err := run(ctx, idle, "SELECT 1"); err == nil {
		t.Error("the idle session goes on after its proxy has ended")
	}
}

// endedBetween turns requests that met the end of their idle session into requests that did not
// run, so that the check holds them to it.
func endedBetween(records []record) []record {
	all := append([]record(nil), records...)
	for i := range all {
		if codeOf(all[i].err) == codeShutdown {
			all[i].outcome = notRun
		}
	}
	return all
}

// killedUnderLoad ends a proxy without grace and must find requests that were cut.
func killedUnderLoad(t *testing.T, c *cluster) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	conn := c.mustDial(ctx, 2)
	defer conn.Close(ctx)
	slept := make(chan error, 1)
	go func() {
		_, err := run(ctx, conn, "SELECT pg_sleep(10)")
		slept <- err
	}()
	until(t, 5*time.Second, "long statement on a member", func() error {
		return c.running("pg_sleep(10)")
	})
	c.proxies[2].kill()
	if err := <-slept; judge(err) != unknown {
		t.Errorf("the check misses a statement that was cut: %v", err)
	}
}

func (c *cluster) mustDial(ctx context.Context, proxy int) *pgconn.PgConn {
	c.t.Helper()
	conn, err := c.dialProxy(ctx, proxy, "")
	if err != nil {
		c.t.Fatal(err)
	}
	return conn
}

// running returns nil once a member has begun a statement with the text.
func (c *cluster) running(text string) error {
	for _, m := range c.members {
		s, err := m.stats()
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
	return fmt.Errorf("no member runs %s", text)
}
