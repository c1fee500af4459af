package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/lease"
	"egretlane.example/egret/link"
	"egretlane.example/egret/rank"
)

// largeFleet returns a process of a fleet with the given numbers of nodes and services. The nodes n0 to n6
// hold the services in turn.
func largeFleet(t *testing.T, nodes, services int) *Fleet {
	t.Helper()
	f := &Fleet{
		Self:            Node{ID: "n0", Domain: "d0", Region: "r"},
		Pool:            &link.Pool{},
		PrimaryLocation: func(string) (string, string) { return "d1", "r" },
	}
	t.Cleanup(f.Pool.Close)
	f.Init()
	names, items := []string{}, []egret.Item{}
	add := func(key string, v any) {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		items = append(items, egret.Item{Key: key, Data: data, Revision: egret.Revision{Number: uint64(len(items) + 1)}})
	}
	for i := range nodes {
		n := Node{ID: fmt.Sprintf("n%d", i), Domain: fmt.Sprintf("d%d", i%3), Region: "r", Address: netip.MustParseAddrPort("127.0.0.1:1")}
		add(nodesPrefix+n.ID, n)
	}
	for i := range services {
		names = append(names, fmt.Sprintf("s%d", i))
		add(lease.Prefix+names[i], lease.Record{Node: fmt.Sprintf("n%d", i%7), Incarnation: "1"})
	}
	f.Configure(names)
	f.applySnapshot(items, egret.Revision{Number: 1})
	return f
}

// TestRanksAreUniqueAndOrdered checks that all processes agree on an order without ties in which those that
// hold fewer services come first, and that the successor is the first in it.
func TestRanksAreUniqueAndOrdered(t *testing.T) {
	f := largeFleet(t, 40, 30)
	ranks := map[int]string{}
	for i := range 40 {
		n := f.nodes[fmt.Sprintf("n%d", i)]
		if n.ID == "n3" {
			// n3 holds the service.
			continue
		}
		f.Self = n
		ranks[f.Rank("s3", 99)] = n.ID
	}
	if len(ranks) != 39 {
		t.Fatalf("39 processes have %d distinct ranks", len(ranks))
	}
	o := f.order("s3")
	for i := 1; i < 39; i++ {
		before, after := ranks[i-1], ranks[i]
		if o.Counts[before] > o.Counts[after] {
			t.Errorf("%s with %d services ranks before %s with %d", before, o.Counts[before], after, o.Counts[after])
		}
	}
	f.Self = f.nodes["n3"]
	if s := f.Successor("s3"); s != ranks[0] {
		t.Errorf("successor %s, want %s", s, ranks[0])
	}
	if f.nodes[ranks[0]].Domain != "d1" {
		t.Errorf("the first is %+v, want one in the primary's failure domain d1", f.nodes[ranks[0]])
	}
}

// TestRankOfLargeFleet checks that the allocations of Rank don't grow with the number of processes. Each
// process computes its rank for each service several times a second.
func TestRankOfLargeFleet(t *testing.T) {
	small, large := largeFleet(t, 30, 100), largeFleet(t, 300, 100)
	few := testing.AllocsPerRun(20, func() { small.Rank("s1", 400) })
	many := testing.AllocsPerRun(20, func() { large.Rank("s1", 400) })
	if many > few+1 {
		t.Errorf("%.0f allocations with 300 processes, %.0f with 30", many, few)
	}
}

// TestRankOfManyServices checks that the allocations of Rank don't grow with the number of services while
// the counts are cached, and that Rank stops counting at its limit.
func TestRankOfManyServices(t *testing.T) {
	few, many := largeFleet(t, 30, 10), largeFleet(t, 30, 1000)
	for _, f := range []*Fleet{few, many} {
		f.cachedCounts, f.cachedCountsAt = f.serviceCounts(), clock.Now().Add(time.Hour)
	}
	a := testing.AllocsPerRun(20, func() { few.Rank("s1", 99) })
	b := testing.AllocsPerRun(20, func() { many.Rank("s1", 99) })
	if b > a {
		t.Errorf("%.0f allocations with 1000 services, %.0f with 10", b, a)
	}
	if rank := many.Rank("s3", 2); rank > 2 {
		t.Errorf("rank %d exceeds the limit of 2", rank)
	}
}

// TestCountsFollowRecords checks that a changed record invalidates the cached counts.
func TestCountsFollowRecords(t *testing.T) {
	f := largeFleet(t, 5, 7)
	before := f.serviceCounts()["n4"]
	data, err := json.Marshal(lease.Record{Node: "n4", Incarnation: "1"})
	if err != nil {
		t.Fatal(err)
	}
	f.applyItem(egret.Item{Key: lease.Prefix + "s0", Data: data, Revision: egret.Revision{Number: 1000}})
	if now := f.serviceCounts()["n4"]; now != before+1 {
		t.Errorf("n4 holds %d services, want %d", now, before+1)
	}
}

