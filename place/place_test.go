package place

import (
	"fmt"
	"testing"

	"egretlane.example/egret"
)

func fleet(size int) []egret.Node {
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

func TestLaneMovesOnlyFromTheProxyThatGoes(t *testing.T) {
	const members = 600
	nodes := fleet(30)
	gone := nodes[4]
	rest := append(append([]egret.Node{}, nodes[:4]...), nodes[5:]...)
	held := 0
	for i := range members {
		m := egret.Member{
			Name:   fmt.Sprintf("member-%d", i),
			Region: "a",
			Domain: "a-2",
		}
		before, _ := Lane(nodes, m)
		after, _ := Lane(rest, m)
		if before.Domain != "a-2" || after.Domain != "a-2" {
			t.Fatalf("lane of %s at %s, then %s, want the member's failure domain", m.Name, before.Domain, after.Domain)
		}
		if before.ID == gone.ID {
			held++
			continue
		}
		if before.ID != after.ID {
			t.Errorf("lane of %s moved from %s to %s though neither went", m.Name, before.ID, after.ID)
		}
	}
	// Ten proxies of the failure domain share the lanes evenly: 60 each.
	if held < 30 || held > 90 {
		t.Errorf("the proxy that went held %d of %d lanes, want about 60", held, members)
	}
}

func TestWatchersAreOfDifferentDomains(t *testing.T) {
	for i := range 100 {
		domains := map[string]bool{}
		for _, n := range Watchers(fleet(9), fmt.Sprintf("group-%d", i)) {
			domains[n.Domain] = true
		}
		if len(domains) != maxWatchers {
			t.Errorf("group-%d is watched from %d failure domains, want %d", i, len(domains), maxWatchers)
		}
	}
}

func TestLeavingProxyHoldsLanesLast(t *testing.T) {
	nodes := fleet(3)
	nodes[0].State = egret.NodeLeaving
	n, _ := Lane(nodes, egret.Member{
		Name:   "member-1",
		Region: "a",
		Domain: "a-1",
	})
	if n.ID == nodes[0].ID {
		t.Errorf("lane at %s, which leaves", n.ID)
	}
}
