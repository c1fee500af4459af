package lane

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/fair"
	"egretlane.example/egret/member"
)

const (
	// slotWait bounds each call on the connection that holds the slot locks.
	slotWait = time.Second

	// slotCheck is how often the locks are listed.
	slotCheck = 500 * time.Millisecond

	// slotRetry is how often locks that another proxy holds are tried.
	slotRetry = 20 * time.Millisecond

	// reconnectFirst and reconnectLast bound the time between two tries to connect.
	reconnectFirst = 20 * time.Millisecond
	reconnectLast  = 400 * time.Millisecond

	// graceWithout is how long statements may run on after the locks were lost.
	graceWithout = 500 * time.Millisecond

	// overdueLimit is how long overdue statements of a member that can't be reached count as running.
	overdueLimit = 5 * time.Second

	// calmWait is how long a lane that lost its locks ends nobody's connections. Two proxies that
	// don't see each other would else end each other's all the time.
	calmWait = 5 * time.Second
)

// overdue is a statement that got no answer and may still run on the member. Its slot comes free
// when the member has ended it.
type overdue struct {
	// process is the member's process that runs the statement.
	process uint32

	// item is the request that has the slot.
	item *fair.Item

	// since is when the slot was given.
	since time.Time
}

// keeper holds a lane's slot locks on one connection.
type keeper struct {
	lane    *lane
	session *member.Slots

	// slots are the numbers of the slots whose locks are held, in order.
	slots []int

	// checked is when the locks were last listed.
	checked time.Time

	// calm is until when no connection of another proxy is ended.
	calm time.Time

	// settled says that all wanted locks were tried once.
	settled bool
}

// keepSlots holds the slot locks until the lane is stopped, on one connection after the other.
func (l *lane) keepSlots() {
	wait := reconnectFirst
	lost := time.Now()
	calm := time.Time{}
	for l.ctx.Err() == nil {
		session, err := l.openSlots()
		if err != nil {
			l.withoutSlots(time.Since(lost))
			l.pause(wait)
			wait = min(2*wait, reconnectLast)
			continue
		}
		wait = reconnectFirst
		k := keeper{
			lane:    l,
			session: session,
			calm:    calm,
		}
		k.hold()
		session.Close()
		lost = time.Now()
		calm = lost.Add(calmWait)
		l.loseSlots()
	}
}

func (l *lane) openSlots() (*member.Slots, error) {
	ctx, cancel := context.WithTimeout(l.ctx, slotWait)
	defer cancel()
	return l.holder.Dialer.OpenSlots(ctx, l.member())
}

// loseSlots starts no more statements: the locks may be another lane's by now.
func (l *lane) loseSlots() {
	if l.ctx.Err() == nil {
		l.holder.Metrics.SlotsLost.Inc()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = 0
	l.gauge()
}

// withoutSlots ends what runs on without locks, and refuses what waits if the member is gone.
func (l *lane) withoutSlots(lost time.Duration) {
	if lost > graceWithout {
		l.cut(0)
	}
	if lost > overdueLimit {
		for _, o := range l.takeOverdue() {
			l.release(o.item, o.since)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable() {
		l.refuse(l.queue.Fresh(), l.noMember())
	}
}

// cut closes connections with running statements until no more than the given number run.
func (l *lane) cut(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.active[min(limit, len(l.active)):] {
		c.wire.Close()
	}
}

// pause waits until the time is over or the lane is stopped.
func (l *lane) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-l.ctx.Done():
	}
}

// endOverdue has a statement ended on the member. Its slot is given back then.
func (l *lane) endOverdue(o overdue) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overdue = append(l.overdue, o)
	l.nudge()
}

func (l *lane) takeOverdue() []overdue {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.overdue
	l.overdue = nil
	return taken
}

// hold takes locks and gives them back as the lane wants, until the connection fails or the lane
// is stopped.
func (k *keeper) hold() {
	for k.lane.ctx.Err() == nil {
		if err := k.round(); err != nil {
			return
		}
		k.wait()
	}
}

// round does once all that is due.
func (k *keeper) round() error {
	if err := k.endOverdue(); err != nil {
		return err
	}
	if err := k.giveBack(); err != nil {
		return err
	}
	if err := k.take(); err != nil {
		return err
	}
	if !k.settled {
		k.settled = true
		k.lane.cut(len(k.slots))
	}
	if time.Since(k.checked) < slotCheck {
		return nil
	}
	k.checked = time.Now()
	return k.check()
}

// wait waits until the lane wants something, or until the next try or check.
func (k *keeper) wait() {
	next := slotCheck
	if len(k.slots) < k.lane.wantedSlots() {
		next = slotRetry
	}
	select {
	case <-k.lane.wake:
	case <-time.After(next):
	case <-k.lane.ctx.Done():
	}
}

// endOverdue ends statements that got no answer.
func (k *keeper) endOverdue() error {
	for _, o := range k.lane.takeOverdue() {
		if err := k.terminate(o.process); err != nil {
			k.lane.endOverdue(o)
			return err
		}
		k.lane.release(o.item, o.since)
	}
	return nil
}

