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
	// gapTimeout bounds the wait for an order after a failure.
	gapTimeout = 30 * time.Second

	// healthTimeout bounds the wait until a group is whole again.
	healthTimeout = 40 * time.Second

	// settleTime is the time between a whole group and the next failure, at the least.
	settleTime = 1500 * time.Millisecond

	// partTime is how long after the first order a promotion's parts are all counted.
	partTime = 2 * time.Second

	// pollInterval is the time between two looks at a group.
	pollInterval = 50 * time.Millisecond
)

// Failover breaks primaries and measures how long no order is placed.
func (r *Runner) Failover(ctx context.Context, report *Report) error {
	o := &outage{
		runner: r,
		tag:    strconv.FormatInt(time.Now().UnixMilli(), 36),
	}
	result := &FailoverResult{
		Kind:      r.Failure,
		StoreDown: r.StoreDown,
	}
	if err := r.Target.SetStore(ctx, !r.StoreDown); err != nil {
		return errors.Trace(err)
	}
	for i := range r.Failures {
		gap, err := o.once(ctx, o.group(i), i)
		if err != nil {
			return errors.Annotatef(err, "failure %d", i+1)
		}
		result.Gaps = append(result.Gaps, gap)
	}
	if err := r.Target.SetStore(ctx, true); err != nil {
		return errors.Trace(err)
	}
	result.summarize()
	var err error
	result.Audit, err = o.ledger.audit(ctx, r.Target)
	report.Failover = result
	return errors.Trace(err)
}

// outage causes failures one by one.
type outage struct {
	// runner has the settings.
	runner *Runner

	// tag makes the orders' keys unique.
	tag string

	// ledger has the orders of all failures.
	ledger ledger
}

// group returns the group of a failure. The first group's member in the smaller region is the last of
// its table, which no promotion prefers, so that this group can't be made ready for a cut of regions.
func (o *outage) group(i int) string {
	set := &o.runner.Target.Set
	if o.runner.Failure == KindCutRegion {
		return set.Group(1 + i%(set.Deployment.Groups-1))
	}
	return set.Group(i % set.Deployment.Groups)
}

// once causes one failure.
func (o *outage) once(ctx context.Context, group string, i int) (Gap, error) {
	t := o.runner.Target
	if err := t.whole(ctx, group); err != nil {
		return Gap{}, errors.Trace(err)
	}
	if o.runner.Failure == KindCutRegion {
		if err := t.moveTo(ctx, group, t.Set.Regions()[1]); err != nil {
			return Gap{}, errors.Trace(err)
		}
	}
	p := &probe{
		target: t,
		group:  group,
		tag:    o.tag + "-" + strconv.Itoa(i),
		ledger: &o.ledger,
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

// measure causes the failure under the probe's orders.
func (o *outage) measure(ctx context.Context, p *probe) (Gap, error) {
	t := o.runner.Target
	pause(ctx, settleTime)
	m, err := t.Primary(ctx, p.group)
	if err != nil {
		return Gap{}, errors.Trace(err)
	}
	before, err := t.sums(ctx, partMetric, partLabel)
	if err != nil {
		return Gap{}, errors.Trace(err)
	}
	if err := t.fail(ctx, o.runner.Failure, m); err != nil {
		return Gap{}, errors.Trace(err)
	}
	start := time.Now()
	waiting, cancel := context.WithTimeout(ctx, gapTimeout)
	defer cancel()
	at, ended := p.first(waiting, start)
	if !ended {
		at = time.Now()
	}
	g := Gap{
		Group: p.group,
		From:  m.Name,
		Ended: ended,
		Total: millis(at.Sub(start)),
	}
	if n, err := t.Primary(ctx, p.group); err == nil {
		g.To = n.Name
	}
	if err := t.mend(ctx, o.runner.Failure, m); err != nil {
		return g, errors.Trace(err)
	}
	pause(ctx, partTime)
	after, err := t.sums(ctx, partMetric, partLabel)
	if err != nil {
		return g, errors.Trace(err)
	}
	g.split(after, before)
	return g, nil
}

// whole waits until the group has a primary, and the others follow it and have its log.
func (t *Target) whole(ctx context.Context, group string) error {
	return t.await(ctx, "group "+group+" is not whole", func() bool {
		p, err := t.Primary(ctx, group)
		return err == nil && t.isWhole(ctx, p)
	})
}

func (t *Target) isWhole(ctx context.Context, primary sites.Member) bool {
	lead, err := t.State(ctx, primary)
	if err != nil {
		return false
	}
	for _, m := range t.Set.Members() {
		if m.Group != primary.Group || m.Name == primary.Name {
			continue
		}
		s, err := t.State(ctx, m)
		if err != nil || s.Role != "replica" || s.Granted != lead.Granted || s.Received != lead.Received {
			return false
		}
	}
	return true
}

// moveTo makes the member of the group in the region lead, by having one primary after the other say
// that it leaves.
func (t *Target) moveTo(ctx context.Context, group, region string) error {
	return t.await(ctx, "group "+group+" is not led in "+region, func() bool {
		p, err := t.Primary(ctx, group)
		if err != nil || !t.isWhole(ctx, p) {
			return false
		}
		if p.Domain.Region == region {
			return true
		}
		t.replace(ctx, p)
		return false
	})
}

// replace has the primary say that it leaves until another member leads.
func (t *Target) replace(ctx context.Context, p sites.Member) {
	say := func(value string) {
		// What fails is tried again by the caller.
		_ = t.post(ctx, p.Operator, "/leaving?value="+value)
	}
	say("true")
	defer say("false")
	_ = t.await(ctx, "no other member leads", func() bool {
		n, err := t.Primary(ctx, p.Group)
		return err == nil && n.Name != p.Name
	})
}

// await polls until the condition holds.
func (t *Target) await(ctx context.Context, missing string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	for !holds() {
		if ctx.Err() != nil {
			return errors.Errorf("%s after %s", missing, healthTimeout)
		}
		pause(ctx, pollInterval)
	}
	return nil
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
