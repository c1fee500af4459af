package roster

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"egretlane.example/egret"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func node(id string, incarnation uint64, state egret.NodeState) egret.Node {
	return egret.Node{
		ID:          id,
		Address:     netip.MustParseAddrPort("10.0.0.1:6442"),
		Region:      "lombardia",
		Domain:      "lecco-a",
		Incarnation: incarnation,
		State:       state,
	}
}

func newTable() *Table {
	t := &Table{
		SuspicionTimeout: 2 * time.Second,
		DeadRetention:    time.Hour,
	}
	t.Start(node("self", 10, egret.NodeAlive), start)
	return t
}

func TestMergeOrder(t *testing.T) {
	tests := []struct {
		name   string
		known  egret.Node
		update egret.Node
		want   egret.NodeState
	}{
		{
			name:   "alive doesn't override suspect in the same incarnation",
			known:  node("a", 3, egret.NodeSuspect),
			update: node("a", 3, egret.NodeAlive),
			want:   egret.NodeSuspect,
		},
		{
			name:   "alive overrides suspect with a higher incarnation",
			known:  node("a", 3, egret.NodeSuspect),
			update: node("a", 4, egret.NodeAlive),
			want:   egret.NodeAlive,
		},
		{
			name:   "a node that is alive here becomes suspect when reported dead",
			known:  node("a", 3, egret.NodeAlive),
			update: node("a", 3, egret.NodeDead),
			want:   egret.NodeSuspect,
		},
		{
			name:   "dead overrides leaving in the same incarnation",
			known:  node("a", 3, egret.NodeLeaving),
			update: node("a", 3, egret.NodeDead),
			want:   egret.NodeDead,
		},
		{
			name:   "alive doesn't override dead in the same incarnation",
			known:  node("a", 3, egret.NodeDead),
			update: node("a", 3, egret.NodeAlive),
			want:   egret.NodeDead,
		},
		{
			name:   "alive overrides dead with a higher incarnation",
			known:  node("a", 3, egret.NodeDead),
			update: node("a", 9, egret.NodeAlive),
			want:   egret.NodeAlive,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTable()
			table.Load(tt.known, start)
			table.Merge(tt.update, start)
			if n, _ := table.Node("a"); n.State != tt.want {
				t.Errorf("state = %s, want %s", n.State, tt.want)
			}
		})
	}
}

func TestSuspectDiesAndIsForgotten(t *testing.T) {
	table := newTable()
	table.Load(node("a", 3, egret.NodeAlive), start)
	seen, _ := table.Node("a")
	table.Suspect(seen, false, start)
	if died := table.Sweep(start.Add(1900 * time.Millisecond)); len(died) != 0 {
		t.Errorf("dead before the suspicion timeout: %v", died)
	}
	if died := table.Sweep(start.Add(2 * time.Second)); len(died) != 1 {
		t.Errorf("%d died, want 1", len(died))
	}
	table.Sweep(start.Add(2*time.Second + time.Hour))
	if _, known := table.Node("a"); known {
		t.Error("a dead node was not forgotten")
	}
}

func TestRefuteRaisesIncarnation(t *testing.T) {
	table := newTable()
	c := table.Merge(node("self", 12, egret.NodeDead), start)
	if got := table.Self(); !c.Refuted || got.Incarnation != 13 || got.State != egret.NodeAlive {
		t.Errorf("self = %+v, refuted %t, want alive with incarnation 13", got, c.Refuted)
	}
}

// The size of a message and the number of times that an entry is sent are bounded.
func TestNewsBudget(t *testing.T) {
	const fleet, size = 1500, 1000
	table := newTable()
	for i := range fleet - 1 {
		table.Load(node(fmt.Sprintf("proxy-%d", i), 1, egret.NodeAlive), start)
	}
	for len(table.TakeUpdates(size).Nodes) > 0 {
		// Drain the queue, which holds the entry of the table's own node.
	}
	for i := range 100 {
		table.Merge(node(fmt.Sprintf("proxy-%d", i), 2, egret.NodeAlive), start)
	}
	sent := map[string]int{}
	for table.Pending() > 0 {
		n := table.TakeUpdates(size)
		if len(n.Nodes) > 20 {
			t.Fatalf("%d nodes in a message of %d bytes", len(n.Nodes), size)
		}
		for _, v := range n.Nodes {
			sent[v.ID]++
		}
	}
	for id, times := range sent {
		if times > 25 {
			t.Errorf("%s was sent %d times, want at most 25", id, times)
		}
	}
	if len(sent) != 100 {
		t.Errorf("%d nodes were sent, want 100", len(sent))
	}
}

// Each node of a fleet is monitored by nodes of its region and by at least one of the other region.
func TestEachNodeIsWatched(t *testing.T) {
	nodes := []egret.Node{}
	for i := range 200 {
		n := node(fmt.Sprintf("proxy-%d", i), 1, egret.NodeAlive)
		n.Region = fmt.Sprintf("region-%d", i%2)
		nodes = append(nodes, n)
	}
	r := rand.New(rand.NewPCG(1, 1))
	local := map[string]int{}
	remote := map[string]int{}
	for _, n := range nodes {
		p := PickPartners(n, nodes, r)
		for _, v := range p.Local {
			local[v.ID]++
		}
		for _, v := range p.Remote {
			remote[v.ID]++
		}
	}
	for _, n := range nodes {
		if local[n.ID] < localSuccessors || remote[n.ID] < 1 {
			t.Errorf("%s is monitored by %d nodes of its region and %d of the other", n.ID, local[n.ID], remote[n.ID])
		}
	}
}
