package route

import (
	"cmp"
	"slices"
	"time"

	"egretlane.example/egret"
)

// Candidate is a member that may serve a read, and what is known of it.
type Candidate struct {
	// Member is the member.
	Member *egret.Member

	// Load is the lane's last view of the member. It may be zero.
	Load egret.Load

	// Distance is the time to the member's lane and back.
	Distance time.Duration
}

// Reader says what a read asks of a member.
type Reader struct {
	// Region is the entry's region. Reads stay in it where a member there will do.
	Region string

	// Floor is the session's position in the group.
	Floor egret.Position

	// MaxAge is the highest age, zero for none.
	MaxAge time.Duration

	// Wait is how long a replica may take to reach the floor.
	Wait time.Duration

	// Since is how long ago the floor was raised to where it is.
	Since time.Duration
}

// Rank returns the replicas that may serve the read, the one with the lowest predicted time first.
// The prediction adds distance, queue and what the replica lacks to the floor, in the manner of
// Cottage's time budgets; replicas that would need more than the reader's wait are cut. Members of
// other regions are left out if one of the reader's region remains.
func Rank(candidates []Candidate, primary string, r Reader) []Candidate {
	kept := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.Member.Leaving || c.Load.State.Leaving || c.Member.Name == primary || r.cut(c) {
			continue
		}
		kept = append(kept, c)
	}
	near := slices.DeleteFunc(slices.Clone(kept), func(c Candidate) bool {
		return c.Member.Region != r.Region
	})
	if len(near) > 0 {
		kept = near
	}
	slices.SortStableFunc(kept, func(a, b Candidate) int {
		return cmp.Compare(r.predict(a), r.predict(b))
	})
	return kept
}

// cut reports whether the replica is known to be of no use to the reader.
func (r Reader) cut(c Candidate) bool {
	if c.Load.State.Sampled.IsZero() {
		return false
	}
	if r.MaxAge > 0 && c.Load.Lag > r.MaxAge {
		return true
	}
	return r.catchUp(c) > r.Wait
}

// predict returns the time until the replica's answer.
func (r Reader) predict(c Candidate) time.Duration {
	return c.Distance + c.Load.Wait + r.catchUp(c)
}

// catchUp returns the time until the replica reaches the floor. The primary had the floor when it was
// raised, so that a replica reaches it at the latest one lag after that.
func (r Reader) catchUp(c Candidate) time.Duration {
	if c.Load.State.Applied.Reaches(r.Floor) {
		return 0
	}
	return max(0, c.Load.Lag-r.Since)
}