// TestServicesGoToLargeVMs guards against holders on the smallest VMs of a fleet, which lack the processor time for the
// rush of all callers after a loss of power while larger VMs hold nothing.
func TestServicesGoToLargeVMs(t *testing.T) {
	f := largeFleet(t, 40, 0)
	for i := range 40 {
		n := f.nodes[fmt.Sprintf("n%d", i)]
		n.Capacity = rank.Capacity{Cores: 0.2, LinkMbps: 10}
		if i%10 == 0 {
			n.Capacity = rank.Capacity{Cores: 0.8, LinkMbps: 200}
		}
		data, err := json.Marshal(n)
		if err != nil {
			t.Fatal(err)
		}
		f.applyItem(egret.Item{Key: nodesPrefix + n.ID, Data: data, Revision: egret.Revision{Number: 100}})
	}
	held := map[string]int{}
	for i := range 8 {
		service := fmt.Sprintf("s%d", i)
		f.Configure([]string{service})
		f.Self = Node{ID: "observer", Region: "elsewhere"}
		holder := f.Successor(service)
		held[holder]++
		data, err := json.Marshal(lease.Record{Node: holder})
		if err != nil {
			t.Fatal(err)
		}
		f.applyItem(egret.Item{Key: lease.Prefix + service, Data: data, Revision: egret.Revision{Number: uint64(200 + i)}})
	}
	for id, count := range held {
		if f.nodes[id].Capacity.Cores < 0.8 || count != 2 {
			t.Errorf("%s with %+v holds %d of 8 services, want 2 on each of the four large VMs", id, f.nodes[id].Capacity, count)
		}
	}
}

// TestClaimsAreSpread guards against a process that acquires most services of a fleet within a moment, each time on the
// ground that it holds none.
func TestClaimsAreSpread(t *testing.T) {
	f := largeFleet(t, 12, 0)
	names := []string{}
	for i := range 8 {
		names = append(names, fmt.Sprintf("s%d", i))
	}
	f.Configure(names)
	allowed := 0
	for _, name := range names {
		if f.MayAcquire(name, 8) {
			allowed++
		}
	}
	if allowed > 1 {
		t.Errorf("one process of 12 may acquire %d of 8 services at once", allowed)
	}
	f.Self.ID = "n1"
	for _, name := range names {
		f.claims[name] = clock.Now().Add(-2 * claimTime)
	}
	if n := f.ownClaims("s0"); n != 0 {
		t.Errorf("%d claims count after their time", n)
	}
}

// TestLostProcessesDelayNoTakeover guards against services that stay without a holder in a partition, as the processes that can
// acquire them leave head starts to others that are on the other side.
func TestLostProcessesDelayNoTakeover(t *testing.T) {
	f := largeFleet(t, 40, 7)
	lost := netip.MustParseAddrPort("127.0.0.1:2")
	for id, n := range f.nodes {
		if id != "n38" {
			n.Address = lost
			f.nodes[id] = n
		}
	}
	f.Self = f.nodes["n39"]
	before := f.Rank("s3", 99)
	if before < 2 {
		t.Fatalf("n39 has rank %d, which shows nothing", before)
	}
	if _, err := f.Pool.Ping(t.Context(), lost); err == nil {
		t.Fatal("a ping to a closed port was answered")
	}
	time.Sleep(suspectAfter + 50*time.Millisecond)
	if rank := f.Rank("s3", 99); rank > 1 {
		t.Errorf("rank %d with one other process that isn't lost, %d before", rank, before)
	}
	time.Sleep(silenceMaxAge)
	if rank := f.Rank("s3", 99); rank != before {
		t.Errorf("rank %d after the others were not called for %v, want %d as before", rank, silenceMaxAge, before)
	}
}

// TestObserversAreLargeVMs guards against changes that come late, as a process on a VM with a tenth of the others' bandwidth gives all
// keys to many processes at once.
func TestObserversAreLargeVMs(t *testing.T) {
	f := largeFleet(t, 40, 1)
	for id, n := range f.nodes {
		n.Capacity = rank.Capacity{Cores: 0.2, LinkMbps: 20}
		if n.Domain == "d2" {
			n.Capacity = rank.Capacity{Cores: 0.8, LinkMbps: 200}
		}
		f.nodes[id] = n
		f.largest = f.largest.Max(n.Capacity)
	}
	observers, _ := f.observers()
	for _, n := range observers {
		if n.Domain != "d2" {
			t.Errorf("%s with %+v watches the store for others", n.ID, n.Capacity)
		}
	}
}

// TestOtherRegionsReplaceHolderLater guards against takeovers from a holder that runs, by processes that only reach it over a
// busy link between regions, and against a region of which none takes over as those of others rank before it.
func TestOtherRegionsReplaceHolderLater(t *testing.T) {
	f := largeFleet(t, 40, 7)
	for id, n := range f.nodes {
		if n.Domain == "d2" {
			n.Region = "far"
			f.nodes[id] = n
		}
	}
	holder := lease.Record{Node: "n3"}
	first := map[string]int{}
	for _, n := range f.nodes {
		if n.ID == holder.Node {
			continue
		}
		f.Self = n
		want := time.Duration(0)
		if n.Region == "far" {
			want = interRegionDelay
		}
		if d := f.ReplacementDelay(holder); d != want {
			t.Errorf("%s in region %s waits %v longer, want %v", n.ID, n.Region, d, want)
		}
		clear(f.claims)
		if f.MayReplace("s3", 0) {
			first[n.Region]++
		}
	}
	if first["r"] != 1 || first["far"] != 1 {
		t.Errorf("processes that replace the holder first, by region: %v, want one in each", first)
	}
	for id, n := range f.nodes {
		if n.Region == "r" && id != holder.Node {
			delete(f.nodes, id)
		}
	}
	f.Self = f.nodes["n5"]
	if d := f.ReplacementDelay(holder); d != 0 {
		t.Errorf("%s waits %v longer, though no other process is in the holder's region", f.Self.ID, d)
	}
}
