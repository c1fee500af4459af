// Package floor keeps a history of the acknowledged commits of a service and computes the floors of reads: the
// lowest log position that a member must have reached to serve a read.
//
// All commits of a service go through the holder of the service, so the history there is complete:
//
//	h.RecordCommit(now, position)
//	f := h.ReadFloor(egret.ConsistencyBounded, arrived, 1500*time.Millisecond, own)
package floor

import (
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// retention is how long commits are kept one by one. It is above the largest staleness that routes allow. Older
// commits are merged into History.base, so that a floor may be too high, but never too low.
const retention = 30 * time.Second

// mergeInterval is the time within which successive commits share one entry, which keeps the history short.
const mergeInterval = 2 * time.Millisecond

// SessionCommit is the newest commit of a session.
type SessionCommit struct {
	// Position is the position of the commit in the log.
	Position egret.Position

	// Term is the leadership term in which the commit was made. A promotion may have rolled back
	// commits of earlier terms.
	Term uint64
}

// commit is an acknowledged commit, or several merged ones, and when the member's answer to the first arrived.
type commit struct {
	at       clock.Time
	position egret.Position
}

// History holds the commits of one leadership term.
//
// Reset must be called before the zero History is used. A History is not safe for concurrent use.
type History struct {
	// term is the leadership term of the commits.
	term uint64

	// base is the lowest floor of any read: first the end of the primary's log at the last
	// Reset, then the position of the newest commit that was removed from commits.
	base egret.Position

	// commits are ordered by time, and their positions increase.
	commits []commit

	// newest is the position of the newest commit, or the end of the log at the last Reset.
	newest egret.Position
}

// Reset clears the history and starts it at the end of the primary's log in a term.
func (h *History) Reset(term uint64, end egret.Position) {
	h.term = term
	h.base = end
	h.newest = end
	h.commits = h.commits[:0]
}

// Term returns the leadership term of the last Reset.
func (h *History) Term() uint64 {
	return h.term
}

// Newest returns the position of the newest commit, or the end of the log at the last Reset if there is none.
func (h *History) Newest() egret.Position {
	return h.newest
}

// RecordCommit adds a commit that is about to be acknowledged. A position that is not above the newest changes nothing.
func (h *History) RecordCommit(now clock.Time, p egret.Position) {
	if p.Compare(h.newest) <= 0 {
		return
	}
	h.newest = p
	if n := len(h.commits); n > 0 && now.Sub(h.commits[n-1].at) < mergeInterval {
		h.commits[n-1].position = p
		return
	}
	h.commits = append(h.commits, commit{
		at:       now,
		position: p,
	})
	h.trim(now)
}

// ReadFloor returns the floor of a read of consistency k whose first byte arrived at the given time. own is the newest
// commit of the read's session.
func (h *History) ReadFloor(k egret.Consistency, arrived clock.Time, staleness time.Duration, own SessionCommit) egret.Position {
	if k == egret.ConsistencyPrimary {
		return h.newest
	}
	f := h.acknowledgedBy(arrived.Add(-staleness))
	if k == egret.ConsistencySession && own.Term >= h.term && own.Position.Compare(f) > 0 {
		f = own.Position
	}
	return f
}

// Age returns how long ago the log reached the position, or zero if it has not been reached. It returns the retention
// for positions that are not above base, whose time is not known any more.
func (h *History) Age(now clock.Time, p egret.Position) time.Duration {
	if p.Compare(h.base) <= 0 {
		return retention
	}
	for _, c := range h.commits {
		if c.position.Compare(p) >= 0 {
			return now.Sub(c.at)
		}
	}
	return 0
}

// acknowledgedBy returns the newest position that was acknowledged at the time or earlier. Merged commits have the
// time of the first of them, so the result may be too high, but never too low.
func (h *History) acknowledgedBy(t clock.Time) egret.Position {
	f := h.base
	for _, c := range h.commits {
		if c.at > t {
			break
		}
		f = c.position
	}
	return f
}

// trim removes commits that are older than the retention.
func (h *History) trim(now clock.Time) {
	n := 0
	for n < len(h.commits) && now.Sub(h.commits[n].at) > retention {
		h.base = h.commits[n].position
		n++
	}
	if n > 0 {
		h.commits = append(h.commits[:0], h.commits[n:]...)
	}
}
