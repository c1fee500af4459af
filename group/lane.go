package group

import (
	"context"
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/conns"
	"egretlane.example/egret/evlog"
	"egretlane.example/egret/floor"
	"egretlane.example/egret/internal/report"
	"egretlane.example/egret/limit"
	"egretlane.example/egret/sched"
)

const (
	// defaultConnections is the limit of a member's connections until the operator's setting is known.
	defaultConnections = 8

	// reservedConnDivisor leaves 1/reservedConnDivisor of a member's connections unused, so that a new holder of the
	// service can connect while the member still counts the connections of a dead one.
	reservedConnDivisor = 4

	// missingMemberTimeout is how long a member is still used after its registration was removed. A registration that
	// expired in an outage of the store is back within about two seconds after the outage.
	missingMemberTimeout = 2500 * time.Millisecond

	// recordRetryInterval is the least time between two attempts to record the members of a service.
	recordRetryInterval = 500 * time.Millisecond

	// maintenanceInterval is the interval between checks of the members and the primary without an event that
	// triggers one.
	maintenanceInterval = 100 * time.Millisecond
)

// Metrics receives measurements for metrics. Its methods must not block.
type Metrics interface {
	// ObserveQueueWait is called each time that a statement gets a slot, with its time since arrival. The further
	// statements of a transaction are not observed.
	ObserveQueueWait(route string, wait time.Duration)

	// ObserveStatement is called for each answer of a member to a statement.
	ObserveStatement(route string, kind egret.FaultKind, elapsed time.Duration)

	// CountConnection is called for each new connection to a member, and CountDisplacedConnection for each idle one that is
	// closed for another workspace.
	CountConnection(member string)
	CountDisplacedConnection(member string)

	// ChangeConnections is called with changes of the numbers of connections to members.
	ChangeConnections(by conns.Counts)

	// ObservePromotion is called for each completed promotion.
	ObservePromotion(service string, elapsed time.Duration)
}

// Lane queues the statements of one service, runs them on its members and keeps one member primary. Its exported
// fields are set before Run.
type Lane struct {
	// Service names the service.
	Service string

	// Dialer opens connections to members.
	Dialer egret.BackendDialer

	// Promoter promotes a member to primary.
	Promoter egret.Promoter

	// Lease is the lease on the service. No statement is sent to any member without it.
	Lease egret.ServiceLease

	// EventLog is the log of events. It may be nil.
	EventLog *evlog.Log

	// Metrics receives measurements. It may be nil.
	Metrics Metrics

	// Meter counts metered operations. It may be nil, which admits all.
	Meter egret.Meter

	// DrainLimit is how long a draining member gets new statements after its report was seen. Zero sets no limit.
	DrainLimit time.Duration

	// wakeup makes Run check the primary without waiting for maintenanceInterval.
	wakeup chan struct{}

	// done is closed by Close.
	done chan struct{}

	// refusals counts the statements and transactions that no member gave a result for.
	refusals report.Refusals

	// mu guards the fields below. It is never held during I/O.
	mu sync.Mutex

	queue   sched.Queue
	history floor.History
	costs   costs

	// baseline has the service times that those of a member are compared with to learn its limit.
	baseline limit.Baseline[costKey]

	// members holds the members by ID: those with a registration, and others until maintainMembers removes them.
	members map[string]*member

	// views are what the queue sees of the members, in the order of IDs.
	views []*sched.Member

	// historyComplete is set once history covers every acknowledged commit, so that floors computed from it are safe.
	historyComplete bool

	// committed has the members that may have acknowledged commits, by ID: those of the group while its primary was last
	// known.
	committed map[string]egret.KnownMember

	// committedTried is when the record of committed was last written, or tried to. Only Run uses it.
	committedTried time.Time

	// hasPrimary is set while the primary is known and takes writes. It implies historyComplete.
	hasPrimary bool

	// primary is the ID of the primary, also while it is being replaced.
	primary string

	// superseded holds the former primaries that have not confirmed their demotion, with the term of their successor.
	superseded map[string]uint64

	// connections is the limit of connections to a member.
	connections int

	// reported are the numbers of connections that Metrics knows.
	reported conns.Counts

	// weights holds the workspaces' shares of the service that are not 1.
	weights map[string]int

	// syncReplicas is how many replicas confirm a commit before it is acknowledged, as the operator has set it.
	syncReplicas int

	// draining is set when only open transactions may continue, closed when no statement runs any more.
	draining, closed bool
}

