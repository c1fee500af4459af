package soak

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// momentLength is the resolution of a timeline.
	momentLength = 500 * time.Millisecond

	// The histograms hold microseconds with two digits, up to what a caller waits at most.
	lowestMicros  = 1
	highestMicros = int64(2 * answerWait / time.Microsecond)
	digits        = 2
)

// Moment is what callers met during a part of a run.
type Moment struct {
	// At is the start, since the start of the run.
	At time.Duration `json:"at"`

	// Served and Failed count the statements that ended, with a success or otherwise.
	Served int `json:"served"`
	Failed int `json:"failed"`

	// Median and High are the 50th and the 99th percentile of the time to a success.
	Median time.Duration `json:"median"`
	High   time.Duration `json:"high"`
}

// timeline notes what callers meet. The zero value is ready to use.
type timeline struct {
	mu      sync.Mutex
	moments []Moment
	waits   []*hdrhistogram.Histogram
	all     *hdrhistogram.Histogram
}

// note adds a statement that ended at a time since the start.
func (t *timeline) note(at, elapsed time.Duration, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		t.all = newHistogram()
	}
	n := max(0, int(at/momentLength))
	for len(t.moments) <= n {
		t.moments = append(t.moments, Moment{
			At: time.Duration(len(t.moments)) * momentLength,
		})
		t.waits = append(t.waits, newHistogram())
	}
	if !served {
		t.moments[n].Failed++
		return
	}
	t.moments[n].Served++
	micros := min(max(elapsed.Microseconds(), lowestMicros), highestMicros)
	for _, h := range []*hdrhistogram.Histogram{t.waits[n], t.all} {
		// The value is inside the range of the histogram.
		_ = h.RecordValue(micros)
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// result returns the moments, and the percentiles of the whole run.
func (t *timeline) result() ([]Moment, Moment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	whole := Moment{}
	for i := range t.moments {
		m := &t.moments[i]
		m.Median, m.High = percentile(t.waits[i], 50), percentile(t.waits[i], 99)
		whole.Served += m.Served
		whole.Failed += m.Failed
	}
	if t.all != nil {
		whole.Median, whole.High = percentile(t.all, 50), percentile(t.all, 99)
	}
	return t.moments, whole
}

func percentile(h *hdrhistogram.Histogram, p float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond
}

// longestGap returns the longest time in which nothing was served, in whole moments.
func longestGap(moments []Moment) time.Duration {
	longest, gap := time.Duration(0), time.Duration(0)
	for _, m := range moments {
		gap += momentLength
		if m.Served > 0 {
			gap = 0
		}
		longest = max(longest, gap)
	}
	return longest
}
