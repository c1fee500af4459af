package group

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"egretlane.example/egret"
)

// startSyncLane runs a lane with a synchronous replica, and writes one commit that c doesn't receive.
func startSyncLane(t *testing.T, s *fakeService) (*Lane, *fakeLease) {
	t.Helper()
	l, h := startLane(t, s)
	configureSync(l, 1)
	l.SetMembers(s.backends())
	awaitPrimary(t, l)
	s.member("c", func(m *fakeMember) { m.replicationPaused = true })
	if a := l.Stream().Do(context.Background(), write("1")); a.Fault.Kind != egret.FaultNone {
		t.Fatalf("%+v", a)
	}
	return l, h
}

func configureSync(l *Lane, replicas int) {
	l.Configure(&egret.Pool{
		Name:         "s",
		Connections:  16,
		SyncReplicas: replicas,
	})
}

// change changes members and passes their registrations to the lane.
func (s *fakeService) change(l *Lane, ids string, change func(m *fakeMember)) {
	for _, id := range ids {
		s.member(string(id), change)
	}
	l.SetMembers(s.backends())
}

// promotions returns the members that were promoted.
func (s *fakeService) promotions() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.promoted)
}

// catchUp lets a replica receive all commits of the other member.
func (s *fakeService) catchUp(id, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[id]
	m.replicationPaused = false
	m.position = s.members[from].position
}

// neverPromoted fails the test if the member is promoted within the time.
func neverPromoted(t *testing.T, s *fakeService, id string, d time.Duration) {
	t.Helper()
	for began := time.Now(); time.Since(began) < d; time.Sleep(10 * time.Millisecond) {
		if slices.Contains(s.promotions(), id) {
			t.Fatalf("%s was promoted after %v, and lacks an acknowledged commit", id, time.Since(began))
		}
	}
}

// TestDrainingMembersKeepCommits guards against acknowledged commits that are lost in a planned replacement: the primary and
// the replica that has them drain, and a replica that lacks them is promoted.
func TestDrainingMembersKeepCommits(t *testing.T) {
	s := newFakeService()
	l, _ := startSyncLane(t, s)
	s.change(l, "ab", func(m *fakeMember) { m.draining = true })
	neverPromoted(t, s, "c", switchoverLagTimeout+transactionDrainTimeout+catchUpTimeout+time.Second)
	s.catchUp("c", "a")
	eventually(t, "promotion of the replica that has caught up", func() bool { return slices.Contains(s.promotions(), "c") })
}

// TestDrainingReplicaLeads guards against a service without a primary, and against lost commits: the primary crashes while the
// only replica that has every acknowledged commit drains.
func TestDrainingReplicaLeads(t *testing.T) {
	s := newFakeService()
	l, _ := startSyncLane(t, s)
	s.change(l, "b", func(m *fakeMember) { m.draining = true })
	s.member("a", func(m *fakeMember) { m.down = true })
	eventually(t, "promotion", func() bool {
		w := write("2")
		w.Timeout = 300 * time.Millisecond
		l.Stream().Do(context.Background(), w)
		return len(s.promotions()) > 0
	})
	if p := s.promotions(); p[0] != "b" {
		t.Errorf("%q were promoted, want b first", p)
	}
}

// TestGoneMembersKeepCommits guards against acknowledged commits that are lost once the members that have them count as gone:
// the registration of the replica, or of both, has been removed, and the primary comes back later with its log.
func TestGoneMembersKeepCommits(t *testing.T) {
	for _, gone := range []string{"b", "ab"} {
		t.Run(gone, func(t *testing.T) {
			t.Parallel()
			s := newFakeService()
			l, _ := startSyncLane(t, s)
			s.change(l, "ab", func(m *fakeMember) { m.down = true })
			s.change(l, gone, func(m *fakeMember) { m.unregistered = true })
			neverPromoted(t, s, "c", missingMemberTimeout+2*time.Second)
			s.change(l, "a", func(m *fakeMember) { m.down, m.unregistered = false, false })
			eventually(t, "answer of the primary that is back", func() bool {
				a := l.Stream().Do(context.Background(), write("2"))
				return a.Fault.Kind == egret.FaultNone && a.Member == "a"
			})
		})
	}
}

// TestNextHolderKeepsCommits guards against acknowledged commits that are lost with the holder: the next one knows neither
// which commits were acknowledged nor the members whose registrations have been removed. The operator may give them up.
func TestNextHolderKeepsCommits(t *testing.T) {
	s := newFakeService()
	l, h := startSyncLane(t, s)
	eventually(t, "record of the members", func() bool { return len(h.Members()) == 3 })
	l.Close()
	s.change(l, "ab", func(m *fakeMember) { m.down, m.unregistered = true, true })
	next, h2 := newLane(s)
	h2.members, h2.primary = h.Members(), "a"
	runLane(t, next)
	configureSync(next, 1)
	next.SetMembers(s.backends())
	neverPromoted(t, s, "c", primarySearchTimeout+2*time.Second)
	configureSync(next, 0)
	eventually(t, "promotion without synchronous replicas", func() bool { return slices.Contains(s.promotions(), "c") })
}

