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

func newEditor(m *memory) *Editor {
	return &Editor{
		Store: m,
		Key:   "tables",
		Backoff: retry.Backoff{
			Base: time.Millisecond,
			Cap:  time.Millisecond,
		},
	}
}

func proposal(id string, base uint64, slots int) Proposal {
	return Proposal{
		Tables: sample(slots),
		Base:   base,
		Edit: egret.Edit{
			ID:      id,
			Author:  "ann",
			Time:    time.Unix(1, 0),
			Summary: "slots",
		},
	}
}

func TestApplySettlesLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name        string
		loseAnswers int
		loseCalls   int
		readBack    bool
	}{
		{
			name: "none lost",
		},
		{
			name:        "answer lost after the effect",
			loseAnswers: 1,
			readBack:    true,
		},
		{
			name:      "calls lost ahead of the effect",
			loseCalls: 3,
		},
		{
			name:        "calls lost, and then an answer",
			loseAnswers: 1,
			loseCalls:   2,
			readBack:    true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &memory{
				loseAnswers: c.loseAnswers,
				loseCalls:   c.loseCalls,
			}
			got, err := newEditor(m).Apply(t.Context(), proposal("a", 0, 2))
			if err != nil || got.Revision != 1 || got.ReadBack != c.readBack || m.value.Revision != 1 {
				t.Errorf("Apply = %+v, %v, and the store has revision %d", got, err, m.value.Revision)
			}
		})
	}
}

// A change whose answer is lost, and that is overtaken before it can be read back, took effect.
func TestApplyFindsItsEditBelowALaterOne(t *testing.T) {
	m := &memory{
		loseAnswers: 1,
	}
	e := newEditor(m)
	m.beforeSwap = func() {
		m.beforeSwap = nil
		_, _ = e.Apply(t.Context(), proposal("a", 0, 2))
		_, err := e.Apply(t.Context(), proposal("b", 1, 3))
		if err != nil {
			t.Errorf("Apply(b) = %v", err)
		}
	}
	got, err := e.Apply(t.Context(), proposal("a", 0, 2))
	if err != nil || !got.ReadBack || got.Revision != 2 {
		t.Errorf("Apply(a) = %+v, %v, want it read back at revision 2", got, err)
	}
}

func TestApplyTellsOfTheOtherEdit(t *testing.T) {
	m := &memory{}
	e := newEditor(m)
	m.beforeSwap = func() {
		m.beforeSwap = nil
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
	if conflict.Found != 1 || len(conflict.Others) != 1 || conflict.Others[0].ID != "first" {
		t.Errorf("conflict = %+v, want the first edit", conflict)
	}
	if m.value.Revision != 1 {
		t.Errorf("the store has revision %d, want 1", m.value.Revision)
	}
}

// Without an answer, and with a history that was cut meanwhile, neither outcome may be claimed.
func TestApplyAdmitsAnUnknownOutcome(t *testing.T) {
	m := &memory{}
	e := newEditor(m)
	bound, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	m.beforeSwap = func() {
		m.setDown(true)
	}
	_, err := e.Apply(bound, proposal("a", 0, 2))
	if !errors.HasType[*OutcomeError](err) {
		t.Errorf("Apply with the store down = %v, want an unknown outcome", err)
	}
	m.setDown(false)
	m.beforeSwap = func() {
		m.beforeSwap = nil
		for i := range maxEdits + 1 {
			_, err := e.Apply(t.Context(), proposal(fmt.Sprint(i), uint64(i), 2))
			if err != nil {
				t.Errorf("Apply(%d) = %v", i, err)
			}
		}
		m.loseCalls = 1
	}
	_, err = e.Apply(t.Context(), proposal("a", 0, 2))
	if !errors.HasType[*OutcomeError](err) {
		t.Errorf("Apply with a cut history = %v, want an unknown outcome", err)
	}
}

func TestApplyAgainIsIdempotent(t *testing.T) {
	m := &memory{}
	e := newEditor(m)
	for i := range 2 {
		got, err := e.Apply(t.Context(), proposal("a", 0, 2))
		if err != nil || got.Revision != 1 || got.ReadBack != (i == 1) {
			t.Errorf("Apply #%d = %+v, %v", i, got, err)
		}
	}
}

func TestApplyReplacesAValueWithFaults(t *testing.T) {
	m := &memory{}
	m.write([]byte("no tables"))
	got, err := newEditor(m).Apply(t.Context(), proposal("a", 1, 2))
	if err != nil || got.Revision != 2 {
		t.Errorf("Apply = %+v, %v, want revision 2", got, err)
	}
	broken := proposal("b", 2, 0)
	_, err = newEditor(m).Apply(t.Context(), broken)
	if !isFaulty(err) || m.value.Revision != 2 {
		t.Errorf("Apply of tables with faults = %v at revision %d", err, m.value.Revision)
	}
}
