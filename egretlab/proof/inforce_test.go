package proof

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"
)

// maxInForceDelay is the time within which accepted tables must be in force on every proxy.
const maxInForceDelay = 5 * time.Second

// exitConflict is the exit status of egretctl if another change of the tables came first.
const exitConflict = 4

// proxyStatus is the part of a proxy's status that the tests read.
type proxyStatus struct {
	Revision uint64 `json:"revision,string"`
}

// revisionWatcher polls the revision of the tables on each proxy and records decreases, which must never occur.
type revisionWatcher struct {
	cluster  *cluster
	stopping chan struct{}
	done     sync.WaitGroup

	mu sync.Mutex

	// highest is the highest revision seen of each proxy, by the proxy's name.
	highest   map[string]uint64
	decreases []string
}

// watchRevisions starts to poll the revisions of all proxies.
func (c *cluster) watchRevisions() *revisionWatcher {
	r := &revisionWatcher{
		cluster:  c,
		stopping: make(chan struct{}),
		highest:  map[string]uint64{},
	}
	for _, p := range c.proxies {
		r.done.Go(func() {
			for {
				r.sample(p)
				select {
				case <-r.stopping:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	return r
}

// sample reads a proxy's revision. It ignores a proxy that does not answer.
func (r *revisionWatcher) sample(p *node) {
	s := proxyStatus{}
	if p.process == nil || getJSON(stateClient, p.operator, "/status", &s) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Revision < r.highest[p.name] {
		r.decreases = append(r.decreases, fmt.Sprintf("the revision of %s decreased from %d to %d", p.name, r.highest[p.name], s.Revision))
		return
	}
	r.highest[p.name] = s.Revision
}

// wantNoDecrease stops the polling and fails the test if a revision decreased.
func (r *revisionWatcher) wantNoDecrease(t *testing.T) {
	t.Helper()
	close(r.stopping)
	r.done.Wait()
	for _, f := range r.decreases {
		t.Error(f)
	}
}

// revision returns a proxy's revision, zero if it doesn't answer.
func (n *node) revision() uint64 {
	s := proxyStatus{}
	if err := getJSON(stateClient, n.operator, "/status", &s); err != nil {
		return 0
	}
	return s.Revision
}

// waitInForce waits until all proxies have a later revision than the one before the change.
func (c *cluster) waitInForce(t *testing.T, before uint64) {
	t.Helper()
	took := waitUntil(t, 2*maxInForceDelay, "tables in force", func() error {
		for _, p := range c.proxies {
			if now := p.revision(); now <= before {
				return fmt.Errorf("%s has revision %d", p.name, now)
			}
		}
		return nil
	})
	if took > maxInForceDelay {
		t.Errorf("the tables are in force on all proxies after %s, want at most %s", took, maxInForceDelay)
	}
	t.Logf("tables in force on %d proxies after %s", len(c.proxies), took.Round(time.Millisecond))
}

// TestTablesInForce changes the tables while operators apply changes at the same time, an answer of the store is lost,
// the store is down or slow, and a proxy starts. Each accepted change must be in force on all proxies in time.
func TestTablesInForce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterSettings{})
	lateProxy := c.addProxy(len(c.proxies))
	c.proxies = c.proxies[:3]
	w := c.watchRevisions()
	t.Run("race", func(t *testing.T) {
		testOperatorRace(t, c)
	})
	t.Run("lost-answer", func(t *testing.T) {
		testLostStoreAnswer(t, c)
	})
	t.Run("store-down", func(t *testing.T) {
		testStoreDown(t, c, lateProxy)
	})
	t.Run("store-slow", func(t *testing.T) {
		before := c.proxies[0].revision()
		c.setStoreFault("slow")
		c.applyQueueLength(t, 333)
		c.waitInForce(t, before)
		c.setStoreFault("none")
	})
	w.wantNoDecrease(t)
}

// applyQueueLength applies tables with the given queue length.
func (c *cluster) applyQueueLength(t *testing.T, length int) {
	t.Helper()
	s := c.tables
	s.Queue = length
	out, code := c.runEgretctl("apply", c.writeTables(fmt.Sprintf("queue-%d", length), s))
	if code != 0 {
		t.Fatalf("apply ended with %d:\n%s", code, out)
	}
}

// testStoreDown makes the store unavailable. The proxies must go on serving with the tables that they have, changes
// must fail, and a proxy that starts meanwhile must get the tables from its peers.
func testStoreDown(t *testing.T, c *cluster, lateProxy *node) {
	before := c.proxies[0].revision()
	c.setStoreFault("down")
	s := c.newSession("store-down")
	defer s.close()
	for i := range c.proxies {
		if e := s.placeOrder(i, fmt.Sprintf("store-down-%d", i), "sieve 2mm"); e.err != nil {
			t.Errorf("order through proxy %d while the store is down: %v", i+1, e.err)
		}
	}
	changed := c.tables
	changed.Queue = 444
	if _, code := c.runEgretctl("apply", c.writeTables("down", changed)); code == 0 {
		t.Error("apply reports success while the store is down")
	}
	lateProxy.process = c.startProxy(lateProxy)
	lateProxy.waitReady()
	if got := lateProxy.revision(); got != before {
		t.Errorf("the proxy started while the store is down has revision %d, want %d", got, before)
	}
	c.proxies = append(c.proxies, lateProxy)
	if e := s.placeOrder(3, "store-down-late", "sieve 2mm"); e.err != nil {
		t.Errorf("order through the proxy started while the store is down: %v", e.err)
	}
	c.setStoreFault("none")
	c.applyQueueLength(t, 445)
	c.waitInForce(t, before)
}

// testLostStoreAnswer makes the store drop its answer to a change that it has executed. The change must be in force
// exactly once.
func testLostStoreAnswer(t *testing.T, c *cluster) {
	before := c.proxies[0].revision()
	c.setStoreFault("lose-answer")
	restored := time.AfterFunc(time.Second, func() {
		_ = post(c.store.operator, "/fault?mode=none")
	})
	defer restored.Stop()
	c.applyQueueLength(t, 222)
	c.setStoreFault("none")
	c.waitInForce(t, before)
	if now := c.proxies[0].revision(); now != before+1 {
		t.Errorf("revision is %d after one change of revision %d", now, before)
	}
}

// testOperatorRace applies two changes that expect the same revision at the same time, in several rounds. One must
// succeed and the other must report the conflict.
func testOperatorRace(t *testing.T, c *cluster) {
	const rounds = 5
	for round := range rounds {
		before := c.proxies[0].revision()
		succeeded, conflicts := c.applyConcurrently(round, "--expect-revision", strconv.FormatUint(before, 10))
		if succeeded != 1 || conflicts != 1 {
			t.Errorf("round %d: %d changes succeeded and %d reported a conflict, want 1 and 1", round, succeeded, conflicts)
		}
		c.waitInForce(t, before)
		if now := c.proxies[0].revision(); now != before+1 {
			t.Errorf("round %d: revision is %d after one change of revision %d", round, now, before)
		}
	}
	t.Run("baseline", func(t *testing.T) {
		// Without --expect-revision, the later change overwrites the earlier one and no conflict is reported.
		succeeded := 0
		for i := range 2 {
			changed := c.tables
			changed.Queue = 700 + i
			if _, code := c.runEgretctl("apply", c.writeTables("unseen", changed)); code == 0 {
				succeeded++
			}
		}
		if succeeded != 2 {
			t.Errorf("%d of 2 changes without an expected revision succeeded", succeeded)
		}
	})
}

// applyConcurrently applies two different tables at the same time. It returns how many changes succeeded and how many
// reported a conflict.
func (c *cluster) applyConcurrently(round int, flags ...string) (succeeded int, conflicts int) {
	codes := [2]int{}
	var done sync.WaitGroup
	for i := range codes {
		s := c.tables
		s.Queue = 500 + 2*round + i
		file := c.writeTables(fmt.Sprintf("race-%d-%d", round, i), s)
		done.Go(func() {
			_, codes[i] = c.runEgretctl(append(append([]string{"apply"}, flags...), file)...)
		})
	}
	done.Wait()
	for _, code := range codes {
		switch code {
		case 0:
			succeeded++
		case exitConflict:
			conflicts++
		}
	}
	return succeeded, conflicts
}
