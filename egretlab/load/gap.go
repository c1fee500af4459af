package load

import (
	"fmt"
	"io"
	"slices"
)

// The metric that the watchers split promotions by.
const (
	partMetric = "egretlane_promo_part_seconds"
	partLabel  = "part"
)

// Gap is the time without orders after one failure. Times are in milliseconds.
type Gap struct {
	// Group is the group.
	Group string `json:"group"`

	// From and To are the primaries before and after.
	From string `json:"from"`
	To   string `json:"to"`

	// Ended says that an order was placed. If not, Total is how long it was waited for.
	Ended bool `json:"ended"`

	// Total is from the failure to the first order acknowledged that was sent after it.
	Total float64 `json:"total-ms"`

	// Notice, Fence, Promote and Tell are what the watchers say of the promotion. They are zero if
	// there was none. Tell goes on until the last member was told or given up, beside first orders.
	Notice  float64 `json:"notice-ms"`
	Fence   float64 `json:"fence-ms"`
	Promote float64 `json:"promote-ms"`
	Tell    float64 `json:"tell-ms"`

	// FirstOrder is the rest after promoting, until the first order is acknowledged.
	FirstOrder float64 `json:"first-order-ms"`

	// Promotions is how many there were.
	Promotions int `json:"promotions"`
}

// split sets the parts from the metrics after and before.
func (g *Gap) split(after, before []sample) {
	part := func(label string) float64 {
		d := delta(after, before, label)
		if d.count == 0 {
			return 0
		}
		return 1000 * d.sum / float64(d.count)
	}
	g.Notice = part("notice")
	g.Fence = part("fence")
	g.Promote = part("promote")
	g.Tell = part("tell")
	g.FirstOrder = g.Total - g.Notice - g.Fence - g.Promote
	g.Promotions = int(delta(after, before, "promote").count)
}

// GapMillis is the gaps of all failures.
type GapMillis struct {
	// Each has the total of each failure, in order.
	Each []float64 `json:"each"`

	// Median and Worst are over all failures.
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
}

// FailoverResult is what a number of failures did.
type FailoverResult struct {
	// Kind is the kind of failure.
	Kind Kind `json:"failure"`

	// StoreDown says that the store was down meanwhile.
	StoreDown bool `json:"store-down"`

	// Millis sums the gaps up.
	Millis GapMillis `json:"failover-gap-ms"`

	// Gaps has each failure with its parts.
	Gaps []Gap `json:"failures"`

	Audit
}

func (r *FailoverResult) summarize() {
	for _, g := range r.Gaps {
		r.Millis.Each = append(r.Millis.Each, g.Total)
	}
	r.Millis.Median = median(r.Millis.Each)
	r.Millis.Worst = slices.Max(r.Millis.Each)
}

// median returns the middle of the values, or the mean of the two in the middle.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	if n == 0 {
		return 0
	}
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

func (r *FailoverResult) table(w io.Writer) {
	store := "up"
	if r.StoreDown {
		store = "down"
	}
	fmt.Fprintln(w, "group\tfrom\tto\tgap ms\tnotice\tfence\tpromote\ttell\tfirst order\tpromotions")
	for _, g := range r.Gaps {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\n", g.Group, g.From, g.To, g.Total, g.Notice,
			g.Fence, g.Promote, g.Tell, g.FirstOrder, g.Promotions)
	}
	fmt.Fprintf(w, "failure %s, store %s: median %.0f ms, worst %.0f ms over %d\n", r.Kind, store, r.Millis.Median,
		r.Millis.Worst, len(r.Gaps))
	fmt.Fprintf(w, "orders placed/lost/doubled %d/%d/%d, not run/unknown/rejected %d/%d/%d, not run but ran %d\n", r.Placed,
		r.Lost, r.Doubled, r.NotRun, r.Unknown, r.Rejected, r.NotRunButRan)
}
