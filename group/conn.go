package group

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/sched"
)

const (
	// maxPrepared bounds the prepared statements of one connection.
	maxPrepared = 64

	// checkPause is the time between two checks of a member that can't be reached.
	checkPause = 100 * time.Millisecond

	// maxCheckPause is the same after many failed checks.
	maxCheckPause = 500 * time.Millisecond

	// silentAfter is how long a statement runs before its member is checked. Most statements take a
	// small part of it.
	silentAfter = 300 * time.Millisecond

	// muteAfter is how long a member that takes connections may answer nothing before it has to
	// answer a start. It is above what a statement takes on a slow member.
	muteAfter = 800 * time.Millisecond
)

// conn is a connection to a member with the session state that it carries.
type conn struct {
	backend egret.BackendConn
	member  *member

	// values are set on the connection, ordered by name.
	values []egret.SessionValue

	// dirty says that values may differ from what is set on the connection.
	dirty bool

	// prepared are the names of the statements that the connection knows.
	prepared map[string]struct{}
}

// errOutdated says that the member may no longer run what it was chosen for.
const errOutdated = errors.ConstError("the member was replaced or left meanwhile")

// take returns a free connection of the member, or opens one. The statement that it is for holds a
// slot of the member. prefer are the values that the statement needs. The error's cause is errOutdated
// if the statement has to be given another member.
func (l *Lane) take(ctx context.Context, m *member, need sched.Need, prefer []egret.SessionValue) (*conn, error) {
	l.mu.Lock()
	m.reserved--
	if !l.mayRun(m, need) {
		l.mu.Unlock()
		return nil, errors.Trace(errOutdated)
	}
	if c := m.pop(prefer); c != nil {
		m.started[c] = clock.Now()
		l.mu.Unlock()
		return c, nil
	}
	m.open++
	b := m.backend
	l.mu.Unlock()
	c, err := l.connect(ctx, m, b)
	if err != nil {
		l.mu.Lock()
		m.open--
		l.mu.Unlock()
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		m.open--
		c.backend.Close()
		return nil, &egret.RefusedError{
			Fault: moved(),
		}
	}
	if !l.mayRun(m, need) {
		m.open--
		c.backend.Close()
		return nil, errors.Trace(errOutdated)
	}
	m.started[c] = clock.Now()
	return c, nil
}

// mayRun reports whether the member may still run a statement that it was chosen for. Once its
// connection is in started, a replacement of the primary waits for it or ends it. The caller holds mu.
func (l *Lane) mayRun(m *member, need sched.Need) bool {
	switch {
	case need == sched.NeedMember:
		return true
	case need == sched.NeedPrimary && m.backend.ID != l.primary:
		return false
	default:
		return l.usable(clock.Now(), m)
	}
}

// pop takes the free connection that has the values, else the one that was used last.
func (m *member) pop(prefer []egret.SessionValue) *conn {
	if len(m.idle) == 0 {
		return nil
	}
	best := len(m.idle) - 1
	for i, c := range m.idle {
		if !c.dirty && slices.Equal(c.values, prefer) {
			best = i
		}
	}
	c := m.idle[best]
	m.idle = slices.Delete(m.idle, best, best+1)
	return c
}

// connect opens a connection and notes what the member told.
func (l *Lane) connect(ctx context.Context, m *member, b egret.Backend) (*conn, error) {
	began := clock.Now()
	bc, err := l.Dialer.Dial(ctx, b)
	if err != nil {
		l.Trail.Event("connect-failed").Str("service", l.Service).Str("member", b.ID).
			Dur("elapsed", clock.Since(began)).Err(err).Msg("no connection to the member")
		return nil, err
	}
	if l.Counts != nil {
		l.Counts.Connected(b.ID)
	}
	l.mu.Lock()
	if trip := bc.RoundTrip(); m.view.Distance == 0 || trip < m.view.Distance {
		m.view.Distance = trip
	}
	l.mu.Unlock()
	l.answered(m, bc.Started())
	return &conn{
		backend:  bc,
		member:   m,
		prepared: map[string]struct{}{},
	}, nil
}

// give puts a connection back.
func (l *Lane) give(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := c.member
	delete(m.started, c)
	if l.ended || m.down || l.members[m.backend.ID] != m {
		m.open--
		c.backend.Close()
		return
	}
	m.idle = append(m.idle, c)
	l.dispatch()
}

// discard closes a connection that is of no more use.
func (l *Lane) discard(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.backend.Close()
	delete(c.member.started, c)
	c.member.open--
	l.dispatch()
}

// dropIdle closes the member's free connections. The caller holds mu.
func (l *Lane) dropIdle(m *member) {
	for _, c := range m.idle {
		c.backend.Close()
	}
	m.open -= len(m.idle)
	m.idle = nil
}

