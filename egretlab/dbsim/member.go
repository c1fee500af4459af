package dbsim

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// Member is a member of a group. All its state is guarded by the group's lock.
type Member struct {
	// Listen is the address at which it accepts connections.
	Listen netip.AddrPort

	// Domain is its failure domain.
	Domain string

	group *Group

	// faults are the injected faults.
	faults Faults

	// id is the ID of the process. A new process at the same address has another.
	id string

	// processes is the number of processes with different IDs that have run at the address.
	processes int

	running   bool
	draining  bool
	startedAt time.Time
	listener  net.Listener

	// isPrimary and term are the member's own view, which may be out of date.
	isPrimary bool
	term      uint64

	// pausedTerm is the term of the PAUSE that stops the member from receiving log entries, or 0.
	pausedTerm uint64

	// log has the entries that were received or committed. The first applied of them are in state.
	log     []*Entry
	applied int
	state   map[string]string

	// arrivedAt has the time of arrival of each entry in log.
	arrivedAt []time.Time

	// newerReachableSince is since when a superseded primary has been able to reach the later one. It is
	// zero for other members.
	newerReachableSince time.Time

	// busyUntil is the end of the last roll-back.
	busyUntil time.Time

	// slots has one value for each statement or connection set-up in progress.
	slots chan struct{}

	// connections has the open connections.
	connections map[net.Conn]bool
}

// Start starts the member unless it runs. A new process gets a new ID; otherwise the member keeps the ID
// of the process that crashed.
func (m *Member) Start(ctx context.Context, newProcess bool) error {
	if m.isRunning() {
		return nil
	}
	c := net.ListenConfig{}
	l, err := c.Listen(ctx, "tcp", m.Listen.String())
	if err != nil {
		return errors.Annotatef(err, "member at %s", m.Listen)
	}
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if newProcess || m.id == "" {
		m.processes++
		m.id = fmt.Sprintf("i-%s-%d-%d", g.Service, m.Listen.Port(), m.processes)
	}
	m.listener = l
	m.running = true
	m.draining = false
	m.startedAt = time.Now()
	m.slots = make(chan struct{}, g.Slots)
	m.connections = map[net.Conn]bool{}
	if m.isPrimary && m.term < g.term {
		m.demote()
	}
	go m.accept(ctx, l)
	return nil
}

func (m *Member) isRunning() bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.running
}

// Crash stops the member at once. Its connections are reset; its log stays.
func (m *Member) Crash() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if !m.running {
		return
	}
	m.running = false
	m.pausedTerm = 0
	_ = m.listener.Close()
	m.dropConnections()
}

// EraseLog drops the log of a replica that doesn't run, as if its disk were lost.
func (m *Member) EraseLog() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.running || m.isPrimary {
		return
	}
	m.truncate(0)
}

// Drain makes the member report that it is about to leave. It continues to serve until Crash.
func (m *Member) Drain() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.draining = true
}

// Faults has the faults that are injected into a member. The zero value has none.
type Faults struct {
	// Isolated says that the member and the other members can't reach each other.
	Isolated bool

	// ReplicationStopped says that the member receives no log entries.
	ReplicationStopped bool

	// LostAnswerRate is the probability, from 0 to 1, that the connection is closed after a statement has run,
	// without an answer. Statements with the ID "-" are exempt.
	LostAnswerRate float64

	// FailureRate is the probability, from 0 to 1, that a statement fails without effect.
	FailureRate float64

	// ExtraTime is added to the time that each statement takes.
	ExtraTime time.Duration
}

// SetFaults replaces the faults that are injected into a member.
func (g *Group) SetFaults(m *Member, faults Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.faults = faults
}

// currentFaults returns the faults that are injected into the member.
func (m *Member) currentFaults() Faults {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.faults
}

// dropConnections resets all connections. The caller holds the group's lock.
func (m *Member) dropConnections() {
	for c := range m.connections {
		if t, ok := c.(*net.TCPConn); ok {
			// Without it, data still in the send buffer would be delivered, which a crash loses.
			_ = t.SetLinger(0)
		}
		c.Close()
	}
	m.connections = map[net.Conn]bool{}
}

