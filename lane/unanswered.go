package lane

import (
	"slices"
	"sync/atomic"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/member"
)

// lostReplyTimeout is how long a read's reply must be outstanding before the lane concludes that it
// was lost, from a heartbeat that finds no running statement or isn't answered.
const lostReplyTimeout = 750 * time.Millisecond

// replyTimer measures how long a reply is outstanding. The zero replyTimer isn't running.
type replyTimer struct {
	// startedAt is when the timer was started, or nil if it isn't running.
	startedAt atomic.Pointer[time.Time]
}

func (r *replyTimer) start() {
	now := time.Now()
	r.startedAt.Store(&now)
}

func (r *replyTimer) stop() {
	r.startedAt.Store(nil)
}

// elapsed returns how long the timer had run at the given time, or zero if it isn't running.
func (r *replyTimer) elapsed(t time.Time) time.Duration {
	startedAt := r.startedAt.Load()
	if startedAt == nil {
		return 0
	}
	return max(0, t.Sub(*startedAt))
}

// closeUnansweredReads closes connections on which the reply to a read was outstanding for longer
// than lostReplyTimeout when the state was requested, although the member runs no statement or is
// unreachable: the request or the reply was lost in transit. Writes are left alone, since a write
// that waits for a lock doesn't count as running.
func (l *lane) closeUnansweredReads(state egret.MemberState, requestedAt time.Time) {
	if state.RunningStatements > 0 {
		return
	}
	l.closeActiveIf(func(c *conn) bool {
		return c.runsRead && c.replyTimer.elapsed(requestedAt) > lostReplyTimeout
	})
}

// closeTerminated closes connections that the member has ended without this side having noticed:
// they await a reply, but the member no longer lists their mark locks. Each connection for
// statements holds one while it exists.
func (l *lane) closeTerminated(locks []member.Lock, requestedAt time.Time) {
	l.closeActiveIf(func(c *conn) bool {
		return c.replyTimer.elapsed(requestedAt) > 0 && !slices.ContainsFunc(locks, func(k member.Lock) bool {
			return k.ProcessID == c.memberConn.ProcessID()
		})
	})
}

func (l *lane) closeActiveIf(match func(c *conn) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.active {
		if match(c) {
			l.closeIdle(time.Time{}, closedSilent)
			c.memberConn.Close()
		}
	}
}
