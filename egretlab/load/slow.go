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

// Bounds of the delay of a slow primary, and how often it changes.
const (
	leastDelay    = 100 * time.Millisecond
	mostDelay     = 800 * time.Millisecond
	delayInterval = 5 * time.Second
)

// SlowResult is what slow but living primaries did.
type SlowResult struct {
	// Seconds is how long the primaries were slow.
	Seconds float64 `json:"seconds"`

	// Promotions is how many promotions there were. Each is a wrong one.
	Promotions int `json:"promotions"`

	Audit
}

func (r *SlowResult) table(w io.Writer) {
	fmt.Fprintf(w, "primaries slow for %.0f s: %d promotions; orders placed/lost/doubled %d/%d/%d\n", r.Seconds, r.Promotions,
		r.Placed, r.Lost, r.Doubled)
}

// SlowPrimaries makes the answers of all primaries slow, by changing amounts, and counts promotions.
func (r *Runner) SlowPrimaries(ctx context.Context, report *Report) error {
	t := r.Target
	before, err := t.sums(ctx, promotionMetric, "")
	if err != nil {
		return errors.Trace(err)
	}
	start := time.Now()
	l := &ledger{}
	if err := r.slow(ctx, l); err != nil {
		return errors.Trace(err)
	}
	after, err := t.sums(ctx, promotionMetric, "")
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

// slow changes the delays under orders to all groups.
func (r *Runner) slow(ctx context.Context, l *ledger) error {
	ctx, stop := context.WithTimeout(ctx, r.Slow)
	defer stop()
	wg := sync.WaitGroup{}
	defer wg.Wait()
	defer stop()
	tag := strconv.FormatInt(time.Now().UnixMilli(), 36)
	for i, g := range r.Target.groups() {
		p := &probe{
			target: r.Target,
			group:  g,
			tag:    fmt.Sprintf("%s-%d", tag, i),
			ledger: l,
		}
		wg.Go(func() {
			p.run(ctx, r.Seed)
		})
	}
	random := rand.New(rand.NewPCG(r.Seed, 0))
	for ctx.Err() == nil {
		if err := r.delayAll(context.WithoutCancel(ctx), func() time.Duration {
			return leastDelay + time.Duration(random.Int64N(int64(mostDelay-leastDelay)))
		}); err != nil {
			return err
		}
		pause(ctx, delayInterval)
	}
	return r.delayAll(context.WithoutCancel(ctx), func() time.Duration {
		return 0
	})
}

// delayAll sets the delay of each group's primary.
func (r *Runner) delayAll(ctx context.Context, next func() time.Duration) error {
	for _, g := range r.Target.groups() {
		m, err := r.Target.Primary(ctx, g)
		if err != nil {
			return errors.Trace(err)
		}
		if err := r.Target.SetDelay(ctx, m, next()); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
