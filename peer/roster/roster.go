// Package roster is what one proxy knows of all proxies and of the primaries of the groups.
//
// It is a value without I/O: the time comes in with each call, and what has to go out is asked for.
// Nodes are ordered as the membership protocols of the SWIM family do it. A claim about a node
// carries the node's incarnation, and only the node itself raises that. For one incarnation a claim
// moves from alive to suspect, to leaving, to dead. Who is suspected or called dead while it lives
// raises its incarnation and so refutes the claim.
//
//	t := roster.Table{Suspicion: 2 * time.Second, Forget: 2 * time.Hour}
//	t.Start(self, now)
//	change := t.Merge(claim, now)
//	news := t.TakeNews(1000)
package roster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"egretlane.example/egret"
)

// Table is the knowledge of one proxy. It is not safe for concurrent use.
type Table struct {
	// Suspicion is how long a suspect has to refute in a fleet of up to eight nodes. In larger
	// ones it grows with the logarithm of the size.
	Suspicion time.Duration

	// Forget is how long dead nodes are kept. It is longer than any claim travels.
	Forget time.Duration

	self     egret.Node
	nodes    map[string]*entry
	facts    map[string]egret.GroupFact
	nodeSums Sums
	factSums Sums
	news     queue
	deaths   []time.Time
	raised   time.Time
	changed  time.Time
	live     int
	version  uint64
}

// entry is a node other than this one.
type entry struct {
	node egret.Node

	// since is when the node came into its state here.
	since time.Time

	// refused says that the node's host refused connections, which shortens the suspicion.
	refused bool
}

// Change says what a claim changed.
type Change struct {
	// Changed is set if the table differs.
	Changed bool

	// Refuted is set if the claim was about this node and made it raise its incarnation.
	Refuted bool

	// Urgent is set if the partners should hear of it before the next round.
	Urgent bool

	// Stale is set if the table knows something newer about the node.
	Stale bool
}

// Add joins another change to this one. Stale belongs to single claims and isn't joined.
func (c *Change) Add(o Change) {
	c.Changed = c.Changed || o.Changed
	c.Refuted = c.Refuted || o.Refuted
	c.Urgent = c.Urgent || o.Urgent
}

// refusedSuspicion is the suspicion of nodes whose host refuses connections.
const refusedSuspicion = 400 * time.Millisecond

// urgentFleet is the size of the fleet from which on a new node isn't urgent news, since many may
// come at once.
const urgentFleet = 32

// smallFleet is the number of nodes up to which times and intervals don't grow.
const smallFleet = 8

// Start makes the table know its own node.
func (t *Table) Start(self egret.Node, now time.Time) {
	t.self = self
	t.nodes = map[string]*entry{}
	t.facts = map[string]egret.GroupFact{}
	t.nodeSums = Sums{}
	t.factSums = Sums{}
	t.news = queue{}
	t.live = 0
	t.version++
	t.changed = now
	t.nodeSums.toggle(nodeHash(self))
	t.news.add(nodeKey(self.ID))
}

// Reset drops all nodes but this one. It is for a process that was paused for so long that its
// knowledge is worse than none.
func (t *Table) Reset(now time.Time) {
	facts := t.facts
	sums := t.factSums
	t.Start(t.self, now)
	t.facts = facts
	t.factSums = sums
}

// Self returns this node.
func (t *Table) Self() egret.Node {
	return t.self
}

// Version rises with each change of a node.
func (t *Table) Version() uint64 {
	return t.version
}

// Changed returns when the table changed last.
func (t *Table) Changed() time.Time {
	return t.changed
}

// Size returns how many nodes are live, this one included.
func (t *Table) Size() int {
	return t.live + 1
}

// Node returns what is known of a node.
func (t *Table) Node(id string) (egret.Node, bool) {
	if id == t.self.ID {
		return t.self, true
	}
	e, ok := t.nodes[id]
	if !ok {
		return egret.Node{}, false
	}
	return e.node, true
}

