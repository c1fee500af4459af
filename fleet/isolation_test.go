package fleet

import (
	"net/netip"
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/claim"
	"egretlane.example/egret/clock"
)

// TestCutOffProcessMovesItsCallers loses two of three services, then one, then two again.
func TestCutOffProcessMovesItsCallers(t *testing.T) {
	i := Isolation{}
	start := clock.Now()
	for _, c := range []struct {
		at             time.Duration
		lost           int
		isolated, move bool
	}{
		{at: 0, lost: 1},
		{at: time.Second, lost: 2, isolated: true},
		{at: 3 * time.Second, lost: 3, isolated: true},
		{at: 3300 * time.Millisecond, lost: 2, isolated: true, move: true},
		{at: 4 * time.Second, lost: 1},
		{at: 5 * time.Second, lost: 2, isolated: true},
		{at: 7 * time.Second, lost: 2, isolated: true},
	} {
		isolated, move := i.Judge(start.Add(c.at), 3, c.lost)
		if isolated != c.isolated || move != c.move {
			t.Errorf("after %s with %d lost: isolated %t, move %t", c.at, c.lost, isolated, move)
		}
	}
}

// TestProcessWithoutServicesIsNotIsolated checks the time before the first configuration.
func TestProcessWithoutServicesIsNotIsolated(t *testing.T) {
	i := Isolation{}
	if isolated, _ := i.Judge(clock.Now(), 0, 0); isolated {
		t.Error("isolated without services")
	}
}

// TestReachWithoutStoreAndHolder loses the store and the holder, and a right of this process itself.
func TestReachWithoutStoreAndHolder(t *testing.T) {
	f := newFleet(t, closedPort)
	if services, lost := f.Reach(); services != 1 || lost != 0 {
		t.Errorf("%d of %d services are lost at first", lost, services)
	}
	_, _ = f.Pool.Ping(t.Context(), closedPort)
	f.storeLost.Store(int64(clock.Now()))
	time.Sleep(hopelessAfter + 50*time.Millisecond)
	if _, lost := f.Reach(); lost != 1 {
		t.Errorf("%d services are lost without the store and the holder", lost)
	}
	f.storeLost.Store(0)
	if _, lost := f.Reach(); lost != 0 {
		t.Errorf("%d services are lost though the store answers", lost)
	}
	f.givenUp[6] = true
	f.storeLost.Store(int64(clock.Now().Add(-2 * hopelessAfter)))
	f.reset(holderItems(t, 6, claim.Record{Node: "third", Incarnation: "1", Address: netip.MustParseAddrPort("127.0.0.1:3")}))
	if _, lost := f.Reach(); lost != 1 {
		t.Errorf("%d services are lost though the holder has given up and the store is lost", lost)
	}
	f.reset(holderItems(t, 7, claim.Record{Node: f.Self.ID, Incarnation: f.Self.Incarnation, Address: f.Self.Address}))
	if _, lost := f.Reach(); lost != 1 {
		t.Errorf("%d services are lost though the process has lost its right and the store", lost)
	}
}

// TestLapsedHolderTellsOtherProxies checks that a proxy whose right has lapsed refuses its own callers at
// once, and sends other proxies away, so that they learn that it gave up.
func TestLapsedHolderTellsOtherProxies(t *testing.T) {
	f := newFleet(t, closedPort)
	f.reset(holderItems(t, 7, claim.Record{Node: f.Self.ID, Incarnation: f.Self.Incarnation, Address: f.Self.Address}))
	f.storeLost.Store(int64(clock.Now().Add(-2 * hopelessAfter)))
	began := time.Now()
	if a := f.Entry().Do(t.Context(), work()); a.Fault.Kind != egret.FaultBusy {
		t.Errorf("its own caller got %+v", a)
	}
	if a := f.Stream(false).Do(t.Context(), work()); a.Fault.Kind != egret.FaultMoved {
		t.Errorf("another proxy got %+v", a)
	}
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("both took %s", took)
	}
}
