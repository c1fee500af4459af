package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/sites"
)

// Policy is how requests are served.
type Policy string

// The policies.
const (
	// PolicyEgretlane sends everything through the proxies.
	PolicyEgretlane Policy = "egretlane"

	// PolicyPrimary sends everything straight to the primaries.
	PolicyPrimary Policy = "primary-only"

	// PolicyPin reads from the primary for a time after a write, and else from a replica, unchecked.
	PolicyPin Policy = "pin-after-write"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{PolicyPrimary, PolicyPin, PolicyEgretlane}
}

const (
	// certificates is how many certificates each group has.
	certificates = 20

	// warmUp is how long a phase runs before it counts.
	warmUp = 2 * time.Second
)

// Phase is the work of many sessions under one policy.
type Phase struct {
	// Target is the set that is driven.
	Target *Target

	// Policy is how requests are served.
	Policy Policy

	// Lag is that of the replicas. It is set before the work starts.
	Lag time.Duration

	// Duration is how long the work is counted.
	Duration time.Duration

	// Sessions is how many callers there are.
	Sessions int

	// Think is the mean time between a session's requests.
	Think time.Duration

	// Seed is that of the sessions' choices.
	Seed uint64

	// tag makes the keys of rows unique.
	tag string

	// ledger has the orders.
	ledger ledger

	// tally has the counts.
	tally *tally

	// stocks has a row for each group.
	stocks []*stock

	// primaries has the name of each group's primary at the start.
	primaries map[string]string

	// pools are used by the direct policies.
	pools *pools
}

// Run does the work and returns what the callers got.
func (p *Phase) Run(ctx context.Context) (Result, error) {
	if err := p.prepare(ctx); err != nil {
		return Result{}, errors.Trace(err)
	}
	defer p.pools.close()
	before, err := p.Target.crossRegion(ctx)
	if err != nil {
		return Result{}, errors.Trace(err)
	}
	p.work(ctx, warmUp+p.Duration)
	r := p.tally.finish()
	after, err := p.Target.crossRegion(ctx)
	if err != nil {
		return Result{}, errors.Trace(err)
	}
	r.Policy = p.Policy
	r.LagMillis = p.Lag.Milliseconds()
	r.CrossRegion = subtract(after, before)
	r.Audit, err = p.ledger.audit(ctx, p.Target)
	return r, errors.Trace(err)
}

// prepare sets the lag and writes the rows that are read.
func (p *Phase) prepare(ctx context.Context) error {
	p.tag = strconv.FormatInt(time.Now().UnixMilli(), 36)
	p.primaries = map[string]string{}
	if err := p.Target.SetLag(ctx, p.Lag); err != nil {
		return errors.Trace(err)
	}
	var err error
	p.pools, err = newPools(ctx, p.Target)
	if err != nil {
		return errors.Trace(err)
	}
	c := p.client(p.Target.Set.Regions()[0], rand.New(rand.NewPCG(p.Seed, 0)))
	defer c.Close()
	for _, g := range p.Target.groups() {
		p.primaries[g] = p.pools.primaries[g].Name
		if err := p.fill(ctx, c, g); err != nil {
			return errors.Annotatef(err, "rows of %s", g)
		}
	}
	pause(ctx, p.Lag+500*time.Millisecond)
	p.tally = newTally(time.Now().Add(warmUp))
	return nil
}

// fill writes the rows of a group.
func (p *Phase) fill(ctx context.Context, c Client, group string) error {
	for n := range certificates {
		_, err := c.Run(ctx, Ask{
			Kind:  sites.KindOrder,
			Group: group,
			Query: fmt.Sprintf("INSERT INTO orders (id, item) VALUES ('%s', 'certificate')", certificate(n)),
			Write: true,
		})
		if err != nil && egret.FailureOf(err).Code != codeDuplicate {
			return err
		}
	}
	s := &stock{
		id:    fmt.Sprintf("%s-stock", p.tag),
		group: group,
	}
	p.stocks = append(p.stocks, s)
	return s.open(ctx, c)
}

// work runs the sessions.
func (p *Phase) work(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	wg := sync.WaitGroup{}
	defer wg.Wait()
	for g, s := range p.stocks {
		wg.Go(func() {
			c := p.client(p.Target.Set.Regions()[0], rand.New(rand.NewPCG(p.Seed, uint64(g))))
			defer c.Close()
			s.run(ctx, c)
		})
	}
	for n := range p.Sessions {
		s := p.session(n)
		wg.Go(func() {
			s.run(ctx)
		})
	}
}

// session returns a session. A region has as many as its share of the proxies.
func (p *Phase) session(n int) *session {
	proxies := p.Target.Set.Proxies()
	r := rand.New(rand.NewPCG(p.Seed, uint64(1000+n)))
	return &session{
		phase:  p,
		client: p.client(proxies[n%len(proxies)].Domain.Region, r),
		random: r,
		number: n,
		group:  r.IntN(p.Target.Set.Deployment.Groups),
	}
}

func (p *Phase) client(region string, r *rand.Rand) Client {
	if p.Policy == PolicyEgretlane {
		return &proxied{
			target: p.Target,
			random: r,
			region: region,
		}
	}
	return &direct{
		pools:  p.pools,
		region: region,
		random: r,
		pin:    p.Policy == PolicyPin,
	}
}

func certificate(n int) string {
	return fmt.Sprintf("certificate-%d", n)
}

// pause waits, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
