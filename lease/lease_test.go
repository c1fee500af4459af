package lease

import (
	"fmt"
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// TestLeaseOutlastsStoreOutage cuts all processes off from the store, and a minority of them off from the others.
// Promises of the remaining voters must keep the lease of the holder valid.
func TestLeaseOutlastsStoreOutage(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	cl.update(func() {
		for _, l := range cl.leases {
			cl.storeCuts[l.Self.Node] = true
		}
		for i := 3; i < 5; i++ {
			for j := range 5 {
				cl.peerCuts[[2]string{nodeName(i), nodeName(j)}] = i != j
			}
		}
	})
	for began := time.Now(); time.Since(began) < 4*time.Second; {
		if l := cl.validHolder(t); l != holder {
			t.Fatalf("the holder lost the lease after %v", time.Since(began))
		}
		time.Sleep(time.Millisecond)
	}
}

// TestIdleLeasesCheckRarely guards against the load of many services with many processes: while the holder of a
// service responds, the other processes check it at idleCheckInterval only.
func TestIdleLeasesCheckRarely(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 3)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	time.Sleep(2 * idleCheckInterval)
	before := map[string]int64{}
	for _, l := range cl.leases {
		before[l.Self.Node] = l.Peers.(*fakePeers).responseChecks.Load()
	}
	span := 6 * idleCheckInterval
	time.Sleep(span)
	for _, l := range cl.leases {
		if l == holder {
			continue
		}
		checks := l.Peers.(*fakePeers).responseChecks.Load() - before[l.Self.Node]
		// Each check calls UnresponsiveFor twice, and the span may begin and end with one.
		if limit := 2 * (int64(span/idleCheckInterval) + 1); checks > limit {
			t.Errorf("%s checked the holder %d times in %s, want at most %d", l.Self.Node, checks, span, limit)
		}
	}
}

// TestSuccessorAcquiresReleasedLease releases a lease while the others see the store's changes late, as in a planned
// shutdown with a slow store. No process may try to acquire it at the revision before the release, which would
// delay the successor, and the successor must acquire it as soon as it sees the release.
func TestSuccessorAcquiresReleasedLease(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	time.Sleep(minVoterChangeInterval)
	successor := nodeName(4)
	cl.update(func() {
		cl.changesHidden = true
		cl.conflicts = 0
	})
	holder.DisableAcquisition()
	holder.Release(t.Context(), successor)
	time.Sleep(successorHeadStart)
	cl.update(func() {
		if cl.conflicts > 0 {
			t.Errorf("%d writes at a revision that is no longer the newest", cl.conflicts)
		}
		cl.changesHidden = false
	})
	cl.awaitHolder(t, "successor", 5*successorHeadStart, func(l *Lease) bool { return l.Self.Node == successor })
}

// TestSuccessorWaitsForPromises cuts the holder off from the store and from one other process, which acquires the
// lease. The holder still gets promises from the remaining processes, so the successor has to wait until these
// refuse them.
func TestSuccessorWaitsForPromises(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	other := nodeName(4)
	cl.update(func() {
		cl.storeCuts[holder.Self.Node] = true
		cl.peerCuts[[2]string{holder.Self.Node, other}] = true
	})
	cl.awaitHolder(t, "successor", 8*time.Second, func(l *Lease) bool { return l.Self.Node == other })
}

// TestExpiredHolderIsReplaced cuts the holder off from the store for longer than promises can extend its lease.
// Another process must acquire the lease although the holder responds to it.
func TestExpiredHolderIsReplaced(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 3)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	cl.update(func() { cl.storeCuts[holder.Self.Node] = true })
	cl.awaitHolder(t, "successor", maxExtension+5*time.Second, func(l *Lease) bool { return l != holder })
}

// TestEndedLeaseGoesToBestPlacedProcess guards against a holder that gives up, and a service that goes to any of many processes, the
// smallest ones too, after as many writes to the store.
func TestEndedLeaseGoesToBestPlacedProcess(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 8)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	time.Sleep(2 * minVoterChangeInterval)
	best := nodeName(0)
	if holder.Self.Node == best {
		best = nodeName(1)
	}
	cl.update(func() {
		cl.storeCuts[holder.Self.Node] = true
		cl.conflicts = 0
	})
	holder.DisableAcquisition()
	next := cl.awaitHolder(t, "successor", maxExtension+3*time.Second, func(l *Lease) bool { return l != holder })
	if next.Self.Node != best {
		t.Errorf("%s has acquired the service, want %s", next.Self.Node, best)
	}
	cl.update(func() {
		if cl.conflicts > 1 {
			t.Errorf("%d writes of processes that came too late", cl.conflicts)
		}
	})
}

