package proof

import (
	"context"
	"slices"
	"testing"
	"time"
)

// primaryFailure is a failure of the primary or its network, with the functions that inject and repair it.
type primaryFailure struct {
	name   string
	inject func(c *cluster, old *node)
	repair func(c *cluster, old *node)

	// promotes says that the failure must lead to a promotion.
	promotes bool
}

// primaryFailures are failures in which the old primary does not notice that it may be superseded.
var primaryFailures = []primaryFailure{
	{
		// The replicas still follow the primary, but the proxy of the other region can't reach it.
		name: "one-region",
		inject: func(c *cluster, old *node) {
			c.link("proxy-3", old.name).dropAll()
		},
		repair: func(c *cluster, old *node) {
			c.rejoin(old.name)
		},
	},
	{
		name: "replicas-only",
		inject: func(c *cluster, old *node) {
			for _, m := range c.members {
				if m != old {
					c.link(m.name, old.name).dropAll()
					c.link(old.name, m.name).dropAll()
				}
			}
		},
		repair: func(c *cluster, old *node) {
			c.rejoin(old.name)
		},
	},
	{
		name: "frozen",
		inject: func(_ *cluster, old *node) {
			old.pause()
		},
		repair: func(_ *cluster, old *node) {
			old.resume()
		},
		promotes: true,
	},
	{
		name: "cut-off-store-down",
		inject: func(c *cluster, old *node) {
			c.setStoreFault("down")
			c.isolate(old.name)
		},
		repair: func(c *cluster, old *node) {
			c.rejoin(old.name)
			c.setStoreFault("none")
		},
		promotes: true,
	},
	{
		// The primary and the proxy of its failure domain are isolated together.
		name: "domain-lost",
		inject: func(c *cluster, old *node) {
			c.isolate(old.name)
			c.isolate("proxy-1")
		},
		repair: func(c *cluster, old *node) {
			c.rejoin("proxy-1")
			c.rejoin(old.name)
		},
		promotes: true,
	},
}

// TestSupersededPrimary injects failures of the primary under load, so that it may go on serving while another member is
// promoted. Each acknowledged write must be in the final primary's log, and none acknowledged after the promotion may
// have an earlier term.
func TestSupersededPrimary(t *testing.T) {
	t.Parallel()
	const seed = 21
	t.Logf("seed %d", seed)
	for _, f := range primaryFailures {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			testPrimaryFailure(t, f, seed)
		})
	}
	t.Run("baseline", testSupersededBaseline)
}

// testPrimaryFailure injects and repairs one failure under load, and checks the callers' records.
func testPrimaryFailure(t *testing.T, f primaryFailure, seed uint64) {
	c := startCluster(t, clusterSettings{
		Tables: setShortBudgets,
	})
	old, term := c.primary()
	l := c.startLoad(loadSettings{
		Callers:   6,
		Seed:      seed,
		Prefix:    f.name,
		Changes:   true,
		ThinkTime: 2 * time.Millisecond,
	})
	l.waitAcknowledged(t, 50)
	f.inject(c, old)
	began := time.Since(l.recorder.startedAt)
	var terms []promotion
	if f.promotes {
		_, took := c.waitPromotion(old, term)
		terms = append(terms, promotion{
			term:       term + 1,
			observedAt: time.Since(l.recorder.startedAt),
		})
		t.Logf("promoted after %s", took.Round(time.Millisecond))
	}
	l.waitAcknowledged(t, 50)
	gap := longestWriteGap(l.recorder.snapshot(), began)
	interimLogs := c.reachableLogs()
	f.repair(c, old)
	l.waitAcknowledged(t, 50)
	t.Logf("repaired %s after the failure", (time.Since(l.recorder.startedAt) - began).Round(time.Millisecond))
	records := l.stop()
	equal := c.waitEqualLogs()
	h := c.collectHistory(records, terms...)
	h.otherLogs = append(h.otherLogs, interimLogs...)
	if v := h.check(); v != (violations{}) {
		t.Errorf("violations found: %+v", v)
	}
	t.Logf("logs equal after %s; longest time without an acknowledged write: %s; %s", equal.Round(time.Millisecond), gap.Round(time.Millisecond), l.recorder.summary())
}

// testSupersededBaseline places an order directly on an isolated primary after a promotion. The primary acknowledges
// it, and the check must detect that it is lost.
func testSupersededBaseline(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterSettings{})
	old, term := c.primary()
	c.isolate(old.name)
	_, _ = c.waitPromotion(old, term)
	s := c.newSession("baseline")
	s.dial = c.dialMember
	defer s.close()
	seen := time.Since(s.recorder.startedAt)
	s.placeOrder(0, "baseline-1", "sieve 2mm")
	wantAcknowledged(t, s.recorder, 1)
	c.rejoin(old.name)
	c.waitEqualLogs()
	v := c.collectHistory(s.recorder.snapshot(), promotion{
		term:       term + 1,
		observedAt: seen,
	}).check()
	if v.lost == 0 {
		t.Errorf("the checker does not detect an order that only the isolated primary has: %+v", v)
	}
}

// TestTwoPromoters fences a replica in the next term, as another promoter would, while the proxies promote a member.
// This must neither prevent the promotion nor lose a write.
func TestTwoPromoters(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterSettings{})
	old, term := c.primary()
	l := c.startLoad(loadSettings{
		Callers:   4,
		Seed:      22,
		Prefix:    "two-promoters",
		ThinkTime: 2 * time.Millisecond,
	})
	l.waitAcknowledged(t, 30)
	old.pause()
	// The other promoter ends after it has fenced the replica, before it promotes it.
	conn, err := c.dialMember(context.Background(), 1, "")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := execSQL(context.Background(), conn, "SELECT * FROM platform.fence(2)"); err != nil {
		t.Logf("the other promoter's fence was refused: %v", err)
	}
	_ = conn.Close(context.Background())
	_, took := c.waitPromotion(old, term)
	l.waitAcknowledged(t, 30)
	old.resume()
	l.waitAcknowledged(t, 30)
	records := l.stop()
	c.waitEqualLogs()
	c.wantNoViolations(t, records)
	t.Logf("promoted after %s; %s", took.Round(time.Millisecond), l.recorder.summary())
}

// longestWriteGap returns the longest time without an acknowledged write since the failure began.
func longestWriteGap(records []record, began time.Duration) time.Duration {
	var replies []time.Duration
	for _, e := range records {
		if e.action != read && e.outcome == acknowledged && e.repliedAt > began {
			replies = append(replies, e.repliedAt)
		}
	}
	slices.Sort(replies)
	last := began
	gap := time.Duration(0)
	for _, r := range replies {
		gap = max(gap, r-last)
		last = r
	}
	return gap
}
