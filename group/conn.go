package group

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/conns"
	"egretlane.example/egret/sched"
)

const (
	// checkDelayStep is the delay between the first two checks of an unreachable member. Each further failed check adds
	// it again, up to maxCheckDelay.
	checkDelayStep = 100 * time.Millisecond

	// maxCheckDelay bounds the delay between two checks of an unreachable member.
	maxCheckDelay = 500 * time.Millisecond

	// statementCheckDelay is how long a statement runs before its member is checked, and the least delay between
	// two checks of a reachable member. Most statements take a small part of it.
	statementCheckDelay = 300 * time.Millisecond

	// unresponsiveTimeout is how long a member that accepts connections may send no answer before a check requires
	// it to complete the handshake of a new connection. It is above the time of a statement on a slow member.
	unresponsiveTimeout = 800 * time.Millisecond

	// initialConnectTime is the expected time to open a connection before the first was opened, maxConnectTime the most that
	// one attempt counts for, and connectTimeWeight the divisor of the moving average.
	initialConnectTime = 10 * time.Millisecond
	maxConnectTime     = 200 * time.Millisecond
	connectTimeWeight  = 8

	// attemptDivisor sets which part of a member's slots is used to open connections, if there are several workspaces. The
	// others are left to statements.
	attemptDivisor = 2

	// maxTransitFactor bounds by how many times more connections are opened at once because of the round trip.
	maxTransitFactor = 3
)

// conn is a connection to a member, with the session state that was set on it.
type conn struct {
	backend egret.BackendConn
	member  *member

	// workspace is the workspace that the member was told, the only one whose statements may run on the connection. It may
	// be empty.
	workspace string

	// acquired is when the statement or transaction that uses the connection got it. transaction says that it is counted in
	// member.transactions.
	acquired    clock.Time
	transaction bool

	// values are the session values set on the connection, ordered by name.
	values []egret.SessionValue

	// dirty is set if the session values or prepared statements on the member may differ from values and prepared.
	dirty bool

	// prepared are the statements that are prepared on the connection.
	prepared preparedStatements
}

// purpose says which connection a statement or a command needs.
type purpose struct {
	// need says which members may run the statement.
	need sched.Need

	// workspace is that of the statement, or empty. Status requests and demotions have none.
	workspace string

	// values are the session values. A connection that has them is preferred.
	values []egret.SessionValue
}

// errIneligible is returned if the member may no longer run the statement that it was chosen for.
const errIneligible = errors.ConstError("the member was replaced as primary or is leaving, and may not run the statement")

// getConn returns an idle connection of the member, or opens one. The caller holds a slot of the member, or needs the
// connection for a status request or a demotion. It was assigned to the member's connections. An idle connection of the
// workspace that has the session values is preferred. The error's cause is errIneligible if the statement has to run on
// another member.
func (l *Lane) getConn(ctx context.Context, m *member, p purpose) (*conn, error) {
	l.mu.Lock()
	if !l.mayRun(m, p.need) {
		m.conns.Unassign(p.workspace)
		l.mu.Unlock()
		return nil, errors.Trace(errIneligible)
	}
	choice := m.conns.Acquire(clock.Now(), p.workspace, func(c *conn) bool {
		return !c.dirty && slices.Equal(c.values, p.values)
	})
	if choice.Found {
		m.inUse[choice.Conn] = clock.Now()
		l.mu.Unlock()
		return choice.Conn, nil
	}
	if choice.Closes {
		l.closeDisplaced(choice.Close)
	}
	b := m.backend
	l.mu.Unlock()
	c, err := l.connect(ctx, m, b, p.workspace)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		m.conns.Failed(p.workspace)
		if m.conns.Shared() {
			l.dispatch()
		}
		return nil, err
	}
	if l.closed {
		m.conns.Failed(p.workspace)
		c.backend.Close()
		return nil, &egret.RefusedError{
			Fault: notHolderFault(),
		}
	}
	if !l.mayRun(m, p.need) {
		m.conns.Failed(p.workspace)
		c.backend.Close()
		return nil, errors.Trace(errIneligible)
	}
	m.conns.Opened(p.workspace)
	m.inUse[c] = clock.Now()
	if m.conns.Shared() {
		// The next connection may be opened.
		l.dispatch()
	}
	return c, nil
}

// closeDisplaced closes an idle connection to make room for one of another workspace. The caller holds mu.
func (l *Lane) closeDisplaced(c *conn) {
	if l.Metrics != nil {
		l.Metrics.CountDisplacedConnection(c.member.id)
	}
	c.backend.Close()
}

