package lease

import (
	"testing"
	"time"

	"egretlane.example/egret"
)

// sendPrimaryToVoters makes the holder record the member with the voters only, as the store refuses all writes.
func (cl *cluster) sendPrimaryToVoters(t *testing.T, holder *Lease, member string) {
	t.Helper()
	time.Sleep(minVoterChangeInterval)
	cl.update(func() { cl.refusing = true })
	if err := holder.SetPrimary(t.Context(), member); err != nil {
		t.Fatal(err)
	}
}

// TestTakeoverAsksVotersForThePrimary guards against writes at a primary that was replaced: a successor that need not wait for
// the former holder's lease doesn't learn which member the voters were told.
func TestTakeoverAsksVotersForThePrimary(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(t *testing.T, cl *cluster, holder *Lease){
		"gave up": func(t *testing.T, cl *cluster, holder *Lease) {
			holder.DisableAcquisition()
			holder.endIfHeld("test")
		},
		"own address": func(t *testing.T, cl *cluster, holder *Lease) {
			for i, l := range cl.running() {
				if l == holder {
					cl.restart(t, i)
				}
			}
		},
		"release not written": func(t *testing.T, cl *cluster, holder *Lease) {
			holder.DisableAcquisition()
			holder.Release(t.Context(), "")
		},
		"stopped": func(t *testing.T, cl *cluster, holder *Lease) {
			cl.update(func() {
				for _, l := range cl.leases {
					cl.peerCuts[[2]string{holder.Self.Node, l.Self.Node}] = l != holder
					l.Peers.(*fakePeers).stopped[holder.Self.Node] = true
				}
				cl.storeCuts[holder.Self.Node] = true
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cl := newCluster()
			cl.start(t, 5)
			holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
			if err := holder.SetPrimary(t.Context(), "m1"); err != nil {
				t.Fatal(err)
			}
			cl.sendPrimaryToVoters(t, holder, "m2")
			end(t, cl, holder)
			cl.update(func() { cl.refusing = false })
			next := cl.awaitHolder(t, "successor", 8*time.Second, func(l *Lease) bool { return l != holder })
			if p := next.Primary(); p != "m2" || next.PrimaryUncertain() {
				t.Errorf("the successor takes %q for the primary, uncertain: %t, want m2", p, next.PrimaryUncertain())
			}
		})
	}
}

// TestReleaseHasThePrimaryOfTheVoters guards against writes at a primary that was replaced: a holder releases the service to
// a successor, and the record lacks the primary that only the voters were told.
func TestReleaseHasThePrimaryOfTheVoters(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	cl.sendPrimaryToVoters(t, holder, "m2")
	cl.update(func() {
		cl.refusing = false
		for _, l := range cl.leases {
			cl.peerCuts[[2]string{holder.Self.Node, l.Self.Node}] = l != holder
		}
	})
	holder.Release(t.Context(), "")
	v, err := decodeRecord(cl.takeCopy().item)
	if err != nil || v.Record.Primary != "m2" {
		t.Errorf("the record names the primary %q, %v, want m2", v.Record.Primary, err)
	}
}

// TestPrimaryIsUncertainIfVotersRestarted guards against writes at a primary that was replaced: all processes end, and with
// them the voters' knowledge of a primary that the store doesn't have.
func TestPrimaryIsUncertainIfVotersRestarted(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	cl.sendPrimaryToVoters(t, holder, "m2")
	cl.restart(t, 0, 1, 2, 3, 4)
	cl.update(func() { cl.refusing = false })
	next := cl.awaitHolder(t, "successor", 8*time.Second, func(l *Lease) bool { return l != holder })
	if !next.PrimaryUncertain() {
		t.Errorf("the successor takes %q for the primary for certain", next.Primary())
	}
	if err := next.SetPrimary(t.Context(), "m2"); err != nil || next.PrimaryUncertain() {
		t.Errorf("after a promotion, uncertain: %t, %v", next.PrimaryUncertain(), err)
	}
}

// TestRestartedVotersLearnThePrimaryAgain guards against voters that are restarted one after the other while the store doesn't
// respond to the holder, until none remembers the primary that only they were told.
func TestRestartedVotersLearnThePrimaryAgain(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	time.Sleep(minVoterChangeInterval)
	cl.update(func() { cl.storeCuts[holder.Self.Node] = true })
	if err := holder.SetPrimary(t.Context(), "m2"); err != nil {
		t.Fatal(err)
	}
	voter := 0
	if cl.leases[voter] == holder {
		voter = 1
	}
	cl.restart(t, voter)
	knows := func() bool {
		l := cl.running()[voter]
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.voter.intent.Primary == "m2"
	}
	for deadline := time.Now().Add(3 * time.Second); !knows(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the voter that was restarted doesn't learn the primary")
		}
	}
}

