package group

import (
	"context"
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
