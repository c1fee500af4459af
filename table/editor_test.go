package table

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/retry"
)

func newEditor(s *fakeStore) *Editor {
	return &Editor{
		Store: s,
		Key:   "tables",
		Backoff: retry.Backoff{
			Base: time.Millisecond,
			Cap:  time.Millisecond,
		},
	}
}

func proposal(id string, base uint64, slots int) Proposal {
	return Proposal{
		Tables: sampleTables(slots),
		Base:   base,
		Edit: egret.Edit{
			ID:      id,
			Author:  "ann",
			Time:    time.Unix(1, 0),
			Summary: "slots",
		},
	}
}

// Guards against a wrong outcome when a request to the store or its reply is lost.
func TestApplyResolvesLostReplies(t *testing.T) {
	for _, c := range []struct {
		name            string
		droppedReplies  int
		droppedRequests int
		foundInHistory  bool
	}{
		{
			name: "nothing lost",
		},
		{
			name:           "reply lost after the write",
			droppedReplies: 1,
			foundInHistory: true,
		},
		{
			name:            "requests lost before the write",
			droppedRequests: 3,
		},
		{
			name:            "requests lost, then a reply lost",
			droppedReplies:  1,
			droppedRequests: 2,
			foundInHistory:  true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &fakeStore{
				dropReplies:  c.droppedReplies,
				dropRequests: c.droppedRequests,
			}
			got, err := newEditor(s).Apply(t.Context(), proposal("a", 0, 2))
			if err != nil || got.Revision != 1 || got.FoundInHistory != c.foundInHistory || s.value.Revision != 1 {
				t.Errorf("Apply = %+v, %v, and the store has revision %d", got, err, s.value.Revision)
			}
		})
	}
}

// The reply to an edit is lost, and another edit is written before the first can be read back. The first must
// still be reported as applied.
func TestApplyFindsItsEditBelowALaterOne(t *testing.T) {
	s := &fakeStore{
		dropReplies: 1,
	}
	e := newEditor(s)
	s.beforeSwap = func() {
		s.beforeSwap = nil
		_, _ = e.Apply(t.Context(), proposal("a", 0, 2))
		_, err := e.Apply(t.Context(), proposal("b", 1, 3))
		if err != nil {
			t.Errorf("Apply(b) = %v", err)
		}
	}
	got, err := e.Apply(t.Context(), proposal("a", 0, 2))
	if err != nil || !got.FoundInHistory || got.Revision != 2 {
		t.Errorf("Apply(a) = %+v, %v, want it found in the history at revision 2", got, err)
	}
}

func TestConflictNamesTheOtherEdit(t *testing.T) {
	s := &fakeStore{}
	e := newEditor(s)
	s.beforeSwap = func() {
		s.beforeSwap = nil
		_, err := e.Apply(t.Context(), proposal("first", 0, 2))
		if err != nil {
			t.Errorf("Apply(first) = %v", err)
		}
	}
	_, err := e.Apply(t.Context(), proposal("second", 0, 3))
	conflict, ok := errors.AsType[*ConflictError](err)
	if !ok || !errors.Is(err, egret.ErrConflict) {
		t.Fatalf("Apply(second) = %v, want a conflict", err)
	}
	if conflict.Current != 1 || len(conflict.NewerEdits) != 1 || conflict.NewerEdits[0].ID != "first" {
		t.Errorf("conflict = %+v, want the first edit", conflict)
	}
	if s.value.Revision != 1 {
		t.Errorf("the store has revision %d, want 1", s.value.Revision)
	}
}

// The outcome must be reported as unknown if the store stops answering, and if a request fails and the history no
// longer reaches back to the base.
func TestApplyReportsAnUnknownOutcome(t *testing.T) {
	s := &fakeStore{}
	e := newEditor(s)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	s.beforeSwap = func() {
		s.setUnavailable(true)
	}
	_, err := e.Apply(ctx, proposal("a", 0, 2))
	if !errors.HasType[*OutcomeError](err) {
		t.Errorf("Apply with the store unavailable = %v, want an unknown outcome", err)
	}
	s.setUnavailable(false)
	s.beforeSwap = func() {
		s.beforeSwap = nil
		for i := range maxEdits + 1 {
			_, err := e.Apply(t.Context(), proposal(fmt.Sprint(i), uint64(i), 2))
			if err != nil {
				t.Errorf("Apply(%d) = %v", i, err)
			}
		}
		s.dropRequests = 1
	}
	_, err = e.Apply(t.Context(), proposal("a", 0, 2))
	if !errors.HasType[*OutcomeError](err) {
		t.Errorf("Apply with a truncated history = %v, want an unknown outcome", err)
	}
}

func TestApplyAgainIsIdempotent(t *testing.T) {
	s := &fakeStore{}
	e := newEditor(s)
	for i := range 2 {
		got, err := e.Apply(t.Context(), proposal("a", 0, 2))
		if err != nil || got.Revision != 1 || got.FoundInHistory != (i == 1) {
			t.Errorf("Apply #%d = %+v, %v", i, got, err)
		}
	}
}

func TestApplyReplacesAValueWithFaults(t *testing.T) {
	s := &fakeStore{}
	s.write([]byte("no tables"))
	got, err := newEditor(s).Apply(t.Context(), proposal("a", 1, 2))
	if err != nil || got.Revision != 2 {
		t.Errorf("Apply = %+v, %v, want revision 2", got, err)
	}
	broken := proposal("b", 2, 0)
	_, err = newEditor(s).Apply(t.Context(), broken)
	if !hasFaults(err) || s.value.Revision != 2 {
		t.Errorf("Apply of tables with faults = %v at revision %d", err, s.value.Revision)
	}
}
