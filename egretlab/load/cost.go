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

	"egretlane.example/egret/egretlab/sites"
)

const (
	// costCallers is how many callers there are at low load.
	costCallers = 2

	// costThink is the mean time between two requests of such a caller.
	costThink = 10 * time.Millisecond

	// rateCallers is how many callers press one proxy.
	rateCallers = 96

	// confirmMetric has the waits for a second member.
	confirmMetric = "egretlane_lane_confirm_wait_seconds"

	// processorMetric is the processor time of a process.
	processorMetric = "process_cpu_seconds_total"
)

// CostResult is what the proxies add.
type CostResult struct {
	// Direct and Proxied are the same work at low load, by turns.
	Direct  Result `json:"direct"`
	Proxied Result `json:"proxied"`

	// ConfirmMean is the mean wait for a second member, in milliseconds.
	ConfirmMean float64 `json:"confirm-mean-ms"`

	// Rate is the statements a second that one proxy took from callers that don't wait.
	Rate float64 `json:"one-proxy-statements-per-second"`

	// RateResult has the times and failures at that rate.
	RateResult Result `json:"one-proxy"`

	// Processor is the processor time that this proxy used meanwhile, in cores.
	Processor float64 `json:"one-proxy-cores"`
}

func (r *CostResult) table(w io.Writer) {
	fmt.Fprintln(w, "path\tread p50/p99 ms\torder p50/p99 ms\treads")
	for _, x := range []Result{r.Direct, r.Proxied} {
		fmt.Fprintf(w, "%s\t%.2f/%.2f\t%.2f/%.2f\t%d\n", x.Policy, x.ReadP50, x.ReadP99, x.OrderP50, x.OrderP99, x.Reads)
	}
	fmt.Fprintf(w, "added\t%.2f/%.2f\t%.2f/%.2f\t\n", r.Proxied.ReadP50-r.Direct.ReadP50, r.Proxied.ReadP99-r.Direct.ReadP99,
		r.Proxied.OrderP50-r.Direct.OrderP50, r.Proxied.OrderP99-r.Direct.OrderP99)
	fmt.Fprintf(w, "wait for a second member: mean %.2f ms\n", r.ConfirmMean)
	fmt.Fprintf(w, "one proxy: %.0f statements a second with %d callers, %.2f cores, p50/p99 %.1f/%.1f ms, refused/unknown %d/%d\n",
		r.Rate, rateCallers, r.Processor, r.RateResult.ReadP50, r.RateResult.ReadP99, r.RateResult.Refused, r.RateResult.Unknown)
}

// Cost measures the path through entry and lane against direct connections, by turns in one run, and
// then what one proxy takes.
func (r *Runner) Cost(ctx context.Context, report *Report) error {
	direct := r.phase(PolicyPin, r.Lags[0])
	through := r.phase(PolicyEgretlane, r.Lags[0])
	for _, p := range []*Phase{direct, through} {
		p.Think = costThink
		if err := p.prepare(ctx); err != nil {
			return errors.Trace(err)
		}
		p.tally = newTally(time.Now().Add(warmUp))
	}
	defer direct.pools.close()
	defer through.pools.close()
	before, err := r.Target.sums(ctx, confirmMetric, "")
	if err != nil {
		return errors.Trace(err)
	}
	r.compare(ctx, direct, through)
	after, err := r.Target.sums(ctx, confirmMetric, "")
	if err != nil {
		return errors.Trace(err)
	}
	c := &CostResult{
		Direct:  direct.tally.finish(),
		Proxied: through.tally.finish(),
	}
	c.Direct.Policy = "direct"
	c.Proxied.Policy = PolicyEgretlane
	if d := delta(after, before, ""); d.count > 0 {
		c.ConfirmMean = 1000 * d.sum / float64(d.count)
	}
	report.Cost = c
	return errors.Trace(r.rate(ctx, c))
}

// compare lets each caller run the same requests by turns on both paths.
func (r *Runner) compare(ctx context.Context, phases ...*Phase) {
	ctx, cancel := context.WithTimeout(ctx, warmUp+r.Duration)
	defer cancel()
	wg := sync.WaitGroup{}
	defer wg.Wait()
	for n := range costCallers {
		sessions := []*session{}
		for _, p := range phases {
			sessions = append(sessions, p.session(n))
		}
		wg.Go(func() {
			for sessions[0].think(ctx) {
				for _, s := range sessions {
					s.work(ctx)
				}
			}
			for _, s := range sessions {
				s.client.Close()
			}
		})
	}
}

// rate presses one proxy with reads.
func (r *Runner) rate(ctx context.Context, c *CostResult) error {
	proxy := r.Target.Set.Proxies()[0]
	t := newTally(time.Now().Add(warmUp))
	before := 0.0
	working, cancel := context.WithTimeout(ctx, warmUp+r.Duration)
	defer cancel()
	wg := sync.WaitGroup{}
	for n := range rateCallers {
		wg.Go(func() {
			r.press(working, t, proxy, n)
		})
	}
	pause(ctx, warmUp)
	f, err := r.Target.scrape(ctx, proxy.Operator)
	if err != nil {
		return errors.Trace(err)
	}
	before = f.sum(nil, processorMetric, "")[0].sum
	wg.Wait()
	c.RateResult = t.finish()
	c.Rate = c.RateResult.Rate
	f, err = r.Target.scrape(ctx, proxy.Operator)
	if err != nil {
		return errors.Trace(err)
	}
	c.Processor = (f.sum(nil, processorMetric, "")[0].sum - before) / r.Duration.Seconds()
	return nil
}

// press runs reads on one connection without a wait.
func (r *Runner) press(ctx context.Context, t *tally, proxy sites.Proxy, n int) {
	conn, err := connect(ctx, proxy.Callers, r.Target.Set.Deployment.Database, nil)
	if err != nil {
		t.fail(notRun(err))
		return
	}
	defer closeConn(conn)
	random := rand.New(rand.NewPCG(r.Seed, uint64(n)))
	groups := r.Target.groups()
	for ctx.Err() == nil {
		query := "SELECT item FROM orders WHERE id = '" + certificate(random.IntN(certificates)) + "' /*kind='" +
			sites.KindCertificate + "',group='" + groups[random.IntN(len(groups))] + "',n='" + strconv.Itoa(n) + "'*/"
		start := time.Now()
		_, err := exec(ctx, conn, query)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			t.fail(err)
			if conn.IsClosed() {
				return
			}
		default:
			t.read(time.Since(start), true)
		}
	}
}
