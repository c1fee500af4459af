package lane

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"egretlane.example/egret"
	"egretlane.example/egret/member"
	"egretlane.example/egret/place"
)

const (
	// reconcileInterval is how often the lanes are compared with the live proxies and the tables.
	reconcileInterval = 100 * time.Millisecond

	// settleDelay is how long the live proxies and the tables must remain unchanged before lanes
	// are opened that no request has asked for. A proxy that has just started knows only a few
	// others and would otherwise open the lanes of all members.
	settleDelay = 300 * time.Millisecond

	// endReserve is how long before the end of its context Drain ends all batches, at most: a member has
	// cancelledReplyTimeout to answer, and the answer must reach the caller's proxy.
	endReserve = 2*cancelledReplyTimeout + 500*time.Millisecond

	// closeTimeout bounds the wait for the lanes' goroutines when Run ends.
	closeTimeout = 2 * time.Second
)

// Manager opens and closes the lanes of the members that are assigned to this proxy.
//
// It is ready once its fields are set and Run has begun. It implements egret.Lanes for its own
// lanes only, and egret.Positions for all groups.
type Manager struct {
	// Peers provides the live proxies and the tables. If it has a method Nodes() that lists all
	// known proxies, leaving proxies are told apart from dead ones by it.
	Peers egret.Peers

	// Control requests members' states. If it has a method Require, as member.Control has, waits
	// for floors occupy no slots.
	Control egret.MemberControl

	// Dialer opens connections for statements and slot locks.
	Dialer *member.Dialer

	// Leaving reports whether the platform has announced that a member leaves. It may be nil; the
	// tables and the state that the member reports are used in any case.
	Leaving func(member string) bool

	// Metrics counts what the lanes do.
	Metrics *Metrics

	// Log receives a line for each change of a lane's or member's state. It may be nil.
	Log *log.Logger

	// batches ends all batches when endBatches is called. Run sets both before there are lanes.
	batches    context.Context
	endBatches context.CancelFunc

	// mu guards the fields below.
	mu sync.Mutex

	// ctx ends the lanes. It is nil before Run.
	ctx context.Context

	// lanes has one lane for each member, by the member's name.
	lanes map[string]*lane

	// assignment is what the lanes were last matched with.
	assignment assignment

	// lookups finds the ends of groups' logs.
	lookups positionLookups

	// absences records since when proxies have been absent.
	absences absences

	// workers are the goroutines of the lanes.
	workers sync.WaitGroup
}

var (
	_ egret.Lanes     = (*Manager)(nil)
	_ egret.Positions = (*Manager)(nil)
)

// assignment is the state that decides which lanes a proxy holds.
type assignment struct {
	tables *egret.Tables
	live   []egret.Node

	// changed is when the tables or the live proxies last changed.
	changed time.Time

	// applied says that the missing lanes of this assignment have been opened, after settleDelay.
	applied bool
}

// Run opens and closes lanes until the context ends. Then it closes all connections.
func (m *Manager) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	m.batches, m.endBatches = context.WithCancel(context.Background())
	m.ctx = ctx
	m.lanes = map[string]*lane{}
	m.mu.Unlock()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	m.reconcile()
	for {
		select {
		case <-ticker.C:
			m.reconcile()
		case <-ctx.Done():
			cancel()
			m.close()
			return nil
		}
	}
}

// Begin implements egret.Lanes. It doesn't block; the first Exchange waits in the queue.
func (m *Manager) Begin(_ context.Context, o egret.TransactionOptions) (egret.Transaction, error) {
	l := m.lane(o.Member)
	if l == nil {
		return nil, notRun(egret.ReasonNoLane, "proxy %s does not hold the lane of member %s", m.Peers.Self().ID, o.Member)
	}
	return l.begin(o)
}

// Load implements egret.Lanes.
func (m *Manager) Load(_ context.Context, name string) (egret.Load, error) {
	l := m.lane(name)
	if l == nil {
		return egret.Load{}, errors.NotFoundf("lane of member %s", name)
	}
	return l.load(), nil
}

// Status returns the state of all lanes for operators, ordered by member.
func (m *Manager) Status() []Status {
	m.mu.Lock()
	lanes := m.sortedLanes()
	m.mu.Unlock()
	all := make([]Status, 0, len(lanes))
	for _, l := range lanes {
		all = append(all, l.status())
	}
	return all
}

