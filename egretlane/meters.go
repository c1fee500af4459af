package main

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"egretlane.example/egret"
)

// meters are the metrics of a node. Labels are bounded: kinds, faults and calls, no names of routes.
type meters struct {
	registry   *prometheus.Registry
	sessions   prometheus.Gauge
	answers    *prometheus.CounterVec
	total      *prometheus.HistogramVec
	waits      prometheus.Histogram
	runs       *prometheus.HistogramVec
	connects   prometheus.Counter
	promotions prometheus.Histogram
	calls      *prometheus.HistogramVec
}

// buckets are latencies from a fast read to the longest statement timeouts, in seconds.
func buckets() []float64 {
	return prometheus.ExponentialBuckets(0.001, 2, 14)
}

func newMeters() *meters {
	m := &meters{
		registry: prometheus.NewRegistry(),
		sessions: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "egretlane_sessions",
			Help: "Open sessions of callers.",
		}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_answers_total",
			Help: "Statements answered, by route kind and fault.",
		}, []string{"kind", "fault"}),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "egretlane_statement_seconds",
			Help:    "Time from a statement's arrival to its answer.",
			Buckets: buckets(),
		}, []string{"kind"}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "egretlane_queue_seconds",
			Help:    "Time in the queue of a service that this process holds.",
			Buckets: buckets(),
		}),
		runs: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "egretlane_member_seconds",
			Help:    "Time at a member, by fault.",
			Buckets: buckets(),
		}, []string{"fault"}),
		connects: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretlane_member_connections_total",
			Help: "New connections to members.",
		}),
		promotions: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "egretlane_promotion_seconds",
			Help:    "Time from the loss of a primary to the next one.",
			Buckets: buckets(),
		}),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "egretlane_store_seconds",
			Help:    "Calls to the platform's store, by status; 0 is no answer.",
			Buckets: buckets(),
		}, []string{"status"}),
	}
	m.registry.MustRegister(m.sessions, m.answers, m.total, m.waits, m.runs, m.connects, m.promotions, m.calls,
		collectors.NewGoCollector())
	return m
}

func (m *meters) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Sessions takes the number of open sessions.
func (m *meters) Sessions(n int) {
	m.sessions.Set(float64(n))
}

// Answered counts a statement that went to a member or was refused.
func (m *meters) Answered(_ string, kind egret.RouteKind, fault egret.FaultKind, elapsed time.Duration) {
	m.answers.WithLabelValues(kind.String(), fault.String()).Inc()
	m.total.WithLabelValues(kind.String()).Observe(elapsed.Seconds())
}

// Waited takes the time that a statement waited for a slot.
func (m *meters) Waited(_ string, wait time.Duration) {
	m.waits.Observe(wait.Seconds())
}

// Ran takes the time that a member took.
func (m *meters) Ran(_ string, fault egret.FaultKind, elapsed time.Duration) {
	m.runs.WithLabelValues(fault.String()).Observe(elapsed.Seconds())
}

// Connected counts a new connection to a member.
func (m *meters) Connected(string) {
	m.connects.Inc()
}

// Promoted takes the time of a promotion.
func (m *meters) Promoted(_ string, elapsed time.Duration) {
	m.promotions.Observe(elapsed.Seconds())
}

// called takes a call to the store.
func (m *meters) called(_ string, status int, elapsed time.Duration) {
	m.calls.WithLabelValues(strconv.Itoa(status)).Observe(elapsed.Seconds())
}
