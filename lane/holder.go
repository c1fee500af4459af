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

	// absences records which proxies have been absent for long.
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
func (h *Manager) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	h.mu.Lock()
	h.ctx = ctx
	h.lanes = map[string]*lane{}
	h.mu.Unlock()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	h.reconcile()
	for {
		select {
		case <-ticker.C:
			h.reconcile()
		case <-ctx.Done():
			cancel()
			h.close()
			return nil
		}
	}
}

// Begin implements egret.Lanes. It doesn't block; the first Exchange waits in the queue.
func (h *Manager) Begin(_ context.Context, o egret.TransactionOptions) (egret.Transaction, error) {
	l := h.lane(o.Member)
	if l == nil {
		return nil, notRun(egret.ReasonNoLane, "proxy %s does not hold the lane of member %s", h.Peers.Self().ID, o.Member)
	}
	return l.begin(o)
}

// Load implements egret.Lanes.
func (h *Manager) Load(_ context.Context, name string) (egret.Load, error) {
	l := h.lane(name)
	if l == nil {
		return egret.Load{}, errors.NotFoundf("lane of member %s", name)
	}
	return l.load(), nil
}

// Status returns the state of all lanes for operators, ordered by member.
func (h *Manager) Status() []Status {
	h.mu.Lock()
	lanes := h.sortedLanes()
	h.mu.Unlock()
	all := make([]Status, 0, len(lanes))
	for _, l := range lanes {
		all = append(all, l.status())
	}
	return all
}

// Drain waits until no lane is left. The proxy must have announced to its peers that it leaves, so
// that it is assigned no lanes.
func (h *Manager) Drain(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		h.mu.Lock()
		left := len(h.lanes)
		h.mu.Unlock()
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

// lane returns the lane of the member, or nil if this proxy doesn't hold it. A lane that is
// assigned to this proxy but not open yet is opened.
func (h *Manager) lane(name string) *lane {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx == nil || h.ctx.Err() != nil {
		return nil
	}
	if l, found := h.lanes[name]; found {
		return l
	}
	s, found := settingsOf(h.Peers.TablesInForce(), name)
	if !found || !h.owns(h.Peers.Live(), s.member) {
		return nil
	}
	return h.openLane(s)
}

// reconcile applies changes to the live proxies and the tables, and removes lanes whose handover
// has finished.
func (h *Manager) reconcile() {
	tables := h.Peers.TablesInForce()
	live := h.Peers.Live()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.absences.known() {
		h.absences.removePresent(h.presentNodes())
	}
	now := time.Now()
	if tables != nil && !h.assignment.equal(tables, live) {
		h.assignment = assignment{
			tables:  tables,
			live:    live,
			changed: now,
		}
		h.applyAssignment()
	}
	if h.assignment.tables != nil && !h.assignment.applied && now.Sub(h.assignment.changed) >= settleDelay {
		h.assignment.applied = true
		h.applyAssignment()
	}
	for name, l := range h.lanes {
		if l.handoverFinished() {
			l.stop()
			delete(h.lanes, name)
			h.logChange(name, "lane handed over")
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
func (h *Manager) applyAssignment() {
	tables := h.assignment.tables
	owned := map[string]bool{}
	for _, s := range allSettings(tables) {
		if !h.owns(h.assignment.live, s.member) {
			continue
		}
		owned[s.member.Name] = true
		if l, found := h.lanes[s.member.Name]; found {
			l.retain(s)
			continue
		}
		if h.assignment.applied {
			h.openLane(s)
		}
	}
	for name, l := range h.lanes {
		if owned[name] {
			continue
		}
		if s, found := settingsOf(tables, name); found {
			l.configure(s)
		}
		l.startHandover()
	}
}

func (h *Manager) owns(live []egret.Node, m egret.Member) bool {
	owner, found := place.LaneHolder(live, m)
	return found && owner.ID == h.Peers.Self().ID
}

// openLane creates and starts a lane. The caller holds mu.
func (h *Manager) openLane(s settings) *lane {
	l := newLane(h, s)
	h.lanes[s.member.Name] = l
	l.start(&h.workers)
	h.logChange(s.member.Name, "lane opened")
	return l
}

// close stops all lanes and waits for their goroutines, for closeTimeout at most.
func (h *Manager) close() {
	h.mu.Lock()
	for _, l := range h.lanes {
		l.stop()
	}
	h.lanes = map[string]*lane{}
	h.mu.Unlock()
	done := make(chan struct{})
	go func() {
		h.workers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}

// sortedLanes returns the lanes ordered by member. The caller holds mu.
func (h *Manager) sortedLanes() []*lane {
	lanes := []*lane{}
	for _, l := range h.lanes {
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

func (h *Manager) logChange(name string, change string) {
	if h.Log != nil {
		h.Log.Info().Str("member", name).Msg(change)
	}
}
