package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"egretlane.example/egret"
)

// Metrics counts requests.
type Metrics struct {
	// Requests counts batches by route, by the role that served them and by outcome.
	Requests *prometheus.CounterVec

	// Retries counts tries again by reason.
	Retries *prometheus.CounterVec

	// Seconds is the time from a batch's arrival to its answer, by role.
	Seconds *prometheus.HistogramVec

	// Confirms counts look-ups of a group's position for a session's first read of it.
	Confirms *prometheus.CounterVec
}

// NewMetrics registers the metrics of the entry.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_requests_total",
			Help: "Requests by route, by the role of the member that served them and by outcome.",
		}, []string{"route", "role", "outcome"}),
		Retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_retries_total",
			Help: "Tries again by reason.",
		}, []string{"reason"}),
		Seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "egretlane_request_seconds",
			Help:    "Time from a request's arrival to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 15),
		}, []string{"role"}),
		Confirms: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_floor_lookups_total",
			Help: "Look-ups of a group's position for a session's first read of it, by outcome.",
		}, []string{"outcome"}),
	}
	r.MustRegister(m.Requests, m.Retries, m.Seconds, m.Confirms)
	return m
}

// outcomeLabel names the end of a request. One that was answered whole is rejected if the answer has
// an error of the database.
func outcomeLabel(f *egret.Failure, rejected bool) string {
	if f == nil && rejected {
		return "rejected"
	}
	if f == nil {
		return "ok"
	}
	return f.Outcome.Label()
}
