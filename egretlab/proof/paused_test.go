package proof

import (
	"testing"
	"time"
)

// TestPausedProxy stops the proxy that holds the primary's lane until another one has taken it, and
// lets it go on as if nothing had happened. All this with the primary's limits at their least.
func TestPausedProxy(t *testing.T) {
	t.Parallel()
	const seed = 81
	t.Logf("seed %d", seed)
	c := startCluster(t, clusterSettings{
		Tables: shortBudgets,
	})
	l := c.startLoad(loadSettings{
		Callers: 9,
		Seed:    seed,
		Prefix:  "paused",
		Reads:   true,
		Changes: true,
		Pin:     true,
		Pause:   2 * time.Millisecond,
	})
	l.waitCount(t, 100)
	for range 2 {
		began := time.Since(l.recorder.began)
		c.proxies[0].freeze()
		l.waitCount(t, 100)
		gap := longestGap(l.recorder.all(), began)
		c.proxies[0].thaw()
		l.waitCount(t, 100)
		t.Logf("no order for %s", gap.Round(time.Millisecond))
	}
	records := l.stop()
	c.waitEqualLogs()
	c.wantClean(t, records)
	wantReadYourWrites(t, l.recorder)
	c.wantWithinLimits(t)
	t.Log(l.recorder.tally())
}
