package route

import (
	"cmp"
	"slices"
	"time"

	"egretlane.example/egret"
)

// Candidate is a member that may serve a read, with its load as last reported.
type Candidate struct {
	// Member is the member.
	Member *egret.Member

	// Load is the load of the member as its lane reported it last, or zero if it is not known.
	Load egret.Load

	// ResponseTime is the round-trip time to the member's lane.
	ResponseTime time.Duration
}

// ReadConstraints holds the requirements of a read on the member that serves it.
type ReadConstraints struct {
	// Region is the region of the proxy that the read came to. The read stays in it if a replica there is eligible.
	Region string

	// Floor is the session's floor in the group.
	Floor egret.Position

	// MaxAge is the highest age that the data may have. Zero sets no limit.
	MaxAge time.Duration

	// MaxCatchUp is the longest time that a replica may take to reach the floor.
	MaxCatchUp time.Duration

	// FloorAge is the time since the floor was raised to its current position.
	FloorAge time.Duration
}

// Rank returns the replicas that may serve the read, the one with the lowest predicted latency first.
//
// The prediction is the sum of round-trip time, queue wait and catch-up time to the floor, similar to the time budgets
// of Cottage. Replicas that would reach the floor later than the read allows are excluded. So are replicas in other
// regions, if one in the read's region remains.
func Rank(candidates []Candidate, primary string, r ReadConstraints) []Candidate {
	kept := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.Member.Leaving || c.Load.State.Leaving || c.Member.Name == primary || r.excludes(c) {
			continue
		}
		kept = append(kept, c)
	}
	inRegion := slices.DeleteFunc(slices.Clone(kept), func(c Candidate) bool {
		return c.Member.Region != r.Region
	})
	if len(inRegion) > 0 {
		kept = inRegion
	}
	slices.SortStableFunc(kept, func(a, b Candidate) int {
		return cmp.Compare(r.predictedLatency(a), r.predictedLatency(b))
	})
	return kept
}

// excludes reports whether the replica is known not to meet the requirements. One that never reported its state is not
// excluded.
func (r ReadConstraints) excludes(c Candidate) bool {
	if c.Load.State.SampledAt.IsZero() {
		return false
	}
	if r.MaxAge > 0 && c.Load.Lag > r.MaxAge {
		return true
	}
	return r.catchUpTime(c) > r.MaxCatchUp
}

// predictedLatency returns the predicted time until the replica starts to answer.
func (r ReadConstraints) predictedLatency(c Candidate) time.Duration {
	return c.ResponseTime + c.Load.QueueWait + r.catchUpTime(c)
}

// catchUpTime returns the predicted time until the replica reaches the floor. The primary had reached the floor when it
// was raised, so a replica reaches it one lag after that at the latest.
func (r ReadConstraints) catchUpTime(c Candidate) time.Duration {
	if c.Load.State.Applied.Reaches(r.Floor) {
		return 0
	}
	return max(0, c.Load.Lag-r.FloorAge)
}
