package core

import (
	"context"
	"errors"
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// newMember returns an open member that reads the time from now.
func newMember(t *testing.T, g walog.Grant, now *time.Time) *Member {
	t.Helper()
	m := &Member{
		Name:         "member-1",
		InitialGrant: g,
		Lag:          time.Second,
		LockTimeout:  time.Millisecond,
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

// code returns the SQLSTATE of an error, or "" if it has none.
func code(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// TestApplyDue checks when entries are applied, also after a truncation that drops pending entries and one
// that drops applied entries.
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
	wantDue := func(next time.Duration, applied uint64) {
		t.Helper()
		got, _ := m.ApplyDue()
		if got != next || m.State().Applied.Offset != applied {
			t.Errorf("next in %s with %d applied, want %s with %d", got, m.State().Applied.Offset, next, applied)
		}
	}
	wantDue(200*time.Millisecond, 1)
	now = now.Add(200 * time.Millisecond)
	wantDue(400*time.Millisecond, 2)
	for _, offset := range []uint64{2, 1} {
		if err := m.Truncate(g, offset); err != nil {
			t.Fatal(err)
		}
		if s := m.State(); s.Applied.Offset != offset || s.Received.Offset != offset || m.OrderCount() != int(offset) {
			t.Errorf("truncated to %d: %+v with %d rows", offset, s, m.OrderCount())
		}
	}
	wantDue(idleInterval, 1)
}

// TestOldStream checks that a replication stream is refused once the member has granted another term,
// including entries that were in flight at that time.
func TestOldStream(t *testing.T) {
	now := time.Unix(1000, 0)
	g := walog.Grant{
		Term: 1,
		Role: egret.RoleReplica,
	}
	m := newMember(t, g, &now)
	if err := m.Receive(g, []walog.Entry{entry(1, 2, "gap")}); err == nil {
		t.Error("an entry after a gap was accepted")
	}
	if _, err := m.Fence(2); err != nil {
		t.Fatal(err)
	}
	if got := code(m.Receive(g, []walog.Entry{entry(1, 1, "a")})); got != CodeStaleTerm {
		t.Errorf("entry of an old stream: %q", got)
	}
	if got := code(m.Truncate(g, 0)); got != CodeStaleTerm {
		t.Errorf("truncation by an old stream: %q", got)
	}
	if _, err := m.CommonPosition(1, nil); code(err) != CodeStaleTerm {
		t.Errorf("stream of an old term: %v", err)
	}
}

// TestLockWait checks that a write fails when it waits too long for a row lock, and leaves no lock behind.
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
	if got := code(two.Insert(context.Background(), order)); got != CodeLockTimeout {
		t.Errorf("second insert: %q, want %q", got, CodeLockTimeout)
	}
	two.Rollback()
	one.Rollback()
	if len(m.rowLocks) != 0 {
		t.Errorf("%d locks left", len(m.rowLocks))
	}
}

// TestPromoteApplies checks that a promotion applies all received entries, whatever the lag is.
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
	if _, err := m.Promote(1); code(err) != CodeWrongRole {
		t.Errorf("promotion without a fence: %v", err)
	}
	if _, err := m.Fence(2); err != nil {
		t.Fatal(err)
	}
	s, err := m.Promote(2)
	if err != nil || m.OrderCount() != 2 || s.Applied != s.Received || s.Applied.String() != "2/3" {
		t.Errorf("promoted to %+v with %d rows, %v", s, m.OrderCount(), err)
	}
}
