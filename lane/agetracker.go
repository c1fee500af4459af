package lane

import (
	"time"

	"egretlane.example/egret"
)

// maxSamples is how many of the primary's positions are kept. They cover 16 s of heartbeats.
const maxSamples = 64

// unknownLag stands for the lag or the age of a member about which too little is known.
const unknownLag = -time.Microsecond

// ageTracker estimates the age of a replica's data from samples of the primary's position. It
// relies only on this process's clock.
type ageTracker struct {
	// samples are ordered by requestedAt, and their positions never decrease.
	samples []sample
}

// sample is a position of the primary at a time.
type sample struct {
	// requestedAt is when the position was requested. The primary's log reached position when it
	// answered or earlier, so at requestedAt it held nothing beyond position.
	requestedAt time.Time

	// position is the end of the primary's log.
	position egret.Position
}

// add adds a sample. If its position is below the last one's, the primary has changed and the
// earlier samples are discarded.
func (a *ageTracker) add(s sample) {
	if n := len(a.samples); n > 0 && s.position.Compare(a.samples[n-1].position) < 0 {
		a.samples = nil
	}
	a.samples = append(a.samples, s)
	if len(a.samples) > maxSamples {
		a.samples = a.samples[1:]
	}
}

// newestCovered returns the index of the newest sample that the position covers. It returns false
// if there is none.
func (a *ageTracker) newestCovered(p egret.Position) (int, bool) {
	for i := len(a.samples) - 1; i >= 0; i-- {
		if p.Reaches(a.samples[i].position) {
			return i, true
		}
	}
	return 0, false
}

// maxAge returns an upper bound of the age of a replica's data: the replica has everything that the
// primary had when the newest covered sample was requested. It returns unknownLag if no sample is
// covered.
func (a *ageTracker) maxAge(state egret.MemberState, now time.Time) time.Duration {
	i, found := a.newestCovered(state.Applied)
	if !found {
		return unknownLag
	}
	return now.Sub(a.samples[i].requestedAt)
}

// lag estimates how far a member is behind the primary. It interpolates between samples, so that
// the interval between two heartbeats doesn't count as lag of a replica that keeps up.
func (a *ageTracker) lag(state egret.MemberState) time.Duration {
	if state.Role == egret.RolePrimary {
		return 0
	}
	i, found := a.newestCovered(state.Applied)
	if !found {
		return unknownLag
	}
	if i == len(a.samples)-1 {
		return max(0, state.SampledAt.Sub(a.samples[i].requestedAt)-heartbeatInterval)
	}
	return max(0, state.SampledAt.Sub(passTime(a.samples[i], a.samples[i+1], state.Applied)))
}

// passTime estimates when the primary passed a position between two samples.
func passTime(before sample, after sample, p egret.Position) time.Time {
	if before.position.Term != after.position.Term || before.position.Term != p.Term {
		return before.requestedAt
	}
	fraction := float64(p.Offset-before.position.Offset) / float64(after.position.Offset-before.position.Offset)
	return before.requestedAt.Add(time.Duration(fraction * float64(after.requestedAt.Sub(before.requestedAt))))
}
