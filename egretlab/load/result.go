package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egretlane.example/egret"
)

// The range of the histograms in microseconds, and their precision in significant digits.
const (
	lowestMicros      = 1
	highestMicros     = int64(60 * time.Second / time.Microsecond)
	significantDigits = 3
)

// Result is what the callers got under one policy.
type Result struct {
	// Policy is how requests were served.
	Policy Policy `json:"policy"`

	// LagMillis is the replication lag in milliseconds.
	LagMillis int64 `json:"lag-ms"`

	// Reads is the number of answered reads.
	Reads int `json:"reads"`

	// ReplicaReadShare is the share of them that replicas served.
	ReplicaReadShare float64 `json:"replica-read-share"`

	// StaleReads is the sum of the three kinds below.
	StaleReads int `json:"stale-reads"`

	// StaleOwn counts reads that miss an acknowledged write of their own session.
	StaleOwn int `json:"stale-own-reads"`

	// StaleAge counts reads that are older than the maximum age of their request.
	StaleAge int `json:"stale-age-reads"`

	// StaleBack counts reads that are older than an earlier read of their session.
	StaleBack int `json:"stale-back-reads"`

	// The percentiles of the latencies that callers saw, in milliseconds.
	ReadP50  float64 `json:"read-p50-ms"`
	ReadP99  float64 `json:"read-p99-ms"`
	OrderP50 float64 `json:"order-p50-ms"`
	OrderP99 float64 `json:"order-p99-ms"`

	// Rate is the number of answered requests per second.
	Rate float64 `json:"requests-per-second"`

	// Refused, Unknown and Rejected count failed requests by outcome. Refused requests did not run.
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	Rejected int `json:"rejected"`

	Audit

	// CrossRegion has the traffic between regions, by cause.
	CrossRegion []Bytes `json:"cross-region-bytes"`

	// FirstErrors has the messages of the first failures and stale reads.
	FirstErrors []string `json:"faults,omitempty"`
}

// Bytes is the traffic between regions for one cause, both ways.
type Bytes struct {
	// Cause is the purpose of the traffic.
	Cause string `json:"cause"`

	// Bytes counts TCP payload. For causes that begin with "of-proxy-", which split the proxies' traffic up, it counts
	// the payload of calls.
	Bytes int64 `json:"bytes"`
}

// maxFirstErrors limits Result.FirstErrors.
const maxFirstErrors = 5

// recorder collects the result of a phase. Sessions use it concurrently.
type recorder struct {
	mu sync.Mutex

	// countFrom is the time at which counting starts. Earlier requests are the warm-up.
	countFrom time.Time

	// result has the counts of reads, stale reads and failures.
	result Result

	// replicaReads counts reads that replicas served.
	replicaReads int

	// answered counts complete answers.
	answered int

	// readTimes and orderTimes have the latencies in microseconds.
	readTimes, orderTimes *hdrhistogram.Histogram
}

func newRecorder(countFrom time.Time) *recorder {
	return &recorder{
		countFrom:  countFrom,
		readTimes:  newHistogram(),
		orderTimes: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// recordRead counts an answered read.
func (r *recorder) recordRead(took time.Duration, fromReplica bool) {
	r.count(func() {
		r.answered++
		r.result.Reads++
		if fromReplica {
			r.replicaReads++
		}
		// Every latency is within the histogram's range, since statementTimeout is below its upper bound.
		_ = r.readTimes.RecordValue(took.Microseconds())
	})
}

// recordOrder counts an acknowledged order.
func (r *recorder) recordOrder(took time.Duration) {
	r.count(func() {
		r.answered++
		_ = r.orderTimes.RecordValue(took.Microseconds())
	})
}

// recordOther counts an answer whose latency is not reported.
func (r *recorder) recordOther() {
	r.count(func() {
		r.answered++
	})
}

// recordFailure counts a failed request.
func (r *recorder) recordFailure(err error) {
	f := egret.FailureOf(err)
	r.count(func() {
		switch f.Outcome {
		case egret.OutcomeNotRun:
			r.result.Refused++
		case egret.OutcomeRejected:
			r.result.Rejected++
		default:
			r.result.Unknown++
		}
		r.addError(f.Error())
	})
}

// recordStale counts a read that was older than allowed, in kind and in the sum of all kinds. It counts during the
// warm-up too.
func (r *recorder) recordStale(kind *int, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*kind++
	r.result.StaleReads++
	r.addError(text)
}

// addError keeps a message unless there are enough. The lock must be held.
func (r *recorder) addError(text string) {
	if len(r.result.FirstErrors) < maxFirstErrors {
		r.result.FirstErrors = append(r.result.FirstErrors, text)
	}
}

// count calls update with the lock held. During the warm-up it does nothing.
func (r *recorder) count(update func()) {
	if time.Now().Before(r.countFrom) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	update()
}

// finish returns the result of a phase that ends now.
func (r *recorder) finish() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.result
	result.Rate = float64(r.answered) / time.Since(r.countFrom).Seconds()
	if result.Reads > 0 {
		result.ReplicaReadShare = float64(r.replicaReads) / float64(result.Reads)
	}
	result.ReadP50 = percentile(r.readTimes, 50)
	result.ReadP99 = percentile(r.readTimes, 99)
	result.OrderP50 = percentile(r.orderTimes, 50)
	result.OrderP99 = percentile(r.orderTimes, 99)
	return result
}

// percentile returns a percentile of a histogram of microseconds, in milliseconds.
func percentile(h *hdrhistogram.Histogram, p float64) float64 {
	return float64(h.ValueAtPercentile(p)) / 1000
}