// TestHolderKeepsLeaseAfterPartition partitions all other processes from the store and from the holder. When the
// partition heals, the holder must keep the lease.
func TestHolderKeepsLeaseAfterPartition(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	for range 3 {
		cl.update(func() {
			for i := range 5 {
				if name := nodeName(i); name != holder.Self.Node {
					cl.storeCuts[name] = true
					cl.peerCuts[[2]string{holder.Self.Node, name}] = true
				}
			}
		})
		for began := time.Now(); time.Since(began) < 1700*time.Millisecond; {
			cl.validHolder(t)
			time.Sleep(time.Millisecond)
		}
		cl.update(func() {
			clear(cl.storeCuts)
			clear(cl.peerCuts)
		})
		for began := time.Now(); time.Since(began) < time.Second; {
			if l := cl.validHolder(t); l != holder {
				t.Fatalf("the holder lost the lease %v after the partition had healed", time.Since(began))
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// TestSuccessorKnowsThatItMustWait guards against statements that wait until their time is over at a successor on the
// smaller side of a partition, while the former holder on the other side can run them.
func TestSuccessorKnowsThatItMustWait(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	if wait := holder.AwaitsUnreachable(); wait != 0 {
		t.Errorf("the holder waits %s", wait)
	}
	minority := map[string]bool{}
	for _, l := range cl.leases {
		if l != holder && len(minority) < 2 {
			minority[l.Self.Node] = true
		}
	}
	cl.update(func() {
		for i := range 5 {
			for j := range 5 {
				cl.peerCuts[[2]string{nodeName(i), nodeName(j)}] = minority[nodeName(i)] != minority[nodeName(j)]
			}
			cl.storeCuts[nodeName(i)] = !minority[nodeName(i)]
		}
	})
	deadline := time.Now().Add(5 * time.Second)
	for {
		waits := time.Duration(0)
		for _, l := range cl.leases {
			waits = max(waits, l.AwaitsUnreachable())
		}
		if waits > maxExtension/2 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no successor knows that it must wait for voters that it can't reach")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if !holder.Valid() {
		t.Error("the former holder has lost its lease")
	}
}

// TestNamedSuccessorGoesFirst releases a lease to the process of the lowest rank, which must acquire it without the
// delays of its rank.
func TestNamedSuccessorGoesFirst(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	holder.DisableAcquisition()
	began := time.Now()
	holder.Release(t.Context(), nodeName(4))
	cl.awaitHolder(t, "successor", 5*time.Second, func(l *Lease) bool { return l.Self.Node == nodeName(4) })
	if elapsed := time.Since(began); elapsed > 250*time.Millisecond {
		t.Errorf("the successor's lease became valid after %v", elapsed)
	}
}

// TestNewHolderIsNotReplacedForEarlierSilence guards against a holder that has just acquired the lease and is replaced
// because a process got no response from it before, as after a loss of power.
func TestNewHolderIsNotReplacedForEarlierSilence(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 3)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	next, other := nodeName(1), 2
	if holder.Self.Node == next {
		next = nodeName(0)
	}
	peers := cl.leases[other].Peers.(*fakePeers)
	cl.update(func() { cl.peerCuts[[2]string{nodeName(other), next}] = true })
	peers.mu.Lock()
	peers.unresponsiveSince[next] = clock.Now().Add(-10 * time.Second)
	peers.mu.Unlock()
	holder.DisableAcquisition()
	holder.Release(t.Context(), next)
	cl.awaitHolder(t, "successor", 5*time.Second, func(l *Lease) bool { return l.Self.Node == next })
	time.Sleep(holderTimeout / 2)
	cl.update(func() { clear(cl.peerCuts) })
	time.Sleep(2 * holderTimeout)
	if v, _ := cl.leases[other].LatestRecord(); v.Record.Node != next {
		t.Errorf("%s has replaced the new holder", v.Record.Node)
	}
}

// TestBusyLinkBetweenRegionsReplacesNoHolder guards against holders that are replaced by processes in another region, though they
// run and are reached in their own, while the link between the regions is busy.
func TestBusyLinkBetweenRegionsReplacesNoHolder(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	cl.update(func() {
		for i := range 2 {
			far := cl.leases[(i+1)%5]
			far.Peers.(*fakePeers).replacementDelay = 2 * holderTimeout
			cl.peerCuts[[2]string{far.Self.Node, holder.Self.Node}] = far != holder
		}
	})
	for began := time.Now(); time.Since(began) < 5*holderTimeout/2; time.Sleep(time.Millisecond) {
		if l := cl.validHolder(t); l != holder {
			t.Fatalf("the holder was replaced after %v", time.Since(began))
		}
	}
	cl.update(func() { clear(cl.peerCuts) })
}

// TestHolderIsReplacedInItsRegion guards against a lost holder that is replaced late, as processes of a higher rank in other
// regions wait.
func TestHolderIsReplacedInItsRegion(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	cl.update(func() {
		for _, l := range cl.leases {
			p := l.Peers.(*fakePeers)
			p.near = l.Self.Node == nodeName(4)
			if !p.near {
				p.replacementDelay = 4 * holderTimeout
			}
			cl.peerCuts[[2]string{l.Self.Node, holder.Self.Node}] = l != holder
		}
		cl.storeCuts[holder.Self.Node] = true
	})
	cl.awaitHolder(t, "successor", 5*time.Second, func(l *Lease) bool { return l.Self.Node == nodeName(4) })
}

// TestSuccessorOfSilentHolderIsKept guards against a successor that is replaced at once by another process, which had found the holder
// before it silent.
func TestSuccessorOfSilentHolderIsKept(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	cl.update(func() {
		cl.storeCuts[holder.Self.Node] = true
		for i, l := range cl.leases {
			p := l.Peers.(*fakePeers)
			p.near = true
			p.pingTimeout = time.Duration(3+i) * 100 * time.Millisecond
			cl.peerCuts[[2]string{holder.Self.Node, l.Self.Node}] = l != holder
		}
	})
	first := ""
	for deadline := time.Now().Add(5 * time.Second); first == ""; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no process acquires the lease")
		}
		if v, err := decodeRecord(cl.takeCopy().item); err == nil && v.Record.Node != holder.Self.Node {
			first = v.Record.Node
		}
	}
	next := cl.awaitHolder(t, "successor", 5*time.Second, func(l *Lease) bool { return l != holder })
	if next.Self.Node != first {
		t.Errorf("%s has replaced %s, which had just acquired the lease", next.Self.Node, first)
	}
}

// TestCauseOfOlderRecordAcquiresNothing guards against two holders: a process takes a service whose holder had released it, without a
// wait, from the successor that it has learned of in the meantime.
func TestCauseOfOlderRecordAcquiresNothing(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 3)
	former := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	released := cl.takeCopy().item.Revision
	holder := cl.successorOf(t, former)
	time.Sleep(50 * time.Millisecond)
	former.acquire(t.Context(), cause{
		name:          "released",
		holderStopped: true,
		stored:        released,
	})
	if l := cl.validHolder(t); l != holder {
		t.Error("the successor has lost the lease")
	}
	if v, err := decodeRecord(cl.takeCopy().item); err != nil || v.Record.Node != holder.Self.Node {
		t.Errorf("the record names %q, %v", v.Record.Node, err)
	}
}