// mayRun reports whether the member may still run a statement that it was chosen for. Once the statement's
// connection is in member.inUse, a replacement of the primary waits for the connection or closes it. The caller
// holds mu.
func (l *Lane) mayRun(m *member, need sched.Need) bool {
	switch {
	case need == sched.NeedMember:
		return true
	case need == sched.NeedPrimary && m.id != l.primary:
		return false
	default:
		return l.usable(clock.Now(), m)
	}
}

// connect opens a connection of the workspace, and records the round-trip time and the position that the member reported.
func (l *Lane) connect(ctx context.Context, m *member, b egret.Backend, workspace string) (*conn, error) {
	began := clock.Now()
	bc, err := l.Dialer.Dial(ctx, b, workspace)
	if err != nil {
		l.EventLog.Event("connect-failed").Str("service", l.Service).Str("member", b.ID).
			Dur("elapsed", clock.Since(began)).Err(err).Msg("could not connect to the member")
		return nil, err
	}
	if l.Metrics != nil {
		l.Metrics.CountConnection(b.ID)
	}
	l.mu.Lock()
	m.connectTime += (min(clock.Since(began), maxConnectTime) - m.connectTime) / connectTimeWeight
	if roundTrip := bc.RoundTrip(); m.view.RoundTrip == 0 || roundTrip < m.view.RoundTrip {
		m.view.RoundTrip = roundTrip
	}
	l.mu.Unlock()
	l.noteAnswer(m, bc.InitialPosition())
	return &conn{
		backend:   bc,
		member:    m,
		workspace: workspace,
	}, nil
}

// putConn returns a connection to its member's idle ones, or closes it if the member is gone or unreachable or the
// lane is closed.
func (l *Lane) putConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := c.member
	delete(m.inUse, c)
	c.endTransaction()
	if l.closed || m.unreachable || l.members[m.id] != m {
		m.conns.Drop(c.workspace)
		c.backend.Close()
		return
	}
	m.conns.Put(c.workspace, c)
	l.dispatch()
}

// discardConn closes a connection that can't be used again.
func (l *Lane) discardConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.backend.Close()
	delete(c.member.inUse, c)
	c.endTransaction()
	c.member.conns.Drop(c.workspace)
	l.dispatch()
}

// closeIdle closes the member's idle connections. The caller holds mu.
func (l *Lane) closeIdle(m *member) {
	for _, c := range m.conns.RemoveIdle() {
		c.backend.Close()
	}
}

// reportConnections tells Metrics the changes of the numbers of connections. The caller holds mu.
func (l *Lane) reportConnections() {
	if l.Metrics == nil {
		return
	}
	now := conns.Counts{}
	for _, m := range l.members {
		if l.closed {
			break
		}
		c := m.conns.Counts()
		now.Idle += c.Idle
		now.Opening += c.Opening
		now.InUse += c.InUse
	}
	if now != l.reported {
		l.Metrics.ChangeConnections(conns.Counts{
			Idle:    now.Idle - l.reported.Idle,
			Opening: now.Opening - l.reported.Opening,
			InUse:   now.InUse - l.reported.InUse,
		})
		l.reported = now
	}
}

// statementCommands returns the commands that set the connection up for the statement, and the one that runs it on a member whose
// log has reached the floor. It updates the connection's state as if they had run.
func (c *conn) statementCommands(w *egret.StatementRequest, inTransaction bool, floor egret.Position) []egret.Command {
	commands, name := c.setupCommands(w, inTransaction)
	return append(commands, egret.Command{
		Kind:  egret.CommandStatement,
		Query: w.Query,
		Name:  name,
		Floor: floor,
	})
}

// setupCommands returns the commands that have to run on the connection before the statement, and updates the
// connection's state as if they had run. If the statement executes a prepared one, it also returns the name of that on the
// connection. Inside a transaction, values are only added: a reset would drop the statements that the transaction has prepared.
func (c *conn) setupCommands(w *egret.StatementRequest, inTransaction bool) ([]egret.Command, string) {
	commands := []egret.Command{}
	if !inTransaction && (c.dirty || !covers(w.Values, c.values) || c.prepared.len() > maxPreparedStatements) {
		commands = append(commands, egret.Command{
			Kind: egret.CommandReset,
		})
		c.values = nil
		c.dirty = false
		c.prepared.clear()
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
		// A rollback may undo values that were set inside a transaction.
		c.dirty = c.dirty || inTransaction
	}
	c.values = slices.Clone(w.Values)
	if w.Query.Verb != egret.VerbExecute {
		return commands, ""
	}
	key := keyOf(w.Prepared)
	name := c.prepared.name(key)
	if name == "" {
		if c.prepared.len() > maxPreparedStatements {
			// The transaction keeps the connection from being reset.
			commands = append(commands, c.closeStatements()...)
		}
		name = c.prepared.add(key)
		commands = append(commands, egret.Command{
			Kind:     egret.CommandPrepare,
			Name:     name,
			Argument: w.Prepared.Text,
			Writes:   w.Prepared.Writes,
		})
		c.dirty = c.dirty || inTransaction
	}
	return commands, name
}