// member is a backend server of the service, with its connections. The lane's mu guards it.
type member struct {
	// id is the member's ID. It never changes, so that it is read without the lock.
	id string

	backend egret.Backend
	view    sched.Member
	limit   limit.Limit

	// conns counts the connections and has the idle ones. Statements, status requests and demotions are assigned to it
	// until they call getConn.
	conns conns.Pool[*conn]

	// connection is the method connectionOf, as a value that is allocated once.
	connection func(workspace string) (time.Duration, bool)

	// connectTime is the moving average of the time to open a connection.
	connectTime time.Duration

	// transactions counts the connections that transactions hold, or for which one was assigned to the member.
	transactions int

	// connInterval is the expected time until a connection becomes free, as of connIntervalAt. It is known while statements
	// have to wait for one.
	connInterval   time.Duration
	connIntervalAt clock.Time

	// missingSince is when the member's registration was removed. It is zero while the member is registered.
	missingSince clock.Time

	// drainingSince is when it was seen first that the member drains, or zero.
	drainingSince clock.Time

	// unreachable is set while checks of the member fail, failedChecks counts the consecutive failures.
	unreachable  bool
	failedChecks int

	// unansweredSince is when the member was sent a request that it has not answered, or lastAnswer, the time of its
	// last answer, if that is later. It is zero if the member has answered any request since.
	unansweredSince, lastAnswer clock.Time

	// checking is set while a check of the member runs, and after it until the delay before the next one is over.
	checking bool

	// backoffUntil is the end of the time in which the member gets no new statements, after it refused one or a
	// connection to it failed.
	backoffUntil clock.Time

	// lagEstimate is how long the replica's log is expected to take to reach a position that it lacks.
	lagEstimate time.Duration

	// inUse holds the connections of running statements and open transactions, and when the statement that runs
	// there was sent. The time is zero while a transaction is idle.
	inUse map[*conn]clock.Time
}

// Init prepares the lane. It is called once, before any other method.
func (l *Lane) Init() {
	l.wakeup = make(chan struct{}, 1)
	l.done = make(chan struct{})
	l.members = map[string]*member{}
	l.superseded = map[string]uint64{}
	l.committed = map[string]egret.KnownMember{}
	l.connections = defaultConnections
}

// Configure applies the operator's settings of the service.
func (l *Lane) Configure(p *egret.Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections = max(1, p.Connections-max(1, p.Connections/reservedConnDivisor))
	l.syncReplicas = p.SyncReplicas
	l.weights = map[string]int{}
	for _, w := range p.Weights {
		l.weights[w.Caller] = w.Weight
	}
	l.dispatch()
}

// SetMembers sets the members that are registered now.
func (l *Lane) SetMembers(backends []egret.Backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	present := map[string]bool{}
	for _, b := range backends {
		present[b.ID] = true
		l.updateMember(b)
	}
	for id, m := range l.members {
		if !present[id] && m.missingSince == 0 {
			m.missingSince = now
			l.EventLog.Event("member-missing").Str("service", l.Service).Str("member", id).Msg("the member's registration was removed")
		}
	}
	l.sortViews()
	l.dispatch()
	l.wake()
}