// TestReleaseSparesARefusingStore guards against a process that stops and floods a store that refuses its calls.
func TestReleaseSparesARefusingStore(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 3)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	cl.update(func() { cl.refusing = true })
	holder.Release(t.Context(), "")
	cl.update(func() {
		if limit := int(releaseTimeout / checkInterval); cl.refusals == 0 || cl.refusals > limit {
			t.Errorf("%d calls in %v, want 1 to %d", cl.refusals, releaseTimeout, limit)
		}
	})
}

// TestLostRecordIsRestored makes the store lose the record of a running holder, which must keep the lease.
func TestLostRecordIsRestored(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 3)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	cl.update(func() { cl.item.Revision = egret.Revision{} })
	for began := time.Now(); time.Since(began) < 3*time.Second; {
		if l := cl.validHolder(t); l != holder {
			t.Fatalf("the holder lost the lease after %v", time.Since(began))
		}
		time.Sleep(time.Millisecond)
	}
}

// TestOneHolderAtATime injects random partitions, lost responses and delayed writes. There must never be two valid
// leases, and there must be one soon after all faults have ended.
func TestOneHolderAtATime(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			testOneHolder(t, seed, false)
		})
	}
}

// TestOneHolderAcrossRestores guards against two holders, and against a service that has none for good, after the store
// came back from an older copy in which the service had another holder, or none.
func TestOneHolderAcrossRestores(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			testOneHolder(t, seed, true)
		})
	}
}

