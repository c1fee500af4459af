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

// Member is a member of a group. All state is guarded by the group's lock.
type Member struct {
	// Listen is where it takes connections.
	Listen netip.AddrPort

	// Domain is its failure domain.
	Domain string

	group *Group

	// trouble is what is wrong with it.
	trouble Trouble

	// id names the process. A successor has another.
	id string

	// successors counts the processes that have had the address.
	successors int

	running  bool
	draining bool
	born     time.Time
	listener net.Listener

	// primary is how the member sees itself, in its term.
	primary bool
	term    uint64

	// held is the term that a pause holds the member at, or 0.
	held uint64

	// log is what was received. The first applied entries are in state.
	log     []*Entry
	applied int
	state   map[string]string

	// arrivals has the times when the entries of the log arrived.
	arrivals []time.Time

	// reached is since when a superseded primary can reach the newer one.
	reached time.Time

	// busyUntil is the end of a roll-back.
	busyUntil time.Time

	// slots is filled by running statements.
	slots chan struct{}

	// connections has the open ones.
	connections map[net.Conn]bool
}

// Start listens, unless the member runs. A fresh member has a new ID; otherwise it is the process that
// crashed.
func (m *Member) Start(ctx context.Context, fresh bool) error {
	if m.runs() {
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
	if fresh || m.id == "" {
		m.successors++
		m.id = fmt.Sprintf("i-%s-%d-%d", g.Service, m.Listen.Port(), m.successors)
	}
	m.listener = l
	m.running = true
	m.draining = false
	m.born = time.Now()
	m.slots = make(chan struct{}, g.Slots)
	m.connections = map[net.Conn]bool{}
	if m.primary && m.term < g.term {
		m.demote()
	}
	go m.accept(ctx, l)
	return nil
}

func (m *Member) runs() bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.running
}

// Crash ends the process at once: its connections are reset, its log stays.
func (m *Member) Crash() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if !m.running {
		return
	}
	m.running = false
	m.held = 0
	_ = m.listener.Close()
	m.dropConnections()
}

// Erase removes the log of a replica that doesn't run, as if its disk was lost.
func (m *Member) Erase() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.running || m.primary {
		return
	}
	m.cut(0)
}

// Drain reports that the member is about to leave. It goes on until Crash.
func (m *Member) Drain() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.draining = true
}

// Trouble is what is wrong with a running member. The zero value is nothing.
type Trouble struct {
	// Isolated says that no other member reaches it, Deaf that it receives no entries of the log.
	Isolated, Deaf bool

	// LoseAnswers is the part of statements, from 0 to 1, that run and whose connection then ends.
	LoseAnswers float64

	// Fail is the part of statements, from 0 to 1, that fail.
	Fail float64

	// Slow is added to the work of each statement.
	Slow time.Duration
}

// Trouble sets what is wrong with a member.
func (g *Group) Trouble(m *Member, t Trouble) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.trouble = t
}

// troubled returns what is wrong with the member.
func (m *Member) troubled() Trouble {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.trouble
}

// dropConnections resets all connections. The caller holds the group's lock.
func (m *Member) dropConnections() {
	for c := range m.connections {
		if t, ok := c.(*net.TCPConn); ok {
			// An ordinary end would let data arrive that a crash loses.
			_ = t.SetLinger(0)
		}
		c.Close()
	}
	m.connections = map[net.Conn]bool{}
}

// Entry returns what the member says of itself, and its ID; nothing if it doesn't run.
func (m *Member) Entry(sequence int) (string, []byte) {
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
		"born":           m.born.UnixMilli(),
	})
	if err != nil {
		// Numbers and texts can always be encoded.
		panic(err)
	}
	return m.id, data
}

// ID names the process that runs, or ran last.
func (m *Member) ID() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.id
}

// Role returns how the member sees itself.
func (m *Member) Role() egret.Role {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.role()
}

// role returns how the member sees itself. The caller holds the group's lock.
func (m *Member) role() egret.Role {
	if m.primary {
		return egret.RolePrimary
	}
	return egret.RoleReplica
}

// position returns the end of what is applied. The caller holds the group's lock.
func (m *Member) position() egret.Position {
	return egret.Position{
		Term:   m.term,
		Offset: uint64(m.applied),
	}
}

// holds reports whether the first n entries of the log have a position. Positions past the start of a
// later term were rolled back. The caller holds the group's lock.
func (m *Member) holds(p egret.Position, n int) bool {
	if p.Offset > uint64(n) || p.Term > m.term {
		return false
	}
	for term, start := range m.group.starts {
		if term > p.Term && term <= m.term && start < p.Offset {
			return false
		}
	}
	return true
}

// demote makes the member a replica. The caller holds the group's lock.
func (m *Member) demote() {
	m.primary = false
	m.reached = time.Time{}
	m.dropConnections()
}

// receive takes the entries of a primary that have had the time to arrive. The caller holds the group's
// lock.
func (m *Member) receive(lead *Member, now time.Time) {
	common := min(len(m.log), len(lead.log))
	for common > 0 && m.log[common-1] != lead.log[common-1] {
		common--
	}
	if common < len(m.log) {
		m.cut(common)
		m.busyUntil = now.Add(rollbackTime)
	}
	m.term = lead.term
	for _, e := range lead.log[common:] {
		if now.Sub(e.at) < m.group.Transit {
			return
		}
		m.log = append(m.log, e)
		m.arrivals = append(m.arrivals, now)
	}
}

// cut drops the entries after the first n. The caller holds the group's lock.
func (m *Member) cut(n int) {
	m.log = append([]*Entry{}, m.log[:n]...)
	m.arrivals = append([]time.Time{}, m.arrivals[:n]...)
	if m.applied <= n {
		return
	}
	m.applied = 0
	m.state = map[string]string{}
	for m.applied < n {
		m.apply()
	}
}

// applyUntil applies what arrived long enough ago. The caller holds the group's lock.
func (m *Member) applyUntil(now time.Time) {
	for m.applied < len(m.log) && now.Sub(m.arrivals[m.applied]) >= m.group.Lag {
		m.apply()
	}
}

func (m *Member) applyAll() {
	for m.applied < len(m.log) {
		m.apply()
	}
}

func (m *Member) apply() {
	for _, w := range m.log[m.applied].Writes {
		m.state[w.Item] = w.Data
	}
	m.applied++
}

// commit adds an entry to the log of a primary. The caller holds the group's lock.
func (m *Member) commit(id string, writes []Write) (*Entry, egret.Position) {
	e := &Entry{
		ID:     id,
		Writes: writes,
		term:   m.term,
		at:     time.Now(),
	}
	m.log = append(m.log, e)
	m.arrivals = append(m.arrivals, e.at)
	m.applyAll()
	p := m.position()
	newest := true
	for _, o := range m.group.Members {
		newest = newest && (!o.primary || o.term <= m.term)
	}
	m.group.Witness.Committed(Commit{
		Service:    m.group.Service,
		Member:     m.id,
		ID:         id,
		Position:   p,
		Superseded: !newest,
	})
	return e, p
}
