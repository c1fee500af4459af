package peer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"syscall"
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/peer/roster"
)

// measureTime is the duration of a measurement.
const measureTime = 15 * time.Second

// knownNodes and knownGroups are the numbers of nodes and groups in the tables of a measured fleet. Nodes that
// aren't part of the fleet are dead: they use as much memory as live ones but take no part in exchanges.
const (
	knownNodes  = 1500
	knownGroups = 2800
)

// BenchmarkFleet measures the cost of the mesh per proxy in an idle fleet with tables as large as those of a large
// fleet: bytes sent and received on its connections, share of a core, and memory. All proxies start at the same time.
//
//	go test -run - -bench Fleet -benchtime 1x ./peer
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, n)
			}
		})
	}
}

func measureFleet(b *testing.B, n int) {
	before := memory()
	f := &fleet{
		network: &network{},
	}
	start := time.Now()
	first := f.add(b)
	for range n - 1 {
		f.add(b, first.Node.Address)
	}
	started := time.Since(start)
	f.waitFor(b, "all proxies are live for all", func() bool {
		time.Sleep(50 * time.Millisecond)
		return f.allCountLive(n)
	})
	joined := time.Since(start) - started
	f.loadKnown()
	time.Sleep(5 * time.Second)
	bytes := f.network.bytes.Load()
	cpu := processorTime()
	time.Sleep(measureTime)
	size := float64(n)
	// Each byte is sent by one proxy and received by another.
	perNode := 2 * float64(f.network.bytes.Load()-bytes) / size / measureTime.Seconds()
	b.ReportMetric(perNode, "B/s/node")
	b.ReportMetric(100*(processorTime()-cpu).Seconds()/size/measureTime.Seconds(), "%core/node")
	b.ReportMetric(float64(memory()-before)/size/1024, "KiB/node")
	b.ReportMetric(joined.Seconds(), "s-to-join")
	for _, p := range f.proxies {
		p.stop()
	}
}

// loadKnown fills the table of each proxy with the nodes and facts of a large fleet.
func (f *fleet) loadKnown() {
	now := time.Now()
	for _, p := range f.proxies {
		p.mu.Lock()
		for i := range knownNodes - len(f.proxies) {
			p.table.Load(egret.Node{
				ID:      fmt.Sprintf("gone-%d", i),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 1),
				Region:  "region-1",
				Domain:  "domain-3",
				State:   egret.NodeDead,
			}, now)
		}
		for g := range knownGroups {
			p.table.LoadFact(egret.GroupPrimary{
				Group:   fmt.Sprintf("catalogo-%d", g),
				Term:    1,
				Primary: fmt.Sprintf("member-%d", g),
			})
		}
		p.mu.Unlock()
	}
}

func memory() int64 {
	runtime.GC()
	m := runtime.MemStats{}
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

func processorTime() time.Duration {
	u := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRoster measures the table operations of one gossip interval for different fleet sizes.
func BenchmarkRoster(b *testing.B) {
	for _, n := range []int{8, 128, 1500} {
		t, nodes := largeTable(n)
		now := time.Now()
		r := rand.New(rand.NewPCG(1, 1))
		b.Run(fmt.Sprintf("sweep/nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				t.Sweep(now)
			}
		})
		b.Run(fmt.Sprintf("pick/nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				roster.PickPartners(t.Self(), nodes, r)
			}
		})
		b.Run(fmt.Sprintf("digest/nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				s := t.NodeHashes()
				s.Combined()
			}
		})
	}
}

func largeTable(n int) (*roster.Table, []egret.Node) {
	t := &roster.Table{
		SuspicionTimeout: time.Second,
		DeadRetention:    time.Hour,
	}
	now := time.Now()
	nodes := []egret.Node{}
	for i := range n {
		nodes = append(nodes, egret.Node{
			ID:      fmt.Sprintf("proxy-%d", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 6442),
			Region:  fmt.Sprintf("region-%d", i%2),
			Domain:  fmt.Sprintf("domain-%d", i%4),
			State:   egret.NodeAlive,
		})
	}
	t.Start(nodes[0], now)
	for _, v := range nodes[1:] {
		t.Load(v, now)
	}
	return t, nodes
}
