// Package roster implements the membership table of a proxy: the state of all proxies and the primaries of the
// groups, as known to that proxy.
//
// It does no I/O and reads no clock: the caller passes the current time to each call and fetches the updates to send.
// Conflicting updates about a node are resolved as in the membership protocols of the SWIM family. An update
// carries the node's incarnation, which only the node itself raises. Within one incarnation the state moves only
// from alive to suspect, to leaving, to dead. A node that learns that it is suspect or dead to others raises its
// incarnation and so refutes the update.
//
//	t := roster.Table{SuspicionTimeout: 2 * time.Second, DeadRetention: 2 * time.Hour}
//	t.Start(self, now)
//	change := t.Merge(node, now)
//	updates := t.TakeUpdates(1000)
package roster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"egretlane.example/egret"
)

// Table is the membership table of one proxy. It is not safe for concurrent use.
type Table struct {
	// SuspicionTimeout is the time that a suspect has to refute in a fleet of up to eight nodes. In larger
	// fleets it grows with the logarithm of the size.
	SuspicionTimeout time.Duration

	// DeadRetention is how long dead nodes are kept. It must exceed the time for which updates about them
	// circulate, otherwise a late update could add them again.
	DeadRetention time.Duration

	self          egret.Node
	nodes         map[string]*entry
	facts         map[string]egret.GroupPrimary
	nodeHashes    BucketHashes
	factHashes    BucketHashes
	updates       updateQueue
	recentDeaths  []time.Time
	lastPartition time.Time
	changed       time.Time
	others        int
	version       uint64
}

// entry is a node other than this one.
type entry struct {
	node egret.Node

	// stateSince is the time at which this table set the node's current state or incarnation.
	stateSince time.Time

	// refused is set if the node's host refused connections, which shortens the suspicion timeout.
	refused bool
}

// Change describes the effect of merging an update.
type Change struct {
	// Changed is set if the update changed the table.
	Changed bool

	// Refuted is set if the update was about this node and made it raise its incarnation.
	Refuted bool

	// Urgent is set if the update should be sent to all partners without waiting for the next regular exchange.
	Urgent bool

	// Stale is set if the update is older than the entry in the table.
	Stale bool
}

// Add merges another change into this one, except for Stale, which applies to a single update.
func (c *Change) Add(o Change) {
	c.Changed = c.Changed || o.Changed
	c.Refuted = c.Refuted || o.Refuted
	c.Urgent = c.Urgent || o.Urgent
}

// refusedSuspicionTimeout bounds the suspicion timeout of nodes whose host refuses connections.
const refusedSuspicionTimeout = 400 * time.Millisecond

// urgentJoinLimit is the number of other nodes from which on a new node isn't an urgent update, since many may join
// at once.
const urgentJoinLimit = 32

// unscaledNodes is the number of nodes up to which timeouts and intervals don't grow.
const unscaledNodes = 8

// Start clears the nodes, the facts and the queued updates, and adds this node.
func (t *Table) Start(self egret.Node, now time.Time) {
	t.self = self
	t.nodes = map[string]*entry{}
	t.facts = map[string]egret.GroupPrimary{}
	t.nodeHashes = BucketHashes{}
	t.factHashes = BucketHashes{}
	t.updates = updateQueue{}
	t.others = 0
	t.version++
	t.changed = now
	t.nodeHashes.toggle(hashNode(self))
	t.updates.add(nodeKey(self.ID))
}

// Reset removes all nodes but this one and keeps the facts. Use it when the process was paused for so long that
// the table is more wrong than an empty one.
func (t *Table) Reset(now time.Time) {
	facts := t.facts
	factHashes := t.factHashes
	t.Start(t.self, now)
	t.facts = facts
	t.factHashes = factHashes
}

// Self returns this node with its current incarnation and state.
func (t *Table) Self() egret.Node {
	return t.self
}

// Version returns a number that increases with each change of a node.
func (t *Table) Version() uint64 {
	return t.version
}

// Changed returns the time of the last change of a node.
func (t *Table) Changed() time.Time {
	return t.changed
}

// Size returns the number of nodes that aren't dead, including this one.
func (t *Table) Size() int {
	return t.others + 1
}

// Node returns a node as known to this table.
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

// Nodes returns the nodes for which keep returns true, ordered by ID.
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

// Merge applies an update that another node sent about itself or about a third node, and queues it for spreading.
func (t *Table) Merge(n egret.Node, now time.Time) Change {
	return t.merge(n, now, true)
}

// Load applies an update without spreading it further. It is for the state that a joining node pulls, which all
// others have already.
func (t *Table) Load(n egret.Node, now time.Time) Change {
	return t.merge(n, now, false)
}

func (t *Table) merge(n egret.Node, now time.Time, spread bool) Change {
	if n.ID == t.self.ID {
		return t.refute(n, now)
	}
	e, known := t.nodes[n.ID]
	if known && !supersedes(n, e.node) {
		return Change{
			Stale: supersedes(e.node, n),
		}
	}
	refused := known && e.refused && e.node.Incarnation == n.Incarnation
	// A node that is alive in this table becomes suspect first, so that it has time to refute.
	if known && n.State == egret.NodeDead && e.node.State == egret.NodeAlive {
		n.State = egret.NodeSuspect
		if !supersedes(n, e.node) {
			return Change{}
		}
	}
	// A dead node that was unknown here is stored, but not spread.
	newlyKnownDead := !known && n.State == egret.NodeDead
	t.put(n, now, refused)
	if spread && !newlyKnownDead {
		t.updates.add(nodeKey(n.ID))
	}
	return Change{
		Changed: true,
		Urgent:  spread && !newlyKnownDead && (known || t.others < urgentJoinLimit),
	}
}

