package retry

import (
	"testing"
	"time"
)

func TestBackoffStaysBetweenBaseAndCap(t *testing.T) {
	b := Backoff{
		Base: 10 * time.Millisecond,
		Cap:  200 * time.Millisecond,
	}
	wantMillis := []time.Duration{5, 10, 20, 40, 80, 100, 100}
	for i, w := range wantMillis {
		if got := b.Delay(i+1, 0); got != w*time.Millisecond {
			t.Errorf("Delay(%d, 0) = %v, want %v", i+1, got, w*time.Millisecond)
		}
		if got := b.Delay(i+1, 0.999); got > b.Cap {
			t.Errorf("Delay(%d, 0.999) = %v, above the cap", i+1, got)
		}
	}
}

func TestThrottleLimitsRetriesIfAllAttemptsAreRefused(t *testing.T) {
	throttle := &Throttle{
		RetriesPerRequest: 0.1,
		Burst:             10,
	}
	const requests = 1000
	attempts := 0
	now := time.Unix(0, 0)
	for range requests {
		p := Plan{
			Deadline: now.Add(time.Minute),
			Backoff: Backoff{
				Base: time.Millisecond,
				Cap:  time.Millisecond,
			},
			Throttle: throttle,
		}
		throttle.AddAttempt()
		attempts++
		for {
			if _, ok := p.Next(now, 0, false); !ok {
				break
			}
			attempts++
		}
	}
	if limit := 1.2 * requests; float64(attempts) > limit {
		t.Errorf("%d attempts for %d requests, want at most %v", attempts, requests, limit)
	}
}

func TestPlanEndsWithTimeBudget(t *testing.T) {
	now := time.Unix(0, 0)
	p := Plan{
		Deadline: now.Add(15 * time.Millisecond),
		Backoff: Backoff{
			Base: 20 * time.Millisecond,
			Cap:  time.Second,
		},
		Throttle: &Throttle{
			RetriesPerRequest: 0.1,
			Burst:             100,
		},
	}
	if _, ok := p.Next(now, 0, false); !ok {
		t.Error("Next = false within the budget, want true")
	}
	if _, ok := p.Next(now, 0, false); ok {
		t.Error("Next = true past the budget, want false")
	}
}
