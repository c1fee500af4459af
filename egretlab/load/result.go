package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egretlane.example/egret"
)

// Bounds of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(60 * time.Second / time.Microsecond)
	digits        = 3
)

// Result is what callers got under one policy.
type Result struct {
	// Policy is how requests were served.
	Policy Policy `json:"policy"`

	// LagMillis is the lag of replicas.
	LagMillis int64 `json:"lag-ms"`

	// Reads is how many reads were answered.
	Reads int `json:"reads"`

	// ReplicaReadShare is the part of them that replicas served.
	ReplicaReadShare float64 `json:"replica-read-share"`

	// StaleReads is the sum of the three kinds below.
	StaleReads int `json:"stale-reads"`

	// StaleOwn counts reads that lack an acknowledged write of their own session.
	StaleOwn int `json:"stale-own-reads"`

	// StaleAge counts reads older than the stated age.
	StaleAge int `json:"stale-age-reads"`

	// StaleBack counts reads older than an earlier read of their session.
	StaleBack int `json:"stale-back-reads"`

	// The percentiles of the times that callers saw, in milliseconds.
	ReadP50  float64 `json:"read-p50-ms"`
	ReadP99  float64 `json:"read-p99-ms"`
	OrderP50 float64 `json:"order-p50-ms"`
	OrderP99 float64 `json:"order-p99-ms"`

	// Rate is how many requests a second were answered.
	Rate float64 `json:"requests-per-second"`

	// Refused, Unknown and Rejected count failed requests by outcome.
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	Rejected int `json:"rejected"`

	Audit

	// CrossRegion is the bytes between regions by cause.
	CrossRegion []Bytes `json:"cross-region-bytes"`

	// Faults has the first failures and stale reads, in words.
	Faults []string `json:"faults,omitempty"`
}

// Bytes is the traffic between regions for one cause, both ways.
type Bytes struct {
	// Cause is what the traffic is for.
	Cause string `json:"cause"`

	// Bytes is the payload of TCP, or of calls for the parts of cause proxy.
	Bytes int64 `json:"bytes"`
}

// maxFaults bounds Result.Faults.
const maxFaults = 5

// tally gathers a result.
type tally struct {
	mu sync.Mutex

	// start is when counting starts. Before it, requests warm the set up.
	start time.Time

	// result has the counts.
	result Result

	// replicaReads counts reads that replicas served.
	replicaReads int

	// answered counts whole answers.
	answered int

	// reads and orders have the times in microseconds.
	reads, orders *hdrhistogram.Histogram
}

func newTally(start time.Time) *tally {
	return &tally{
		start:  start,
		reads:  newHistogram(),
		orders: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// read counts an answered read.
func (t *tally) read(took time.Duration, fromReplica bool) {
	t.add(func() {
		t.answered++
		t.result.Reads++
		if fromReplica {
			t.replicaReads++
		}
		// The bounds hold all times below the timeout.
		_ = t.reads.RecordValue(took.Microseconds())
	})
}

// order counts an acknowledged order.
func (t *tally) order(took time.Duration) {
	t.add(func() {
		t.answered++
		_ = t.orders.RecordValue(took.Microseconds())
	})
}

// other counts an answer of another kind.
func (t *tally) other() {
	t.add(func() {
		t.answered++
	})
}

// fail counts a failed request.
func (t *tally) fail(err error) {
	f := egret.FailureOf(err)
	t.add(func() {
		switch f.Outcome {
		case egret.NotRun:
			t.result.Refused++
		case egret.Rejected:
			t.result.Rejected++
		default:
			t.result.Unknown++
		}
		t.fault(f.Error())
	})
}

// stale counts a read that was older than it may be.
func (t *tally) stale(kind *int, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*kind++
	t.result.StaleReads++
	t.fault(text)
}

func (t *tally) fault(text string) {
	if len(t.result.Faults) < maxFaults {
		t.result.Faults = append(t.result.Faults, text)
	}
}

func (t *tally) add(count func()) {
	if time.Now().Before(t.start) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	count()
}

// finish returns the result of a phase that ends now.
func (t *tally) finish() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.result
	r.Rate = float64(t.answered) / time.Since(t.start).Seconds()
	if r.Reads > 0 {
		r.ReplicaReadShare = float64(t.replicaReads) / float64(r.Reads)
	}
	r.ReadP50 = percentile(t.reads, 50)
	r.ReadP99 = percentile(t.reads, 99)
	r.OrderP50 = percentile(t.orders, 50)
	r.OrderP99 = percentile(t.orders, 99)
	return r
}

// percentile returns a percentile in milliseconds.
func percentile(h *hdrhistogram.Histogram, p float64) float64 {
	return float64(h.ValueAtPercentile(p)) / 1000
}
