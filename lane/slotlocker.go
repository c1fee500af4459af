package lane

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/member"
)

// slotLocker acquires, verifies and releases a lane's slot locks on one connection.
type slotLocker struct {
	lane     *lane
	slotConn *member.SlotConn

	// slots are the numbers of the slots whose locks are held, in ascending order.
	slots []int

	// lastCheck is when the locks were last listed.
	lastCheck time.Time

	// terminateAfter is the earliest time at which connections of other proxies are terminated.
	terminateAfter time.Time

	// firstPassDone is set once all wanted locks were tried.
	firstPassDone bool
}

// run acquires and releases locks as the lane requires, until the connection fails or the lane is
// stopped.
func (s *slotLocker) run() {
	for s.lane.ctx.Err() == nil {
		if err := s.reconcile(); err != nil {
			return
		}
		s.waitForWork()
	}
}

// reconcile terminates overdue statements, matches the held locks with the wanted number, and
// verifies the locks if a check is due.
func (s *slotLocker) reconcile() error {
	if err := s.terminateOverdue(); err != nil {
		return err
	}
	if err := s.unlockSurplus(); err != nil {
		return err
	}
	if err := s.lockMissing(); err != nil {
		return err
	}
	if !s.firstPassDone {
		s.firstPassDone = true
		s.lane.closeActiveAbove(len(s.slots))
	}
	if time.Since(s.lastCheck) < s.lane.slotCheckPeriod() && len(s.slots) == s.lane.wantedSlots() {
		return nil
	}
	if time.Since(s.lastCheck) < slotCheckInterval {
		return nil
	}
	s.lastCheck = time.Now()
	return s.verifyLocks()
}

// waitForWork waits until the lane wakes the locker, or until the next attempt or check is due.
func (s *slotLocker) waitForWork() {
	next := s.lane.slotCheckPeriod()
	if len(s.slots) < s.lane.wantedSlots() {
		next = slotRetryInterval
	}
	select {
	case <-s.lane.slotWake:
	case <-time.After(next):
	case <-s.lane.ctx.Done():
	}
}

// terminateOverdue terminates the connections of overdue statements and releases their slots.
func (s *slotLocker) terminateOverdue() error {
	overdue := s.lane.takeOverdue()
	for i, o := range overdue {
		if err := s.terminate(o.processID); err != nil {
			s.lane.addOverdue(overdue[i:]...)
			return err
		}
		s.lane.releaseSlot(o.item, o.grantedAt)
	}
	return nil
}

func (s *slotLocker) terminate(processID uint32) error {
	ctx, cancel := s.callContext()
	defer cancel()
	s.lane.manager.Metrics.ConnectionsTerminated.Inc()
	return s.slotConn.Terminate(ctx, processID)
}

func (s *slotLocker) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.lane.ctx, slotCallTimeout)
}

// unlockSurplus releases locks that the lane doesn't want, the highest slot first. A slot stops
// counting before its lock is released.
func (s *slotLocker) unlockSurplus() error {
	for s.lane.releaseSurplusSlot(len(s.slots)) {
		slot := s.slots[len(s.slots)-1]
		s.slots = s.slots[:len(s.slots)-1]
		if err := s.unlock(slot); err != nil {
			return err
		}
	}
	return nil
}

func (s *slotLocker) unlock(slot int) error {
	ctx, cancel := s.callContext()
	defer cancel()
	return s.slotConn.Unlock(ctx, slot)
}

// lockMissing tries to acquire the locks that the lane wants but doesn't hold. A slot counts once
// its lock is held.
func (s *slotLocker) lockMissing() error {
	wanted := s.lane.wantedSlots()
	for slot := 1; slot <= s.lane.configuredSlots() && len(s.slots) < wanted; slot++ {
		if slices.Contains(s.slots, slot) {
			continue
		}
		locked, err := s.tryLock(slot)
		if err != nil {
			return err
		}
		if locked {
			s.slots = append(s.slots, slot)
			slices.Sort(s.slots)
			s.lane.setHeldSlots(len(s.slots))
		}
	}
	return nil
}

func (s *slotLocker) tryLock(slot int) (bool, error) {
	ctx, cancel := s.callContext()
	defer cancel()
	return s.slotConn.TryLock(ctx, slot)
}

