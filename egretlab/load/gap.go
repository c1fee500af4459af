package load

import (
	"fmt"
	"io"
	"slices"
)

// The metric with the durations of a promotion's parts, and the label that names the part.
const (
	promotionPartMetric = "egretlane_promo_part_seconds"
	promotionPartLabel  = "part"
)

// Gap is the time after a failure during which no order could be placed. All times are in milliseconds.
type Gap struct {
	// Group is the name of the group.
	Group string `json:"group"`

	// From and To are the names of the primaries before and after.
	From string `json:"from"`
	To   string `json:"to"`

	// Ended is true if an order was placed after the failure. If not, Total is the time until the wait was given up.
	Ended bool `json:"ended"`

	// Total is the time from the failure until the first order that was sent after it is acknowledged.
	Total float64 `json:"total-ms"`

	// Notice, Fence, Promote and Tell are the parts of the promotion by the proxies' metrics: noticing the
	// failure, fencing, promoting, and telling the members. They are zero if there was no promotion. Tell lasts until
	// the last member was told or given up, and overlaps with the first orders.
	Notice  float64 `json:"notice-ms"`
	Fence   float64 `json:"fence-ms"`
	Promote float64 `json:"promote-ms"`
	Tell    float64 `json:"tell-ms"`

	// FirstOrder is the rest of Total after Promote, until the first order is acknowledged.
	FirstOrder float64 `json:"first-order-ms"`

	// Promotions is the number of promotions.
	Promotions int `json:"promotions"`
}

// setParts sets the parts of the promotion from metrics that were read after and before it.
func (g *Gap) setParts(after, before []sample) {
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

// GapSummary summarizes the gaps of all failures, in milliseconds.
type GapSummary struct {
	// Each has the total of each gap, in the order of the failures.
	Each []float64 `json:"each"`

	// Median and Worst are the median and the maximum of Each.
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
}

// FailoverResult is the result of a series of failures.
type FailoverResult struct {
	// Kind is the kind of failure.
	Kind FailureKind `json:"failure"`

	// StoreDown is true if the store was down during the failures.
	StoreDown bool `json:"store-down"`

	// Summary summarizes the gaps.
	Summary GapSummary `json:"failover-gap-ms"`

	// Gaps has the gap of each failure with its parts.
	Gaps []Gap `json:"failures"`

	Audit
}

func (r *FailoverResult) summarize() {
	for _, g := range r.Gaps {
		r.Summary.Each = append(r.Summary.Each, g.Total)
	}
	r.Summary.Median = median(r.Summary.Each)
	r.Summary.Worst = slices.Max(r.Summary.Each)
}

// median returns the middle value, or the mean of the two middle values. It returns 0 for no values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	if n == 0 {
		return 0
	}
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

func (r *FailoverResult) writeTable(w io.Writer) {
	store := "up"
	if r.StoreDown {
		store = "down"
	}
	fmt.Fprintln(w, "group\tfrom\tto\tgap ms\tnotice\tfence\tpromote\ttell\tfirst order\tpromotions")
	for _, g := range r.Gaps {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\n", g.Group, g.From, g.To, g.Total, g.Notice,
			g.Fence, g.Promote, g.Tell, g.FirstOrder, g.Promotions)
	}
	fmt.Fprintf(w, "failure %s, store %s: median %.0f ms, worst %.0f ms over %d\n", r.Kind, store, r.Summary.Median,
		r.Summary.Worst, len(r.Gaps))
	fmt.Fprintf(w, "orders placed/lost/doubled %d/%d/%d, not run/unknown/rejected %d/%d/%d, not run but ran %d\n", r.Placed,
		r.Lost, r.Duplicated, r.NotRun, r.Unknown, r.Rejected, r.NotRunButRan)
}
