package proof

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// minOrders is the number of writes that TestAtMostOnce has acknowledged under faults.
const minOrders = 1000

// TestAtMostOnce places and changes orders while links break at random and the primary is paused until another member
// is promoted. Each write must be in the final log at most once, and each acknowledged write must be there.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	const seed = 31
	t.Logf("seed %d", seed)
	c := startCluster(t, clusterSettings{
		Tables: setShortBudgets,
	})
	old, term := c.primary()
	l := c.startLoad(loadSettings{
		Callers: 24,
		Seed:    seed,
		Prefix:  "once",
		Changes: true,
	})
	l.waitAcknowledged(t, 50)
	faults := c.startChaos(seed)
	l.waitAcknowledged(t, minOrders/2)
	old.pause()
	_, took := c.waitPromotion(old, term)
	promoted := promotion{
		term:       term + 1,
		observedAt: time.Since(l.recorder.startedAt),
	}
	l.waitAcknowledged(t, minOrders/4)
	old.resume()
	l.waitAcknowledged(t, minOrders/4)
	interimLogs := c.reachableLogs()
	faults.stop()
	l.waitAcknowledged(t, 50)
	records := l.stop()
	c.waitEqualLogs()
	all := c.collectHistory(records, promoted)
	all.otherLogs = append(all.otherLogs, interimLogs...)
	if v := all.check(); v != (violations{}) {
		t.Errorf("violations found: %+v", v)
	}
	t.Logf("faults %v, promotion after %s; %s", faults.counts, took.Round(time.Millisecond), l.recorder.summary())
}

// TestAtMostOnceRetried breaks links at random while callers send each order again until its outcome is known, with
// and without an idempotency key. Retries may be rejected as duplicates, but no order may be in a log twice.
func TestAtMostOnceRetried(t *testing.T) {
	t.Parallel()
	const seed = 32
	t.Logf("seed %d", seed)
	c := startCluster(t, clusterSettings{
		Tables: setShortBudgets,
	})
	for _, key := range []bool{false, true} {
		t.Run(fmt.Sprintf("key-%t", key), func(t *testing.T) {
			faults := c.startChaos(seed)
			l := c.startLoad(loadSettings{
				Callers:        12,
				Seed:           seed,
				Prefix:         fmt.Sprintf("again-%t", key),
				Retry:          true,
				IdempotencyKey: key,
			})
			l.waitAcknowledged(t, 600)
			faults.stop()
			records := l.stop()
			c.waitEqualLogs()
			v := c.collectHistory(records).check()
			v.duplicateKey = 0
			if v != (violations{}) {
				t.Errorf("violations found: %+v", v)
			}
			t.Logf("faults %v; %s", faults.counts, l.recorder.summary())
		})
	}
}

// TestAtMostOnceBaseline repeats a change whose answer was lost, directly on a member. It runs twice, and the check
// must detect this.
func TestAtMostOnceBaseline(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterSettings{
		Proxies: 1,
	})
	l := newLink(t, "caller>member-1", c.members[0].address)
	s := c.newSession("baseline")
	defer s.close()
	s.placeOrder(0, s.name, "first")
	s.close()
	s.dial = func(ctx context.Context, _ int, _ string) (*pgconn.PgConn, error) {
		return dialAs(ctx, l.address.String(), userName, "")
	}
	s.timeout = 300 * time.Millisecond
	s.placeOrder(0, "connects", "first")
	l.dropReplies()
	s.changeItem(0, s.name, "second")
	l.heal()
	s.changeItem(0, s.name, "second")
	if v := c.collectHistory(s.recorder.snapshot()).check(); v.duplicated == 0 {
		t.Errorf("the checker does not detect a change that ran twice: %+v", v)
	}
}

// setShortBudgets makes requests fail early, so that a test goes through more faults.
func setShortBudgets(s *tableSettings) {
	s.OrderBudget = 1500 * time.Millisecond
	s.ReadBudget = 1500 * time.Millisecond
	s.ConfirmTimeout = 500 * time.Millisecond
}

// TestNotRunMeansNotRun breaks links at random and kills a proxy, with budgets and a queue so short that many requests
// are reported as not run. None of these may be in a member's log.
func TestNotRunMeansNotRun(t *testing.T) {
	t.Parallel()
	const seed = 33
	t.Logf("seed %d", seed)
	c := startCluster(t, clusterSettings{
		Tables: func(s *tableSettings) {
			setShortBudgets(s)
			s.OrderBudget = 400 * time.Millisecond
			s.ReadBudget = 400 * time.Millisecond
			s.Queue = 2
		},
	})
	l := c.startLoad(loadSettings{
		Callers: 30,
		Seed:    seed,
		Prefix:  "not-run",
		Changes: true,
	})
	faults := c.startChaos(seed)
	l.waitAcknowledged(t, 100)
	// The lane of the primary's failure domain is lost with this proxy.
	c.proxies[0].kill()
	l.waitAcknowledged(t, 100)
	interimLogs := c.reachableLogs()
	faults.stop()
	records := l.stop()
	all := c.collectHistory(records)
	all.otherLogs = append(all.otherLogs, interimLogs...)
	if v := all.check(); v.falseNotRun != 0 || v.duplicated != 0 || v.duplicateKey != 0 {
		t.Errorf("violations found: %+v", v)
	}
	refused := 0
	for _, e := range records {
		if sqlState(e.err) == "57P03" {
			refused++
		}
	}
	if refused < 20 {
		t.Errorf("%d requests were reported as not run, too few for a meaningful check", refused)
	}
	t.Logf("faults %v, %d reported as not run; %s", faults.counts, refused, l.recorder.summary())
	t.Run("baseline", func(t *testing.T) {
		testLostAnswer(t, c)
	})
}

// testLostAnswer records a request as not run although only its answer was lost. The check must detect it.
func testLostAnswer(t *testing.T, c *cluster) {
	primary, _ := c.primary()
	l := newLink(t, "caller>"+primary.name, primary.address)
	s := c.newSession("lost-answer")
	defer s.close()
	s.timeout = 300 * time.Millisecond
	s.dial = func(ctx context.Context, _ int, _ string) (*pgconn.PgConn, error) {
		return dialAs(ctx, l.address.String(), userName, "")
	}
	s.placeOrder(0, "answered", "sieve 2mm")
	l.dropReplies()
	e := s.placeOrder(0, "unanswered", "sieve 2mm")
	e.outcome = notRun
	if v := c.collectHistory([]record{e}).check(); v.falseNotRun != 1 {
		t.Errorf("the checker does not detect a request that ran: %+v", v)
	}
}
