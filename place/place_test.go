package place

import (
	"fmt"
	"testing"

	"egretlane.example/egret"
)

func testNodes(size int) []egret.Node {
	domains := []string{"a-1", "a-2", "b-1"}
	nodes := make([]egret.Node, 0, size)
	for i := range size {
		d := domains[i%len(domains)]
		nodes = append(nodes, egret.Node{
			ID:     fmt.Sprintf("proxy-%d", i),
			Region: d[:1],
			Domain: d,
			State:  egret.NodeAlive,
		})
	}
	return nodes
}

func TestLaneMovesOnlyFromRemovedProxy(t *testing.T) {
	const members = 600
	nodes := testNodes(30)
	removed := nodes[4]
	remaining := append(append([]egret.Node{}, nodes[:4]...), nodes[5:]...)
	held := 0
	for i := range members {
		m := egret.Member{
			Name:   fmt.Sprintf("member-%d", i),
			Region: "a",
			Domain: "a-2",
		}
		before, _ := LaneHolder(nodes, m)
		after, _ := LaneHolder(remaining, m)
		if before.Domain != "a-2" || after.Domain != "a-2" {
			t.Fatalf("lane of %s in %s, then in %s, want the member's failure domain", m.Name, before.Domain, after.Domain)
		}
		if before.ID == removed.ID {
			held++
			continue
		}
		if before.ID != after.ID {
			t.Errorf("lane of %s moved from %s to %s, and neither was removed", m.Name, before.ID, after.ID)
		}
	}
	// The lanes are spread evenly over ten proxies in the failure domain: 60 each.
	if held < 30 || held > 90 {
		t.Errorf("the removed proxy held %d of %d lanes, want about 60", held, members)
	}
}

func TestWatchersAreOfDifferentDomains(t *testing.T) {
	for i := range 100 {
		domains := map[string]bool{}
		for _, n := range Watchers(testNodes(9), fmt.Sprintf("group-%d", i)) {
			domains[n.Domain] = true
		}
		if len(domains) != maxWatchers {
			t.Errorf("group-%d has watchers in %d failure domains, want %d", i, len(domains), maxWatchers)
		}
	}
}

func TestLeavingProxyIsLastChoice(t *testing.T) {
	nodes := testNodes(3)
	nodes[0].State = egret.NodeLeaving
	n, _ := LaneHolder(nodes, egret.Member{
		Name:   "member-1",
		Region: "a",
		Domain: "a-1",
	})
	if n.ID == nodes[0].ID {
		t.Errorf("lane at %s, want a proxy that is not leaving", n.ID)
	}
}
