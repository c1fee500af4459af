package lane

import (
	"context"
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/fair"
)

const (
	// handoverGrace is how long a lane that has a new owner continues to take new transactions.
	handoverGrace = 2 * time.Second

	// leavingGrace is how long a leaving primary continues to take new transactions.
	leavingGrace = 2 * time.Second

	// missedHeartbeatLimit is the number of consecutive missed heartbeats at which a member counts
	// as unreachable and requests are refused.
	missedHeartbeatLimit = 2
)

var allClasses = [3]egret.Class{egret.ClassOrder, egret.ClassNormal, egret.ClassDeferrable}

// lane runs transactions on one member.
type lane struct {
	manager *Manager
	name    string
	ctx     context.Context
	stop    context.CancelFunc

	// slotWake wakes the slot locker. It has room for one.
	slotWake chan struct{}

	// heartbeatWake triggers a heartbeat at once. It has room for one.
	heartbeatWake chan struct{}

	// confirmer waits for confirmations by the other members.
	confirmer *confirmer

	// floorWatcher waits until the member has applied floors.
	floorWatcher positionWatcher

	// mu guards the fields below.
	mu sync.Mutex

	settings settings

	// queue has the requests that wait for a slot.
	queue fair.Queue

	// heldSlots is how many slot locks the lane holds. It falls below runningStatements only when
	// the connection that holds the locks was lost.
	heldSlots int

	// runningStatements is how many statements run or may still run on the member.
	runningStatements int

	// openBatches is how many batches are in progress, from their arrival until their reply has
	// been delivered. Waiting for a confirmation continues after the slot was released.
	openBatches int

	// idle are the connections that no transaction uses, the most recently used last.
	idle []*conn

	// active are the connections on which statements run.
	active []*conn

	// connections is how many connections for statements are open.
	connections int

	// handoverSince is when another proxy became the lane's owner. It is zero while this proxy owns
	// the lane.
	handoverSince time.Time

	// leavingSince is when the member was first found to be leaving. It is zero while the member
	// isn't leaving.
	leavingSince time.Time

	// lastBegin is when the last transaction began.
	lastBegin time.Time

	// state is the member's last known state.
	state egret.MemberState

	// missedHeartbeats is how many heartbeats have failed since the member last reported its state
	// or listed the slot locks.
	missedHeartbeats int

	// ages estimates the age of the member's data.
	ages ageTracker

	// overdue are the statements that must be terminated on the member.
	overdue []overdueStatement
}

func newLane(m *Manager, s settings) *lane {
	ctx, stop := context.WithCancel(m.ctx)
	l := &lane{
		manager:       m,
		name:          s.member.Name,
		ctx:           ctx,
		stop:          stop,
		slotWake:      make(chan struct{}, 1),
		heartbeatWake: make(chan struct{}, 1),
		confirmer: &confirmer{
			ctx:     ctx,
			control: m.Control,
		},
	}
	l.floorWatcher.ctx = ctx
	l.floorWatcher.awaitState = l.requireFloor
	l.configure(s)
	return l
}

// start runs the lane's goroutines until the lane is stopped.
func (l *lane) start(workers *sync.WaitGroup) {
	workers.Go(l.runSlotLocker)
	workers.Go(l.runHeartbeats)
	workers.Go(func() {
		<-l.ctx.Done()
		l.closeAll()
	})
}

// configure applies the settings of the member from the tables.
func (l *lane) configure(s settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.member.Address != l.settings.member.Address {
		l.closeIdle(time.Time{}, closedHandover)
	}
	l.settings = s
	l.queue.Slots = s.pool.Slots
	l.queue.Connections = s.connectionLimit()
	l.queue.Limit = s.pool.QueueLimit
	l.queue.OrderShare = s.pool.OrderSharePercent
	l.queue.WeightOf = s.pool.WeightOf
	l.wakeSlotLocker()
}

// retain applies the settings and records that this proxy owns the lane.
func (l *lane) retain(s settings) {
	l.configure(s)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handoverSince = time.Time{}
}

// startHandover records that another proxy owns the lane.
func (l *lane) startHandover() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handoverSince.IsZero() {
		l.handoverSince = time.Now()
	}
	l.wakeSlotLocker()
}

// handoverFinished reports whether a lane with another owner has nothing left to do. It also closes
// idle connections and, once no new transactions are taken, refuses queued ones.
func (l *lane) handoverFinished() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handoverSince.IsZero() {
		return false
	}
	l.closeIdle(time.Time{}, closedHandover)
	if l.handedOver(time.Now()) {
		l.refuse(l.queue.DrainInitial(), l.laneMovedFailure())
	}
	return l.heldSlots == 0 && l.runningStatements == 0 && l.openBatches == 0 && l.queue.HeldConns() == 0 && l.queueLength() == 0
}

// beginBatch keeps the lane open until endBatch.
func (l *lane) beginBatch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openBatches++
}

func (l *lane) endBatch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openBatches--
}

