package load

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"
)

// Report is everything that a run has measured.
type Report struct {
	// Deployment is the name of the sizes.
	Deployment string `json:"deployment"`

	// Seed is that of the callers' choices.
	Seed uint64 `json:"seed"`

	// Commit is the commit that was measured.
	Commit string `json:"commit"`

	// Policies has a result for each policy and lag.
	Policies []Result `json:"policies,omitempty"`

	// Failover is what failures did, or nil.
	Failover *FailoverResult `json:"failover,omitempty"`

	// Slow is what slow primaries did, or nil.
	Slow *SlowResult `json:"slow-primaries,omitempty"`

	// Cost is what the proxies cost, or nil.
	Cost *CostResult `json:"cost,omitempty"`
}

// JSON writes the report for machines.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(r))
}

// Table writes the report for people.
func (r *Report) Table(w io.Writer) error {
	fmt.Fprintf(w, "deployment %s, seed %d, commit %s\n", r.Deployment, r.Seed, r.Commit)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(r.Policies) > 0 {
		tablePolicies(t, r.Policies)
	}
	if r.Failover != nil {
		r.Failover.table(t)
	}
	if r.Slow != nil {
		r.Slow.table(t)
	}
	if r.Cost != nil {
		r.Cost.table(t)
	}
	return errors.Trace(t.Flush())
}

func tablePolicies(w io.Writer, results []Result) {
	fmt.Fprintln(w, "lag ms\tpolicy\treplica share\tstale own/age/back\tread p50/p99 ms\torder p50/p99 ms\trequests/s\t"+
		"orders placed/lost/doubled\trefused/unknown/rejected\tcross-region bytes")
	for _, r := range results {
		fmt.Fprintf(w, "%d\t%s\t%.3f\t%d/%d/%d\t%.1f/%.1f\t%.1f/%.1f\t%.0f\t%d/%d/%d\t%d/%d/%d\t", r.LagMillis, r.Policy,
			r.ReplicaReadShare, r.StaleOwn, r.StaleAge, r.StaleBack, r.ReadP50, r.ReadP99, r.OrderP50, r.OrderP99, r.Rate,
			r.Placed, r.Lost, r.Doubled, r.Refused, r.Unknown, r.Rejected)
		for _, b := range r.CrossRegion {
			fmt.Fprintf(w, "%s %d ", b.Cause, b.Bytes)
		}
		fmt.Fprintln(w)
		for _, f := range r.Faults {
			fmt.Fprintf(w, "\t%s\n", f)
		}
	}
}
