package claim

import (
	"fmt"
	"testing"
	"time"
)

// TestHoldingOutlastsTheStore takes the store away from all and loses a minority: the holder goes on.
func TestHoldingOutlastsTheStore(t *testing.T) {
	t.Parallel()
	w := newWorld()
	w.start(t, 5)
	holder := w.await(t, "holder", 5*time.Second, func(*Claim) bool { return true })
	w.change(func() {
		for _, c := range w.claims {
			w.cutStore[c.Self.Node] = true
		}
		for i := 3; i < 5; i++ {
			for j := range 5 {
				w.cutPeers[[2]string{nodeName(i), nodeName(j)}] = i != j
			}
		}
	})
	for began := time.Now(); time.Since(began) < 4*time.Second; {
		if c := w.valid(t); c != holder {
			t.Fatalf("the holder lost the service after %v", time.Since(began))
		}
		time.Sleep(time.Millisecond)
	}
}

// TestCalmClaimsRest checks the load of many services before many processes: while its holder answers, a
// service costs the others next to nothing.
func TestCalmClaimsRest(t *testing.T) {
	t.Parallel()
	w := newWorld()
	w.start(t, 3)
	holder := w.await(t, "holder", 5*time.Second, func(*Claim) bool { return true })
	time.Sleep(2 * calmInterval)
	before := map[string]int64{}
	for _, c := range w.claims {
		before[c.Self.Node] = c.Peers.(*fakePeers).looks.Load()
	}
	span := 6 * calmInterval
	time.Sleep(span)
	for _, c := range w.claims {
		if c == holder {
			continue
		}
		looks := c.Peers.(*fakePeers).looks.Load() - before[c.Self.Node]
		// Each look asks twice, and the span may begin and end with one.
		if most := 2 * (int64(span/calmInterval) + 1); looks > most {
			t.Errorf("%s looked %d times in %s, want %d at most", c.Self.Node, looks, span, most)
		}
	}
}

// TestReleaseIsTakenBySuccessor releases a service while the others hear of the store's changes late, as in a
// planned stop before a slow store. Nobody may ask for it at the revision before the release, which would keep
// the successor busy, and the successor takes it as soon as it hears of it.
func TestReleaseIsTakenBySuccessor(t *testing.T) {
	t.Parallel()
	w := newWorld()
	w.start(t, 5)
	holder := w.await(t, "holder", 5*time.Second, func(*Claim) bool { return true })
	time.Sleep(votersPause)
	successor := nodeName(4)
	w.change(func() {
		w.unseen = true
		w.conflicts = 0
	})
	holder.Leave()
	holder.Release(t.Context(), successor)
	time.Sleep(succession)
	w.change(func() {
		if w.conflicts > 0 {
			t.Errorf("%d writes at a revision that is gone", w.conflicts)
		}
		w.unseen = false
	})
	w.await(t, "successor", 5*succession, func(c *Claim) bool { return c.Self.Node == successor })
}

// TestSuccessorWaitsForPromises cuts the holder from the store and from one other process, which
// takes the record. The holder has its promises from the rest, so the successor has to wait until
// these bar them.
func TestSuccessorWaitsForPromises(t *testing.T) {
	t.Parallel()
	w := newWorld()
	w.start(t, 5)
	holder := w.await(t, "holder", 5*time.Second, func(*Claim) bool { return true })
	other := nodeName(4)
	w.change(func() {
		w.cutStore[holder.Self.Node] = true
		w.cutPeers[[2]string{holder.Self.Node, other}] = true
	})
	w.await(t, "successor", 8*time.Second, func(c *Claim) bool { return c.Self.Node == other })
}

// TestLapsedHolderGivesUp cuts the holder from the store for longer than promises count. Another
// process takes the service although the holder answers it.
func TestLapsedHolderGivesUp(t *testing.T) {
	t.Parallel()
	w := newWorld()
	w.start(t, 3)
	holder := w.await(t, "holder", 5*time.Second, func(*Claim) bool { return true })
	w.change(func() { w.cutStore[holder.Self.Node] = true })
	w.await(t, "successor", extendLimit+5*time.Second, func(c *Claim) bool { return c != holder })
}

// TestHealedCutTakesNothing cuts a process off from the store and from the holder. When the cut heals,
// the holder keeps its service.
func TestHealedCutTakesNothing(t *testing.T) {
	t.Parallel()
	w := newWorld()
	w.start(t, 5)
	holder := w.await(t, "holder", 5*time.Second, func(*Claim) bool { return true })
	for range 3 {
		w.change(func() {
			for i := range 5 {
				if name := nodeName(i); name != holder.Self.Node {
					w.cutStore[name] = true
					w.cutPeers[[2]string{holder.Self.Node, name}] = true
				}
			}
		})
		for began := time.Now(); time.Since(began) < 1700*time.Millisecond; {
			w.valid(t)
			time.Sleep(time.Millisecond)
		}
		w.change(func() {
			clear(w.cutStore)
			clear(w.cutPeers)
		})
		for began := time.Now(); time.Since(began) < time.Second; {
			if c := w.valid(t); c != holder {
				t.Fatalf("the holder lost the service %v after the cut had healed", time.Since(began))
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// TestReleaseNamesItsSuccessor releases a service to the process that is placed worst.
func TestReleaseNamesItsSuccessor(t *testing.T) {
	t.Parallel()
	w := newWorld()
	w.start(t, 5)
	holder := w.await(t, "holder", 5*time.Second, func(*Claim) bool { return true })
	holder.Leave()
	began := time.Now()
	holder.Release(t.Context(), nodeName(4))
	w.await(t, "successor", 5*time.Second, func(c *Claim) bool { return c.Self.Node == nodeName(4) })
	if elapsed := time.Since(began); elapsed > 250*time.Millisecond {
		t.Errorf("the successor began after %v", elapsed)
	}
}

// TestDroppedRecordIsRestored takes the key away under a living holder.
func TestDroppedRecordIsRestored(t *testing.T) {
	t.Parallel()
	w := newWorld()
	w.start(t, 3)
	holder := w.await(t, "holder", 5*time.Second, func(*Claim) bool { return true })
	w.change(func() { w.item.Revision = 0 })
	for began := time.Now(); time.Since(began) < 3*time.Second; {
		if c := w.valid(t); c != holder {
			t.Fatalf("the holder lost the service after %v", time.Since(began))
		}
		time.Sleep(time.Millisecond)
	}
}

// TestOneHolderAtATime cuts and heals at random, with answers that are lost and writes that land late.
// There are never two holders, and there is one soon after all has healed.
func TestOneHolderAtATime(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld()
			w.start(t, 5)
			done := make(chan struct{})
			go func() {
				defer close(done)
				w.chaos(seed, 24, 500*time.Millisecond)
			}()
			for running := true; running; {
				select {
				case <-done:
					running = false
				default:
					w.valid(t)
					time.Sleep(time.Millisecond)
				}
			}
			w.change(func() {
				clear(w.cutStore)
				clear(w.loseReply)
				clear(w.cutPeers)
			})
			w.await(t, "holder after all has healed", extendLimit+5*time.Second, func(*Claim) bool { return true })
		})
	}
}
