package table

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"egretlane.example/egret"
)

// waitForRevision returns when the current tables have the revision.
func waitForRevision(t *testing.T, c *Cache, revision uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for {
		changed := c.Changed()
		if now := c.Current(); now != nil && now.Revision == revision {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			t.Fatalf("current tables %+v, want revision %d", c.Current(), revision)
		}
	}
}

// startRun runs the cache in the background until the end of the test.
func startRun(t *testing.T, c *Cache) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		done <- c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run = %v", err)
		}
	})
}

// counterValue returns the value of the counter with the name.
func counterValue(t *testing.T, c prometheus.Collector, name string) float64 {
	t.Helper()
	r := prometheus.NewRegistry()
	r.MustRegister(c)
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}

func TestCacheNeverReverts(t *testing.T) {
	c := &Cache{}
	for _, o := range []struct {
		revision uint64
		accepted bool
	}{{
		revision: 3,
		accepted: true,
	}, {
		revision: 2,
	}, {
		revision: 3,
	}, {
		revision: 4,
		accepted: true,
	}} {
		got := c.Offer(&egret.Tables{
			Revision: o.revision,
		})
		if got != o.accepted {
			t.Errorf("Offer(%d) = %v, want %v", o.revision, got, o.accepted)
		}
	}
	if c.Current().Revision != 4 {
		t.Errorf("current revision %d, want 4", c.Current().Revision)
	}
	if got := counterValue(t, c, "egretlane_tables_older_offers_total"); got != 1 {
		t.Errorf("%v stale offers counted, want 1", got)
	}
}

func TestCacheFollowsTheStoreThroughFaults(t *testing.T) {
	s := &fakeStore{}
	s.write(encodedTables(t, 2))
	c := &Cache{
		Store: s,
	}
	startRun(t, c)
	waitForRevision(t, c, 1)

	s.setUnavailable(true)
	if now := c.Current(); now == nil || now.Revision != 1 {
		t.Errorf("current tables with the store unavailable: %+v, want revision 1", now)
	}
	s.write([]byte(`{"routes":"none"}`))
	s.setUnavailable(false)
	s.write(encodedTables(t, 3))
	waitForRevision(t, c, 3)
	if got := c.Current().Pools[0].Slots; got != 3 {
		t.Errorf("slots = %d, want 3", got)
	}
}

func TestCacheRefusesAValueWithFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		s.write(encodedTables(t, 2))
		c := &Cache{
			Store: s,
		}
		startRun(t, c)
		synctest.Wait()
		s.write([]byte(`{"routes":"none"}`))
		synctest.Wait()
		if c.Current().Revision != 1 {
			t.Errorf("current revision %d, want 1", c.Current().Revision)
		}
		if got := counterValue(t, c, "egretlane_tables_faulty_values_total"); got != 1 {
			t.Errorf("%v values with faults counted, want 1", got)
		}
		s.write(encodedTables(t, 3))
		synctest.Wait()
		if c.Current().Revision != 3 {
			t.Errorf("current revision %d, want 3", c.Current().Revision)
		}
	})
}

// A proxy that starts while the store is down must accept the tables of a peer and send them on unchanged,
// including keys of a later version that it doesn't know.
func TestCacheStartsWithAPeersTables(t *testing.T) {
	s := &fakeStore{
		unavailable: true,
	}
	c := &Cache{
		Store: s,
		WatchesStore: func() bool {
			return false
		},
		HasLivePeer: func() bool {
			return true
		},
	}
	startRun(t, c)
	data := append([]byte(`{"later":true,`), encodedTables(t, 2)[1:]...)
	if err := c.OfferEncoded(7, data); err != nil {
		t.Fatal(err)
	}
	waitForRevision(t, c, 7)
	if err := c.OfferEncoded(8, []byte("{}")); err == nil {
		t.Error("OfferEncoded accepted tables without routes")
	}
	if revision, got := c.Encoded(); revision != 7 || !bytes.Equal(got, data) {
		t.Errorf("Encoded() = %d, %s, want 7, %s", revision, got, data)
	}
}

// A proxy that doesn't watch the store must poll it only while it has no live peer, so as to limit the load on
// the store.
func TestCachePollsOnlyWithoutPeers(t *testing.T) {
	for _, livePeer := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{}
			s.write(encodedTables(t, 2))
			c := &Cache{
				Store: s,
				WatchesStore: func() bool {
					return false
				},
				HasLivePeer: func() bool {
					return livePeer
				},
			}
			startRun(t, c)
			time.Sleep(time.Minute)
			synctest.Wait()
			s.mu.Lock()
			defer s.mu.Unlock()
			if livePeer && s.gets != 1 {
				t.Errorf("%d gets in a minute with peers, want the one at the start", s.gets)
			}
			if !livePeer && (s.gets < 4 || s.gets > 12) {
				t.Errorf("%d gets in a minute without peers, want 4 to 12", s.gets)
			}
		})
	}
}
