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

func TestRollingPlanOfASeed(t *testing.T) {
	for seed := range uint64(200) {
		p, again := NewRollingPlan(seed, 30*time.Second), NewRollingPlan(seed, 30*time.Second)
		if !slices.Equal(p.Events, again.Events) || p.StatementTimeout != again.StatementTimeout {
			t.Fatalf("seed %d has two plans", seed)
		}
		if p.LongStatementCost >= p.StatementTimeout {
			t.Errorf("seed %d: statements take %s of %s", seed, p.LongStatementCost, p.StatementTimeout)
		}
		for _, e := range p.Events {
			if !slices.Contains(plannedKinds, e.Kind) && e.Kind != KindRollProxies {
				t.Errorf("seed %d of planned work has %s", seed, e.Kind)
			}
		}
	}
}
