package group

import (
	"context"
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
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

// TestShortStatementsKeepMember guards against statements that are held back from a healthy member, as the time of another
// statement ended, or its caller left, while a connection was being opened.
func TestShortStatementsKeepMember(t *testing.T) {
	for _, c := range []struct {
		name string

		// timeout is that of the statement, patience the time after which its caller leaves.
		timeout, patience time.Duration
	}{
		{name: "the statement's time ends", timeout: 30 * time.Millisecond, patience: time.Minute},
		{name: "the caller leaves", timeout: time.Minute, patience: 30 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeService()
			l, _ := startLane(t, s)
			l.SetMembers(s.backends())
			awaitPrimary(t, l)
			s.member("a", func(m *fakeMember) { m.connectTime = 200 * time.Millisecond })
			l.mu.Lock()
			l.closeIdle(l.members["a"])
			l.mu.Unlock()
			ctx, cancel := context.WithTimeout(context.Background(), c.patience)
			defer cancel()
			w := write("1")
			w.Timeout = c.timeout
			if a := l.Stream().Do(ctx, w); a.Fault.Kind == egret.FaultNone {
				t.Error("the statement ran")
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			if left := clock.Until(l.members["a"].backoffUntil); left > 0 {
				t.Errorf("the member gets no statements for %v", left)
			}
		})
	}
}
