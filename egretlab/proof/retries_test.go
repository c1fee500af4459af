package proof

import (
	"fmt"
	"testing"
	"time"
)

// maxRetryRatio bounds the ratio of attempts at the members to the callers' requests.
const maxRetryRatio = 1.2

// minRefusedRequests is so large that the burst of retries that each proxy may use at the start hardly affects the
// ratio.
const minRefusedRequests = 4000

// TestRetriesUnderRefusal makes all members refuse all requests, and compares the number of attempts at the members with
// that of the callers' requests. Retries must not multiply the load of members that are in trouble.
func TestRetriesUnderRefusal(t *testing.T) {
	t.Parallel()
	const seed = 61
	t.Logf("seed %d", seed)
	c := startCluster(t, clusterSettings{
		Tables: setShortBudgets,
	})
	for _, m := range c.members {
		if err := post(m.operator, "/refuse?value=true"); err != nil {
			t.Fatal(err)
		}
	}
	before := c.memberAttempts()
	l := c.startLoad(loadSettings{
		Callers: 12,
		Seed:    seed,
		Prefix:  "refused",
		Pin:     true,
	})
	r := c.startReaders(12, "refused-reader")
	waitUntil(t, 30*time.Second, "refused requests", func() error {
		if n := len(l.recorder.snapshot()) + len(r.recorder.snapshot()); n < minRefusedRequests {
			return fmt.Errorf("%d so far", n)
		}
		return nil
	})
	records := append(l.stop(), r.stop()...)
	tried := c.memberAttempts() - before
	ratio := float64(tried) / float64(len(records))
	t.Logf("%d requests, %d attempts at members, ratio %.3f; orders: %s; reads: %s", len(records), tried, ratio,
		l.recorder.summary(), r.recorder.summary())
	if ratio >= maxRetryRatio {
		t.Errorf("%.3f attempts at members per request, want less than %.1f", ratio, maxRetryRatio)
	}
	if n := l.acknowledgedWrites() + r.acknowledgedWrites(); n > 0 {
		t.Errorf("%d orders acknowledged although all members refuse them", n)
	}
	t.Run("baseline", func(t *testing.T) {
		before := c.memberAttempts()
		const requests = 50
		retryThreeTimes(c, requests)
		if ratio := float64(c.memberAttempts()-before) / requests; ratio < maxRetryRatio {
			t.Errorf("the check does not detect callers that try three times: ratio %.3f", ratio)
		}
	})
}

// retryThreeTimes sends each request directly to a member, up to three times without a delay.
func retryThreeTimes(c *cluster, requests int) {
	s := c.newSession("three-times")
	s.dial = c.dialMember
	defer s.close()
	for i := range requests {
		for range 3 {
			if s.placeOrder(0, fmt.Sprintf("three-times-%d", i), "sieve 2mm").outcome == acknowledged {
				break
			}
		}
	}
}