// Nodes returns all nodes for which keep is true, ordered by ID.
func (t *Table) Nodes(keep func(n egret.Node) bool) []egret.Node {
	nodes := []egret.Node{}
	if keep(t.self) {
		nodes = append(nodes, t.self)
	}
	for _, e := range t.nodes {
		if keep(e.node) {
			nodes = append(nodes, e.node)
		}
	}
	slices.SortFunc(nodes, func(a, b egret.Node) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return nodes
}

// Merge takes a claim in that came from another node, perhaps about a third.
func (t *Table) Merge(n egret.Node, now time.Time) Change {
	return t.merge(n, now, true)
}

// Load takes a claim in without spreading it further. It is for the state that a joining node
// pulls, which all others know.
func (t *Table) Load(n egret.Node, now time.Time) Change {
	return t.merge(n, now, false)
}

func (t *Table) merge(n egret.Node, now time.Time, spread bool) Change {
	if n.ID == t.self.ID {
		return t.refute(n, now)
	}
	e, known := t.nodes[n.ID]
	if known && !newer(n, e.node) {
		return Change{
			Stale: newer(e.node, n),
		}
	}
	refused := known && e.refused && e.node.Incarnation == n.Incarnation
	// A node that is alive here gets its time to refute here, too.
	if known && n.State == egret.NodeDead && e.node.State == egret.NodeAlive {
		n.State = egret.NodeSuspect
		if !newer(n, e.node) {
			return Change{}
		}
	}
	fresh := !known && n.State == egret.NodeDead
	t.put(n, now, refused)
	if spread && !fresh {
		t.news.add(nodeKey(n.ID))
	}
	return Change{
		Changed: true,
		Urgent:  spread && !fresh && (known || t.live < urgentFleet),
	}
}

// refute answers a claim about this node.
func (t *Table) refute(n egret.Node, now time.Time) Change {
	same := n.Incarnation == t.self.Incarnation
	if n.Incarnation < t.self.Incarnation || same && rank(n.State) <= rank(t.self.State) {
		return Change{}
	}
	t.raise(n.Incarnation+1, now)
	return Change{
		Changed: true,
		Refuted: true,
		Urgent:  true,
	}
}

func (t *Table) raise(incarnation uint64, now time.Time) {
	t.nodeSums.toggle(nodeHash(t.self))
	t.self.Incarnation = incarnation
	t.nodeSums.toggle(nodeHash(t.self))
	t.news.add(nodeKey(t.self.ID))
	t.changed = now
	t.version++
}

// Leave marks this node as leaving.
func (t *Table) Leave(now time.Time) {
	t.nodeSums.toggle(nodeHash(t.self))
	t.self.State = egret.NodeLeaving
	t.nodeSums.toggle(nodeHash(t.self))
	t.news.add(nodeKey(t.self.ID))
	t.changed = now
	t.version++
}

// Suspect marks a node that didn't answer, if it is still what the caller saw. A leaving node that
// is silent is dead at once. Refused says that its host refused the connection.
func (t *Table) Suspect(seen egret.Node, refused bool, now time.Time) bool {
	e, ok := t.nodes[seen.ID]
	if !ok || e.node.Incarnation != seen.Incarnation {
		return false
	}
	n := e.node
	switch n.State {
	case egret.NodeAlive:
		n.State = egret.NodeSuspect
	case egret.NodeLeaving:
		n.State = egret.NodeDead
	case egret.NodeSuspect:
		e.refused = e.refused || refused
		return false
	default:
		return false
	}
	t.put(n, now, refused)
	t.news.add(nodeKey(n.ID))
	return true
}

// Sweep ends suspicions whose time is over and forgets what died long ago. It returns the nodes
// that are dead now.
func (t *Table) Sweep(now time.Time) []egret.Node {
	died := []egret.Node{}
	for id, e := range t.nodes {
		switch {
		case e.node.State == egret.NodeSuspect && now.Sub(e.since) >= t.patience(e):
			n := e.node
			n.State = egret.NodeDead
			t.put(n, now, e.refused)
			t.news.add(nodeKey(id))
			died = append(died, n)
			t.deaths = append(t.deaths, now)
		case e.node.State == egret.NodeDead && now.Sub(e.since) >= t.Forget:
			delete(t.nodes, id)
		}
	}
	t.noticeSplit(now)
	return died
}

// Extend gives all suspects their time anew. It is for a process that was paused itself.
func (t *Table) Extend(now time.Time) {
	for _, e := range t.nodes {
		if e.node.State == egret.NodeSuspect {
			e.since = now
		}
	}
}

// splitWindow is the time in which many deaths together are taken for a split.
const splitWindow = 30 * time.Second

// noticeSplit raises this node's incarnation when a large part of the fleet died together. The
// others may have called this node dead likewise. With the higher incarnation the two sides merge
// without a refutation by each node.
func (t *Table) noticeSplit(now time.Time) {
	t.deaths = slices.DeleteFunc(t.deaths, func(at time.Time) bool {
		return now.Sub(at) > splitWindow
	})
	few := len(t.deaths) < 4 || len(t.deaths)*4 < t.Size()
	if few || now.Sub(t.raised) < splitWindow {
		return
	}
	t.raised = now
	t.raise(t.self.Incarnation+1, now)
}

// patience returns how long a suspect has.
func (t *Table) patience(e *entry) time.Duration {
	p := time.Duration(float64(t.Suspicion) * Growth(t.Size()))
	if e.refused {
		return min(p, refusedSuspicion)
	}
	return p
}

// put replaces what is known of a node.
func (t *Table) put(n egret.Node, now time.Time, refused bool) {
	e, known := t.nodes[n.ID]
	if !known {
		e = &entry{}
		t.nodes[n.ID] = e
	}
	if known && counted(e.node) {
		t.nodeSums.toggle(nodeHash(e.node))
		t.live--
	}
	if counted(n) {
		t.nodeSums.toggle(nodeHash(n))
		t.live++
	}
	if known && e.node.State != n.State || !known || e.node.Incarnation != n.Incarnation {
		e.since = now
	}
	e.node = n
	e.refused = refused && n.State == egret.NodeSuspect
	t.changed = now
	t.version++
}

// Growth is the factor by which times grow in a fleet of n nodes: 1 up to eight, then the
// logarithm of n over that of eight.
func Growth(n int) float64 {
	if n <= smallFleet {
		return 1
	}
	return math.Log2(float64(n)) / math.Log2(smallFleet)
}

// counted reports whether a node counts towards the sums and the size.
func counted(n egret.Node) bool {
	return n.State != egret.NodeDead
}

// newer reports whether a says more than b about the same node.
func newer(a, b egret.Node) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return rank(a.State) > rank(b.State)
}

func rank(s egret.NodeState) int {
	switch s {
	case egret.NodeSuspect:
		return 1
	case egret.NodeLeaving:
		return 2
	case egret.NodeDead:
		return 3
	default:
		return 0
	}
}
