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
		Suspicion: 2 * time.Second,
		Forget:    time.Hour,
	}
	t.Start(node("self", 10, egret.NodeAlive), start)
	return t
}

func TestMergeOrder(t *testing.T) {
	tests := []struct {
		name  string
		known egret.Node
		claim egret.Node
		want  egret.NodeState
	}{
		{
			name:  "an alive claim doesn't end a suspicion of its incarnation",
			known: node("a", 3, egret.NodeSuspect),
			claim: node("a", 3, egret.NodeAlive),
			want:  egret.NodeSuspect,
		},
		{
			name:  "a higher incarnation does",
			known: node("a", 3, egret.NodeSuspect),
			claim: node("a", 4, egret.NodeAlive),
			want:  egret.NodeAlive,
		},
		{
			name:  "who is alive here gets time to refute its death",
			known: node("a", 3, egret.NodeAlive),
			claim: node("a", 3, egret.NodeDead),
			want:  egret.NodeSuspect,
		},
		{
			name:  "a leaving node that died is dead",
			known: node("a", 3, egret.NodeLeaving),
			claim: node("a", 3, egret.NodeDead),
			want:  egret.NodeDead,
		},
		{
			name:  "old gossip doesn't bring back the dead",
			known: node("a", 3, egret.NodeDead),
			claim: node("a", 3, egret.NodeAlive),
			want:  egret.NodeDead,
		},
		{
			name:  "a later run does",
			known: node("a", 3, egret.NodeDead),
			claim: node("a", 9, egret.NodeAlive),
			want:  egret.NodeAlive,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTable()
			table.Load(tt.known, start)
			table.Merge(tt.claim, start)
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
		t.Errorf("dead before the suspicion was over: %v", died)
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

// A message has a bounded size, and an entry is told a bounded number of times.
func TestNewsBudget(t *testing.T) {
	const fleet, size = 1500, 1000
	table := newTable()
	for i := range fleet - 1 {
		table.Load(node(fmt.Sprintf("proxy-%d", i), 1, egret.NodeAlive), start)
	}
	for len(table.TakeNews(size).Nodes) > 0 {
		// The node's own entry is told until nothing is left.
	}
	for i := range 100 {
		table.Merge(node(fmt.Sprintf("proxy-%d", i), 2, egret.NodeAlive), start)
	}
	told := map[string]int{}
	for table.Pending() > 0 {
		n := table.TakeNews(size)
		if len(n.Nodes) > 20 {
			t.Fatalf("%d nodes in a message of %d bytes", len(n.Nodes), size)
		}
		for _, v := range n.Nodes {
			told[v.ID]++
		}
	}
	for id, times := range told {
		if times > 25 {
			t.Errorf("%s was told %d times, want at most 25", id, times)
		}
	}
	if len(told) != 100 {
		t.Errorf("%d nodes were told, want 100", len(told))
	}
}

// Each node of a fleet has a partner that watches it, in its region and in the other one.
func TestEachNodeIsWatched(t *testing.T) {
	nodes := []egret.Node{}
	for i := range 200 {
		n := node(fmt.Sprintf("proxy-%d", i), 1, egret.NodeAlive)
		n.Region = fmt.Sprintf("region-%d", i%2)
		nodes = append(nodes, n)
	}
	r := rand.New(rand.NewPCG(1, 1))
	near := map[string]int{}
	far := map[string]int{}
	for _, n := range nodes {
		p := Pick(n, nodes, r)
		for _, v := range p.Near {
			near[v.ID]++
		}
		for _, v := range p.Far {
			far[v.ID]++
		}
	}
	for _, n := range nodes {
		if near[n.ID] < successors || far[n.ID] < 1 {
			t.Errorf("%s is watched by %d of its region and %d of the other", n.ID, near[n.ID], far[n.ID])
		}
	}
}
