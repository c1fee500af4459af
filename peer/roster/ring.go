package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"egretlane.example/egret"
)

// How many partners of each kind a node has.
const (
	successors   = 3
	longLinks    = 2
	crossMaximum = 8
)

// Partners are the nodes that this one exchanges with.
type Partners struct {
	// Near are of this node's region: the next ones on the region's ring, and a few drawn ones
	// that keep the paths short.
	Near []egret.Node

	// Far are of other regions. They are asked at a slower rate, since the link is billed.
	Far []egret.Node
}

// Pick chooses the partners of a node among the live ones.
//
// Nodes lie on a ring by the hash of their ID. The near partners are the successors among the nodes
// of the region, so that each node is watched by as many predecessors. The far partners are the
// nodes of other regions between this node and the next one of its region, so that each node is
// watched from each side of a split.
func Pick(self egret.Node, nodes []egret.Node, r *rand.Rand) Partners {
	ring := ringFrom(self, nodes)
	p := Partners{}
	rest := []egret.Node{}
	passed := false
	for _, n := range ring {
		switch {
		case n.Region != self.Region && !passed && len(p.Far) < crossMaximum:
			p.Far = append(p.Far, n)
		case n.Region == self.Region && len(p.Near) < successors:
			p.Near = append(p.Near, n)
			passed = true
		case n.Region == self.Region:
			rest = append(rest, n)
		}
	}
	r.Shuffle(len(rest), func(i, j int) {
		rest[i], rest[j] = rest[j], rest[i]
	})
	p.Near = append(p.Near, rest[:min(longLinks, len(rest))]...)
	return p
}

// ringFrom orders the other nodes by their place on the ring, from this node on.
func ringFrom(self egret.Node, nodes []egret.Node) []egret.Node {
	type place struct {
		node     egret.Node
		distance uint64
	}
	own := xxhash.Sum64String(self.ID)
	places := make([]place, 0, len(nodes))
	for _, n := range nodes {
		if n.ID == self.ID {
			continue
		}
		places = append(places, place{
			node:     n,
			distance: xxhash.Sum64String(n.ID) - own,
		})
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Compare(a.distance, b.distance)
	})
	ring := make([]egret.Node, len(places))
	for i, p := range places {
		ring[i] = p.node
	}
	return ring
}
