package load

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"

	"github.com/juju/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"egretlane.example/egret/egretlab/links"
)

// families are the metrics of a process by name.
type families map[string]*dto.MetricFamily

// sample is a metric summed over the proxies.
type sample struct {
	// label is the value of the label that the sum is split by.
	label string

	// sum is the value of a counter, or the sum of a histogram.
	sum float64

	// count is the number of a histogram's observations.
	count uint64
}

// scrape reads the metrics of a process.
func (t *Target) scrape(ctx context.Context, a netip.AddrPort) (families, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/metrics", a), nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	reply, err := t.HTTP.Do(r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer reply.Body.Close()
	p := expfmt.NewTextParser(model.UTF8Validation)
	f, err := p.TextToMetricFamilies(reply.Body)
	return f, errors.Trace(err)
}

// sums adds a metric up over all proxies, split by a label.
func (t *Target) sums(ctx context.Context, name, label string) ([]sample, error) {
	all := []sample{}
	for _, p := range t.Set.Proxies() {
		f, err := t.scrape(ctx, p.Operator)
		if err != nil {
			return nil, errors.Annotatef(err, "metrics of %s", p.Name)
		}
		all = f.sum(all, name, label)
	}
	return all, nil
}

// sum adds a metric to the samples.
func (f families) sum(all []sample, name, label string) []sample {
	for _, m := range f[name].GetMetric() {
		value := ""
		for _, l := range m.GetLabel() {
			if l.GetName() == label {
				value = l.GetValue()
			}
		}
		i := slices.IndexFunc(all, func(s sample) bool {
			return s.label == value
		})
		if i < 0 {
			i = len(all)
			all = append(all, sample{
				label: value,
			})
		}
		h := m.GetHistogram()
		all[i].sum += m.GetCounter().GetValue() + m.GetGauge().GetValue() + h.GetSampleSum()
		all[i].count += h.GetSampleCount()
	}
	return all
}

// delta returns what was added under a label.
func delta(after, before []sample, label string) sample {
	d := sample{
		label: label,
	}
	for _, s := range after {
		if s.label == label {
			d.sum += s.sum
			d.count += s.count
		}
	}
	for _, s := range before {
		if s.label == label {
			d.sum -= s.sum
			d.count -= s.count
		}
	}
	return d
}

// crossRegion returns the bytes between regions so far, by cause.
func (t *Target) crossRegion(ctx context.Context) ([]Bytes, error) {
	all := []Bytes{}
	if t.Set.Flat {
		return all, nil
	}
	traffic := []links.Traffic{}
	if err := t.get(ctx, t.Set.LinksOperator(), "/bytes", &traffic); err != nil {
		return nil, errors.Trace(err)
	}
	for _, x := range traffic {
		if x.From != x.To {
			all = addBytes(all, string(x.Cause), x.Bytes)
		}
	}
	calls, err := t.sums(ctx, "egretlane_cross_region_bytes_total", "cause")
	if err != nil {
		return nil, errors.Trace(err)
	}
	for _, s := range calls {
		all = addBytes(all, "of-proxy-"+s.label, int64(s.sum))
	}
	return all, nil
}

func addBytes(all []Bytes, cause string, n int64) []Bytes {
	i := slices.IndexFunc(all, func(b Bytes) bool {
		return b.Cause == cause
	})
	if i < 0 {
		return append(all, Bytes{
			Cause: cause,
			Bytes: n,
		})
	}
	all[i].Bytes += n
	return all
}

// subtract returns what was added by cause.
func subtract(after, before []Bytes) []Bytes {
	for _, b := range before {
		after = addBytes(after, b.Cause, -b.Bytes)
	}
	return after
}