// TestPrimaryStaysCertainWithoutItsHolder guards against promotions without need: a process that ends doesn't make the primary
// uncertain while the others remember what they were told.
func TestPrimaryStaysCertainWithoutItsHolder(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	if err := holder.SetPrimary(t.Context(), "m1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(minVoterChangeInterval)
	for i, l := range cl.running() {
		if l == holder {
			cl.restart(t, i, (i+1)%5)
		}
	}
	next := cl.awaitHolder(t, "successor", 8*time.Second, func(l *Lease) bool { return l != holder })
	if p := next.Primary(); p != "m1" || next.PrimaryUncertain() {
		t.Errorf("the successor takes %q for the primary, uncertain: %t, want m1", p, next.PrimaryUncertain())
	}
}

// TestUnreachableVotersDelayNoTakeover guards against a service without a holder for long: the voters of a holder that has
// stopped can't be reached, and its primary is uncertain then.
func TestUnreachableVotersDelayNoTakeover(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 5)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	cl.sendPrimaryToVoters(t, holder, "m2")
	cl.update(func() {
		cl.refusing = false
		for i := range 5 {
			cl.storeCuts[nodeName(i)] = cl.leases[i] != holder
			for j := range 5 {
				cl.peerCuts[[2]string{nodeName(i), nodeName(j)}] = i != j
			}
		}
	})
	for i, l := range cl.running() {
		if l == holder {
			cl.restart(t, i)
		}
	}
	began := time.Now()
	next := cl.awaitHolder(t, "successor", 8*time.Second, func(l *Lease) bool { return l != holder })
	if elapsed := time.Since(began); elapsed > maxIntentWait+time.Second {
		t.Errorf("the lease is valid after %v", elapsed)
	}
	if !next.PrimaryUncertain() {
		t.Errorf("the successor takes %q for the primary for certain", next.Primary())
	}
}

// TestOlderVoterRemembersNothing guards against a primary that is taken for certain on the word of a process of an earlier
// version, which doesn't tell since when it runs, or of one that doesn't know the service.
func TestOlderVoterRemembersNothing(t *testing.T) {
	voters := []Voter{{Node: "n1"}, {Node: "n2"}, {Node: "n3"}}
	for _, c := range []struct {
		name     string
		complete []Voter
		want     bool
	}{
		{name: "none", want: true},
		{name: "one", complete: voters[:1], want: true},
		{name: "majority", complete: voters[:2]},
		{name: "all", complete: voters},
	} {
		f := fencing{
			unasked:  [][]Voter{voters},
			refusing: voters,
			complete: c.complete,
		}
		if got := f.incomplete(); got != c.want {
			t.Errorf("%s: incomplete %t, want %t", c.name, got, c.want)
		}
	}
	l := Lease{}
	l.Init()
	if l.Fence(Fence{Revision: egret.Revision{Number: 5}, Since: egret.Revision{Number: 4}}).Complete {
		t.Error("a process that has read nothing claims to remember")
	}
}

// TestMembersOutlastTheHolder guards against a holder that doesn't know which members may have acknowledged commits.
func TestMembersOutlastTheHolder(t *testing.T) {
	t.Parallel()
	cl := newCluster()
	cl.start(t, 3)
	holder := cl.awaitHolder(t, "holder", 5*time.Second, func(*Lease) bool { return true })
	members := []egret.KnownMember{{
		ID:        "m1",
		StartTime: time.UnixMilli(1500),
		Address:   nodeAddress(9),
		Draining:  true,
	}}
	if err := holder.SetMembers(t.Context(), members); err != nil {
		t.Fatal(err)
	}
	if err := holder.SetPrimary(t.Context(), "m1"); err != nil {
		t.Fatal(err)
	}
	next := cl.successorOf(t, holder)
	if got := next.Members(); len(got) != 1 || got[0].ID != "m1" || !got[0].StartTime.Equal(time.UnixMilli(1500)) ||
		got[0].Address != nodeAddress(9) || !got[0].Draining {
		t.Errorf("the successor knows the members %+v", got)
	}
}
