package roster

import (
	"math"
	"slices"

	"egretlane.example/egret"
)

// News is what goes along with a message.
type News struct {
	// Nodes are claims about nodes.
	Nodes []egret.Node

	// Facts are facts about groups.
	Facts []egret.GroupFact
}

// Sizes of encoded entries without their strings, in bytes.
const (
	nodeOverhead = 24
	factOverhead = 14
)

// key names an entry of the table.
type key struct {
	fact bool
	name string
}

func nodeKey(id string) key {
	return key{
		name: id,
	}
}

func factKey(group string) key {
	return key{
		fact: true,
		name: group,
	}
}

// queue holds the names of entries that are still told. New ones come first; each that was told
// goes to the end, until it has been told often enough.
type queue struct {
	order []key

	// told has exactly the keys of order.
	told map[key]int
}

func (q *queue) add(k key) {
	if q.told == nil {
		q.told = map[key]int{}
	}
	if _, queued := q.told[k]; queued {
		i := slices.Index(q.order, k)
		q.order = slices.Delete(q.order, i, i+1)
	}
	q.told[k] = 0
	q.order = slices.Insert(q.order, 0, k)
}

// TakeNews returns news of about the size, in bytes. Each entry is told for a number of times that
// grows with the logarithm of the fleet.
func (t *Table) TakeNews(size int) News {
	n := News{}
	limit := int(math.Ceil(2*math.Log2(float64(t.Size())+1))) + 2
	again := []key{}
	taken := 0
	for _, k := range t.news.order {
		if size <= 0 {
			break
		}
		taken++
		size -= t.tell(k, &n)
		t.news.told[k]++
		if t.news.told[k] < limit {
			again = append(again, k)
		} else {
			delete(t.news.told, k)
		}
	}
	t.news.order = append(t.news.order[taken:], again...)
	return n
}

// Pending returns how many entries are still told.
func (t *Table) Pending() int {
	return len(t.news.order)
}

// tell adds an entry to the news and returns its size.
func (t *Table) tell(k key, n *News) int {
	if k.fact {
		f, ok := t.facts[k.name]
		if !ok {
			return 0
		}
		n.Facts = append(n.Facts, f)
		return factOverhead + len(f.Group) + len(f.Primary)
	}
	node, ok := t.Node(k.name)
	if !ok {
		return 0
	}
	n.Nodes = append(n.Nodes, node)
	return nodeOverhead + len(node.ID) + len(node.Region) + len(node.Domain) + len(node.State)
}

// Fact returns the newest fact about a group.
func (t *Table) Fact(group string) (egret.GroupFact, bool) {
	f, ok := t.facts[group]
	return f, ok
}

// Facts returns all facts, in no order.
func (t *Table) Facts() []egret.GroupFact {
	facts := make([]egret.GroupFact, 0, len(t.facts))
	for _, f := range t.facts {
		facts = append(facts, f)
	}
	return facts
}

// MergeFact takes a fact in if its term is higher than that of the known one.
func (t *Table) MergeFact(f egret.GroupFact) Change {
	return t.mergeFact(f, true)
}

// LoadFact takes a fact in without spreading it further.
func (t *Table) LoadFact(f egret.GroupFact) Change {
	return t.mergeFact(f, false)
}

func (t *Table) mergeFact(f egret.GroupFact, spread bool) Change {
	old, known := t.facts[f.Group]
	if known && old.Term >= f.Term {
		return Change{
			Stale: old.Term > f.Term,
		}
	}
	if known {
		t.factSums.toggle(factHash(old))
	}
	t.facts[f.Group] = f
	t.factSums.toggle(factHash(f))
	if spread {
		t.news.add(factKey(f.Group))
	}
	return Change{
		Changed: true,
		Urgent:  spread,
	}
}

// Tell queues what the table knows about a node, for a peer that holds something older.
func (t *Table) Tell(id string) {
	t.news.add(nodeKey(id))
}

// TellFact queues what the table knows about a group.
func (t *Table) TellFact(group string) {
	t.news.add(factKey(group))
}
