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
	// costCallers is the number of callers in the comparison at low load.
	costCallers = 2

	// costThinkTime is the mean think time of these callers.
	costThinkTime = 10 * time.Millisecond

	// throughputCallers is the number of callers that saturate one proxy.
	throughputCallers = 96

	// confirmWaitMetric is the histogram of the waits until a second member confirms a write.
	confirmWaitMetric = "egretlane_lane_confirm_wait_seconds"

	// cpuMetric is the CPU time that a process has used.
	cpuMetric = "process_cpu_seconds_total"
)

// CostResult is the overhead of the proxies and the throughput of one.
type CostResult struct {
	// Direct and Proxied are the results of the same mix of requests at low load, sent alternately on both paths.
	Direct  Result `json:"direct"`
	Proxied Result `json:"proxied"`

	// ConfirmWaitMean is the mean wait until a second member confirms a write, in milliseconds.
	ConfirmWaitMean float64 `json:"confirm-mean-ms"`

	// Throughput is the number of statements per second that one proxy served to callers without think time.
	Throughput float64 `json:"one-proxy-statements-per-second"`

	// ThroughputResult has the latencies and failures at this throughput.
	ThroughputResult Result `json:"one-proxy"`

	// CPUCores is the CPU time that this proxy used per second, in cores.
	CPUCores float64 `json:"one-proxy-cores"`
}

func (r *CostResult) writeTable(w io.Writer) {
	fmt.Fprintln(w, "path\tread p50/p99 ms\torder p50/p99 ms\treads")
	for _, p := range []Result{r.Direct, r.Proxied} {
		fmt.Fprintf(w, "%s\t%.2f/%.2f\t%.2f/%.2f\t%d\n", p.Policy, p.ReadP50, p.ReadP99, p.OrderP50, p.OrderP99, p.Reads)
	}
	fmt.Fprintf(w, "added\t%.2f/%.2f\t%.2f/%.2f\t\n", r.Proxied.ReadP50-r.Direct.ReadP50, r.Proxied.ReadP99-r.Direct.ReadP99,
		r.Proxied.OrderP50-r.Direct.OrderP50, r.Proxied.OrderP99-r.Direct.OrderP99)
	fmt.Fprintf(w, "wait for a second member: mean %.2f ms\n", r.ConfirmWaitMean)
	fmt.Fprintf(w, "one proxy: %.0f statements a second with %d callers, %.2f cores, p50/p99 %.1f/%.1f ms, refused/unknown %d/%d\n",
		r.Throughput, throughputCallers, r.CPUCores, r.ThroughputResult.ReadP50, r.ThroughputResult.ReadP99, r.ThroughputResult.Refused, r.ThroughputResult.Unknown)
}

// MeasureCost compares the path through the proxies, from the one that a caller connects to (entry) to the one that has
// the member's connections (lane), with direct connections. It sends requests alternately on both paths. Then it
// measures the throughput of one proxy.
func (r *Runner) MeasureCost(ctx context.Context, report *Report) error {
	direct := r.newPhase(PolicyPin, r.Lags[0])
	proxied := r.newPhase(PolicyEgretlane, r.Lags[0])
	for _, p := range []*Phase{direct, proxied} {
		p.ThinkTime = costThinkTime
		if err := p.prepare(ctx); err != nil {
			return errors.Trace(err)
		}
		p.recorder = newRecorder(time.Now().Add(warmUpDuration))
	}
	defer direct.pools.close()
	defer proxied.pools.close()
	before, err := r.Target.sumMetric(ctx, confirmWaitMetric, "")
	if err != nil {
		return errors.Trace(err)
	}
	r.runAlternately(ctx, direct, proxied)
	after, err := r.Target.sumMetric(ctx, confirmWaitMetric, "")
	if err != nil {
		return errors.Trace(err)
	}
	c := &CostResult{
		Direct:  direct.recorder.finish(),
		Proxied: proxied.recorder.finish(),
	}
	c.Direct.Policy = "direct"
	c.Proxied.Policy = PolicyEgretlane
	if d := delta(after, before, ""); d.count > 0 {
		c.ConfirmWaitMean = 1000 * d.sum / float64(d.count)
	}
	report.Cost = c
	return errors.Trace(r.measureThroughput(ctx, c))
}

// runAlternately has each caller send a request of each phase in turn. All phases have the same mix of requests.
func (r *Runner) runAlternately(ctx context.Context, phases ...*Phase) {
	ctx, cancel := context.WithTimeout(ctx, warmUpDuration+r.Duration)
	defer cancel()
	wg := sync.WaitGroup{}
	defer wg.Wait()
	for n := range costCallers {
		sessions := []*session{}
		for _, p := range phases {
			sessions = append(sessions, p.newSession(n))
		}
		wg.Go(func() {
			for sessions[0].think(ctx) {
				for _, s := range sessions {
					s.request(ctx)
				}
			}
			for _, s := range sessions {
				s.client.Close()
			}
		})
	}
}

// measureThroughput saturates one proxy with reads. The CPU time is measured from the end of the warm-up to the end of
// the run.
func (r *Runner) measureThroughput(ctx context.Context, c *CostResult) error {
	proxy := r.Target.Set.Proxies()[0]
	rec := newRecorder(time.Now().Add(warmUpDuration))
	before := 0.0
	loadCtx, cancel := context.WithTimeout(ctx, warmUpDuration+r.Duration)
	defer cancel()
	wg := sync.WaitGroup{}
	for n := range throughputCallers {
		wg.Go(func() {
			r.readContinuously(loadCtx, rec, proxy, n)
		})
	}
	sleep(ctx, warmUpDuration)
	f, err := r.Target.scrape(ctx, proxy.Operator)
	if err != nil {
		return errors.Trace(err)
	}
	before = f.addSamples(nil, cpuMetric, "")[0].sum
	wg.Wait()
	c.ThroughputResult = rec.finish()
	c.Throughput = c.ThroughputResult.Rate
	f, err = r.Target.scrape(ctx, proxy.Operator)
	if err != nil {
		return errors.Trace(err)
	}
	c.CPUCores = (f.addSamples(nil, cpuMetric, "")[0].sum - before) / r.Duration.Seconds()
	return nil
}

// readContinuously runs reads on one connection, without think time.
func (r *Runner) readContinuously(ctx context.Context, rec *recorder, proxy sites.Proxy, n int) {
	conn, err := connect(ctx, proxy.Callers, r.Target.Set.Deployment.Database, nil)
	if err != nil {
		rec.recordFailure(notRunFailure(err))
		return
	}
	defer closeConn(conn)
	random := rand.New(rand.NewPCG(r.Seed, uint64(n)))
	groups := r.Target.groups()
	for ctx.Err() == nil {
		query := "SELECT item FROM orders WHERE id = '" + certificateID(random.IntN(certificateCount)) + "' /*kind='" +
			sites.KindCertificate + "',group='" + groups[random.IntN(len(groups))] + "',n='" + strconv.Itoa(n) + "'*/"
		start := time.Now()
		_, err := exec(ctx, conn, query)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			rec.recordFailure(err)
			if conn.IsClosed() {
				return
			}
		default:
			rec.recordRead(time.Since(start), true)
		}
	}
}
