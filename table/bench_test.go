package table

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/table/codec"
)

// BenchmarkLargeTables measures the time to decode tables by their number of groups, and reports their size as
// JSON and as stored. Each pool has seven groups and one route.
func BenchmarkLargeTables(b *testing.B) {
	for _, groups := range []int{70, 700, 2800} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			t := largeTables(groups)
			text, err := codec.StoredJSON(t)
			if err != nil {
				b.Fatal(err)
			}
			data, err := Encode(t)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := Decode(1, data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "bytes")
			b.ReportMetric(float64(len(data)), "bytes-stored")
		})
	}
}

func largeTables(groups int) *egret.Tables {
	const groupsPerPool = 7
	domains := []string{"lecco-a", "lecco-b", "padova-a"}
	t := &egret.Tables{}
	for i := range groups / groupsPerPool {
		pool := egret.Pool{
			Name:                fmt.Sprintf("pool-%d", i),
			Slots:               2,
			Connections:         16,
			ReservedConnections: 4,
			QueueLimit:          1000,
			OrderSharePercent:   80,
		}
		for j := range groupsPerPool {
			pool.Groups = append(pool.Groups, largeGroup(i*groupsPerPool+j, domains))
		}
		t.Pools = append(t.Pools, pool)
		t.Routes = append(t.Routes, egret.Route{
			Name:           fmt.Sprintf("route-%d", i),
			Caller:         "*",
			Database:       fmt.Sprintf("database-%d", i),
			Pool:           pool.Name,
			Class:          egret.ClassNormal,
			Budget:         5 * time.Second,
			AllowReplicas:  true,
			ConfirmTimeout: time.Second,
		})
	}
	return t
}

func largeGroup(n int, domains []string) egret.Group {
	g := egret.Group{
		Name: fmt.Sprintf("group-%d", n),
	}
	for k, d := range domains {
		host := 3*n + k
		g.Members = append(g.Members, egret.Member{
			Name:    fmt.Sprintf("member-%d-%d", n, k),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(host >> 16), byte(host >> 8), byte(host)}), 5432),
			Region:  "region-" + d[:1],
			Domain:  d,
		})
	}
	return g
}
