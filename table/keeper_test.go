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

// await returns when the keeper holds the revision.
func await(t *testing.T, k *Keeper, revision uint64) {
	t.Helper()
	bound, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for {
		changed := k.Changed()
		if now := k.Now(); now != nil && now.Revision == revision {
			return
		}
		select {
		case <-changed:
		case <-bound.Done():
			t.Fatalf("the keeper holds %+v, want revision %d", k.Now(), revision)
		}
	}
}

func run(t *testing.T, k *Keeper) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		done <- k.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run = %v", err)
		}
	})
}

// metric returns a counter's value.
func metric(t *testing.T, c prometheus.Collector, name string) float64 {
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

func TestKeeperNeverReverts(t *testing.T) {
	k := &Keeper{}
	for _, c := range []struct {
		offered uint64
		taken   bool
	}{{
		offered: 3,
		taken:   true,
	}, {
		offered: 2,
	}, {
		offered: 3,
	}, {
		offered: 4,
		taken:   true,
	}} {
		got := k.Offer(&egret.Tables{
			Revision: c.offered,
		})
		if got != c.taken {
			t.Errorf("Offer(%d) = %v, want %v", c.offered, got, c.taken)
		}
	}
	if k.Now().Revision != 4 {
		t.Errorf("revision %d is in force, want 4", k.Now().Revision)
	}
	if got := metric(t, k, "egretlane_tables_older_offers_total"); got != 1 {
		t.Errorf("%v older offers counted, want 1", got)
	}
}

func TestKeeperFollowsTheStoreThroughFaults(t *testing.T) {
	m := &memory{}
	m.write(encoded(t, 2))
	k := &Keeper{
		Store: m,
	}
	run(t, k)
	await(t, k, 1)

	m.setDown(true)
	if now := k.Now(); now == nil || now.Revision != 1 {
		t.Errorf("with the store down %+v is in force", now)
	}
	m.write([]byte(`{"routes":"none"}`))
	m.setDown(false)
	m.write(encoded(t, 3))
	await(t, k, 3)
	if got := k.Now().Pools[0].Slots; got != 3 {
		t.Errorf("slots = %d, want 3", got)
	}
}

func TestKeeperRefusesAValueWithFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{}
		m.write(encoded(t, 2))
		k := &Keeper{
			Store: m,
		}
		run(t, k)
		synctest.Wait()
		m.write([]byte(`{"routes":"none"}`))
		synctest.Wait()
		if k.Now().Revision != 1 {
			t.Errorf("revision %d is in force, want 1", k.Now().Revision)
		}
		if got := metric(t, k, "egretlane_tables_faulty_values_total"); got != 1 {
			t.Errorf("%v values with faults counted, want 1", got)
		}
		m.write(encoded(t, 3))
		synctest.Wait()
		if k.Now().Revision != 3 {
			t.Errorf("revision %d is in force, want 3", k.Now().Revision)
		}
	})
}

// A proxy that starts while the store is down takes the tables of a peer, and hands them on as they
// are, with what a later version has put in.
func TestKeeperStartsWithAPeersTables(t *testing.T) {
	m := &memory{
		down: true,
	}
	k := &Keeper{
		Store: m,
		Watches: func() bool {
			return false
		},
		PeerHeard: func() bool {
			return true
		},
	}
	run(t, k)
	data := append([]byte(`{"later":true,`), encoded(t, 2)[1:]...)
	if err := k.OfferBytes(7, data); err != nil {
		t.Fatal(err)
	}
	await(t, k, 7)
	if err := k.OfferBytes(8, []byte("{}")); err == nil {
		t.Error("tables without routes were taken")
	}
	if revision, got := k.Bytes(); revision != 7 || !bytes.Equal(got, data) {
		t.Errorf("Bytes() = %d, %s, want 7, %s", revision, got, data)
	}
}

// A proxy that doesn't watch asks the store only while it hears no peer.
func TestKeeperPollsOnlyWithoutPeers(t *testing.T) {
	for _, heard := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			m := &memory{}
			m.write(encoded(t, 2))
			k := &Keeper{
				Store: m,
				Watches: func() bool {
					return false
				},
				PeerHeard: func() bool {
					return heard
				},
			}
			run(t, k)
			time.Sleep(time.Minute)
			synctest.Wait()
			m.mu.Lock()
			defer m.mu.Unlock()
			if heard && m.gets != 1 {
				t.Errorf("%d gets in a minute with peers, want the one at the start", m.gets)
			}
			if !heard && (m.gets < 4 || m.gets > 12) {
				t.Errorf("%d gets in a minute without peers, want 4 to 12", m.gets)
			}
		})
	}
}