// TestReplacedMemberIsNotAwaited guards against a service without a primary for good: a member that has left stays among those
// that may have commits, though a replica has all of them, or though its log is at its successor.
func TestReplacedMemberIsNotAwaited(t *testing.T) {
	s := newFakeService()
	l, h := startSyncLane(t, s)
	eventually(t, "record of the members", func() bool { return len(h.Members()) == 3 })
	s.change(l, "b", func(m *fakeMember) { m.down, m.unregistered = true, true })
	time.Sleep(missingMemberTimeout + 3*maintenanceInterval)
	if n := len(h.Members()); n != 3 {
		t.Errorf("%d members are recorded while no replica has the commits of the one that left, want 3", n)
	}
	s.catchUp("c", "a")
	eventually(t, "removal of the member that left", func() bool {
		// Its answer shows the position of the replica.
		l.Stream().Do(context.Background(), read("2"))
		return len(h.Members()) == 2
	})
	s.member("a", func(m *fakeMember) { m.down = true })
	eventually(t, "promotion", func() bool {
		w := write("3")
		w.Timeout = 300 * time.Millisecond
		l.Stream().Do(context.Background(), w)
		return slices.Contains(s.promotions(), "c")
	})
}

// TestUnseenMembers checks which reports stand for a member that may have commits.
func TestUnseenMembers(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:1")
	started := time.UnixMilli(1000)
	old := egret.KnownMember{
		ID:        "m",
		StartTime: started,
		Address:   address,
	}
	draining := old
	draining.Draining = true
	for _, c := range []struct {
		name  string
		known egret.KnownMember
		id    string
		start time.Time
		want  int
	}{
		{name: "same process", known: old, id: "m", start: started},
		{name: "started again", known: old, id: "m", start: started.Add(time.Second), want: 1},
		{name: "other at its address", known: old, id: "n", start: started.Add(time.Second), want: 1},
		{name: "successor at its address", known: draining, id: "n", start: started.Add(time.Second)},
	} {
		l := Lane{
			historyComplete: true,
			committed:       map[string]egret.KnownMember{"m": c.known},
		}
		got := l.unseenMembers([]statusReport{{
			id: c.id,
			member: &member{
				backend: egret.Backend{
					ID:        c.id,
					StartTime: c.start,
					Address:   address,
				},
			},
		}})
		if got != c.want {
			t.Errorf("%s: %d members unseen, want %d", c.name, got, c.want)
		}
	}
}

// TestDrainingReplicaIsNotPromotedWithoutNeed guards against a primary that is about to leave, where no commit depends on it: a
// replica that is back a moment later leads.
func TestDrainingReplicaIsNotPromotedWithoutNeed(t *testing.T) {
	s := newFakeService()
	l, _ := startLane(t, s)
	l.SetMembers(s.backends())
	awaitPrimary(t, l)
	s.change(l, "b", func(m *fakeMember) { m.draining = true })
	s.change(l, "ac", func(m *fakeMember) { m.down = true })
	// It shows that the primary is lost.
	w := write("1")
	w.Timeout = 300 * time.Millisecond
	l.Stream().Do(context.Background(), w)
	neverPromoted(t, s, "b", primarySearchTimeout+time.Second)
	s.change(l, "c", func(m *fakeMember) { m.down = false })
	eventually(t, "promotion of the replica that is back", func() bool { return slices.Contains(s.promotions(), "c") })
}

// TestDrainedPrimaryGetsNothing guards against statements at a primary that drains for longer than its members allow, while no
// replica can be promoted. Until then it serves, and a replica that is back is promoted.
func TestDrainedPrimaryGetsNothing(t *testing.T) {
	s := newFakeService()
	l, _ := newLane(s)
	l.DrainLimit = 1500 * time.Millisecond
	runLane(t, l)
	l.SetMembers(s.backends())
	awaitPrimary(t, l)
	s.change(l, "bc", func(m *fakeMember) { m.down = true })
	s.change(l, "a", func(m *fakeMember) { m.draining = true })
	began := time.Now()
	served := 0
	for time.Since(began) < 4*time.Second {
		w := write("1")
		w.Timeout = 100 * time.Millisecond
		a := l.Stream().Do(context.Background(), w)
		if a.Fault.Kind != egret.FaultNone {
			continue
		}
		served++
		if elapsed := time.Since(began); elapsed > l.DrainLimit+w.Timeout+100*time.Millisecond {
			t.Fatalf("%s served a write after %v", a.Member, elapsed)
		}
	}
	if served == 0 {
		t.Error("the draining primary served nothing")
	}
	s.change(l, "b", func(m *fakeMember) { m.down = false })
	eventually(t, "promotion of the replica that is back", func() bool {
		w := write("2")
		w.Timeout = 300 * time.Millisecond
		a := l.Stream().Do(context.Background(), w)
		return a.Fault.Kind == egret.FaultNone && a.Member == "b"
	})
}
