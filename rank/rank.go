// Package rank orders the processes that may hold a service.
//
//	o := rank.Order{
//		Service: "orders",
//		Counts:  counts,
//	}
//	better := o.Score(a, 0) < o.Score(b, 0)
package rank

import (
	"github.com/cespare/xxhash/v2"
)

// Candidate is a process that may hold a service.
type Candidate struct {
	// Node is the ID of its node.
	Node string

	// Domain and Region are the node's failure domain and its region.
	Domain, Region string

	// Capacity is what the node's VM offers the process.
	Capacity Capacity
}

// Order orders the processes that may succeed the holder of a service: those that hold fewer services for their
// capacity come first, then those in the failure domain of the service's primary, then by a hash that differs for each
// service. A process in another region than the primary counts as holding regionPenalty times as much.
type Order struct {
	// Service is the service's name. Domain and Region are those of its primary.
	Service, Domain, Region string

	// Holder is the ID of the current holder's node, or "". It is not a candidate.
	Holder string

	// Largest has the most cores and the fastest link of all processes.
	Largest Capacity

	// Counts is the number of services that each process holds, by the ID of its node. It may be shared and is not
	// changed. The service itself counts only for its holder, which isn't a candidate.
	Counts map[string]int
}

const (
	// maxLoad is the highest load that a score distinguishes: it has 16 bits for the load.
	maxLoad = 1<<16 - 1

	// loadUnit is the load of one service on a process of the largest capacity.
	loadUnit = 8

	// regionPenalty is by how much a process in another region than the primary is ranked as more loaded. Each
	// statement crosses between the regions twice there.
	regionPenalty = 2
)

// Load returns the load of the candidate that has the score, as one that holds the service. A process in another region
// than the primary counts as regionPenalty times as loaded.
func Load(score uint64) uint64 {
	return score >> 48
}

// Score returns the rank key of a candidate, which holds more services than are counted. Better placed candidates have
// lower scores. It is called for each process of a fleet many times a second, so it doesn't allocate.
func (o *Order) Score(c Candidate, more int) uint64 {
	load := float64(o.Counts[c.Node]+more+1) * loadUnit / c.Capacity.RelativeTo(o.Largest)
	if c.Region != o.Region {
		load *= regionPenalty
	}
	s := uint64(min(load, maxLoad)) << 48
	if c.Domain != o.Domain {
		s += 1 << 47
	}
	d := xxhash.Digest{}
	d.Reset()
	// Writes to a digest never fail.
	_, _ = d.WriteString(o.Service)
	_, _ = d.WriteString(" ")
	_, _ = d.WriteString(c.Node)
	return s + d.Sum64()>>17
}
