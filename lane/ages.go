package lane

import (
	"time"

	"egretlane.example/egret"
)

// maxSamples is how many of the primary's positions are kept: 16 s of heartbeats.
const maxSamples = 64

// unknownLag is the lag of a member about which too little is known.
const unknownLag = -time.Microsecond

// ages tells how old a replica's data is, from samples of the primary's position. Only this
// process's clock is used.
type ages struct {
	// samples are ordered by asked, and positions never fall along them.
	samples []sample
}

// sample is a position of the primary.
type sample struct {
	// asked is when the primary was asked. Its log reached position at the latest when it answered,
	// so at asked it held nothing beyond position.
	asked time.Time

	// position is the end of the primary's log.
	position egret.Position
}

// add adds a sample. One below the last starts anew: the primary has changed.
func (a *ages) add(s sample) {
	if n := len(a.samples); n > 0 && s.position.Compare(a.samples[n-1].position) < 0 {
		a.samples = nil
	}
	a.samples = append(a.samples, s)
	if len(a.samples) > maxSamples {
		a.samples = a.samples[1:]
	}
}

// newest returns the newest sample that the position covers. It returns false if it covers none.
func (a *ages) newest(p egret.Position) (int, bool) {
	for i := len(a.samples) - 1; i >= 0; i-- {
		if p.Reaches(a.samples[i].position) {
			return i, true
		}
	}
	return 0, false
}

// bound returns an upper bound of the age of a replica's data: the replica has all that the primary
// had when the newest covered sample was asked. It is below zero if unknown.
func (a *ages) bound(state egret.MemberState, now time.Time) time.Duration {
	i, found := a.newest(state.Applied)
	if !found {
		return unknownLag
	}
	return now.Sub(a.samples[i].asked)
}

// lag estimates how far a member is behind the primary. It interpolates between samples, so that a
// replica which keeps up isn't charged for the time between two heartbeats.
func (a *ages) lag(state egret.MemberState) time.Duration {
	if state.Role == egret.RolePrimary {
		return 0
	}
	i, found := a.newest(state.Applied)
	if !found {
		return unknownLag
	}
	if i == len(a.samples)-1 {
		return max(0, state.Sampled.Sub(a.samples[i].asked)-beatInterval)
	}
	return max(0, state.Sampled.Sub(passed(a.samples[i], a.samples[i+1], state.Applied)))
}

// passed estimates when the primary passed a position between two samples.
func passed(before sample, after sample, p egret.Position) time.Time {
	if before.position.Term != after.position.Term || before.position.Term != p.Term {
		return before.asked
	}
	part := float64(p.Offset-before.position.Offset) / float64(after.position.Offset-before.position.Offset)
	return before.asked.Add(time.Duration(part * float64(after.asked.Sub(before.asked))))
}
