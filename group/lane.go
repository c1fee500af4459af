package group

import (
	"context"
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/floor"
	"egretlane.example/egret/sched"
	"egretlane.example/egret/trail"
)

const (
	// defaultConnections is the limit of a member's connections until the operator's is known.
	defaultConnections = 8

	// reservePart keeps 1/reservePart of a member's connections free, so that a successor can
	// connect while the connections of a dead holder linger.
	reservePart = 4

	// goneAfter is how long a member without an entry is still used. An entry that lapsed in an
	// outage of the store is back within about two seconds.
	goneAfter = 2500 * time.Millisecond

	// leadInterval is how often the lane looks after its primary when nothing happens.
	leadInterval = 100 * time.Millisecond
)

// Counts receives what a lane counts. Methods must not block.
type Counts interface {
	// Waited is called for each statement that got a slot.
	Waited(route string, wait time.Duration)

	// Ran is called for each statement that a member answered.
	Ran(route string, kind egret.FaultKind, elapsed time.Duration)

	// Connected is called for each new connection to a member.
	Connected(member string)

	// Promoted is called for each completed promotion.
	Promoted(service string, elapsed time.Duration)
}

// Lane runs the statements of one service. Its exported fields are set before Run.
type Lane struct {
	// Service names the service.
	Service string

	// Dialer opens connections to members.
	Dialer egret.BackendDialer

	// Promoter makes members primaries.
	Promoter egret.Promoter

	// Holding is the right to use the primary. Nothing is sent to any member without it.
	Holding egret.Holding

	// Trail writes decisions. It may be nil.
	Trail *trail.Trail

	// Counts may be nil.
	Counts Counts

	// kick wakes the goroutine that looks after the primary.
	kick chan struct{}

	// done is closed when the lane has ended.
	done chan struct{}

	// mu guards all below. It is never held during I/O.
	mu sync.Mutex

	queue   sched.Queue
	history floor.History
	costs   costs

	// members are those with an entry, or without one for less than goneAfter.
	members map[string]*member

	// views are the members' views, in the order of IDs.
	views []*sched.Member

	// known says that the history is complete, so that floors hold.
	known bool

	// led says that the primary is known and takes writes. It implies known.
	led bool

	// primary is the ID of the primary, also while it is being replaced.
	primary string

	// superseded are former primaries that have not confirmed their demotion.
	superseded map[string]uint64

	// connections and syncReplicas are the operator's settings of the service.
	connections  int
	syncReplicas int

	// draining says that only open transactions go on. ended says that nothing does.
	draining, ended bool
}

// member is a backend server with its connections. The lane's mu guards it.
type member struct {
	backend egret.Backend
	view    sched.Member

	// idle are free connections, the one used last at the end.
	idle []*conn

	// open counts all connections, also those being opened.
	open int

	// reserved counts statements that were given the member and have no connection yet.
	reserved int

	// missing is when the member's entry was removed. Zero while there is one.
	missing clock.Time

	// down is set while the member can't be reached. downs counts failed checks in a row.
	down  bool
	downs int

	// mute is since when the member has answered nothing, though it was asked. It is zero if it has
	// answered since. heard is its last answer.
	mute, heard clock.Time

	// checking says that a goroutine finds out whether the member can be reached.
	checking bool

	// rested is until when the member gets no new work, after it refused some.
	rested clock.Time

	// lag is the current guess of how long the replica's log takes to reach a position.
	lag time.Duration

	// started holds the connections in use, and when the statement that runs there was sent. It is
	// zero while a transaction rests.
	started map[*conn]clock.Time
}

// Init prepares the lane. It is called once, before any other method.
func (l *Lane) Init() {
	l.kick = make(chan struct{}, 1)
	l.done = make(chan struct{})
	l.members = map[string]*member{}
	l.superseded = map[string]uint64{}
	l.connections = defaultConnections
}

// Configure takes the operator's settings of the service.
func (l *Lane) Configure(p *egret.Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections = max(1, p.Connections-max(1, p.Connections/reservePart))
	l.syncReplicas = p.SyncReplicas
	l.dispatch()
}

// Update takes the members that have an entry now.
func (l *Lane) Update(backends []egret.Backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	present := map[string]bool{}
	for _, b := range backends {
		present[b.ID] = true
		l.updateMember(b)
	}
	for id, m := range l.members {
		if !present[id] && m.missing == 0 {
			m.missing = now
			l.Trail.Event("member-missing").Str("service", l.Service).Str("member", id).Msg("the member's entry was removed")
		}
	}
	l.order()
	l.dispatch()
	l.wake()
}

func (l *Lane) updateMember(b egret.Backend) {
	m := l.members[b.ID]
	if m == nil {
		m = &member{
			started: map[*conn]clock.Time{},
			view: sched.Member{
				ID:       b.ID,
				Slowness: 1,
			},
		}
		l.members[b.ID] = m
	}
	if m.backend != b {
		l.Trail.Event("member-state").Str("service", l.Service).Str("member", b.ID).
			Str("address", b.Address.String()).Str("role", string(b.Role)).Bool("draining", b.Draining).
			Int("slots", b.Slots).Msg("the member's entry changed")
	}
	if m.backend.Address.IsValid() && (m.backend.Address != b.Address || m.backend.Born != b.Born) {
		// Another process: what the old one told doesn't hold for it.
		l.dropIdle(m)
		m.view.Position = egret.Position{}
		m.view.Slowness = 1
		m.down = false
		m.mute = 0
	}
	m.backend = b
	m.missing = 0
	m.view.Slots = b.Slots
}

// Run looks after the members until the context ends or the lane is closed.
func (l *Lane) Run(ctx context.Context) error {
	defer l.Close()
	tick := time.NewTicker(leadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.done:
			return nil
		case <-tick.C:
		case <-l.kick:
		}
		l.tend()
		if l.Holding.Valid() {
			l.lead(ctx)
		}
	}
}

// Close ends the lane: what waits is sent back, connections are closed and open transactions rolled
// back.
func (l *Lane) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	close(l.done)
	for _, m := range l.members {
		l.dropIdle(m)
		for c := range m.started {
			c.backend.Close()
		}
	}
}

// Leads reports whether the lane has a primary that takes writes, for metrics.
func (l *Lane) Leads() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.led && !l.ended
}

// tend drops members that are gone and lets rested ones work again.
func (l *Lane) tend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	for id, m := range l.members {
		if m.missing != 0 && now.Sub(m.missing) > goneAfter && id != l.primary && m.view.Running == 0 {
			l.Trail.Event("member-gone").Str("service", l.Service).Str("member", id).
				Dur("missing", now.Sub(m.missing)).Msg("the member's entry stayed away")
			l.dropIdle(m)
			delete(l.members, id)
			delete(l.superseded, id)
			l.order()
		}
	}
	l.probeSilent(now)
	l.dispatch()
}

// wake makes Run look after the primary now.
func (l *Lane) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// Drain stops new work, which goes back to its senders, and waits for open transactions to end, at
// most for the time. Then the lane is closed.
func (l *Lane) Drain(d time.Duration) {
	l.mu.Lock()
	l.draining = true
	for _, it := range l.queue.Drain() {
		close(it.Wake)
	}
	l.mu.Unlock()
	began := clock.Now()
	for clock.Since(began) < d && l.inUse() > 0 {
		time.Sleep(promotePoll / 4)
	}
	l.Close()
}

// inUse counts the connections that statements and transactions hold.
func (l *Lane) inUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, m := range l.members {
		n += len(m.started)
	}
	return n
}
