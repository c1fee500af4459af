package soak

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// intervalLength is the resolution of a timeline.
	intervalLength = 500 * time.Millisecond

	// The histograms record latencies in microseconds with two significant digits, up to twice the time-out of a
	// caller.
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(20 * time.Second / time.Microsecond)
	significantDigits = 2
)

// Interval has the statement counts and latencies of one interval of a run.
type Interval struct {
	// At is the start of the interval, as time since the start of the run.
	At time.Duration `json:"at"`

	// Served and Failed count the statements that ended in the interval with a success or with a failure.
	Served int `json:"served"`
	Failed int `json:"failed"`

	// Median and P99 are the 50th and 99th percentiles of the latency of successful statements.
	Median time.Duration `json:"median"`
	P99    time.Duration `json:"high"`
}

// timeline records the outcomes and latencies of statements by interval. The zero value is ready to use.
type timeline struct {
	mu             sync.Mutex
	intervals      []Interval
	latencies      []*hdrhistogram.Histogram
	totalLatencies *hdrhistogram.Histogram
}

// record adds a statement that ended at a time since the start of the run, and took elapsed.
func (t *timeline) record(at, elapsed time.Duration, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.totalLatencies == nil {
		t.totalLatencies = newHistogram()
	}
	n := max(0, int(at/intervalLength))
	for len(t.intervals) <= n {
		t.intervals = append(t.intervals, Interval{
			At: time.Duration(len(t.intervals)) * intervalLength,
		})
		t.latencies = append(t.latencies, newHistogram())
	}
	if !served {
		t.intervals[n].Failed++
		return
	}
	t.intervals[n].Served++
	micros := min(max(elapsed.Microseconds(), minLatencyMicros), maxLatencyMicros)
	for _, h := range []*hdrhistogram.Histogram{t.latencies[n], t.totalLatencies} {
		// RecordValue fails only outside of the histogram's range, to which the value is clamped.
		_ = h.RecordValue(micros)
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

// result returns the figures of each interval and those of the whole run.
func (t *timeline) result() ([]Interval, Interval) {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := Interval{}
	for i := range t.intervals {
		interval := &t.intervals[i]
		interval.Median, interval.P99 = percentile(t.latencies[i], 50), percentile(t.latencies[i], 99)
		total.Served += interval.Served
		total.Failed += interval.Failed
	}
	if t.totalLatencies != nil {
		total.Median, total.P99 = percentile(t.totalLatencies, 50), percentile(t.totalLatencies, 99)
	}
	return t.intervals, total
}

func percentile(h *hdrhistogram.Histogram, p float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond
}

// longestGap returns the longest time in which no statement succeeded, as a multiple of intervalLength.
func longestGap(intervals []Interval) time.Duration {
	longest, gap := time.Duration(0), time.Duration(0)
	for _, interval := range intervals {
		gap += intervalLength
		if interval.Served > 0 {
			gap = 0
		}
		longest = max(longest, gap)
	}
	return longest
}
