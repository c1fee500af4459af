package fleet

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/claim"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/link"
)

// closedPort is an address where nobody listens.
var closedPort = netip.MustParseAddrPort("127.0.0.1:1")

// newFleet returns a fleet whose service "s" is held by a process at the address.
func newFleet(t *testing.T, holder netip.AddrPort) *Fleet {
	t.Helper()
	f := &Fleet{
		Self: Node{ID: "me", Incarnation: "1", Address: netip.MustParseAddrPort("127.0.0.1:2"), Domain: "d"},
		Pool: &link.Pool{},
		Home: func(string) (string, string) { return "d", "r" },
	}
	t.Cleanup(f.Pool.Close)
	f.Init()
	f.Configure([]string{"s"})
	f.reset(holderItems(t, 5, claim.Record{Node: "other", Incarnation: "1", Address: holder}))
	return f
}

// holderItems returns the items of a store that has the holder of service "s" at a revision.
func holderItems(t *testing.T, revision uint64, r claim.Record) []egret.Item {
	t.Helper()
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return []egret.Item{{Key: claim.Prefix + "s", Data: data, Revision: revision}}
}

func work() egret.Work {
	return egret.Work{
		Service: "s",
		Query:   egret.Query{ID: "1", Verb: egret.VerbRead, Text: "READ a"},
		Timeout: 3 * time.Second,
	}
}

// TestHopelessStatementsAreRefusedAtOnce loses the holder and the store.
func TestHopelessStatementsAreRefusedAtOnce(t *testing.T) {
	f := newFleet(t, closedPort)
	if _, err := f.Pool.Ping(context.Background(), closedPort); err == nil {
		t.Fatal("a ping was answered where nobody listens")
	}
	f.storeLost.Store(int64(clock.Now()))
	time.Sleep(hopelessAfter + 50*time.Millisecond)
	began := time.Now()
	a := f.Entry().Do(context.Background(), work())
	if a.Fault.Kind != egret.FaultBusy {
		t.Errorf("answer %+v, want a refusal", a)
	}
	if elapsed := time.Since(began); elapsed > 200*time.Millisecond {
		t.Errorf("the refusal came after %v", elapsed)
	}
}

// TestStatementsWaitForASuccessor loses the holder while the store answers: the statement waits, as a
// successor may come, and then it is refused as not run.
func TestStatementsWaitForASuccessor(t *testing.T) {
	f := newFleet(t, closedPort)
	w := work()
	w.Timeout = 300 * time.Millisecond
	began := time.Now()
	a := f.Entry().Do(context.Background(), w)
	if a.Fault.Kind != egret.FaultBusy {
		t.Errorf("answer %+v, want a refusal", a)
	}
	if elapsed := time.Since(began); elapsed < 250*time.Millisecond || elapsed > time.Second {
		t.Errorf("the refusal came after %v", elapsed)
	}
}

// TestRankPrefersIdleNodesNearThePrimary orders three processes.
func TestRankPrefersIdleNodesNearThePrimary(t *testing.T) {
	f := newFleet(t, closedPort)
	f.Configure([]string{"s", "t"})
	add := func(id, domain string) {
		data, err := json.Marshal(Node{ID: id, Domain: domain})
		if err != nil {
			t.Fatal(err)
		}
		f.change(egret.Item{Key: nodesPrefix + id, Data: data, Revision: 9})
	}
	add("far", "elsewhere")
	if rank := f.Rank("t", 99); rank != 0 {
		t.Errorf("rank %d with one process that is farther away", rank)
	}
	data, err := json.Marshal(claim.Record{Node: "me", Incarnation: "1"})
	if err != nil {
		t.Fatal(err)
	}
	f.change(egret.Item{Key: claim.Prefix + "s", Data: data, Revision: 10})
	if rank := f.Rank("t", 99); rank != 1 {
		t.Errorf("rank %d while holding another service", rank)
	}
}

// TestObserversAreFewAndAgreed compares the observers that two processes choose.
func TestObserversAreFewAndAgreed(t *testing.T) {
	f, g := newFleet(t, closedPort), newFleet(t, closedPort)
	direct := 0
	for i := range 40 {
		id := string(rune('A' + i))
		data, err := json.Marshal(Node{ID: id})
		if err != nil {
			t.Fatal(err)
		}
		item := egret.Item{Key: nodesPrefix + id, Data: data, Revision: 9}
		f.change(item)
		g.change(item)
	}
	if !slices.Equal(f.observers(), g.observers()) {
		t.Errorf("%v and %v", f.observers(), g.observers())
	}
	for _, n := range f.observers() {
		f.Self = n
		if f.Direct() {
			direct++
		}
	}
	if direct != observers {
		t.Errorf("%d observers", direct)
	}
}
