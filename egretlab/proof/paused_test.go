package proof

import (
	"testing"
	"time"
)

// TestPausedProxy pauses the proxy that holds the primary's lane until another proxy has taken over the lane, and then
// resumes it, twice. The resumed proxy goes on as if it still held the lane. The two proxies together must not exceed
// the primary's limits, which are the low defaults of 2 statements and 16 connections, and no write may be lost or run
// twice.
func TestPausedProxy(t *testing.T) {
	t.Parallel()
	const seed = 81
	t.Logf("seed %d", seed)
	c := startCluster(t, clusterSettings{
		Tables: setShortBudgets,
	})
	l := c.startLoad(loadSettings{
		Callers:   9,
		Seed:      seed,
		Prefix:    "paused",
		Reads:     true,
		Changes:   true,
		Pin:       true,
		ThinkTime: 2 * time.Millisecond,
	})
	l.waitAcknowledged(t, 100)
	for range 2 {
		began := time.Since(l.recorder.startedAt)
		c.proxies[0].pause()
		l.waitAcknowledged(t, 100)
		gap := longestWriteGap(l.recorder.snapshot(), began)
		c.proxies[0].resume()
		l.waitAcknowledged(t, 100)
		t.Logf("longest time without an acknowledged write: %s", gap.Round(time.Millisecond))
	}
	records := l.stop()
	c.waitEqualLogs()
	c.wantNoViolations(t, records)
	wantReadYourWrites(t, l.recorder)
	c.wantWithinLimits(t)
	t.Log(l.recorder.summary())
}
