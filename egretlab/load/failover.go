package load

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret/egretlab/sites"
)

const (
	// gapTimeout limits the wait for an acknowledged order after a failure.
	gapTimeout = 30 * time.Second

	// recoveryTimeout limits each wait for a group to become healthy or for another primary.
	recoveryTimeout = 40 * time.Second

	// settleDelay is the minimum time between a group becoming healthy and the next failure.
	settleDelay = 1500 * time.Millisecond

	// metricsDelay is the time after the first order until the metrics are read, so that all parts of the promotion are
	// counted.
	metricsDelay = 2 * time.Second

	// pollInterval is the time between two checks of a group's state.
	pollInterval = 50 * time.Millisecond
)

// MeasureFailover causes failures of primaries, one after another, and measures for how long no order can be placed.
func (r *Runner) MeasureFailover(ctx context.Context, report *Report) error {
	o := &failoverRun{
		runner:    r,
		keyPrefix: strconv.FormatInt(time.Now().UnixMilli(), 36),
	}
	result := &FailoverResult{
		Kind:      r.FailureKind,
		StoreDown: r.StoreDown,
	}
	if err := r.Target.SetStoreUp(ctx, !r.StoreDown); err != nil {
		return errors.Trace(err)
	}
	for i := range r.FailureCount {
		gap, err := o.runOne(ctx, o.groupOf(i), i)
		if err != nil {
			return errors.Annotatef(err, "failure %d", i+1)
		}
		result.Gaps = append(result.Gaps, gap)
	}
	if err := r.Target.SetStoreUp(ctx, true); err != nil {
		return errors.Trace(err)
	}
	result.summarize()
	var err error
	result.Audit, err = o.ledger.audit(ctx, r.Target)
	report.Failover = result
	return errors.Trace(err)
}

// failoverRun is a series of failures.
type failoverRun struct {
	// runner has the target and the settings.
	runner *Runner

	// keyPrefix makes the keys of the orders unique among runs.
	keyPrefix string

	// ledger has the orders of all failures.
	ledger ledger
}

// groupOf returns the group of the i-th failure. A cut between regions needs a primary in the smaller region. It skips
// the first group, whose member in that region is the last in its table: no promotion prefers it, so it can't be made
// primary.
func (o *failoverRun) groupOf(i int) string {
	set := &o.runner.Target.Set
	if o.runner.FailureKind == FailureCutRegion {
		return set.Group(1 + i%(set.Deployment.Groups-1))
	}
	return set.Group(i % set.Deployment.Groups)
}

// runOne waits until the group is healthy, and measures one failure while a probe places orders.
func (o *failoverRun) runOne(ctx context.Context, group string, i int) (Gap, error) {
	t := o.runner.Target
	if err := t.awaitHealthy(ctx, group); err != nil {
		return Gap{}, errors.Trace(err)
	}
	if o.runner.FailureKind == FailureCutRegion {
		if err := t.movePrimary(ctx, group, t.Set.Regions()[1]); err != nil {
			return Gap{}, errors.Trace(err)
		}
	}
	p := &probe{
		target:    t,
		group:     group,
		keyPrefix: o.keyPrefix + "-" + strconv.Itoa(i),
		ledger:    &o.ledger,
	}
	ctx, stop := context.WithCancel(ctx)
	wg := sync.WaitGroup{}
	defer wg.Wait()
	defer stop()
	wg.Go(func() {
		p.run(ctx, o.runner.Seed+uint64(i))
	})
	return o.measure(ctx, p)
}

// measure causes a failure, waits until the probe places orders again, and ends the failure.
func (o *failoverRun) measure(ctx context.Context, p *probe) (Gap, error) {
	t := o.runner.Target
	sleep(ctx, settleDelay)
	failed, err := t.Primary(ctx, p.group)
	if err != nil {
		return Gap{}, errors.Trace(err)
	}
	before, err := t.sumMetric(ctx, promotionPartMetric, promotionPartLabel)
	if err != nil {
		return Gap{}, errors.Trace(err)
	}
	if err := t.causeFailure(ctx, o.runner.FailureKind, failed); err != nil {
		return Gap{}, errors.Trace(err)
	}
	start := time.Now()
	gapCtx, cancel := context.WithTimeout(ctx, gapTimeout)
	defer cancel()
	at, ended := p.firstSince(gapCtx, start)
	if !ended {
		at = time.Now()
	}
	g := Gap{
		Group: p.group,
		From:  failed.Name,
		Ended: ended,
		Total: millis(at.Sub(start)),
	}
	if promoted, err := t.Primary(ctx, p.group); err == nil {
		g.To = promoted.Name
	}
	if err := t.endFailure(ctx, o.runner.FailureKind, failed); err != nil {
		return g, errors.Trace(err)
	}
	sleep(ctx, metricsDelay)
	after, err := t.sumMetric(ctx, promotionPartMetric, promotionPartLabel)
	if err != nil {
		return g, errors.Trace(err)
	}
	g.setParts(after, before)
	return g, nil
}

// awaitHealthy waits until the group has a primary, and the other members follow it and have received its whole log.
func (t *Target) awaitHealthy(ctx context.Context, group string) error {
	return t.await(ctx, "group "+group+" is not healthy", func() bool {
		p, err := t.Primary(ctx, group)
		return err == nil && t.isHealthy(ctx, p)
	})
}

// isHealthy returns true if all other members of the group are replicas in the term of the primary and have received
// all of its log.
func (t *Target) isHealthy(ctx context.Context, primary sites.Member) bool {
	p, err := t.State(ctx, primary)
	if err != nil {
		return false
	}
	for _, m := range t.Set.Members() {
		if m.Group != primary.Group || m.Name == primary.Name {
			continue
		}
		s, err := t.State(ctx, m)
		if err != nil || s.Role != "replica" || s.Granted != p.Granted || s.Received != p.Received {
			return false
		}
	}
	return true
}

// movePrimary makes a member in the region the primary of the group. It has one primary after another announce that it
// leaves, until the proxies promote a member in the region.
func (t *Target) movePrimary(ctx context.Context, group, region string) error {
	return t.await(ctx, "group "+group+" has no primary in "+region, func() bool {
		p, err := t.Primary(ctx, group)
		if err != nil || !t.isHealthy(ctx, p) {
			return false
		}
		if p.Domain.Region == region {
			return true
		}
		t.replacePrimary(ctx, p)
		return false
	})
}

// replacePrimary has the primary announce that it leaves, until another member is primary.
func (t *Target) replacePrimary(ctx context.Context, p sites.Member) {
	setLeaving := func(value string) {
		// On an error the caller tries again.
		_ = t.post(ctx, p.Operator, "/leaving?value="+value)
	}
	setLeaving("true")
	defer setLeaving("false")
	_ = t.await(ctx, "no other member is primary", func() bool {
		n, err := t.Primary(ctx, p.Group)
		return err == nil && n.Name != p.Name
	})
}

// await polls until the condition holds. The problem is the error text if it doesn't in time.
func (t *Target) await(ctx context.Context, problem string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for !holds() {
		if ctx.Err() != nil {
			return errors.Errorf("%s after %s", problem, recoveryTimeout)
		}
		sleep(ctx, pollInterval)
	}
	return nil
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
