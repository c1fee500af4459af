package group

import (
	"context"
	"testing"
	"time"

	"egretlane.example/egret"
)

// TestReadThatWaitedForThePrimaryHasAFloor queues reads before the lane has a primary, when the history of commits is
// unknown. A read that kept its floor from then would be served by a lagging replica.
func TestReadThatWaitedForThePrimaryHasAFloor(t *testing.T) {
	s := newFakeService()
	s.member("b", func(m *fakeMember) { m.position.Offset = 3 })
	s.member("c", func(m *fakeMember) { m.position.Offset = 3 })
	l, _ := startLane(t, s)
	answers := make(chan egret.Answer)
	for range 8 {
		go func() { answers <- l.Stream().Do(context.Background(), read("1")) }()
	}
	eventually(t, "queued reads", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.queue.Len() == 8
	})
	l.SetMembers(s.backends())
	for range 8 {
		if a := <-answers; a.Fault.Kind != egret.FaultNone || a.Member != "a" {
			t.Errorf("answer %+v, want one of the primary, as the replicas lag", a)
		}
	}
}

// TestReadsSeeAcknowledgedCommits reads after a write that the replicas don't receive.
func TestReadsSeeAcknowledgedCommits(t *testing.T) {
	s := newFakeService()
	l, _ := startLane(t, s)
	l.SetMembers(s.backends())
	awaitPrimary(t, l)
	s.member("b", func(m *fakeMember) { m.replicationPaused = true })
	s.member("c", func(m *fakeMember) { m.replicationPaused = true })
	if a := l.Stream().Do(context.Background(), write("1")); a.Fault.Kind != egret.FaultNone {
		t.Fatalf("write: %+v", a)
	}
	for range 10 {
		if a := l.Stream().Do(context.Background(), read("1")); a.Fault.Kind != egret.FaultNone || a.Member != "a" {
			t.Errorf("answer %+v, want one of the primary", a)
		}
	}
}

// TestReadThatReplicasLackIsServedByThePrimary guards against a read that is refused because both replicas lag, although the primary
// is idle. Members that wait for the floor before they refuse a read take longer than the lane expects a lag to last.
func TestReadThatReplicasLackIsServedByThePrimary(t *testing.T) {
	for name, begin := range map[string]egret.Verb{
		"single":      egret.VerbInvalid,
		"transaction": egret.VerbBeginRead,
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeService()
			l, _ := startLane(t, s)
			l.SetMembers(s.backends())
			awaitPrimary(t, l)
			for _, id := range []string{"b", "c"} {
				s.member(id, func(m *fakeMember) {
					m.replicationPaused = true
					m.floorWait = 50 * time.Millisecond
				})
			}
			committed := l.Stream().Do(context.Background(), write("1"))
			if committed.Fault.Kind != egret.FaultNone {
				t.Fatalf("write: %+v", committed)
			}
			w := read("2")
			w.Begin = begin
			w.Consistency = egret.ConsistencySession
			w.MaxStaleness = time.Minute
			w.LastCommit, w.LastCommitTerm = committed.Position, committed.Term
			stream := l.Stream()
			defer stream.Close()
			if a := stream.Do(context.Background(), w); a.Fault.Kind != egret.FaultNone || a.Member != "a" {
				t.Errorf("answer %+v, want one of the primary", a)
			}
		})
	}
}
