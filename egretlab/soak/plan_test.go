package soak

import (
	"slices"
	"testing"
	"time"
)

func TestPlanOfASeed(t *testing.T) {
	for seed := range uint64(200) {
		p, again := NewPlan(seed, 30*time.Second), NewPlan(seed, 30*time.Second)
		if !slices.Equal(p.Events, again.Events) {
			t.Fatalf("seed %d has two plans", seed)
		}
		for _, e := range p.Events {
			if e.At < warmUpDuration || e.At > p.Duration-cooldownDuration || e.Duration > maxEventDuration {
				t.Errorf("seed %d: %+v", seed, e)
			}
			if seed%4 == 0 && !slices.Contains(plannedKinds, e.Kind) {
				t.Errorf("seed %d of planned work has %s", seed, e.Kind)
			}
		}
	}
}
