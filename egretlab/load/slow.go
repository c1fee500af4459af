package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
)

// The range of a slow primary's delay, and the interval at which the delay changes.
const (
	minDelay      = 100 * time.Millisecond
	maxDelay      = 800 * time.Millisecond
	delayInterval = 5 * time.Second
)

// SlowResult is the result of a run with primaries that answer slowly but are alive.
type SlowResult struct {
	// Seconds is the time for which the primaries were slow.
	Seconds float64 `json:"seconds"`

	// Promotions is the number of promotions. All are wrong, as no primary had failed.
	Promotions int `json:"promotions"`

	Audit
}

func (r *SlowResult) writeTable(w io.Writer) {
	fmt.Fprintf(w, "primaries slow for %.0f s: %d promotions; orders placed/lost/doubled %d/%d/%d\n", r.Seconds, r.Promotions,
		r.Placed, r.Lost, r.Duplicated)
}

// MeasureSlowPrimaries delays the answers of all primaries by random times that change, and counts the promotions,
// which should not happen.
func (r *Runner) MeasureSlowPrimaries(ctx context.Context, report *Report) error {
	t := r.Target
	before, err := t.sumMetric(ctx, promotionMetric, "")
	if err != nil {
		return errors.Trace(err)
	}
	start := time.Now()
	l := &ledger{}
	if err := r.varyDelays(ctx, l); err != nil {
		return errors.Trace(err)
	}
	after, err := t.sumMetric(ctx, promotionMetric, "")
	if err != nil {
		return errors.Trace(err)
	}
	report.Slow = &SlowResult{
		Seconds:    time.Since(start).Seconds(),
		Promotions: int(delta(after, before, "").sum),
	}
	report.Slow.Audit, err = l.audit(ctx, t)
	return errors.Trace(err)
}

// promotionMetric counts promotions.
const promotionMetric = "egretlane_promo_promotions_total"

// varyDelays changes the primaries' delays at an interval while probes place orders in all groups. At the end it resets
// the delays.
func (r *Runner) varyDelays(ctx context.Context, l *ledger) error {
	ctx, stop := context.WithTimeout(ctx, r.SlowDuration)
	defer stop()
	wg := sync.WaitGroup{}
	defer wg.Wait()
	defer stop()
	keyPrefix := strconv.FormatInt(time.Now().UnixMilli(), 36)
	for i, g := range r.Target.groups() {
		p := &probe{
			target:    r.Target,
			group:     g,
			keyPrefix: fmt.Sprintf("%s-%d", keyPrefix, i),
			ledger:    l,
		}
		wg.Go(func() {
			p.run(ctx, r.Seed)
		})
	}
	random := rand.New(rand.NewPCG(r.Seed, 0))
	for ctx.Err() == nil {
		if err := r.setDelays(context.WithoutCancel(ctx), func() time.Duration {
			return minDelay + time.Duration(random.Int64N(int64(maxDelay-minDelay)))
		}); err != nil {
			return err
		}
		sleep(ctx, delayInterval)
	}
	return r.setDelays(context.WithoutCancel(ctx), func() time.Duration {
		return 0
	})
}

// setDelays sets the delay of each group's primary to what delay returns.
func (r *Runner) setDelays(ctx context.Context, delay func() time.Duration) error {
	for _, g := range r.Target.groups() {
		m, err := r.Target.Primary(ctx, g)
		if err != nil {
			return errors.Trace(err)
		}
		if err := r.Target.SetDelay(ctx, m, delay()); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