// setup returns the commands that make the connection fit for the statement. Inside a transaction
// values are only added, as clearing would end what the transaction has prepared.
func (c *conn) setup(w *egret.Work, inside bool) []egret.Command {
	commands := []egret.Command{}
	if !inside && (c.dirty || !covers(w.Values, c.values) || len(c.prepared) > maxPrepared) {
		commands = append(commands, egret.Command{
			Kind: egret.CommandReset,
		})
		c.values = nil
		c.dirty = false
		clear(c.prepared)
	}
	for _, v := range w.Values {
		if slices.Contains(c.values, v) {
			continue
		}
		commands = append(commands, egret.Command{
			Kind:     egret.CommandSet,
			Name:     v.Name,
			Argument: v.Value,
		})
		// A rollback may take back what was set inside a transaction.
		c.dirty = c.dirty || inside
	}
	c.values = slices.Clone(w.Values)
	if w.Query.Verb == egret.VerbExecute {
		name := preparedName(w.Prepared)
		if _, found := c.prepared[name]; !found {
			commands = append(commands, egret.Command{
				Kind:     egret.CommandPrepare,
				Name:     name,
				Argument: w.Prepared.Shape,
				Writes:   w.Prepared.Writes,
			})
			if inside {
				c.dirty = true
			}
			c.prepared[name] = struct{}{}
		}
	}
	return commands
}

// covers reports whether each name of have is among the names of want.
func covers(want, have []egret.SessionValue) bool {
	for _, h := range have {
		if !slices.ContainsFunc(want, func(v egret.SessionValue) bool { return v.Name == h.Name }) {
			return false
		}
	}
	return true
}

// preparedName is the same for the same definition, so that callers share it on a connection.
func preparedName(p egret.Prepared) string {
	prefix := "r"
	if p.Writes {
		prefix = "w"
	}
	return prefix + strconv.FormatUint(xxhash.Sum64String(p.Shape), 36)
}

// statement returns the command that passes the statement on.
func statement(w *egret.Work, floor egret.Position) egret.Command {
	c := egret.Command{
		Kind:  egret.CommandStatement,
		Query: w.Query,
		Floor: floor,
	}
	if w.Query.Verb == egret.VerbExecute {
		c.Name = preparedName(w.Prepared)
	}
	return c
}

// probeSilent checks members whose statements run for long. The caller holds mu.
func (l *Lane) probeSilent(now clock.Time) {
	for _, m := range l.members {
		for _, at := range m.started {
			if at != 0 && now.Sub(at) > silentAfter {
				m.unheard(at)
				l.check(m)
				break
			}
		}
	}
}

// unheard notes that what was sent at a time has no answer. The caller holds the lane's mu.
func (m *member) unheard(sent clock.Time) {
	if m.mute == 0 {
		m.mute = max(sent, m.heard)
	}
}

// check finds out in the background whether the member can be reached. The caller holds mu.
func (l *Lane) check(m *member) {
	if m.checking || l.ended {
		return
	}
	m.checking = true
	go l.checkMember(m, m.backend)
}

func (l *Lane) checkMember(m *member, b egret.Backend) {
	err := l.Dialer.Reachable(context.Background(), b)
	if err == nil {
		err = l.hear(m, b)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		if m.down {
			l.Trail.Event("member-reached").Str("service", l.Service).Str("member", b.ID).Int("failed-checks", m.downs).Msg("the member can be reached again")
		}
		m.down = false
		m.downs = 0
		time.AfterFunc(silentAfter, func() { l.checked(m) })
		l.dispatch()
		l.wake()
		return
	}
	m.downs++
	if !m.down {
		l.Trail.Event("member-lost").Str("service", l.Service).Str("member", b.ID).Str("address", b.Address.String()).Err(err).Msg("the member can't be reached")
	}
	m.down = true
	l.dropIdle(m)
	l.wake()
	pause := min(checkPause*time.Duration(m.downs), maxCheckPause)
	time.AfterFunc(pause, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		m.checking = false
		if l.members[b.ID] == m {
			l.check(m)
		}
	})
}

// hear asks a member that has been mute for too long for an answer. A port that takes connections may
// belong to a process that hangs, or to a forwarder whose process is gone.
func (l *Lane) hear(m *member, b egret.Backend) error {
	l.mu.Lock()
	mute := m.mute != 0 && clock.Since(m.mute) > muteAfter
	if mute {
		m.open++
	}
	l.mu.Unlock()
	if !mute {
		return nil
	}
	c, err := l.connect(context.Background(), m, b)
	if err == nil {
		l.give(c)
		return nil
	}
	l.mu.Lock()
	m.open--
	l.mu.Unlock()
	refused := &egret.RefusedError{}
	if errors.As(err, &refused) {
		l.answered(m, egret.Position{})
		return nil
	}
	return err
}

// checked allows the next check of the member.
func (l *Lane) checked(m *member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.checking = false
}