func testOneHolder(t *testing.T, seed uint64, restores bool) {
	t.Helper()
	cl := newCluster()
	cl.start(t, 5)
	done := make(chan struct{})
	go func() {
		defer close(done)
		cl.injectFaults(seed, 24, 500*time.Millisecond, restores)
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
			cl.validHolder(t)
			time.Sleep(time.Millisecond)
		}
	}
	cl.update(func() {
		clear(cl.storeCuts)
		clear(cl.lostReplies)
		clear(cl.peerCuts)
	})
	cl.awaitHolder(t, "holder after all faults have ended", maxExtension+5*time.Second, func(*Lease) bool { return true })
}

// successorOf makes the holder release the lease, and returns the next holder.
func (cl *cluster) successorOf(t *testing.T, holder *Lease) *Lease {
	t.Helper()
	next := nodeName(0)
	if holder.Self.Node == next {
		next = nodeName(1)
	}
	holder.Release(t.Context(), next)
	return cl.awaitHolder(t, "successor", 5*time.Second, func(l *Lease) bool { return l != holder })
}

// outage makes the store silent for the time, and then replaces it by the copy.
func (cl *cluster) outage(t *testing.T, d time.Duration, c storeCopy) {
	t.Helper()
	cl.update(func() {
		for _, l := range cl.leases {
			cl.storeCuts[l.Self.Node] = true
		}
	})
	for began := time.Now(); time.Since(began) < d; time.Sleep(time.Millisecond) {
		cl.validHolder(t)
	}
	cl.update(func() {
		clear(cl.storeCuts)
		cl.restore(c)
	})
}

// TestHolderOutlastsRestore guards against a holder that loses its lease, and a service that nobody can acquire any more,
// because the copy that the store came back from names the holder before it.
func TestHolderOutlastsRestore(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	former := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	older := cl.takeCopy()
	holder := cl.successorOf(t, former)
	token := holder.FencingToken()
	cl.outage(t, 2*time.Second, older)
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(time.Millisecond) {
		if l := cl.validHolder(t); l != holder {
			t.Fatalf("the holder lost the lease %v after the restore", time.Since(began))
		}
	}
	for _, l := range cl.leases {
		if v, _ := l.LatestRecord(); v.Record.Node != holder.Self.Node || v.restored() {
			t.Errorf("%s knows %+v", l.Self.Node, v)
		}
	}
	next := cl.successorOf(t, holder)
	if next.FencingToken() <= token {
		t.Errorf("the next holder has token %d after %d", next.FencingToken(), token)
	}
}

// TestLostHolderIsReplacedAfterRestore guards against a service without a holder after the store came back from a copy that
// names a process which has released the lease, while its successor is gone.
func TestLostHolderIsReplacedAfterRestore(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	former := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	older := cl.takeCopy()
	holder := cl.successorOf(t, former)
	if err := holder.SetPrimary(t.Context(), "m2"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	cl.update(func() {
		for _, l := range cl.leases {
			cl.peerCuts[[2]string{holder.Self.Node, l.Self.Node}] = true
		}
	})
	cl.outage(t, 2*time.Second, older)
	cl.update(func() { cl.storeCuts[holder.Self.Node] = true })
	next := cl.awaitHolder(t, "successor", 8*time.Second, func(l *Lease) bool { return l != holder })
	if p := next.Primary(); p != "m2" || !next.PrimaryUncertain() {
		t.Errorf("the successor takes %q for the primary, uncertain: %t", p, next.PrimaryUncertain())
	}
	if err := next.SetPrimary(t.Context(), "m3"); err != nil || next.PrimaryUncertain() {
		t.Errorf("after another promotion, uncertain: %t, %v", next.PrimaryUncertain(), err)
	}
}

// TestOldIntentBringsBackNoPrimary guards against commits that are lost: a successor takes for the primary one that was
// sent to the voters while the store was silent, though another member was promoted and recorded since.
func TestOldIntentBringsBackNoPrimary(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	cl.update(func() { cl.storeCuts[holder.Self.Node] = true })
	if err := holder.SetPrimary(t.Context(), "m2"); err != nil {
		t.Fatal(err)
	}
	cl.update(func() { clear(cl.storeCuts) })
	recorded := func(member string) bool {
		v, err := decodeRecord(cl.takeCopy().item)
		return err == nil && v.Record.Primary == member
	}
	for deadline := time.Now().Add(5 * time.Second); !recorded("m2"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the primary that the voters have is not written")
		}
	}
	if err := holder.SetPrimary(t.Context(), "m3"); err != nil {
		t.Fatal(err)
	}
	cl.update(func() {
		cl.storeCuts[holder.Self.Node] = true
		for _, l := range cl.leases {
			cl.peerCuts[[2]string{holder.Self.Node, l.Self.Node}] = l != holder
		}
	})
	next := cl.awaitHolder(t, "successor", 8*time.Second, func(l *Lease) bool { return l != holder })
	if p := next.Primary(); p != "m3" {
		t.Errorf("the successor takes %q for the primary, want m3", p)
	}
}

