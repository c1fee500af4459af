package lane

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/member"
)

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
	if time.Since(k.checked) < k.lane.checkEvery() && len(k.slots) == k.lane.wantedSlots() {
		return nil
	}
	if time.Since(k.checked) < slotCheck {
		return nil
	}
	k.checked = time.Now()
	return k.check()
}

// wait waits until the lane wants something, or until the next try or check.
func (k *keeper) wait() {
	next := k.lane.checkEvery()
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
	asked := time.Now()
	locks, err := k.locks()
	if err != nil {
		return err
	}
	held := 0
	for _, l := range locks {
		if l.Process == k.session.Process() && l.Slot > 0 {
			held++
		}
	}
	k.lane.answered()
	k.lane.cutLost(locks, asked)
	if held < len(k.slots) {
		return errors.Errorf("member %s knows of %d of %d locks", k.lane.name, held, len(k.slots))
	}
	if len(k.slots) == k.lane.wantedSlots() {
		return nil
	}
	if err := k.endStale(locks); err != nil {
		return err
	}
	return k.endGone(locks)
}

func (k *keeper) locks() ([]member.Lock, error) {
	ctx, cancel := k.bound()
	defer cancel()
	return k.session.Locks(ctx)
}

// endStale ends a connection by which this proxy held the locks before and that the member still
// counts as alive.
func (k *keeper) endStale(locks []member.Lock) error {
	own := k.lane.holder.Peers.Self().ID
	for _, l := range locks {
		if l.NodeID != own || l.Slot == 0 || l.Process == k.session.Process() {
			continue
		}
		if err := k.terminate(l.Process); err != nil {
			return err
		}
	}
	return nil
}

// endGone ends the connections of proxies that are gone: first those that may run statements, then
// those that hold slots, so that no slot is free while a statement may still run in it. A proxy
// that isn't gone after all may have opened new ones before it lost its slots; these end last.
func (k *keeper) endGone(locks []member.Lock) error {
	gone := k.lane.holder.gone(locks)
	if len(gone) == 0 || time.Now().Before(k.calm) {
		return nil
	}
	for _, wanted := range []func(l member.Lock) bool{isMark, isSlot} {
		if err := k.terminateAll(gone, wanted); err != nil {
			return err
		}
	}
	left, err := k.locks()
	if err != nil {
		return err
	}
	return k.terminateAll(k.lane.holder.gone(left), isMark)
}

func (k *keeper) terminateAll(locks []member.Lock, wanted func(l member.Lock) bool) error {
	for _, l := range locks {
		if !wanted(l) {
			continue
		}
		if err := k.terminate(l.Process); err != nil {
			return err
		}
	}
	return nil
}

func isMark(l member.Lock) bool {
	return l.Slot == 0
}

func isSlot(l member.Lock) bool {
	return l.Slot > 0
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
