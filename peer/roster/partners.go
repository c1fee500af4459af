package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"egretlane.example/egret"
)

// Number of partners of each kind: local successors on the ring, random local nodes, and the maximum of remote nodes.
const (
	localSuccessors = 3
	localRandom     = 2
	maxRemote       = 8
)

// Partners are the nodes with which this one makes regular exchanges.
type Partners struct {
	// Local are of this node's region: its successors on the region's ring, and a few randomly selected nodes
	// that keep the paths between nodes short.
	Local []egret.Node

	// Remote are of other regions. Exchanges with them are less frequent, since traffic between regions is billed.
	Remote []egret.Node
}

// PickPartners selects the partners of a node among the given nodes.
//
// Nodes are ordered on a ring by the hash of their IDs. The local partners include the successors among the nodes
// of the region, so that each node is monitored by as many predecessors. The remote partners are the nodes of other
// regions between this node and the next one of its region, so that each node is monitored from each side of a
// partition between regions.
func PickPartners(self egret.Node, nodes []egret.Node, r *rand.Rand) Partners {
	ring := ringFrom(self, nodes)
	p := Partners{}
	rest := []egret.Node{}
	nextFound := false
	for _, n := range ring {
		switch {
		case n.Region != self.Region && !nextFound && len(p.Remote) < maxRemote:
			p.Remote = append(p.Remote, n)
		case n.Region == self.Region && len(p.Local) < localSuccessors:
			p.Local = append(p.Local, n)
			nextFound = true
		case n.Region == self.Region:
			rest = append(rest, n)
		}
	}
	r.Shuffle(len(rest), func(i, j int) {
		rest[i], rest[j] = rest[j], rest[i]
	})
	p.Local = append(p.Local, rest[:min(localRandom, len(rest))]...)
	return p
}

// ringFrom returns the other nodes in their order on the ring, starting after this node.
func ringFrom(self egret.Node, nodes []egret.Node) []egret.Node {
	type ringNode struct {
		node     egret.Node
		distance uint64
	}
	own := xxhash.Sum64String(self.ID)
	ringNodes := make([]ringNode, 0, len(nodes))
	for _, n := range nodes {
		if n.ID == self.ID {
			continue
		}
		ringNodes = append(ringNodes, ringNode{
			node:     n,
			distance: xxhash.Sum64String(n.ID) - own,
		})
	}
	slices.SortFunc(ringNodes, func(a, b ringNode) int {
		return cmp.Compare(a.distance, b.distance)
	})
	ring := make([]egret.Node, len(ringNodes))
	for i, p := range ringNodes {
		ring[i] = p.node
	}
	return ring
}