// closeStatements returns the commands that close all prepared statements of the connection.
func (c *conn) closeStatements() []egret.Command {
	commands := []egret.Command{}
	for _, name := range slices.Sorted(maps.Values(c.prepared.names)) {
		commands = append(commands, egret.Command{
			Kind: egret.CommandClose,
			Name: name,
		})
	}
	c.prepared.clear()
	return commands
}

// covers reports whether want has a value for each name in have.
func covers(want, have []egret.SessionValue) bool {
	for _, h := range have {
		if !slices.ContainsFunc(want, func(v egret.SessionValue) bool { return v.Name == h.Name }) {
			return false
		}
	}
	return true
}

// checkSlowStatements starts a check of each member with a statement that has run for longer than
// statementCheckDelay. The caller holds mu.
func (l *Lane) checkSlowStatements(now clock.Time) {
	for _, m := range l.members {
		for _, at := range m.inUse {
			if at != 0 && now.Sub(at) > statementCheckDelay {
				m.noteUnanswered(at)
				l.startCheck(m)
				break
			}
		}
	}
}

// noteUnanswered records that a request sent at the given time has no answer. The caller holds the lane's mu.
func (m *member) noteUnanswered(sent clock.Time) {
	if m.unansweredSince == 0 {
		m.unansweredSince = max(sent, m.lastAnswer)
	}
}

// startCheck checks in the background whether the member can be reached, unless a check is under way. The caller
// holds mu.
func (l *Lane) startCheck(m *member) {
	if m.checking || l.closed {
		return
	}
	m.checking = true
	go l.runCheck(m, m.backend)
}

// runCheck marks the member as reachable or unreachable, and schedules the next check of an unreachable one.
func (l *Lane) runCheck(m *member, b egret.Backend) {
	err := l.Dialer.Reachable(context.Background(), b)
	if err == nil {
		err = l.checkResponsive(m, b)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		if m.unreachable {
			l.EventLog.Event("member-reached").Str("service", l.Service).Str("member", b.ID).Int("failed-checks", m.failedChecks).Msg("the member is reachable again")
		}
		m.unreachable = false
		m.failedChecks = 0
		time.AfterFunc(statementCheckDelay, func() { l.allowCheck(m) })
		l.dispatch()
		l.wake()
		return
	}
	m.failedChecks++
	if !m.unreachable {
		l.EventLog.Event("member-lost").Str("service", l.Service).Str("member", b.ID).Str("address", b.Address.String()).Err(err).Msg("the member is unreachable")
	}
	m.unreachable = true
	l.closeIdle(m)
	l.wake()
	delay := min(checkDelayStep*time.Duration(m.failedChecks), maxCheckDelay)
	time.AfterFunc(delay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		m.checking = false
		if l.members[b.ID] == m {
			l.startCheck(m)
		}
	})
}

// checkResponsive opens a connection to a member that has left requests unanswered for longer than
// unresponsiveTimeout, and returns an error if the member does not answer the handshake either. A port that accepts
// connections may belong to a process that hangs, or to a port forwarder whose target process is gone.
func (l *Lane) checkResponsive(m *member, b egret.Backend) error {
	l.mu.Lock()
	unresponsive := m.unansweredSince != 0 && clock.Since(m.unansweredSince) > unresponsiveTimeout
	if unresponsive {
		m.conns.Open("")
	}
	l.mu.Unlock()
	if !unresponsive {
		return nil
	}
	c, err := l.connect(context.Background(), m, b, "")
	l.mu.Lock()
	if err == nil {
		m.conns.Opened("")
	} else {
		m.conns.Failed("")
	}
	l.mu.Unlock()
	if err == nil {
		l.putConn(c)
		return nil
	}
	refused := &egret.RefusedError{}
	if errors.As(err, &refused) {
		l.noteAnswer(m, egret.Position{})
		return nil
	}
	return err
}

// allowCheck lets startCheck check the member again.
func (l *Lane) allowCheck(m *member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.checking = false
}
