package proof

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// longLag is a replication lag long enough that replicas don't have a session's latest writes.
const longLag = 5 * time.Second

// tokenUse says whether a session sends its token when it connects to another proxy.
type tokenUse string

const (
	withToken    tokenUse = "token"
	withoutToken tokenUse = "no-token"
)

// runRoamingSession places an order, and then changes it and reads it twice in each round. It chooses a random proxy
// for each request.
func runRoamingSession(c *cluster, s *session, seed uint64, rounds int) {
	random := rand.New(rand.NewPCG(seed, 0))
	id := s.name
	s.placeOrder(0, id, "first")
	for i := range rounds {
		s.changeItem(random.IntN(len(c.proxies)), id, fmt.Sprintf("round-%d", i))
		for range 2 {
			s.readItem(random.IntN(len(c.proxies)), id)
		}
	}
}

// TestReadYourWritesRoaming moves sessions between proxies while the replicas lag by longLag. Reads from the replicas
// would miss the session's own writes.
func TestReadYourWritesRoaming(t *testing.T) {
	t.Parallel()
	const seed = 11
	t.Logf("seed %d", seed)
	c := startCluster(t, clusterSettings{
		Lag: longLag,
	})
	for _, use := range []tokenUse{withToken, withoutToken} {
		t.Run(string(use), func(t *testing.T) {
			s := c.newSession("roaming-" + string(use))
			s.sendsToken = use == withToken
			defer s.close()
			runRoamingSession(c, s, seed, 15)
			wantReadYourWrites(t, s.recorder)
			wantAcknowledged(t, s.recorder, 40)
			t.Log(s.recorder.summary())
		})
	}
	t.Run("baseline", func(t *testing.T) {
		s := c.newSession("baseline")
		defer s.close()
		s.placeOrder(0, s.name, "first")
		s.close()
		s.dial = c.dialMember
		s.readItem(1, s.name)
		wantAcknowledged(t, s.recorder, 2)
		if readsOwnWrites(t, s.recorder.snapshot()) {
			t.Error("the checker accepts a read from a lagging replica")
		}
	})
}

// TestReadYourWritesOldToken reads after a write that the replicas don't have yet, but with the token of an earlier
// write that they have. The read must see the later write nevertheless.
func TestReadYourWritesOldToken(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterSettings{
		Lag: 500 * time.Millisecond,
	})
	s := c.newSession("old-token")
	defer s.close()
	s.placeOrder(0, s.name, "first")
	old := s.token
	for i := range 5 {
		c.waitApplied()
		s.changeItem(i%3, s.name, fmt.Sprintf("round-%d", i))
		s.token = old
		s.readItem((i+1)%3, s.name)
	}
	wantReadYourWrites(t, s.recorder)
	wantAcknowledged(t, s.recorder, 11)
}

// TestReadYourWritesOldTerm uses a token from the term before a promotion, while the superseded primary is back. Its
// reads must not be answered with older data.
func TestReadYourWritesOldTerm(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterSettings{
		Lag: time.Second,
	})
	old, term := c.primary()
	s := c.newSession("old-term")
	defer s.close()
	s.placeOrder(0, s.name, "first")
	s.changeItem(0, s.name, "second")
	old.pause()
	_, took := c.waitPromotion(old, term)
	old.resume()
	for i := range 12 {
		s.readItem(i%3, s.name)
	}
	s.changeItem(1, s.name, "third")
	for i := range 12 {
		s.readItem(i%3, s.name)
	}
	wantReadYourWrites(t, s.recorder)
	wantAcknowledged(t, s.recorder, 24)
	t.Logf("promotion after %s; %s", took.Round(time.Millisecond), s.recorder.summary())
}

// TestReadYourWritesPromotion isolates the primary except from the proxy of its failure domain while callers write and
// read. Another member is promoted, but the old primary still answers this proxy.
func TestReadYourWritesPromotion(t *testing.T) {
	t.Parallel()
	const seed = 12
	t.Logf("seed %d", seed)
	c := startCluster(t, clusterSettings{
		Lag: 500 * time.Millisecond,
	})
	old, term := c.primary()
	l := c.startLoad(loadSettings{
		Callers:   6,
		Seed:      seed,
		Prefix:    "moving",
		Reads:     true,
		Changes:   true,
		ThinkTime: 5 * time.Millisecond,
	})
	l.waitAcknowledged(t, 60)
	for _, k := range c.linksOf(old.name) {
		if k != c.link("proxy-1", old.name) {
			k.dropAll()
		}
	}
	_, took := c.waitPromotion(old, term)
	l.waitAcknowledged(t, 60)
	c.rejoin(old.name)
	l.waitAcknowledged(t, 60)
	records := l.stop()
	c.waitEqualLogs()
	wantReadYourWrites(t, l.recorder)
	c.wantNoViolations(t, records)
	t.Logf("promotion after %s; %s", took.Round(time.Millisecond), l.recorder.summary())
}

// wantAcknowledged fails the test if fewer than n requests were acknowledged. Without it, a check of requests that all
// failed would pass.
func wantAcknowledged(t testing.TB, r *recorder, n int) {
	t.Helper()
	got := 0
	for _, e := range r.snapshot() {
		if e.outcome == acknowledged {
			got++
			continue
		}
		t.Logf("%s proxy %d: %v", e.id, e.proxy+1, e.err)
	}
	if got < n {
		t.Errorf("%d requests acknowledged, want at least %d", got, n)
	}
}
