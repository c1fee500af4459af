package core

import (
	"context"
	"errors"
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// newMember returns a member with a clock that the test moves.
func newMember(t *testing.T, g walog.Grant, now *time.Time) *Member {
	t.Helper()
	m := &Member{
		Name:     "member-1",
		Initial:  g,
		Lag:      time.Second,
		LockWait: time.Millisecond,
		Now: func() time.Time {
			return *now
		},
	}
	if err := m.Open(); err != nil {
		t.Fatal(err)
	}
	return m
}

func entry(term, offset uint64, id string) walog.Entry {
	return walog.Entry{
		Term:   term,
		Offset: offset,
		Kind:   walog.KindCommit,
		Changes: []walog.Change{{
			Operation: walog.Insert,
			ID:        id,
		}},
	}
}

// code returns the SQLSTATE of an error, or "".
func code(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// TestApplyDue checks the lag by the clock, across a cut of entries that wait and of applied ones.
func TestApplyDue(t *testing.T) {
	now := time.Unix(1000, 0)
	g := walog.Grant{
		Term: 1,
		Role: egret.RoleReplica,
	}
	m := newMember(t, g, &now)
	for i, id := range []string{"a", "b", "c"} {
		if err := m.Receive(g, []walog.Entry{entry(1, uint64(i+1), id)}); err != nil {
			t.Fatal(err)
		}
		now = now.Add(400 * time.Millisecond)
	}
	wantDue := func(wait time.Duration, applied uint64) {
		t.Helper()
		got, _ := m.ApplyDue()
		if got != wait || m.State().Applied.Offset != applied {
			t.Errorf("next in %s with %d applied, want %s with %d", got, m.State().Applied.Offset, wait, applied)
		}
	}
	wantDue(200*time.Millisecond, 1)
	now = now.Add(200 * time.Millisecond)
	wantDue(400*time.Millisecond, 2)
	for _, offset := range []uint64{2, 1} {
		if err := m.CutTo(g, offset); err != nil {
			t.Fatal(err)
		}
		if s := m.State(); s.Applied.Offset != offset || s.Received.Offset != offset || m.Orders() != int(offset) {
			t.Errorf("cut to %d: %+v with %d rows", offset, s, m.Orders())
		}
	}
	wantDue(idleWait, 1)
}

// TestOldStream checks that entries of a stream are refused once another term is granted, also when
// they were on their way.
func TestOldStream(t *testing.T) {
	now := time.Unix(1000, 0)
	g := walog.Grant{
		Term: 1,
		Role: egret.RoleReplica,
	}
	m := newMember(t, g, &now)
	if err := m.Receive(g, []walog.Entry{entry(1, 2, "gap")}); err == nil {
		t.Error("a gap in the log was taken")
	}
	if _, err := m.Fence(2); err != nil {
		t.Fatal(err)
	}
	if got := code(m.Receive(g, []walog.Entry{entry(1, 1, "a")})); got != CodeTerm {
		t.Errorf("entry of an old stream: %q", got)
	}
	if got := code(m.CutTo(g, 0)); got != CodeTerm {
		t.Errorf("cut by an old stream: %q", got)
	}
	if _, err := m.Common(1, nil); code(err) != CodeTerm {
		t.Errorf("stream of an old term: %v", err)
	}
}

// TestLockWait checks that a write that waits too long fails and leaves no lock behind.
func TestLockWait(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMember(t, walog.Grant{
		Term: 1,
		Role: egret.RolePrimary,
	}, &now)
	one, two := m.Begin(walog.Origin{}), m.Begin(walog.Origin{})
	order := Order{
		ID: "a",
	}
	if err := one.Insert(context.Background(), order); err != nil {
		t.Fatal(err)
	}
	if got := code(two.Insert(context.Background(), order)); got != CodeLockWait {
		t.Errorf("second insert: %q, want %q", got, CodeLockWait)
	}
	two.Rollback()
	one.Rollback()
	if len(m.locks) != 0 {
		t.Errorf("%d locks left", len(m.locks))
	}
}

// TestPromoteApplies checks that a new primary reads all that it received, however long its lag.
func TestPromoteApplies(t *testing.T) {
	now := time.Unix(1000, 0)
	g := walog.Grant{
		Term: 1,
		Role: egret.RoleReplica,
	}
	m := newMember(t, g, &now)
	if err := m.Receive(g, []walog.Entry{entry(1, 1, "a"), entry(1, 2, "b")}); err != nil {
		t.Fatal(err)
	}
	if _, err := m.Promote(1); code(err) != CodeRole {
		t.Errorf("promotion without a fence: %v", err)
	}
	if _, err := m.Fence(2); err != nil {
		t.Fatal(err)
	}
	s, err := m.Promote(2)
	if err != nil || m.Orders() != 2 || s.Applied != s.Received || s.Applied.String() != "2/3" {
		t.Errorf("promoted to %+v with %d rows, %v", s, m.Orders(), err)
	}
}
