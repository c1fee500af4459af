package promo

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the metrics of a watcher.
type metrics struct {
	misses     prometheus.Counter
	suppressed prometheus.Counter
	promotions *prometheus.CounterVec
	abandoned  *prometheus.CounterVec
	refusals   prometheus.Counter
	redirected prometheus.Counter
	phases     *prometheus.HistogramVec
	groups     prometheus.Gauge
}

// Phases of a promotion, as label values.
const (
	phaseDetect  = "notice"
	phaseFence   = "fence"
	phasePromote = "promote"
	phaseNotify  = "tell"
)

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		misses:     counter("misses", "Heartbeats that a primary didn't answer in time."),
		suppressed: counter("held", "Misses after which nothing was done, because another proxy reaches the primary."),
		promotions: counters("promotions", "Promotions, by cause.", "cause"),
		abandoned:  counters("failed", "Promotions that were given up, by step.", "step"),
		refusals:   counter("refusals", "Terms that a member refused."),
		redirected: counter("mended", "Members told to follow the primary outside of a promotion."),
		phases: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "egretlane_promo_part_seconds",
			Help:    "Time of a promotion by part: noticing, fencing, promoting, telling.",
			Buckets: prometheus.ExponentialBuckets(0.004, 2, 12),
		}, []string{"part"}),
		groups: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "egretlane_promo_groups",
			Help: "Groups that this proxy watches.",
		}),
	}
	if r != nil {
		r.MustRegister(m.misses, m.suppressed, m.promotions, m.abandoned, m.refusals, m.redirected, m.phases, m.groups)
	}
	return m
}

// observePhase records the duration of a phase.
func (m *metrics) observePhase(phase string, d time.Duration) {
	m.phases.WithLabelValues(phase).Observe(d.Seconds())
}

// counter returns a counter whose name has the prefix of this package and ends in "_total". The test in egretlane that
// compares the metrics with docs/OPERATIONS.md finds the names by calls of counter and counters.
func counter(name string, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name: "egretlane_promo_" + name + "_total",
		Help: help,
	})
}

func counters(name string, help string, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "egretlane_promo_" + name + "_total",
		Help: help,
	}, []string{label})
}
