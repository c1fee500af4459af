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

// Policy is the rule by which callers choose where to send a request.
type Policy string

// The policies.
const (
	// PolicyEgretlane sends all requests through the proxies.
	PolicyEgretlane Policy = "egretlane"

	// PolicyPrimary sends all requests directly to the primaries.
	PolicyPrimary Policy = "primary-only"

	// PolicyPin sends writes directly to the primaries. A session reads from the primary for a time after a write, and
	// else from a replica, without a check of its lag.
	PolicyPin Policy = "pin-after-write"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{PolicyPrimary, PolicyPin, PolicyEgretlane}
}

const (
	// certificateCount is the number of certificates in each group.
	certificateCount = 20

	// warmUpDuration is how long a phase runs before its requests are counted.
	warmUpDuration = 2 * time.Second
)

// Phase is a run of many sessions under one policy. It is used once.
type Phase struct {
	// Target is the running set.
	Target *Target

	// Policy is the rule by which requests are sent.
	Policy Policy

	// Lag is the replication lag. It is set before the sessions start.
	Lag time.Duration

	// Duration is the measured duration, without the warm-up.
	Duration time.Duration

	// Sessions is the number of sessions that run at the same time.
	Sessions int

	// ThinkTime is the mean time between a session's requests.
	ThinkTime time.Duration

	// Seed seeds the sessions' random choices.
	Seed uint64

	// keyPrefix makes the keys of the rows unique among phases.
	keyPrefix string

	// ledger has the outcomes of the orders.
	ledger ledger

	// recorder collects the result.
	recorder *recorder

	// stocks has one stock row for each group.
	stocks []*stock

	// primaries has the names of the primaries at the start, by group.
	primaries map[string]string

	// pools has the connections of the direct policies.
	pools *pools
}

// Run runs the sessions, audits their orders and returns what the callers got.
func (p *Phase) Run(ctx context.Context) (Result, error) {
	if err := p.prepare(ctx); err != nil {
		return Result{}, errors.Trace(err)
	}
	defer p.pools.close()
	before, err := p.Target.crossRegionBytes(ctx)
	if err != nil {
		return Result{}, errors.Trace(err)
	}
	p.runSessions(ctx, warmUpDuration+p.Duration)
	r := p.recorder.finish()
	after, err := p.Target.crossRegionBytes(ctx)
	if err != nil {
		return Result{}, errors.Trace(err)
	}
	r.Policy = p.Policy
	r.LagMillis = p.Lag.Milliseconds()
	r.CrossRegion = subtract(after, before)
	r.Audit, err = p.ledger.audit(ctx, p.Target)
	return r, errors.Trace(err)
}

// prepare sets the lag, writes the rows that the sessions read, and waits long enough for the replicas to apply them.
func (p *Phase) prepare(ctx context.Context) error {
	p.keyPrefix = strconv.FormatInt(time.Now().UnixMilli(), 36)
	p.primaries = map[string]string{}
	if err := p.Target.SetLag(ctx, p.Lag); err != nil {
		return errors.Trace(err)
	}
	var err error
	p.pools, err = newPools(ctx, p.Target)
	if err != nil {
		return errors.Trace(err)
	}
	c := p.newClient(p.Target.Set.Regions()[0], rand.New(rand.NewPCG(p.Seed, 0)))
	defer c.Close()
	for _, g := range p.Target.groups() {
		p.primaries[g] = p.pools.primaries[g].Name
		if err := p.insertRows(ctx, c, g); err != nil {
			return errors.Annotatef(err, "writing the rows of %s", g)
		}
	}
	sleep(ctx, p.Lag+500*time.Millisecond)
	p.recorder = newRecorder(time.Now().Add(warmUpDuration))
	return nil
}

// insertRows writes the certificates and the stock of a group. Certificates of an earlier phase may exist.
func (p *Phase) insertRows(ctx context.Context, c Client, group string) error {
	for n := range certificateCount {
		_, err := c.Run(ctx, Statement{
			Kind:  sites.KindOrder,
			Group: group,
			Query: fmt.Sprintf("INSERT INTO orders (id, item) VALUES ('%s', 'certificate')", certificateID(n)),
			Write: true,
		})
		if err != nil && egret.FailureOf(err).Code != codeUniqueViolation {
			return err
		}
	}
	s := &stock{
		id:    fmt.Sprintf("%s-stock", p.keyPrefix),
		group: group,
	}
	p.stocks = append(p.stocks, s)
	return s.insert(ctx, c)
}

// runSessions runs the sessions and the updates of the stocks for the duration.
func (p *Phase) runSessions(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	wg := sync.WaitGroup{}
	defer wg.Wait()
	for g, s := range p.stocks {
		wg.Go(func() {
			c := p.newClient(p.Target.Set.Regions()[0], rand.New(rand.NewPCG(p.Seed, uint64(g))))
			defer c.Close()
			s.run(ctx, c)
		})
	}
	for n := range p.Sessions {
		s := p.newSession(n)
		wg.Go(func() {
			s.run(ctx)
		})
	}
}

// newSession returns the n-th session. The sessions are spread over the regions in proportion to their proxies.
func (p *Phase) newSession(n int) *session {
	proxies := p.Target.Set.Proxies()
	r := rand.New(rand.NewPCG(p.Seed, uint64(1000+n)))
	return &session{
		phase:  p,
		client: p.newClient(proxies[n%len(proxies)].Domain.Region, r),
		random: r,
		number: n,
		group:  r.IntN(p.Target.Set.Deployment.Groups),
	}
}

// newClient returns a client for the policy.
func (p *Phase) newClient(region string, r *rand.Rand) Client {
	if p.Policy == PolicyEgretlane {
		return &proxyClient{
			target: p.Target,
			random: r,
			region: region,
		}
	}
	return &directClient{
		pools:          p.pools,
		region:         region,
		random:         r,
		pinsAfterWrite: p.Policy == PolicyPin,
	}
}

func certificateID(n int) string {
	return fmt.Sprintf("certificate-%d", n)
}

// sleep waits for the duration, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