// Drain waits until no lane is left. The proxy must have announced to its peers that it leaves, so
// that it is assigned no lanes. Shortly before ctx ends, it ends all batches, which are answered.
func (m *Manager) Drain(ctx context.Context) error {
	if deadline, bounded := ctx.Deadline(); bounded {
		left := time.Until(deadline)
		timer := time.AfterFunc(left-min(endReserve, left/2), m.end)
		defer timer.Stop()
	}
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		m.mu.Lock()
		left := len(m.lanes)
		m.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "%d lanes still open", left)
		}
	}
}

// end ends all batches.
func (m *Manager) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.endBatches != nil {
		m.endBatches()
	}
}

// lane returns the lane of the member, or nil if this proxy doesn't hold it. A lane that is
// assigned to this proxy but not open yet is opened.
func (m *Manager) lane(name string) *lane {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx == nil || m.ctx.Err() != nil {
		return nil
	}
	if l, found := m.lanes[name]; found {
		return l
	}
	s, found := settingsOf(m.Peers.TablesInForce(), name)
	if !found || !m.owns(m.Peers.Live(), s.member) {
		return nil
	}
	return m.openLane(s)
}

// reconcile applies changes to the live proxies and the tables, and removes lanes whose handover
// has finished.
func (m *Manager) reconcile() {
	tables := m.Peers.TablesInForce()
	live := m.Peers.Live()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.absences.known() {
		m.absences.removePresent(m.presentNodes())
	}
	now := time.Now()
	if tables != nil && !m.assignment.equal(tables, live) {
		m.assignment = assignment{
			tables:  tables,
			live:    live,
			changed: now,
		}
		m.applyAssignment()
	}
	if m.assignment.tables != nil && !m.assignment.applied && now.Sub(m.assignment.changed) >= settleDelay {
		m.assignment.applied = true
		m.applyAssignment()
	}
	for name, l := range m.lanes {
		if l.handoverFinished() {
			l.stop()
			delete(m.lanes, name)
			m.logChange(name, "lane handed over")
		}
	}
}

// equal reports whether the assignment was made from the same tables and live proxies. The nodes'
// addresses don't matter.
func (a *assignment) equal(tables *egret.Tables, live []egret.Node) bool {
	return a.tables == tables && slices.EqualFunc(a.live, live, func(x, y egret.Node) bool {
		return x.ID == y.ID && x.State == y.State
	})
}

// applyAssignment retains the lanes that are assigned to this proxy and starts the handover of the
// others. Missing lanes are opened once the assignment is marked as applied. The caller holds mu.
func (m *Manager) applyAssignment() {
	tables := m.assignment.tables
	owned := map[string]bool{}
	for _, s := range allSettings(tables) {
		if !m.owns(m.assignment.live, s.member) {
			continue
		}
		owned[s.member.Name] = true
		if l, found := m.lanes[s.member.Name]; found {
			l.retain(s)
			continue
		}
		if m.assignment.applied {
			m.openLane(s)
		}
	}
	for name, l := range m.lanes {
		if owned[name] {
			continue
		}
		if s, found := settingsOf(tables, name); found {
			l.configure(s)
		}
		l.startHandover()
	}
}

func (m *Manager) owns(live []egret.Node, target egret.Member) bool {
	owner, found := place.LaneHolder(live, target)
	return found && owner.ID == m.Peers.Self().ID
}

// openLane creates and starts a lane. The caller holds mu.
func (m *Manager) openLane(s settings) *lane {
	l := newLane(m, s)
	m.lanes[s.member.Name] = l
	l.start(&m.workers)
	m.logChange(s.member.Name, "lane opened")
	return l
}

// close stops all lanes and waits for their goroutines, for closeTimeout at most.
func (m *Manager) close() {
	m.mu.Lock()
	for _, l := range m.lanes {
		l.stop()
	}
	m.lanes = map[string]*lane{}
	m.mu.Unlock()
	done := make(chan struct{})
	go func() {
		m.workers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}

// sortedLanes returns the lanes ordered by member. The caller holds mu.
func (m *Manager) sortedLanes() []*lane {
	lanes := []*lane{}
	for _, l := range m.lanes {
		lanes = append(lanes, l)
	}
	slices.SortFunc(lanes, func(a, b *lane) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return lanes
}

func (m *Manager) logChange(name string, change string) {
	if m.Log != nil {
		m.Log.Info().Str("member", name).Msg(change)
	}
}