// Registration returns the member's ID and the JSON of its registration in the platform's store. It returns ""
// and nil if the member doesn't run.
func (m *Member) Registration(sequence int) (string, []byte) {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.running {
		return "", nil
	}
	role, state := m.role(), "ready"
	if m.draining {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"service":        g.Service,
		"address":        m.Listen.String(),
		"zone":           m.Domain,
		"version":        "1",
		"capacity":       g.Slots,
		"state":          state,
		"warmup_left_ms": 0,
		"sequence":       sequence,
		"db_role":        role,
		"born":           m.startedAt.UnixMilli(),
	})
	if err != nil {
		// A map of numbers and strings can always be encoded.
		panic(err)
	}
	return m.id, data
}

// ID returns the ID of the process that runs, or ran last.
func (m *Member) ID() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.id
}

// Role returns the role that the member believes it has.
func (m *Member) Role() egret.Role {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.role()
}

// role returns the role that the member believes it has. The caller holds the group's lock.
func (m *Member) role() egret.Role {
	if m.isPrimary {
		return egret.RolePrimary
	}
	return egret.RoleReplica
}

// position returns the position of the last applied entry. The caller holds the group's lock.
func (m *Member) position() egret.Position {
	return egret.Position{
		Term:   m.term,
		Offset: uint64(m.applied),
	}
}

// hasPosition reports whether the first n entries of the log include a position. A position past the
// start of a later term was rolled back. The caller holds the group's lock.
func (m *Member) hasPosition(p egret.Position, n int) bool {
	if p.Offset > uint64(n) || p.Term > m.term {
		return false
	}
	for term, start := range m.group.termStarts {
		if term > p.Term && term <= m.term && start < p.Offset {
			return false
		}
	}
	return true
}

// demote makes the member a replica and resets its connections. The caller holds the group's lock.
func (m *Member) demote() {
	m.isPrimary = false
	m.newerReachableSince = time.Time{}
	m.dropConnections()
}

// receive appends the primary's entries that have had the time to arrive. Entries that the primary's log
// doesn't have are rolled back first. The caller holds the group's lock.
func (m *Member) receive(primary *Member, now time.Time) {
	common := min(len(m.log), len(primary.log))
	for common > 0 && m.log[common-1] != primary.log[common-1] {
		common--
	}
	if common < len(m.log) {
		m.truncate(common)
		m.busyUntil = now.Add(rollbackDuration)
	}
	m.term = primary.term
	for _, e := range primary.log[common:] {
		if now.Sub(e.committedAt) < m.group.ReplicationDelay {
			return
		}
		m.log = append(m.log, e)
		m.arrivedAt = append(m.arrivedAt, now)
	}
}

// truncate drops the log entries after the first n, and rebuilds the state if some of them were applied.
// The caller holds the group's lock.
func (m *Member) truncate(n int) {
	m.log = append([]*Entry{}, m.log[:n]...)
	m.arrivedAt = append([]time.Time{}, m.arrivedAt[:n]...)
	if m.applied <= n {
		return
	}
	m.applied = 0
	m.state = map[string]string{}
	for m.applied < n {
		m.apply()
	}
}

// applyDue applies the entries that arrived at least the apply delay ago. The caller holds the group's lock.
func (m *Member) applyDue(now time.Time) {
	for m.applied < len(m.log) && now.Sub(m.arrivedAt[m.applied]) >= m.group.ApplyDelay {
		m.apply()
	}
}

// applyAll applies all entries that were received. The caller holds the group's lock.
func (m *Member) applyAll() {
	for m.applied < len(m.log) {
		m.apply()
	}
}

// apply applies the next entry. The caller holds the group's lock.
func (m *Member) apply() {
	for _, w := range m.log[m.applied].Writes {
		m.state[w.Item] = w.Data
	}
	m.applied++
}

// commit appends an entry to the log of a primary and applies it. The caller holds the group's lock.
func (m *Member) commit(id string, writes []Write) (*Entry, egret.Position) {
	e := &Entry{
		ID:          id,
		Writes:      writes,
		term:        m.term,
		committedAt: time.Now(),
	}
	m.log = append(m.log, e)
	m.arrivedAt = append(m.arrivedAt, e.committedAt)
	m.applyAll()
	p := m.position()
	latest := true
	for _, o := range m.group.Members {
		latest = latest && (!o.isPrimary || o.term <= m.term)
	}
	m.group.Observer.Committed(Commit{
		Service:    m.group.Service,
		Member:     m.id,
		ID:         id,
		Position:   p,
		Superseded: !latest,
	})
	return e, p
}
