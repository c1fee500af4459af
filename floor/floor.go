// Package floor remembers the acknowledged commits of a service, and tells from which position on a
// log may serve a read.
//
// The holder of a service lets every commit through, so its history is complete:
//
//	h.Commit(now, position)
//	f := h.Read(egret.RouteBounded, arrived, 1500*time.Millisecond, own)
package floor

import (
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// keepAge is how long single commits are remembered. It is above the largest staleness that routes
// allow; beyond it, older commits are summed up in one position, which is always safe.
const keepAge = 30 * time.Second

// resolution merges commits that follow each other this closely, so that the history stays short.
const resolution = 2 * time.Millisecond

// Own is the newest commit of a session.
type Own struct {
	// Position is the commit's place in the log.
	Position egret.Position

	// Term is the leadership term in which the commit was made. A promotion may have rolled back
	// commits of earlier terms.
	Term uint64
}

// commit is an acknowledged commit and when its answer arrived.
type commit struct {
	at       clock.Time
	position egret.Position
}

// History holds the commits of one leadership term.
//
// The zero History knows nothing: Reset comes first. It is not safe for concurrent use.
type History struct {
	// term is the leadership term of the commits.
	term uint64

	// base is a position that every read must see: the log's end when the term was taken over, then
	// that of commits that have left the history.
	base egret.Position

	// commits are ordered by time. Positions rise along them.
	commits []commit

	// newest is the highest position of all.
	newest egret.Position
}

// Reset starts over at the end of the primary's log in a term.
func (h *History) Reset(term uint64, end egret.Position) {
	h.term = term
	h.base = end
	h.newest = end
	h.commits = h.commits[:0]
}

// Term returns the leadership term.
func (h *History) Term() uint64 {
	return h.term
}

// Newest returns the position of the newest commit.
func (h *History) Newest() egret.Position {
	return h.newest
}

// Commit adds a commit that is about to be acknowledged.
func (h *History) Commit(now clock.Time, p egret.Position) {
	if p.Compare(h.newest) <= 0 {
		return
	}
	h.newest = p
	if n := len(h.commits); n > 0 && now.Sub(h.commits[n-1].at) < resolution {
		h.commits[n-1].position = p
		return
	}
	h.commits = append(h.commits, commit{
		at:       now,
		position: p,
	})
	h.trim(now)
}

// Read returns the floor of a read whose first byte arrived at the time.
func (h *History) Read(k egret.RouteKind, arrived clock.Time, staleness time.Duration, own Own) egret.Position {
	if k == egret.RoutePrimary {
		return h.newest
	}
	f := h.before(arrived.Add(-staleness))
	if k == egret.RouteSession && own.Term >= h.term && own.Position.Compare(f) > 0 {
		f = own.Position
	}
	return f
}

// Age returns how long ago the log reached the position, or zero if it has not been reached.
func (h *History) Age(now clock.Time, p egret.Position) time.Duration {
	if p.Compare(h.base) <= 0 {
		return keepAge
	}
	for _, c := range h.commits {
		if c.position.Compare(p) >= 0 {
			return now.Sub(c.at)
		}
	}
	return 0
}

// before returns the newest position that was acknowledged at the time or earlier. Merged commits
// carry the time of the first of them, so the result errs on the safe side only.
func (h *History) before(t clock.Time) egret.Position {
	f := h.base
	for _, c := range h.commits {
		if c.at > t {
			break
		}
		f = c.position
	}
	return f
}

func (h *History) trim(now clock.Time) {
	n := 0
	for n < len(h.commits) && now.Sub(h.commits[n].at) > keepAge {
		h.base = h.commits[n].position
		n++
	}
	if n > 0 {
		h.commits = append(h.commits[:0], h.commits[n:]...)
	}
}
