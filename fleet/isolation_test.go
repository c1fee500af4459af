package fleet

import (
	"net/netip"
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/lease"
)

// TestCutOffProcessMovesItsCallers checks that a process counts as isolated while most of its services are
// lost, that sessions move only after sessionMoveDelay, and that a recovery restarts the delay.
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
		isolated, move := i.Update(start.Add(c.at), 3, c.lost)
		if isolated != c.isolated || move != c.move {
			t.Errorf("after %s with %d lost: isolated %t, move %t", c.at, c.lost, isolated, move)
		}
	}
}

// TestProcessWithoutServicesIsNotIsolated covers a process that has no configuration yet.
func TestProcessWithoutServicesIsNotIsolated(t *testing.T) {
	i := Isolation{}
	if isolated, _ := i.Update(clock.Now(), 0, 0); isolated {
		t.Error("isolated without services")
	}
}

// TestServicesUnavailableWithoutStore checks that a service is lost while the store doesn't answer and its
// holder is silent, has given it up, or is this process, whose lease has ended.
func TestServicesUnavailableWithoutStore(t *testing.T) {
	f := newFleet(t, closedAddress)
	if services, lost := f.Reachability(); services != 1 || lost != 0 {
		t.Errorf("%d of %d services are lost at the start", lost, services)
	}
	_, _ = f.Pool.Ping(t.Context(), closedAddress)
	f.storeDownSince.Store(int64(clock.Now()))
	time.Sleep(failFastAfter + 50*time.Millisecond)
	if _, lost := f.Reachability(); lost != 1 {
		t.Errorf("%d services are lost, want 1: neither the store nor the holder answers", lost)
	}
	f.storeDownSince.Store(0)
	if _, lost := f.Reachability(); lost != 0 {
		t.Errorf("%d services are lost, want 0: the store answers", lost)
	}
	f.givenUp[egret.Revision{Number: 6}] = clock.Now()
	f.storeDownSince.Store(int64(clock.Now().Add(-2 * failFastAfter)))
	f.applySnapshot(holderItems(t, 6, lease.Record{Node: "third", Incarnation: "1", Address: netip.MustParseAddrPort("127.0.0.1:3")}), egret.Revision{Number: 6})
	if _, lost := f.Reachability(); lost != 1 {
		t.Errorf("%d services are lost, want 1: the holder has given up and the store doesn't answer", lost)
	}
	f.applySnapshot(holderItems(t, 7, lease.Record{Node: f.Self.ID, Incarnation: f.Self.Incarnation, Address: f.Self.Address}), egret.Revision{Number: 7})
	if _, lost := f.Reachability(); lost != 1 {
		t.Errorf("%d services are lost, want 1: this process's lease has expired and the store doesn't answer", lost)
	}
}

// TestExpiredHolderRedirectsPeers checks that a proxy whose lease on a service has expired refuses its own
// callers at once, and answers other proxies with FaultNotHolder, so that they learn that it gave up.
func TestExpiredHolderRedirectsPeers(t *testing.T) {
	f := newFleet(t, closedAddress)
	f.applySnapshot(holderItems(t, 7, lease.Record{Node: f.Self.ID, Incarnation: f.Self.Incarnation, Address: f.Self.Address}), egret.Revision{Number: 7})
	f.storeDownSince.Store(int64(clock.Now().Add(-2 * failFastAfter)))
	began := time.Now()
	if a := f.CallerStream().Do(t.Context(), readRequest()); a.Fault.Kind != egret.FaultBusy {
		t.Errorf("the proxy's own caller got %+v", a)
	}
	if a := f.PeerStream(false).Do(t.Context(), readRequest()); a.Fault.Kind != egret.FaultNotHolder {
		t.Errorf("another proxy got %+v", a)
	}
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("both answers took %s", took)
	}
}
