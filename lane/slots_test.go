package lane

import (
	"context"
	"sync"
	"testing"
	"time"

	"egretlane.example/egret"
)

// runReads runs reads on all proxies until stop is closed. Refused reads are ignored.
func (b *testbed) runReads(stop chan struct{}, managers ...*Manager) *sync.WaitGroup {
	callers := &sync.WaitGroup{}
	o := optionsFor(true)
	o.Budget = 200 * time.Millisecond
	for _, m := range managers {
		for range 10 {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					transact(b.t, m, o, simple("SELECT 7"))
				}
			})
		}
	}
	return callers
}

func (b *testbed) ran() int {
	b.member.mu.Lock()
	defer b.member.mu.Unlock()
	return len(b.member.ran)
}

func (b *testbed) checkPeak(limit int) {
	b.t.Helper()
	b.member.mu.Lock()
	defer b.member.mu.Unlock()
	if b.member.peak > limit {
		b.t.Errorf("statements at once = %d, want %d at most", b.member.peak, limit)
	}
}

func TestTwoProxiesThatBothHoldALaneShareItsSlots(t *testing.T) {
	b := newTestbed(t)
	b.member.statementDelay = time.Millisecond
	one, _ := b.startProxy("proxy-1")
	b.eventually("proxy-1 has both slots", func() bool {
		return b.slots(one) == 2
	})
	two, _ := b.startProxy("proxy-2", node("proxy-1"))
	stop := make(chan struct{})
	callers := b.runReads(stop, one, two)
	b.eventually("100 statements", func() bool {
		return b.ran() > 100
	})
	if got := b.slots(two); got != 0 {
		t.Errorf("slots of proxy-2 = %d while proxy-1 has all, want 0", got)
	}
	close(stop)
	callers.Wait()
	b.checkPeak(2)
}

func TestHandoverMovesSlotsAndFinishesTransactions(t *testing.T) {
	b := newTestbed(t)
	b.member.statementDelay = time.Millisecond
	one, peers := b.startProxy("proxy-1")
	b.eventually("proxy-1 has both slots", func() bool {
		return b.slots(one) == 2
	})
	open, err := one.Begin(t.Context(), optionsFor(false))
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	drop := func([]byte) error {
		return nil
	}
	if _, err := open.Exchange(t.Context(), simple("BEGIN"), drop); err != nil {
		t.Fatal(err)
	}
	two, _ := b.startProxy("proxy-2", egret.Node{
		ID:    "proxy-1",
		State: egret.NodeLeaving,
	})
	stop := make(chan struct{})
	callers := b.runReads(stop, one, two)
	peers.setLive(node("proxy-2"))
	b.eventually("proxy-2 has a slot", func() bool {
		return b.slots(two) > 0
	})
	b.eventually("proxy-1 refuses new transactions", func() bool {
		_, _, err := transact(t, one, optionsFor(true), simple("SELECT 7"))
		return err != nil && egret.FailureOf(err).Reason == egret.ReasonNoLane
	})
	if _, err := open.Exchange(t.Context(), simple("COMMIT"), drop); err != nil {
		t.Errorf("the open transaction failed: %v", err)
	}
	open.Close()
	b.eventually("proxy-2 has all slots", func() bool {
		return b.slots(two) == 2
	})
	close(stop)
	callers.Wait()
	b.checkPeak(2)
}

func TestLocksOfADeadProxyAreFreed(t *testing.T) {
	b := newTestbed(t)
	b.startProxy("proxy-1")
	b.eventually("proxy-1 has both slots", func() bool {
		b.member.mu.Lock()
		defer b.member.mu.Unlock()
		return len(b.member.locks) == 2
	})
	// proxy-2 doesn't know proxy-1, as if proxy-1 were dead, and terminates its connections after
	// absenceTimeout.
	two, _ := b.startProxy("proxy-2")
	b.eventually("proxy-2 has a slot", func() bool {
		return b.slots(two) > 0
	})
}

func TestLostLocksAreTakenAgain(t *testing.T) {
	b := newTestbed(t)
	b.member.statementDelay = time.Millisecond
	m, _ := b.startProxy("proxy-1")
	b.eventually("both slots", func() bool {
		return b.slots(m) == 2
	})
	stop := make(chan struct{})
	callers := b.runReads(stop, m)
	b.member.endAll("/slots")
	b.eventually("statements again", func() bool {
		return b.slots(m) == 2 && b.ran() > 200
	})
	close(stop)
	callers.Wait()
	b.checkPeak(2)
}

func TestHandoverWaitsForConfirmations(t *testing.T) {
	b := newTestbed(t)
	release := make(chan struct{})
	asked := make(chan struct{}, 10)
	b.control.onAwait = func(ctx context.Context, _ string, p egret.Position) (egret.MemberState, error) {
		asked <- struct{}{}
		select {
		case <-release:
			return received(1, p), nil
		case <-ctx.Done():
			return egret.MemberState{}, ctx.Err()
		}
	}
	m, peers := b.startProxy("proxy-1")
	done := make(chan error)
	go func() {
		_, _, err := transact(t, m, optionsFor(false), simple("INSERT 7"))
		done <- err
	}()
	<-asked
	peers.setLive(node("proxy-2"))
	b.eventually("proxy-1 has given its slots back", func() bool {
		return b.slots(m) == 0
	})
	// Unless the write keeps it open, the lane is removed at one of the next checks.
	time.Sleep(3 * reconcileInterval)
	close(release)
	if err := <-done; err != nil {
		t.Errorf("the write failed: %v", err)
	}
	b.eventually("the lane has ended", func() bool {
		return len(m.Status()) == 0
	})
}

// TestOverdueStatementsAreKeptAfterAFailedTermination lets the connection for the slot locks fail at the first of two
// overdue statements. The next connection has to terminate both.
func TestOverdueStatementsAreKeptAfterAFailedTermination(t *testing.T) {
	b := newTestbed(t)
	m, _ := b.startProxy("proxy-1")
	l := &lane{
		manager: m,
		ctx:     t.Context(),
	}
	slotConn, err := b.lane(m).openSlots()
	if err != nil {
		t.Fatal(err)
	}
	slotConn.Close()
	for process := range uint32(2) {
		l.overdue = append(l.overdue, overdueStatement{
			processID: process + 1,
		})
	}
	s := slotLocker{
		lane:     l,
		slotConn: slotConn,
	}
	if err := s.terminateOverdue(); err == nil {
		t.Error("a termination on a closed connection succeeded")
	}
	if n := len(l.takeOverdue()); n != 2 {
		t.Errorf("%d overdue statements kept, want 2", n)
	}
}