// TestOldIntentDoesNotMakePrimaryCertain guards against commits that are lost: a restored store has lost the record of the
// last promotion, and its successor takes an earlier one, which voters still have, for the last.
func TestOldIntentDoesNotMakePrimaryCertain(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	older := cl.takeCopy()
	cl.update(func() {
		cl.changesHidden = true
		cl.storeCuts[holder.Self.Node] = true
	})
	if err := holder.SetPrimary(t.Context(), "m2"); err != nil {
		t.Fatal(err)
	}
	cl.update(func() { clear(cl.storeCuts) })
	if err := holder.SetPrimary(t.Context(), "m3"); err != nil {
		t.Fatal(err)
	}
	cl.update(func() {
		cl.restore(older)
		cl.changesHidden = false
		cl.storeCuts[holder.Self.Node] = true
		for _, l := range cl.leases {
			cl.peerCuts[[2]string{holder.Self.Node, l.Self.Node}] = l != holder
		}
	})
	next := cl.awaitHolder(t, "successor", maxExtension+5*time.Second, func(l *Lease) bool { return l != holder })
	if !next.PrimaryUncertain() {
		t.Errorf("the successor takes %q for the primary for certain", next.Primary())
	}
}

// TestMissingRecordOfRestoredStoreIsWaitedFor guards against two holders: a process starts, takes a service without a record
// for one that never had a holder, and doesn't wait for the holder whose record a restored store has lost.
func TestMissingRecordOfRestoredStoreIsWaitedFor(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.revision.Era = 2
	cl.start(t, 1)
	l := cl.leases[0]
	for deadline := time.Now().Add(5 * time.Second); !l.Acquired(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the process doesn't acquire the lease")
		}
	}
	for began := time.Now(); time.Since(began) < maxExtension/2; time.Sleep(time.Millisecond) {
		if l.Valid() {
			t.Fatalf("the lease is valid after %v", time.Since(began))
		}
	}
	cl.awaitHolder(t, "holder", maxExtension, func(*Lease) bool { return true })
}

// TestNewServiceOfRestoredStoreIsServedSoon guards against services that are configured long after a restore of the store and have no
// holder for nine seconds, as each missing record may be a lost one.
func TestNewServiceOfRestoredStoreIsServedSoon(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.revision.Era = 2
	cl.eraKnownSince = clock.Now().Add(-2 * maxExtension)
	cl.start(t, 3)
	began := time.Now()
	cl.awaitHolder(t, "holder", 2*maxExtension, func(*Lease) bool { return true })
	if elapsed := time.Since(began); elapsed > missingRecordDelay+leaseTTL+time.Second {
		t.Errorf("the lease is valid after %v", elapsed)
	}
}

// TestUnseenHolderKeepsLeaseAfterRestore guards against two holders: the store comes back from a copy, to processes that
// know neither the holder nor its record, while that is cut off from the store and goes on with promises.
func TestUnseenHolderKeepsLeaseAfterRestore(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	former := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	older := cl.takeCopy()
	cl.update(func() { cl.changesHidden = true })
	holder := cl.leases[0]
	if holder == former {
		holder = cl.leases[1]
	}
	former.Release(t.Context(), holder.Self.Node)
	holder.Observe(cl.takeCopy().item)
	cl.awaitHolder(t, "successor", 5*time.Second, func(l *Lease) bool { return l == holder })
	cl.outage(t, 1500*time.Millisecond, older)
	cl.update(func() {
		cl.changesHidden = false
		cl.storeCuts[holder.Self.Node] = true
	})
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(time.Millisecond) {
		cl.validHolder(t)
	}
	cl.update(func() { clear(cl.storeCuts) })
	cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
}