// updateMember adds the member, or applies a change of its registration. The caller holds mu.
func (l *Lane) updateMember(b egret.Backend) {
	m := l.members[b.ID]
	if m == nil {
		m = &member{
			id:          b.ID,
			inUse:       map[*conn]clock.Time{},
			connectTime: initialConnectTime,
			view: sched.Member{
				ID:       b.ID,
				Slowness: 1,
			},
		}
		m.connection = m.connectionOf
		l.members[b.ID] = m
	}
	if m.backend != b {
		l.EventLog.Event("member-state").Str("service", l.Service).Str("member", b.ID).
			Str("address", b.Address.String()).Str("role", string(b.Role)).Bool("draining", b.Draining).
			Int("slots", b.Slots).Msg("the member's registration changed")
	}
	if m.backend.Address.IsValid() && (m.backend.Address != b.Address || m.backend.StartTime != b.StartTime) {
		// The member's process was replaced: the state of the old one doesn't apply.
		l.closeIdle(m)
		m.view.Position = egret.Position{}
		m.view.Slowness = 1
		m.limit = limit.Limit{}
		m.unreachable = false
		m.unansweredSince = 0
	}
	switch {
	case !b.Draining:
		m.drainingSince = 0
	case m.drainingSince == 0:
		m.drainingSince = clock.Now()
	}
	m.backend = b
	m.missingSince = 0
	m.view.Slots = b.Slots
	m.limit.Slots = b.Slots
	m.limit.SetRunning(clock.Now(), m.view.Running)
	l.applyLimit(m)
}

// Run checks the members and keeps one of them primary until the context ends or the lane is closed, and then closes
// the lane.
func (l *Lane) Run(ctx context.Context) error {
	defer l.Close()
	l.loadCommitted()
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.done:
			return nil
		case <-ticker.C:
		case <-l.wakeup:
		}
		l.maintainMembers()
		if l.Lease.Valid() {
			l.recordCommitted(ctx)
			l.maintainPrimary(ctx)
		}
	}
}

// Close closes the lane and its connections, with which members roll back open transactions. Queued statements are
// answered with egret.FaultNotHolder.
func (l *Lane) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.done)
	for _, m := range l.members {
		l.closeIdle(m)
		for c := range m.inUse {
			c.backend.Close()
		}
	}
	l.reportConnections()
}

// HasPrimary reports whether the lane has a primary that takes writes.
func (l *Lane) HasPrimary() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasPrimary && !l.closed
}

// maintainMembers removes members whose registration is missing for longer than missingMemberTimeout, starts checks of
// members with slow statements, and dispatches statements to members whose back-off has ended.
func (l *Lane) maintainMembers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	for id, m := range l.members {
		if m.missingSince != 0 && now.Sub(m.missingSince) > missingMemberTimeout && id != l.primary && m.view.Running == 0 {
			l.EventLog.Event("member-gone").Str("service", l.Service).Str("member", id).
				Dur("missing", now.Sub(m.missingSince)).Msg("removed the member: its registration did not return in time")
			l.closeIdle(m)
			delete(l.members, id)
			delete(l.superseded, id)
			l.sortViews()
		}
	}
	l.updateCommitted()
	l.checkSlowStatements(now)
	for _, m := range l.members {
		m.conns.Tidy(now)
	}
	l.reportConnections()
	l.dispatch()
}

// wake makes Run check the primary now.
func (l *Lane) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// Drain answers new and queued statements with egret.FaultNotHolder, waits for open transactions to end, at most for
// the timeout, and closes the lane.
func (l *Lane) Drain(timeout time.Duration) {
	l.mu.Lock()
	l.draining = true
	for _, it := range l.queue.Drain() {
		close(it.Grant)
	}
	l.mu.Unlock()
	began := clock.Now()
	for clock.Since(began) < timeout && l.connsInUse() > 0 {
		time.Sleep(pollInterval / 4)
	}
	l.Close()
}

// connsInUse returns the number of connections that statements and transactions use.
func (l *Lane) connsInUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, m := range l.members {
		n += len(m.inUse)
	}
	return n
}
