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

// families has the metric families of a process, by name.
type families map[string]*dto.MetricFamily

// sample is the sum of a metric over processes, for one value of a label.
type sample struct {
	// label is the value of the label.
	label string

	// sum is the sum of the values of counters and gauges, or of the sums of histograms.
	sum float64

	// count is the number of a histogram's observations.
	count uint64
}

// scrape returns the metrics of a process.
func (t *Target) scrape(ctx context.Context, a netip.AddrPort) (families, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/metrics", a), nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := t.HTTP.Do(r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	p := expfmt.NewTextParser(model.UTF8Validation)
	f, err := p.TextToMetricFamilies(response.Body)
	return f, errors.Trace(err)
}

// sumMetric returns the sums of a metric over all proxies, one for each value of the label.
func (t *Target) sumMetric(ctx context.Context, name, label string) ([]sample, error) {
	all := []sample{}
	for _, p := range t.Set.Proxies() {
		f, err := t.scrape(ctx, p.Operator)
		if err != nil {
			return nil, errors.Annotatef(err, "metrics of %s", p.Name)
		}
		all = f.addSamples(all, name, label)
	}
	return all, nil
}

// addSamples adds a metric to the samples, by the value of the label, and returns them.
func (f families) addSamples(samples []sample, name, label string) []sample {
	for _, m := range f[name].GetMetric() {
		value := ""
		for _, l := range m.GetLabel() {
			if l.GetName() == label {
				value = l.GetValue()
			}
		}
		i := slices.IndexFunc(samples, func(s sample) bool {
			return s.label == value
		})
		if i < 0 {
			i = len(samples)
			samples = append(samples, sample{
				label: value,
			})
		}
		h := m.GetHistogram()
		samples[i].sum += m.GetCounter().GetValue() + m.GetGauge().GetValue() + h.GetSampleSum()
		samples[i].count += h.GetSampleCount()
	}
	return samples
}

// delta returns the increase of the samples with a value of the label.
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

// crossRegionBytes returns the traffic between regions so far, by cause. There is none without a simulated network.
func (t *Target) crossRegionBytes(ctx context.Context) ([]Bytes, error) {
	all := []Bytes{}
	if t.Set.Flat {
		return all, nil
	}
	traffic := []links.Traffic{}
	if err := t.get(ctx, t.Set.LinksOperator(), "/bytes", &traffic); err != nil {
		return nil, errors.Trace(err)
	}
	for _, entry := range traffic {
		if entry.From != entry.To {
			all = addBytes(all, string(entry.Cause), entry.Bytes)
		}
	}
	calls, err := t.sumMetric(ctx, "egretlane_cross_region_bytes_total", "cause")
	if err != nil {
		return nil, errors.Trace(err)
	}
	for _, s := range calls {
		all = addBytes(all, "of-proxy-"+s.label, int64(s.sum))
	}
	return all, nil
}

// addBytes adds n bytes to the entry of the cause, or appends one.
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

// subtract returns the increase by cause.
func subtract(after, before []Bytes) []Bytes {
	for _, b := range before {
		after = addBytes(after, b.Cause, -b.Bytes)
	}
	return after
}
