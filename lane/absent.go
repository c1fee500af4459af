package lane

import "time"

// absentWait is how long a proxy must be gone before its connections are ended on a member.
const absentWait = 2 * time.Second

// absence notes since when proxies that hold locks on members are not live. The zero absence is
// ready to use.
type absence struct {
	// since has the proxies that were not live when last looked at.
	since map[string]time.Time
}

// longGone reports whether the proxy has not been live for absentWait. It has to be asked again and
// again to learn when the proxy went.
func (a *absence) longGone(nodeID string, alive bool, now time.Time) bool {
	if alive {
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
