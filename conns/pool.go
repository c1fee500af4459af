package conns

import (
	"slices"
	"time"

	"egretlane.example/egret/clock"
)

const (
	// demandWindow is the length of the two intervals of which the recent use of a workspace is the maximum. A workspace
	// that runs a few statements a minute on a service keeps its connection for that long while others have spare ones.
	demandWindow = 10 * time.Second

	// reserveDivisor sets which part of the connections is kept for workspaces that hold none, as in package fair.
	reserveDivisor = 4

	// refusalInterval is how long the pool stays at its size after the member refused a further connection. A member counts
	// the connections of a lost holder for some seconds.
	refusalInterval = 250 * time.Millisecond
)

// Availability says whether a statement of a workspace can get a connection.
type Availability int

// The availabilities.
const (
	// None: there is none now. The statement has to wait.
	None Availability = iota

	// Opens: a connection has to be opened, perhaps in place of an idle one of another workspace.
	Opens

	// Idle: there is an idle connection of the workspace, or the pool has no named workspaces.
	Idle
)

// Pool is the state of the connections to one member. It counts each statement that needs a connection from Assign on. It
// isn't safe for concurrent use.
type Pool[C any] struct {
	// Limit is the maximum number of connections.
	Limit int

	// Attempts is the maximum number of connections that are being opened at once, if there are named workspaces.
	Attempts int

	// refusedLimit bounds Limit until refusedUntil, after the member refused a connection.
	refusedLimit int
	refusedUntil clock.Time

	// idle has the idle connections, the least recently used one first.
	idle []idleConn[C]

	// shares holds the workspaces that have connections or recent use. named counts those with a name.
	shares map[string]*share
	named  int

	// total has the sums of all shares. missing counts the assigned statements beyond the idle connections of their
	// workspaces, which will open one.
	total   share
	missing int
}

// idleConn is an idle connection and the share of its workspace.
type idleConn[C any] struct {
	conn  C
	share *share
}

// share is what a workspace has of the connections.
type share struct {
	// idle, opening and inUse count connections by state, assigned the statements that have not called Acquire.
	idle, opening, inUse, assigned int

	// current and previous are the maxima of held in the interval with the number window and in the one before.
	current, previous int
	window            clock.Time
}

// held is how many connections the workspace uses or is about to use.
func (s *share) held() int {
	return s.assigned + s.opening + s.inUse
}

// recentUse returns the maximum of held in the last one to two intervals.
func (s *share) recentUse(now clock.Time) int {
	if window := now / clock.Time(demandWindow); window != s.window {
		s.previous = s.held()
		if window == s.window+1 {
			s.previous = max(s.previous, s.current)
		}
		s.current = s.held()
		s.window = window
	}
	s.current = max(s.current, s.held())
	return max(s.current, s.previous)
}

// missing returns how many of the workspace's assigned statements find no idle connection.
func (s *share) missing() int {
	return max(0, s.assigned-s.idle)
}

// Choice says how a statement gets its connection.
type Choice[C any] struct {
	// Conn is the idle connection that the statement takes, if Found is set. Otherwise it has to open one, and report the
	// result with Opened or Failed.
	Conn  C
	Found bool

	// Close is the idle connection of another workspace that has to be closed, if Closes is set.
	Close  C
	Closes bool
}

// Counts are the numbers of connections by state.
type Counts struct {
	Idle, Opening, InUse int
}

// Counts returns the numbers of connections by state.
func (p *Pool[C]) Counts() Counts {
	return Counts{
		Idle:    p.total.idle,
		Opening: p.total.opening,
		InUse:   p.total.inUse,
	}
}

// Shared reports whether the pool has a named workspace.
func (p *Pool[C]) Shared() bool {
	return p.named > 0
}

// Resize sets Limit and Attempts. Limit is lower after a refusal.
func (p *Pool[C]) Resize(now clock.Time, limit, attempts int) {
	p.Limit, p.Attempts = limit, attempts
	if now < p.refusedUntil {
		p.Limit = min(limit, p.refusedLimit)
	}
}

// Refused records that the member accepts no more connections than there are, after Failed. It returns false if there are
// none to take or to replace, or no named workspaces. Then the limit stays, and the member has to be tried again.
func (p *Pool[C]) Refused(now clock.Time) bool {
	if !p.Shared() || p.size() == 0 {
		return false
	}
	p.refusedLimit, p.refusedUntil = p.size(), now.Add(refusalInterval)
	p.Limit = min(p.Limit, p.refusedLimit)
	return true
}

// Free returns how many more statements can get a connection.
func (p *Pool[C]) Free() int {
	return p.total.idle + max(0, p.Limit-p.size()) - p.total.assigned
}

// size returns the number of connections, with those being opened.
func (p *Pool[C]) size() int {
	return p.total.idle + p.total.opening + p.total.inUse
}

// Available reports whether a statement of the workspace can get a connection. A workspace that holds connections leaves a
// part of them to those that hold none, and no more than Attempts connections are opened at once.
func (p *Pool[C]) Available(workspace string) Availability {
	if p.Free() <= 0 {
		return None
	}
	if !p.Shared() {
		return Idle
	}
	s := p.shares[workspace]
	switch {
	case p.Excluded(workspace):
		return None
	case s != nil && s.idle > s.assigned:
		return Idle
	case p.total.opening+p.missing >= max(1, p.Attempts):
		return None
	default:
		return Opens
	}
}