// refute raises this node's incarnation if an update about it supersedes its own entry.
func (t *Table) refute(n egret.Node, now time.Time) Change {
	same := n.Incarnation == t.self.Incarnation
	if n.Incarnation < t.self.Incarnation || same && stateRank(n.State) <= stateRank(t.self.State) {
		return Change{}
	}
	t.raiseIncarnation(n.Incarnation+1, now)
	return Change{
		Changed: true,
		Refuted: true,
		Urgent:  true,
	}
}

// raiseIncarnation sets this node's incarnation and queues the update.
func (t *Table) raiseIncarnation(incarnation uint64, now time.Time) {
	t.nodeHashes.toggle(hashNode(t.self))
	t.self.Incarnation = incarnation
	t.nodeHashes.toggle(hashNode(t.self))
	t.updates.add(nodeKey(t.self.ID))
	t.changed = now
	t.version++
}

// Leave marks this node as leaving.
func (t *Table) Leave(now time.Time) {
	t.nodeHashes.toggle(hashNode(t.self))
	t.self.State = egret.NodeLeaving
	t.nodeHashes.toggle(hashNode(t.self))
	t.updates.add(nodeKey(t.self.ID))
	t.changed = now
	t.version++
}

// Suspect marks a node that didn't answer as suspect, or as dead if it was leaving. It does nothing if the node's
// incarnation is no longer the one in seen. The flag refused is set if the node's host refused the connection. Suspect
// reports whether the state changed. For a node that is suspect already, it only records a refusal.
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
	t.updates.add(nodeKey(n.ID))
	return true
}

// Sweep marks suspects as dead when their suspicion timeout has expired, and removes nodes that have been dead for
// DeadRetention. It returns the nodes that it marked as dead.
func (t *Table) Sweep(now time.Time) []egret.Node {
	died := []egret.Node{}
	for id, e := range t.nodes {
		switch {
		case e.node.State == egret.NodeSuspect && now.Sub(e.stateSince) >= t.suspicionTimeout(e):
			n := e.node
			n.State = egret.NodeDead
			t.put(n, now, e.refused)
			t.updates.add(nodeKey(id))
			died = append(died, n)
			t.recentDeaths = append(t.recentDeaths, now)
		case e.node.State == egret.NodeDead && now.Sub(e.stateSince) >= t.DeadRetention:
			delete(t.nodes, id)
		}
	}
	t.detectPartition(now)
	return died
}

// RestartSuspicions restarts the suspicion timeout of all suspects. Use it when this process was paused and so
// couldn't receive refutations.
func (t *Table) RestartSuspicions(now time.Time) {
	for _, e := range t.nodes {
		if e.node.State == egret.NodeSuspect {
			e.stateSince = now
		}
	}
}

// partitionWindow is the time within which many deaths indicate a network partition.
const partitionWindow = 30 * time.Second

// detectPartition raises this node's incarnation when a large part of the fleet died within partitionWindow. The
// other side of a partition has probably marked this node as dead in the same way. With the higher incarnation the
// two sides can merge without each node having to refute first.
func (t *Table) detectPartition(now time.Time) {
	t.recentDeaths = slices.DeleteFunc(t.recentDeaths, func(at time.Time) bool {
		return now.Sub(at) > partitionWindow
	})
	few := len(t.recentDeaths) < 4 || len(t.recentDeaths)*4 < t.Size()
	if few || now.Sub(t.lastPartition) < partitionWindow {
		return
	}
	t.lastPartition = now
	t.raiseIncarnation(t.self.Incarnation+1, now)
}

// suspicionTimeout returns the time that a suspect has to refute.
func (t *Table) suspicionTimeout(e *entry) time.Duration {
	timeout := time.Duration(float64(t.SuspicionTimeout) * SizeFactor(t.Size()))
	if e.refused {
		return min(timeout, refusedSuspicionTimeout)
	}
	return timeout
}

// put sets the entry of a node and updates the hashes and the size.
func (t *Table) put(n egret.Node, now time.Time, refused bool) {
	e, known := t.nodes[n.ID]
	if !known {
		e = &entry{}
		t.nodes[n.ID] = e
	}
	if known && notDead(e.node) {
		t.nodeHashes.toggle(hashNode(e.node))
		t.others--
	}
	if notDead(n) {
		t.nodeHashes.toggle(hashNode(n))
		t.others++
	}
	if known && e.node.State != n.State || !known || e.node.Incarnation != n.Incarnation {
		e.stateSince = now
	}
	e.node = n
	e.refused = refused && n.State == egret.NodeSuspect
	t.changed = now
	t.version++
}

// SizeFactor returns the factor by which timeouts and intervals grow in a fleet of n nodes: 1 up to eight, then
// the logarithm of n divided by that of eight.
func SizeFactor(n int) float64 {
	if n <= unscaledNodes {
		return 1
	}
	return math.Log2(float64(n)) / math.Log2(unscaledNodes)
}

// notDead reports whether a node counts towards the hashes and the size.
func notDead(n egret.Node) bool {
	return n.State != egret.NodeDead
}

// supersedes reports whether update a about a node takes precedence over update b about the same node.
func supersedes(a, b egret.Node) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return stateRank(a.State) > stateRank(b.State)
}

// stateRank orders the states of one incarnation. A higher rank takes precedence.
func stateRank(s egret.NodeState) int {
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
