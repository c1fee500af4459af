package group

import (
	"context"
	"testing"
	"time"

	"egretlane.example/egret"
)

// TestConnectingTakesStatementTime guards against statements that are answered after their time, and writes in doubt that
// were never sent, since opening a connection takes longer than the statement has.
func TestConnectingTakesStatementTime(t *testing.T) {
	s := newFakeService()
	l, _ := startLane(t, s)
	l.SetMembers(s.backends())
	awaitPrimary(t, l)
	s.member("a", func(m *fakeMember) { m.connectTime = time.Second })
	l.mu.Lock()
	l.closeIdle(l.members["a"])
	l.mu.Unlock()
	w := write("1")
	w.Timeout = 200 * time.Millisecond
	w.LatencyTarget = 100 * time.Millisecond
	began := time.Now()
	a := l.Stream().Do(context.Background(), w)
	if elapsed := time.Since(began); elapsed > 2*w.Timeout {
		t.Errorf("answered after %v, with a timeout of %v", elapsed, w.Timeout)
	}
	if a.Fault.Kind != egret.FaultBusy {
		t.Errorf("%+v, want that the write was not sent", a)
	}
	if n := s.statementCount(); n != 0 {
		t.Errorf("%d statements ran", n)
	}
}
