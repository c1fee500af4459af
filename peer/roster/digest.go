package roster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"egretlane.example/egret"
)

// Buckets is the number of parts that a table's digest has. One part of 1,500 nodes fits in two
// packets.
const Buckets = 64

// Sums holds a hash of each bucket: the exclusive or of the hashes of its entries.
//
// Suspects count as alive and the dead not at all, so that two tables are equal although their
// nodes suspect and forget at different times.
type Sums [Buckets]uint64

// Overall is one hash of all buckets.
func (s *Sums) Overall() uint64 {
	b := make([]byte, 0, Buckets*8)
	for _, v := range s {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	return xxhash.Sum64(b)
}

// Differ returns the buckets whose hashes differ from those of another table.
func (s *Sums) Differ(other []uint64) []uint32 {
	buckets := []uint32{}
	for i := range s {
		if i < len(other) && other[i] != s[i] {
			buckets = append(buckets, uint32(i))
		}
	}
	return buckets
}

// toggle adds an entry to its bucket or takes it out.
func (s *Sums) toggle(h sum) {
	s[h.bucket] ^= h.value
}

// sum is the hash of an entry and the bucket that it belongs to.
type sum struct {
	bucket int
	value  uint64
}

// NodeSums returns the hashes of the nodes.
func (t *Table) NodeSums() Sums {
	return t.nodeSums
}

// FactSums returns the hashes of the facts.
func (t *Table) FactSums() Sums {
	return t.factSums
}

// Entries returns the content of buckets, the dead included.
func (t *Table) Entries(nodeBuckets, factBuckets []uint32) News {
	n := News{}
	wanted := [Buckets]bool{}
	mark(&wanted, nodeBuckets)
	if wanted[bucketOf(t.self.ID)] {
		n.Nodes = append(n.Nodes, t.self)
	}
	for id, e := range t.nodes {
		if wanted[bucketOf(id)] {
			n.Nodes = append(n.Nodes, e.node)
		}
	}
	wanted = [Buckets]bool{}
	mark(&wanted, factBuckets)
	for g, f := range t.facts {
		if wanted[bucketOf(g)] {
			n.Facts = append(n.Facts, f)
		}
	}
	return n
}

func mark(wanted *[Buckets]bool, buckets []uint32) {
	for _, b := range buckets {
		if b < Buckets {
			wanted[b] = true
		}
	}
}

// AllBuckets lists every bucket.
func AllBuckets() []uint32 {
	all := make([]uint32, Buckets)
	for i := range all {
		all[i] = uint32(i)
	}
	return all
}

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % Buckets)
}

func nodeHash(n egret.Node) sum {
	d := xxhash.New()
	_, _ = d.WriteString(n.ID)
	b := binary.LittleEndian.AppendUint64(nil, n.Incarnation)
	if n.State == egret.NodeLeaving {
		b = append(b, 1)
	}
	_, _ = d.Write(b)
	return sum{
		bucket: bucketOf(n.ID),
		value:  d.Sum64(),
	}
}

func factHash(f egret.GroupFact) sum {
	d := xxhash.New()
	_, _ = d.WriteString(f.Group)
	_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{0}, f.Term))
	_, _ = d.WriteString(f.Primary)
	return sum{
		bucket: bucketOf(f.Group),
		value:  d.Sum64(),
	}
}
