package roster

import (
	"math"
	"slices"

	"egretlane.example/egret"
)

// Updates are the updates that a message carries.
type Updates struct {
	// Nodes are nodes as the sender knows them.
	Nodes []egret.Node

	// Facts state the primary and its term for groups. "Fact" is the name of such an entry on the wire.
	Facts []egret.GroupPrimary
}

// Sizes of encoded entries without their strings, in bytes.
const (
	nodeOverhead = 24
	factOverhead = 14
)

// entryKey identifies an entry of the table: a node by ID or a fact by group.
type entryKey struct {
	fact bool
	name string
}

func nodeKey(id string) entryKey {
	return entryKey{
		name: id,
	}
}

func factKey(group string) entryKey {
	return entryKey{
		fact: true,
		name: group,
	}
}

// updateQueue holds the keys of entries that are still to be sent. New ones are at the front. After an entry was
// sent, it moves to the end, until it has been sent often enough.
type updateQueue struct {
	order []entryKey

	// sent is the number of times that each key of order was sent. It has exactly the keys of order.
	sent map[entryKey]int
}

// add puts a key at the front of the queue and resets the number of times that it was sent.
func (q *updateQueue) add(k entryKey) {
	if q.sent == nil {
		q.sent = map[entryKey]int{}
	}
	if _, queued := q.sent[k]; queued {
		i := slices.Index(q.order, k)
		q.order = slices.Delete(q.order, i, i+1)
	}
	q.sent[k] = 0
	q.order = slices.Insert(q.order, 0, k)
}

// TakeUpdates returns the next queued updates, up to a total size of about the given number of bytes. Each entry is
// sent for a number of times that grows with the logarithm of the size of the fleet.
func (t *Table) TakeUpdates(size int) Updates {
	u := Updates{}
	limit := int(math.Ceil(2*math.Log2(float64(t.Size())+1))) + 2
	requeued := []entryKey{}
	count := 0
	for _, k := range t.updates.order {
		if size <= 0 {
			break
		}
		count++
		size -= t.appendUpdate(k, &u)
		t.updates.sent[k]++
		if t.updates.sent[k] < limit {
			requeued = append(requeued, k)
		} else {
			delete(t.updates.sent, k)
		}
	}
	t.updates.order = append(t.updates.order[count:], requeued...)
	return u
}

// Pending returns the number of queued updates.
func (t *Table) Pending() int {
	return len(t.updates.order)
}

// appendUpdate appends an entry to the updates and returns its encoded size.
func (t *Table) appendUpdate(k entryKey, u *Updates) int {
	if k.fact {
		f, ok := t.facts[k.name]
		if !ok {
			return 0
		}
		u.Facts = append(u.Facts, f)
		return factOverhead + len(f.Group) + len(f.Primary)
	}
	node, ok := t.Node(k.name)
	if !ok {
		return 0
	}
	u.Nodes = append(u.Nodes, node)
	return nodeOverhead + len(node.ID) + len(node.Region) + len(node.Domain) + len(node.State)
}

// Fact returns the fact with the highest term about a group.
func (t *Table) Fact(group string) (egret.GroupPrimary, bool) {
	f, ok := t.facts[group]
	return f, ok
}

// Facts returns all facts in no particular order.
func (t *Table) Facts() []egret.GroupPrimary {
	facts := make([]egret.GroupPrimary, 0, len(t.facts))
	for _, f := range t.facts {
		facts = append(facts, f)
	}
	return facts
}

// MergeFact stores a fact if its term is higher than that of the known one, and queues it for spreading.
func (t *Table) MergeFact(f egret.GroupPrimary) Change {
	return t.mergeFact(f, true)
}

// LoadFact does the same as MergeFact but doesn't spread the fact further.
func (t *Table) LoadFact(f egret.GroupPrimary) Change {
	return t.mergeFact(f, false)
}

func (t *Table) mergeFact(f egret.GroupPrimary, spread bool) Change {
	old, known := t.facts[f.Group]
	if known && old.Term >= f.Term {
		return Change{
			Stale: old.Term > f.Term,
		}
	}
	if known {
		t.factHashes.toggle(hashFact(old))
	}
	t.facts[f.Group] = f
	t.factHashes.toggle(hashFact(f))
	if spread {
		t.updates.add(factKey(f.Group))
	}
	return Change{
		Changed: true,
		Urgent:  spread,
	}
}

// Queue queues the entry of a node for sending. It is for a peer that has an older one.
func (t *Table) Queue(id string) {
	t.updates.add(nodeKey(id))
}

// QueueFact queues the fact about a group for sending.
func (t *Table) QueueFact(group string) {
	t.updates.add(factKey(group))
}