// Reserved reports whether only workspaces that hold no connections can get one.
func (p *Pool[C]) Reserved() bool {
	return p.Shared() && p.Limit-p.total.held() <= p.Limit/reserveDivisor
}

// Excluded reports whether the workspace can get no connection because it holds some and the others are reserved.
func (p *Pool[C]) Excluded(workspace string) bool {
	s := p.shares[workspace]
	return s != nil && s.held() > 0 && p.Reserved()
}

// Assign records that a statement of the workspace will call Acquire or Unassign.
func (p *Pool[C]) Assign(now clock.Time, workspace string) {
	s := p.share(workspace)
	p.change(s, share{assigned: 1})
	s.recentUse(now)
}

// Unassign undoes Assign.
func (p *Pool[C]) Unassign(workspace string) {
	p.change(p.share(workspace), share{assigned: -1})
}

// Acquire returns how an assigned statement gets its connection: the most recently used idle one of its workspace of those
// that are preferred, or else of all. If there is none, a new one has to be opened. It replaces an idle one of another
// workspace if the pool is full.
func (p *Pool[C]) Acquire(now clock.Time, workspace string, preferred func(c C) bool) Choice[C] {
	s := p.share(workspace)
	p.change(s, share{assigned: -1})
	c := Choice[C]{}
	if i := p.findIdle(s, preferred); i >= 0 {
		c.Conn, c.Found = p.removeIdle(i), true
		p.change(s, share{inUse: 1})
		return c
	}
	if p.size() >= p.Limit {
		if i := p.leastNeeded(now); i >= 0 {
			c.Close, c.Closes = p.removeIdle(i), true
		}
	}
	p.change(s, share{opening: 1})
	return c
}

// findIdle returns the index of the idle connection that the workspace takes, or -1.
func (p *Pool[C]) findIdle(s *share, preferred func(c C) bool) int {
	if s.idle == 0 {
		return -1
	}
	found := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].share != s {
			continue
		}
		if preferred == nil || preferred(p.idle[i].conn) {
			return i
		}
		if found < 0 {
			found = i
		}
	}
	return found
}

// leastNeeded returns the index of the idle connection that is closed for another workspace, or -1: one of the workspace
// with the most connections above its recent use, and of several the least recently used. Connections that assigned
// statements will take are closed last.
func (p *Pool[C]) leastNeeded(now clock.Time) int {
	best, bestSpare := -1, 0
	for i, e := range p.idle {
		s := e.share
		spare := s.idle + s.held() - s.recentUse(now)
		if s.idle <= s.assigned {
			spare = -1
		}
		if best < 0 || spare > bestSpare {
			best, bestSpare = i, spare
		}
	}
	return best
}

// Open records that a connection is being opened without an assigned statement.
func (p *Pool[C]) Open(workspace string) {
	p.change(p.share(workspace), share{opening: 1})
}

// Opened records that a connection was opened and is in use.
func (p *Pool[C]) Opened(workspace string) {
	p.change(p.share(workspace), share{opening: -1, inUse: 1})
}

// Failed records that a connection was not opened.
func (p *Pool[C]) Failed(workspace string) {
	p.change(p.share(workspace), share{opening: -1})
}

// Put makes a connection in use idle.
func (p *Pool[C]) Put(workspace string, c C) {
	s := p.share(workspace)
	p.idle = append(p.idle, idleConn[C]{
		conn:  c,
		share: s,
	})
	p.change(s, share{inUse: -1, idle: 1})
}

// Drop records that a connection in use was closed.
func (p *Pool[C]) Drop(workspace string) {
	p.change(p.share(workspace), share{inUse: -1})
}

// RemoveIdle removes and returns all idle connections.
func (p *Pool[C]) RemoveIdle() []C {
	removed := []C{}
	for len(p.idle) > 0 {
		removed = append(removed, p.removeIdle(len(p.idle)-1))
	}
	return removed
}

// Tidy forgets the workspaces without connections and recent use.
func (p *Pool[C]) Tidy(now clock.Time) {
	for workspace, s := range p.shares {
		if s.idle == 0 && s.recentUse(now) == 0 {
			delete(p.shares, workspace)
			if workspace != "" {
				p.named--
			}
		}
	}
}

// share returns the share of the workspace, which it adds if there is none.
func (p *Pool[C]) share(workspace string) *share {
	s := p.shares[workspace]
	if s == nil {
		s = &share{}
		if p.shares == nil {
			p.shares = map[string]*share{}
		}
		p.shares[workspace] = s
		if workspace != "" {
			p.named++
		}
	}
	return s
}

// change adds the counts of by to the share and to the total.
func (p *Pool[C]) change(s *share, by share) {
	p.missing -= s.missing()
	for _, to := range []*share{s, &p.total} {
		to.idle += by.idle
		to.opening += by.opening
		to.inUse += by.inUse
		to.assigned += by.assigned
	}
	p.missing += s.missing()
}

// removeIdle removes and returns an idle connection.
func (p *Pool[C]) removeIdle(i int) C {
	e := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.change(e.share, share{idle: -1})
	return e.conn
}
