package load

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/juju/errors"
)

// Report has all results of a run. Those of measurements that did not run are empty.
type Report struct {
	// Deployment is the name of the deployment.
	Deployment string `json:"deployment"`

	// Seed is the seed of all random choices.
	Seed uint64 `json:"seed"`

	// Commit is the commit that was measured.
	Commit string `json:"commit"`

	// Policies has a result for each policy and lag.
	Policies []Result `json:"policies,omitempty"`

	// Failover is the result of MeasureFailover.
	Failover *FailoverResult `json:"failover,omitempty"`

	// Slow is the result of MeasureSlowPrimaries.
	Slow *SlowResult `json:"slow-primaries,omitempty"`

	// Cost is the result of MeasureCost.
	Cost *CostResult `json:"cost,omitempty"`
}

// JSON writes the report as indented JSON.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(r))
}

// Table writes the report as tables for people to read.
func (r *Report) Table(w io.Writer) error {
	fmt.Fprintf(w, "deployment %s, seed %d, commit %s\n", r.Deployment, r.Seed, r.Commit)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(r.Policies) > 0 {
		writePolicies(t, r.Policies)
	}
	if r.Failover != nil {
		r.Failover.writeTable(t)
	}
	if r.Slow != nil {
		r.Slow.writeTable(t)
	}
	if r.Cost != nil {
		r.Cost.writeTable(t)
	}
	return errors.Trace(t.Flush())
}

func writePolicies(w io.Writer, results []Result) {
	fmt.Fprintln(w, "lag ms\tpolicy\treplica share\tstale own/age/back\tread p50/p99 ms\torder p50/p99 ms\trequests/s\t"+
		"orders placed/lost/doubled\trefused/unknown/rejected\tcross-region bytes")
	for _, r := range results {
		fmt.Fprintf(w, "%d\t%s\t%.3f\t%d/%d/%d\t%.1f/%.1f\t%.1f/%.1f\t%.0f\t%d/%d/%d\t%d/%d/%d\t", r.LagMillis, r.Policy,
			r.ReplicaReadShare, r.StaleOwn, r.StaleAge, r.StaleBack, r.ReadP50, r.ReadP99, r.OrderP50, r.OrderP99, r.Rate,
			r.Placed, r.Lost, r.Duplicated, r.Refused, r.Unknown, r.Rejected)
		for _, b := range r.CrossRegion {
			fmt.Fprintf(w, "%s %d ", b.Cause, b.Bytes)
		}
		fmt.Fprintln(w)
		for _, f := range r.FirstErrors {
			fmt.Fprintf(w, "\t%s\n", f)
		}
	}
}
