package lane

import (
	"time"

	"egretlane.example/egret"
)

// absenceTimeout is how long a proxy must be absent before its connections to a member are
// terminated.
const absenceTimeout = 500 * time.Millisecond

// absences records since when proxies that hold locks on members are absent. The zero value is
// ready to use.
type absences struct {
	// since has the proxies that were absent when they were last checked, by node ID.
	since map[string]time.Time
}

// known reports whether any proxy is recorded as absent.
func (a *absences) known() bool {
	return len(a.since) > 0
}

// removePresent removes proxies that are present again.
func (a *absences) removePresent(present []egret.Node) {
	for _, n := range present {
		delete(a.since, n.ID)
	}
}

// isLongAbsent reports whether the proxy has been absent for absenceTimeout. The first call for an
// absent proxy starts the timeout, so the method has to be called repeatedly.
func (a *absences) isLongAbsent(nodeID string, present bool, now time.Time) bool {
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
	return now.Sub(since) >= absenceTimeout
}
