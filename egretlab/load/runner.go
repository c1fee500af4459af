package load

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Runner measures one thing after the other against a running set.
type Runner struct {
	// Target is the set.
	Target *Target

	// Compared are the policies that Policies runs.
	Compared []Policy

	// Lags are the lags that Policies sets.
	Lags []time.Duration

	// Duration is how long each phase is counted.
	Duration time.Duration

	// Seed is that of all choices.
	Seed uint64

	// Sessions is how many callers there are.
	Sessions int

	// Think is the mean time between a session's requests.
	Think time.Duration

	// Failures is how many failures Failover causes, and Failure their kind.
	Failures int

	// Failure is the kind of failure.
	Failure Kind

	// StoreDown takes the store down for the failures.
	StoreDown bool

	// Slow is how long SlowPrimaries goes on.
	Slow time.Duration
}

// Policies runs the policies side by side at each lag.
func (r *Runner) Policies(ctx context.Context, report *Report) error {
	for _, lag := range r.Lags {
		for _, policy := range r.Compared {
			p := r.phase(policy, lag)
			result, err := p.Run(ctx)
			if err != nil {
				return errors.Annotatef(err, "%s at a lag of %s", policy, lag)
			}
			report.Policies = append(report.Policies, result)
		}
	}
	return nil
}

func (r *Runner) phase(policy Policy, lag time.Duration) *Phase {
	return &Phase{
		Target:   r.Target,
		Policy:   policy,
		Lag:      lag,
		Duration: r.Duration,
		Sessions: r.Sessions,
		Think:    r.Think,
		Seed:     r.Seed,
	}
}
