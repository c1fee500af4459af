package lane

import (
	"context"
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/fair"
)

const (
	// handoverWait is how long a lane that has a new owner takes new transactions.
	handoverWait = 2 * time.Second

	// leavingWait is how long a leaving primary takes new transactions.
	leavingWait = 2 * time.Second

	// missedBeats is how many heartbeats in a row a member may miss before requests are refused.
	missedBeats = 2
)

// classes are all classes of requests.
var classes = [3]egret.Class{egret.ClassOrder, egret.ClassNormal, egret.ClassDefer}

// lane serves one member.
type lane struct {
	holder *Holder
	name   string
	ctx    context.Context
	stop   context.CancelFunc

	// wake makes the keeper of the slots look again. It has room for one.
	wake chan struct{}

	// stirred makes the heartbeats speed up. It has room for one.
	stirred chan struct{}

	// confirmer asks the other members for confirmations.
	confirmer *confirmer

	// floors waits for what the member's reads see.
	floors watch

	// mu guards the fields below.
	mu sync.Mutex

	settings settings

	// queue has the requests that wait for a slot.
	queue fair.Queue

	// held is how many slot locks the lane has. It falls below running only when the connection
	// that holds the locks was lost.
	held int

	// running is how many statements run or may still run on the member.
	running int

	// answering is how many batches are under way, from their arrival until their answer has been
	// handed on. A confirmation goes on after the slot was given back.
	answering int

	// idle are connections that no transaction uses, the one used last at the end.
	idle []*conn

	// active are the connections on which statements run.
	active []*conn

	// connections is how many connections are open.
	connections int

	// handover is when the lane got a new owner. It is zero while this proxy owns it.
	handover time.Time

	// leavingSince is when the member was first said to leave. It is zero while it stays.
	leavingSince time.Time

	// used is when a transaction last began.
	used time.Time

	// state is the member's last known state.
	state egret.MemberState

	// missed is how many heartbeats got no answer since the member last answered anything.
	missed int

	// ages tells how old the member's data is.
	ages ages

	// overdue are processes whose statements must be ended on the member.
	overdue []overdue
}

func newLane(h *Holder, s settings) *lane {
	ctx, stop := context.WithCancel(h.ctx)
	l := &lane{
		holder:  h,
		name:    s.member.Name,
		ctx:     ctx,
		stop:    stop,
		wake:    make(chan struct{}, 1),
		stirred: make(chan struct{}, 1),
		confirmer: &confirmer{
			ctx:     ctx,
			control: h.Control,
		},
	}
	l.floors.ctx = ctx
	l.floors.ask = l.askFloor
	l.configure(s)
	return l
}

// start runs the lane's workers until the lane is stopped.
func (l *lane) start(workers *sync.WaitGroup) {
	workers.Go(l.keepSlots)
	workers.Go(l.beat)
	workers.Go(func() {
		<-l.ctx.Done()
		l.end()
	})
}

// configure takes over what the tables say.
func (l *lane) configure(s settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.member.Address != l.settings.member.Address {
		l.dropIdle(time.Time{}, closedHandover)
	}
	l.settings = s
	l.queue.Slots = s.pool.Slots
	l.queue.Connections = s.limit()
	l.queue.Limit = s.pool.Queue
	l.queue.OrderShare = s.pool.OrderShare
	l.queue.WeightOf = s.pool.WeightOf
	l.nudge()
}

// keep says that this proxy owns the lane.
func (l *lane) keep(s settings) {
	l.configure(s)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handover = time.Time{}
}

// handOver says that another proxy owns the lane.
func (l *lane) handOver() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handover.IsZero() {
		l.handover = time.Now()
	}
	l.nudge()
}

// finished reports whether a lane that is handed over has nothing left to do.
func (l *lane) finished() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handover.IsZero() {
		return false
	}
	l.dropIdle(time.Time{}, closedHandover)
	if l.handedOver(time.Now()) {
		l.refuse(l.queue.Fresh(), l.noLane())
	}
	return l.held == 0 && l.running == 0 && l.answering == 0 && l.queue.Lent() == 0 && l.queued() == 0
}

// beginAnswer keeps the lane from ending until endAnswer.
func (l *lane) beginAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answering++
}

func (l *lane) endAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answering--
}

