package roster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"egretlane.example/egret"
)

// Buckets is the number of buckets into which the nodes and the facts are divided by the hash of their names. In a
// fleet of 1,500 nodes, one bucket fits in two packets.
const Buckets = 64

// BucketHashes holds the hash of each bucket, which is the exclusive or of the hashes of its entries.
//
// Suspects are hashed as alive and dead nodes are left out, so that two tables have equal hashes although they
// suspect and remove nodes at different times.
type BucketHashes [Buckets]uint64

// Combined returns a single hash over all buckets.
func (s *BucketHashes) Combined() uint64 {
	b := make([]byte, 0, Buckets*8)
	for _, v := range s {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	return xxhash.Sum64(b)
}

// DifferingBuckets returns the indexes of the buckets whose hashes differ from those of another table.
func (s *BucketHashes) DifferingBuckets(other []uint64) []uint32 {
	buckets := []uint32{}
	for i := range s {
		if i < len(other) && other[i] != s[i] {
			buckets = append(buckets, uint32(i))
		}
	}
	return buckets
}

// toggle adds an entry to the hash of its bucket, or removes it if it was added before.
func (s *BucketHashes) toggle(h entryHash) {
	s[h.bucket] ^= h.value
}

// entryHash is the hash of an entry and the index of its bucket.
type entryHash struct {
	bucket int
	value  uint64
}

// NodeHashes returns the bucket hashes of the nodes.
func (t *Table) NodeHashes() BucketHashes {
	return t.nodeHashes
}

// FactHashes returns the bucket hashes of the facts.
func (t *Table) FactHashes() BucketHashes {
	return t.factHashes
}

// Entries returns the content of the given buckets, including dead nodes.
func (t *Table) Entries(nodeBuckets, factBuckets []uint32) Updates {
	u := Updates{}
	wanted := [Buckets]bool{}
	markWanted(&wanted, nodeBuckets)
	if wanted[bucketOf(t.self.ID)] {
		u.Nodes = append(u.Nodes, t.self)
	}
	for id, e := range t.nodes {
		if wanted[bucketOf(id)] {
			u.Nodes = append(u.Nodes, e.node)
		}
	}
	wanted = [Buckets]bool{}
	markWanted(&wanted, factBuckets)
	for g, f := range t.facts {
		if wanted[bucketOf(g)] {
			u.Facts = append(u.Facts, f)
		}
	}
	return u
}

func markWanted(wanted *[Buckets]bool, buckets []uint32) {
	for _, b := range buckets {
		if b < Buckets {
			wanted[b] = true
		}
	}
}

// AllBuckets returns the indexes of all buckets.
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

func hashNode(n egret.Node) entryHash {
	d := xxhash.New()
	_, _ = d.WriteString(n.ID)
	b := binary.LittleEndian.AppendUint64(nil, n.Incarnation)
	if n.State == egret.NodeLeaving {
		b = append(b, 1)
	}
	_, _ = d.Write(b)
	return entryHash{
		bucket: bucketOf(n.ID),
		value:  d.Sum64(),
	}
}

func hashFact(f egret.GroupPrimary) entryHash {
	d := xxhash.New()
	_, _ = d.WriteString(f.Group)
	_, _ = d.Write(binary.LittleEndian.AppendUint64([]byte{0}, f.Term))
	_, _ = d.WriteString(f.Primary)
	return entryHash{
		bucket: bucketOf(f.Group),
		value:  d.Sum64(),
	}
}
