package lane

import (
	"slices"
	"sync/atomic"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/member"
)

// silentWait is how long an answer must have been awaited before the member is believed that it
// doesn't come.
const silentWait = 750 * time.Millisecond

// silence measures how long an answer is awaited. The zero silence is not awaiting any.
type silence struct {
	// since is when the wait began, or nil.
	since atomic.Pointer[time.Time]
}

func (s *silence) begin() {
	now := time.Now()
	s.since.Store(&now)
}

func (s *silence) end() {
	s.since.Store(nil)
}

// at returns how long the wait had lasted at a time. It is zero if there was none.
func (s *silence) at(t time.Time) time.Duration {
	since := s.since.Load()
	if since == nil {
		return 0
	}
	return max(0, t.Sub(*since))
}

// cutSilentReads ends connections whose statement got no answer although the member, asked long
// after, runs none or gives no answer: the request or the answer was lost on the way. Writes are left
// alone, since one that waits for a lock doesn't count as running.
func (l *lane) cutSilentReads(state egret.MemberState, asked time.Time) {
	if state.Running > 0 {
		return
	}
	l.cutIf(func(c *conn) bool {
		return c.reads && c.silence.at(asked) > silentWait
	})
}

// cutLost ends connections that the member has ended without this side having noticed: their marks
// are gone.
func (l *lane) cutLost(locks []member.Lock, asked time.Time) {
	l.cutIf(func(c *conn) bool {
		return c.silence.at(asked) > 0 && !slices.ContainsFunc(locks, func(k member.Lock) bool {
			return k.Process == c.wire.Process()
		})
	})
}

func (l *lane) cutIf(lost func(c *conn) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.active {
		if lost(c) {
			l.dropIdle(time.Time{}, closedSilent)
			c.wire.Close()
		}
	}
}
