package lane

import (
	"time"

	"egretlane.example/egret"
)

// absentWait is how long a proxy must be gone before its connections are ended on a member.
const absentWait = 500 * time.Millisecond

// absence notes since when proxies that hold locks on members are absent. The zero absence is
// ready to use.
type absence struct {
	// since has the proxies that were absent when last looked at.
	since map[string]time.Time
}

// any reports whether a proxy is noted as absent.
func (a *absence) any() bool {
	return len(a.since) > 0
}

// update forgets the absence of proxies that are there again.
func (a *absence) update(present []egret.Node) {
	for _, n := range present {
		delete(a.since, n.ID)
	}
}

// longGone reports whether the proxy has been absent for absentWait. It has to be asked again,
// since it learns of the absence by the first question.
func (a *absence) longGone(nodeID string, present bool, now time.Time) bool {
	if present {
		delete(a.since, nodeID)
		return false
	}
	if a.since == nil {
		a.since = map[string]time.Time{}
	}
	since, found := a.since[nodeID]
	if !found {
		a.since[nodeID] = now
		return false
	}
	return now.Sub(since) >= absentWait
}