// handedOver reports whether the lane takes no new transactions because of a handover: the new
// owner has had time to learn about it, or the lane holds no slot, as when the new owner has taken
// all of them. The caller holds mu.
func (l *lane) handedOver(now time.Time) bool {
	if l.handoverSince.IsZero() {
		return false
	}
	return l.heldSlots == 0 || now.Sub(l.handoverSince) > handoverGrace
}

func (l *lane) laneMovedFailure() *egret.Failure {
	return notRun(egret.ReasonNoLane, "the lane of member %s has moved to another proxy", l.name)
}

// begin creates a transaction, or returns why none can run here.
func (l *lane) begin(o egret.TransactionOptions) (egret.Transaction, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if f := l.refusal(now); f != nil {
		l.manager.Metrics.count(f)
		return nil, f
	}
	l.markUsed(now)
	return &transaction{
		lane:     l,
		options:  o,
		deadline: now.Add(o.Budget),
		cancels:  make(chan struct{}, 1),
	}, nil
}

// refusal returns why a new transaction can't run here, or nil. The caller holds mu.
func (l *lane) refusal(now time.Time) *egret.Failure {
	switch {
	case l.handedOver(now):
		return l.laneMovedFailure()
	case l.refusesAsLeaving(now):
		return notRun(egret.ReasonLeaving, "member %s is leaving", l.name)
	case l.unreachable():
		return l.unreachableFailure()
	default:
		return nil
	}
}

// refusesAsLeaving reports whether the member takes no new transactions because it is leaving. A
// leaving primary continues for leavingGrace, until another member is promoted. The caller holds
// mu.
func (l *lane) refusesAsLeaving(now time.Time) bool {
	leaving := l.settings.member.Leaving || l.state.Leaving
	if !leaving && (l.manager.Leaving == nil || !l.manager.Leaving(l.name)) {
		l.leavingSince = time.Time{}
		return false
	}
	if l.leavingSince.IsZero() {
		l.leavingSince = now
	}
	return l.state.Role != egret.RolePrimary || now.Sub(l.leavingSince) > leavingGrace
}

// unreachable reports whether the member has missed missedHeartbeatLimit heartbeats and has neither
// reported its state nor listed the slot locks since. The caller holds mu.
func (l *lane) unreachable() bool {
	return l.missedHeartbeats >= missedHeartbeatLimit
}

func (l *lane) unreachableFailure() *egret.Failure {
	return notRun(egret.ReasonMemberUnreachable, "member %s gives no answer", l.name)
}

// refuse answers requests that were removed from the queue with a failure. The caller holds mu.
func (l *lane) refuse(items []*fair.Item, f *egret.Failure) {
	for _, item := range items {
		item.Result <- f
	}
}

// dispatch grants free slots to queued requests. The caller holds mu.
func (l *lane) dispatch(now time.Time) {
	for l.runningStatements < l.heldSlots {
		item, found := l.queue.Pop(now)
		if !found {
			break
		}
		l.runningStatements++
		item.Result <- nil
	}
	l.updateGauges()
}

// queueLength returns how many requests are queued. The caller holds mu.
func (l *lane) queueLength() int {
	n := 0
	for _, c := range allClasses {
		n += l.queue.Len(c)
	}
	return n
}

// wakeSlotLocker makes the slot locker check the lane again.
func (l *lane) wakeSlotLocker() {
	select {
	case l.slotWake <- struct{}{}:
	default:
	}
}

// closeAll closes the lane's connections and refuses queued requests. Running statements fail with
// their connection.
func (l *lane) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle(time.Time{}, closedHandover)
	for _, c := range l.active {
		c.memberConn.Close()
	}
	l.refuse(l.queue.DrainInitial(), l.laneMovedFailure())
	l.manager.Metrics.forget(l.name)
}

func (l *lane) load() egret.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loadLocked()
}

// loadLocked is load for callers that hold mu.
func (l *lane) loadLocked() egret.Load {
	return egret.Load{
		State:     l.state,
		Lag:       l.ages.lag(l.state),
		QueueWait: l.queue.EstimateWait(),
	}
}

func (l *lane) status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	s := Status{
		Member:      l.name,
		Group:       l.settings.group.Name,
		Load:        l.loadLocked(),
		Slots:       l.heldSlots,
		Connections: l.connections,
		Running:     l.runningStatements,
		Queued:      l.queueLength(),
		Reachable:   l.missedHeartbeats == 0 && !l.state.SampledAt.IsZero(),
	}
	if !l.handoverSince.IsZero() {
		s.HandoverAge = now.Sub(l.handoverSince)
	}
	return s
}

// updateGauges updates the lane's metrics. The caller holds mu.
func (l *lane) updateGauges() {
	if l.ctx.Err() != nil {
		return
	}
	m := l.manager.Metrics
	m.Connections.WithLabelValues(l.name).Set(float64(l.connections))
	m.Slots.WithLabelValues(l.name).Set(float64(l.heldSlots))
	m.Running.WithLabelValues(l.name).Set(float64(l.runningStatements))
	for _, c := range allClasses {
		m.Queued.WithLabelValues(l.name, string(c)).Set(float64(l.queue.Len(c)))
	}
}