// handedOver reports whether the lane takes no new transactions: the new owner had its time to
// learn of it, or has taken the slots.
func (l *lane) handedOver(now time.Time) bool {
	if l.handover.IsZero() {
		return false
	}
	return l.held == 0 || now.Sub(l.handover) > handoverWait
}

func (l *lane) noLane() *egret.Failure {
	return notRun(egret.ReasonNoLane, "the lane of member %s has moved to another proxy", l.name)
}

// begin makes a transaction, or says why none can run here.
func (l *lane) begin(o egret.Opening) (egret.Transaction, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if f := l.refusal(now); f != nil {
		l.holder.Metrics.count(f)
		return nil, f
	}
	l.stir(now)
	return &transaction{
		lane:     l,
		opening:  o,
		deadline: now.Add(o.Budget),
		cancels:  make(chan struct{}, 1),
	}, nil
}

// refusal says why a new transaction can't run here, or returns nil. The caller has mu.
func (l *lane) refusal(now time.Time) *egret.Failure {
	switch {
	case l.handedOver(now):
		return l.noLane()
	case l.left(now):
		return notRun(egret.ReasonLeaving, "member %s is leaving", l.name)
	case l.unreachable():
		return l.noMember()
	default:
		return nil
	}
}

// left reports whether the member gets no new work because it leaves. A primary goes on for a
// moment, until another member is promoted.
func (l *lane) left(now time.Time) bool {
	leaving := l.settings.member.Leaving || l.state.Leaving
	if !leaving && (l.holder.Leaving == nil || !l.holder.Leaving(l.name)) {
		l.leavingSince = time.Time{}
		return false
	}
	if l.leavingSince.IsZero() {
		l.leavingSince = now
	}
	return l.state.Role != egret.RolePrimary || now.Sub(l.leavingSince) > leavingWait
}

// unreachable reports whether the member gives no answer on any connection. The caller has mu.
func (l *lane) unreachable() bool {
	return l.missed >= missedBeats
}

func (l *lane) noMember() *egret.Failure {
	return notRun(egret.ReasonMember, "member %s gives no answer", l.name)
}

// refuse answers requests that were taken from the queue. The caller has mu.
func (l *lane) refuse(items []*fair.Item, f *egret.Failure) {
	for _, it := range items {
		it.Wake <- f
	}
}

// dispatch gives free slots to requests that wait. The caller has mu.
func (l *lane) dispatch(now time.Time) {
	for l.running < l.held {
		it, found := l.queue.Pop(now)
		if !found {
			break
		}
		l.running++
		it.Wake <- nil
	}
	l.gauge()
}

// queued returns how many requests wait. The caller has mu.
func (l *lane) queued() int {
	n := 0
	for _, c := range classes {
		n += l.queue.Len(c)
	}
	return n
}

// nudge makes the keeper of the slots look at the lane again.
func (l *lane) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// end closes the lane's connections and refuses what waits. Running statements lose their
// connection and report it.
func (l *lane) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropIdle(time.Time{}, closedHandover)
	for _, c := range l.active {
		c.wire.Close()
	}
	l.refuse(l.queue.Fresh(), l.noLane())
	l.holder.Metrics.forget(l.name)
}

func (l *lane) load() egret.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view()
}

// view returns the lane's view of its member. The caller has mu.
func (l *lane) view() egret.Load {
	return egret.Load{
		State: l.state,
		Lag:   l.ages.lag(l.state),
		Wait:  l.queue.Wait(),
	}
}

func (l *lane) status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	s := Status{
		Member:      l.name,
		Group:       l.settings.group.Name,
		Load:        l.view(),
		Slots:       l.held,
		Connections: l.connections,
		Running:     l.running,
		Queued:      l.queued(),
		Reached:     l.missed == 0 && !l.state.Sampled.IsZero(),
	}
	if !l.handover.IsZero() {
		s.Handover = now.Sub(l.handover)
	}
	return s
}

// gauge sets the lane's gauges. The caller has mu.
func (l *lane) gauge() {
	if l.ctx.Err() != nil {
		return
	}
	m := l.holder.Metrics
	m.Connections.WithLabelValues(l.name).Set(float64(l.connections))
	m.Slots.WithLabelValues(l.name).Set(float64(l.held))
	m.Running.WithLabelValues(l.name).Set(float64(l.running))
	for _, c := range classes {
		m.Queued.WithLabelValues(l.name, string(c)).Set(float64(l.queue.Len(c)))
	}
}