func (k *keeper) terminate(process uint32) error {
	ctx, cancel := k.bound()
	defer cancel()
	k.lane.holder.Metrics.Terminated.Inc()
	return k.session.Terminate(ctx, process)
}

func (k *keeper) bound() (context.Context, context.CancelFunc) {
	return context.WithTimeout(k.lane.ctx, slotWait)
}

// giveBack unlocks slots that the lane doesn't want, the highest first. A slot stops counting
// before its lock is given back.
func (k *keeper) giveBack() error {
	for k.lane.lower(len(k.slots)) {
		slot := k.slots[len(k.slots)-1]
		k.slots = k.slots[:len(k.slots)-1]
		if err := k.unlock(slot); err != nil {
			return err
		}
	}
	return nil
}

func (k *keeper) unlock(slot int) error {
	ctx, cancel := k.bound()
	defer cancel()
	return k.session.Unlock(ctx, slot)
}

// take tries the locks that the lane wants and lacks. A slot counts once its lock is held.
func (k *keeper) take() error {
	wanted := k.lane.wantedSlots()
	for slot := 1; slot <= k.lane.allSlots() && len(k.slots) < wanted; slot++ {
		if slices.Contains(k.slots, slot) {
			continue
		}
		locked, err := k.tryLock(slot)
		if err != nil {
			return err
		}
		if locked {
			k.slots = append(k.slots, slot)
			slices.Sort(k.slots)
			k.lane.raise(len(k.slots))
		}
	}
	return nil
}

func (k *keeper) tryLock(slot int) (bool, error) {
	ctx, cancel := k.bound()
	defer cancel()
	return k.session.TryLock(ctx, slot)
}

// check makes sure that the locks are still held, and ends connections that hold locks for a proxy
// that is gone.
func (k *keeper) check() error {
	ctx, cancel := k.bound()
	defer cancel()
	locks, err := k.session.Locks(ctx)
	if err != nil {
		return err
	}
	held := 0
	for _, l := range locks {
		if l.Process == k.session.Process() && l.Slot > 0 {
			held++
		}
	}
	if held < len(k.slots) {
		return errors.Errorf("member %s knows of %d of %d locks", k.lane.name, held, len(k.slots))
	}
	if len(k.slots) == k.lane.wantedSlots() {
		return nil
	}
	return k.endGone(locks)
}

// endGone ends the connections of proxies that are gone: first those that may run statements, then
// those that hold slots. So no slot is free while a statement may still run in it.
func (k *keeper) endGone(locks []member.Lock) error {
	gone := k.lane.holder.gone(locks)
	if time.Now().Before(k.calm) {
		gone = nil
	}
	slices.SortStableFunc(gone, func(a, b member.Lock) int {
		return min(a.Slot, 1) - min(b.Slot, 1)
	})
	own := k.lane.holder.Peers.Self().ID
	for _, l := range locks {
		if l.NodeID == own && l.Slot > 0 && l.Process != k.session.Process() {
			gone = append(gone, l)
		}
	}
	for _, l := range gone {
		if err := k.terminate(l.Process); err != nil {
			return err
		}
	}
	return nil
}

// wantedSlots is how many locks the lane should hold. One that hands over keeps half of them while
// it takes new transactions, and then what its open transactions need.
func (l *lane) wantedSlots() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wanted(time.Now())
}

// wanted is wantedSlots for callers that have mu.
func (l *lane) wanted(now time.Time) int {
	slots := l.settings.pool.Slots
	if l.handover.IsZero() {
		return slots
	}
	needed := 0
	if l.running > 0 || l.queue.Lent() > 0 {
		needed = 1
	}
	if l.queued() == 0 || now.Sub(l.handover) > handoverWait {
		return needed
	}
	return max(needed, min(l.held, (slots+1)/2))
}

func (l *lane) allSlots() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settings.pool.Slots
}

// lower takes away one of the slots if the lane has more than it wants and one of them is free.
func (l *lane) lower(held int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held == 0 || held <= l.wanted(time.Now()) || l.running >= l.held {
		return false
	}
	l.held--
	l.gauge()
	return true
}

// raise sets how many slots the lane has.
func (l *lane) raise(held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = held
	l.dispatch(time.Now())
}

// lister is what Peers may offer besides: all proxies that are known, whatever their state.
type lister interface {
	Nodes() []egret.Node
}

// present returns the proxies that may still run statements. A leaving one is not live any more but
// finishes what it has.
func (h *Holder) present() []egret.Node {
	l, found := h.Peers.(lister)
	if !found {
		return h.Peers.Live()
	}
	return slices.DeleteFunc(slices.Clone(l.Nodes()), func(n egret.Node) bool {
		return n.State == egret.NodeDead
	})
}

// gone returns the locks of proxies that have been dead or unknown for a while.
func (h *Holder) gone(locks []member.Lock) []member.Lock {
	now := time.Now()
	present := h.present()
	h.mu.Lock()
	defer h.mu.Unlock()
	found := []member.Lock{}
	for _, l := range locks {
		there := slices.ContainsFunc(present, func(n egret.Node) bool {
			return n.ID == l.NodeID
		})
		if h.absent.longGone(l.NodeID, there || l.NodeID == h.Peers.Self().ID, now) {
			found = append(found, l)
		}
	}
	return found
}