// verifyLocks checks that the member still lists the held locks. While locks are missing, it
// terminates earlier connections of this proxy that hold slot locks, and the connections of absent
// proxies.
func (s *slotLocker) verifyLocks() error {
	requestedAt := time.Now()
	locks, err := s.listLocks()
	if err != nil {
		return err
	}
	held := 0
	for _, l := range locks {
		if l.ProcessID == s.slotConn.ProcessID() && l.Slot > 0 {
			held++
		}
	}
	s.lane.recordAnswer()
	s.lane.closeTerminated(locks, requestedAt)
	if held < len(s.slots) {
		return errors.Errorf("member %s lists %d of %d slot locks", s.lane.name, held, len(s.slots))
	}
	if len(s.slots) == s.lane.wantedSlots() {
		return nil
	}
	if err := s.terminateStale(locks); err != nil {
		return err
	}
	return s.terminateAbsent(locks)
}

func (s *slotLocker) listLocks() ([]member.Lock, error) {
	ctx, cancel := s.callContext()
	defer cancel()
	return s.slotConn.Locks(ctx)
}

// terminateStale terminates earlier connections on which this proxy held slot locks and which the
// member still considers alive.
func (s *slotLocker) terminateStale(locks []member.Lock) error {
	own := s.lane.manager.Peers.Self().ID
	for _, l := range locks {
		if l.NodeID != own || l.Slot == 0 || l.ProcessID == s.slotConn.ProcessID() {
			continue
		}
		if err := s.terminate(l.ProcessID); err != nil {
			return err
		}
	}
	return nil
}

// terminateAbsent terminates the connections of absent proxies: first those that may run
// statements, then those that hold slot locks, so that no slot becomes free while a statement may
// still run in it. A proxy that is alive after all may have opened more connections before it lost
// its slots, so the list is read once more at the end.
func (s *slotLocker) terminateAbsent(locks []member.Lock) error {
	absent := s.lane.manager.locksOfAbsent(locks)
	if len(absent) == 0 || time.Now().Before(s.terminateAfter) {
		return nil
	}
	for _, wanted := range []func(l member.Lock) bool{isConnectionMark, isSlotLock} {
		if err := s.terminateMatching(absent, wanted); err != nil {
			return err
		}
	}
	remaining, err := s.listLocks()
	if err != nil {
		return err
	}
	return s.terminateMatching(s.lane.manager.locksOfAbsent(remaining), isConnectionMark)
}

func (s *slotLocker) terminateMatching(locks []member.Lock, wanted func(l member.Lock) bool) error {
	for _, l := range locks {
		if !wanted(l) {
			continue
		}
		if err := s.terminate(l.ProcessID); err != nil {
			return err
		}
	}
	return nil
}

// isConnectionMark reports whether the lock is the mark of a connection for statements.
func isConnectionMark(l member.Lock) bool {
	return l.Slot == 0
}

func isSlotLock(l member.Lock) bool {
	return l.Slot > 0
}

// nodeLister is an optional interface of Peers that lists all known proxies, whatever their state.
type nodeLister interface {
	Nodes() []egret.Node
}

// presentNodes returns the proxies that may still run statements. A leaving proxy is no longer live
// but finishes its open transactions.
func (m *Manager) presentNodes() []egret.Node {
	l, found := m.Peers.(nodeLister)
	if !found {
		return m.Peers.Live()
	}
	return slices.DeleteFunc(slices.Clone(l.Nodes()), func(n egret.Node) bool {
		return n.State == egret.NodeDead
	})
}

// locksOfAbsent returns the locks of proxies that have been dead or unknown for absenceTimeout.
func (m *Manager) locksOfAbsent(locks []member.Lock) []member.Lock {
	now := time.Now()
	nodes := m.presentNodes()
	m.mu.Lock()
	defer m.mu.Unlock()
	found := []member.Lock{}
	for _, l := range locks {
		present := slices.ContainsFunc(nodes, func(n egret.Node) bool {
			return n.ID == l.NodeID
		})
		if m.absences.isLongAbsent(l.NodeID, present || l.NodeID == m.Peers.Self().ID, now) {
			found = append(found, l)
		}
	}
	return found
}
