package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"egretlane.example/egret"
)

// Metrics counts requests.
type Metrics struct {
	// Requests counts batches by route, by role of the member that served them and by outcome.
	Requests *prometheus.CounterVec

	// Retries counts retries by the reason of the failure before them.
	Retries *prometheus.CounterVec

	// RequestSeconds observes the time from a batch's arrival to the end of its answer, by role.
	RequestSeconds *prometheus.HistogramVec

	// FloorLookups counts lookups of a group's position for a session's first read of the group, by outcome.
	FloorLookups *prometheus.CounterVec
}

// NewMetrics returns the metrics of the package, registered with r.
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
		RequestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "egretlane_request_seconds",
			Help:    "Time from a request's arrival to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 15),
		}, []string{"role"}),
		FloorLookups: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_floor_lookups_total",
			Help: "Look-ups of a group's position for a session's first read of it, by outcome.",
		}, []string{"outcome"}),
	}
	r.MustRegister(m.Requests, m.Retries, m.RequestSeconds, m.FloorLookups)
	return m
}

// outcomeLabel returns the outcome of a request as a label. A request without a failure is rejected if its
// answer contains an error of the database.
func outcomeLabel(f *egret.Failure, rejected bool) string {
	if f == nil && rejected {
		return "rejected"
	}
	if f == nil {
		return "ok"
	}
	return f.Outcome.Label()
}
