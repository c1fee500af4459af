package lane

import (
	"testing"
	"time"

	"egretlane.example/egret"
)

func TestAgeTracker(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(offset uint64) egret.Position {
		return egret.Position{
			Term:   1,
			Offset: offset,
		}
	}
	a := ageTracker{}
	for i := range 5 {
		a.add(sample{
			requestedAt: start.Add(time.Duration(i) * time.Second),
			position:    at(uint64(i) * 10),
		})
	}
	now := start.Add(4500 * time.Millisecond)
	tests := []struct {
		name        string
		applied     egret.Position
		maxAge, lag time.Duration
	}{
		{name: "up to date", applied: at(40), maxAge: 500 * time.Millisecond, lag: 250 * time.Millisecond},
		{name: "between samples", applied: at(15), maxAge: 3500 * time.Millisecond, lag: 3000 * time.Millisecond},
		{name: "later term", applied: egret.Position{Term: 2, Offset: 1}, maxAge: 500 * time.Millisecond, lag: 250 * time.Millisecond},
		{name: "before all samples", applied: egret.Position{}, maxAge: unknownLag, lag: unknownLag},
	}
	// The first sample is of an empty log, which every member covers.
	a.samples = a.samples[1:]
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			state := egret.MemberState{
				Role:      egret.RoleReplica,
				Applied:   tt.applied,
				SampledAt: now,
			}
			if got := a.maxAge(state, now); got != tt.maxAge {
				t.Errorf("maxAge() = %v, want %v", got, tt.maxAge)
			}
			if got := a.lag(state); got != tt.lag {
				t.Errorf("lag() = %v, want %v", got, tt.lag)
			}
		})
	}
	a.add(sample{
		requestedAt: now,
		position:    at(3),
	})
	if len(a.samples) != 1 {
		t.Errorf("samples after a fall = %d, want 1", len(a.samples))
	}
}
