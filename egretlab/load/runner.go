package load

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Runner runs measurements, one at a time, against a running set.
type Runner struct {
	// Target is the running set.
	Target *Target

	// Policies are the policies that ComparePolicies runs.
	Policies []Policy

	// Lags are the replication lags that ComparePolicies sets.
	Lags []time.Duration

	// Duration is the measured duration of each phase, without the warm-up.
	Duration time.Duration

	// Seed seeds all random choices.
	Seed uint64

	// Sessions is the number of sessions that run at the same time.
	Sessions int

	// ThinkTime is the mean time between a session's requests.
	ThinkTime time.Duration

	// FailureCount is the number of failures that MeasureFailover causes.
	FailureCount int

	// FailureKind is the kind of these failures.
	FailureKind FailureKind

	// StoreDown is true if the store is down during the failures.
	StoreDown bool

	// SlowDuration is the duration of MeasureSlowPrimaries.
	SlowDuration time.Duration
}

// ComparePolicies runs a phase for each policy at each lag, one after another.
func (r *Runner) ComparePolicies(ctx context.Context, report *Report) error {
	for _, lag := range r.Lags {
		for _, policy := range r.Policies {
			p := r.newPhase(policy, lag)
			result, err := p.Run(ctx)
			if err != nil {
				return errors.Annotatef(err, "%s at a lag of %s", policy, lag)
			}
			report.Policies = append(report.Policies, result)
		}
	}
	return nil
}

func (r *Runner) newPhase(policy Policy, lag time.Duration) *Phase {
	return &Phase{
		Target:    r.Target,
		Policy:    policy,
		Lag:       lag,
		Duration:  r.Duration,
		Sessions:  r.Sessions,
		ThinkTime: r.ThinkTime,
		Seed:      r.Seed,
	}
}
