package promo

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// counts are the metrics of a watcher.
type counts struct {
	misses     prometheus.Counter
	held       prometheus.Counter
	promotions *prometheus.CounterVec
	failed     *prometheus.CounterVec
	refusals   prometheus.Counter
	mended     prometheus.Counter
	parts      *prometheus.HistogramVec
	groups     prometheus.Gauge
}

// Parts of a promotion's time.
const (
	partNotice  = "notice"
	partFence   = "fence"
	partPromote = "promote"
	partTell    = "tell"
)

func newCounts(r prometheus.Registerer) *counts {
	c := &counts{
		misses:     counter("misses", "Heartbeats that a primary didn't answer in time."),
		held:       counter("held", "Misses after which nothing was done, because another proxy reaches the primary."),
		promotions: counters("promotions", "Promotions, by cause.", "cause"),
		failed:     counters("failed", "Promotions that were given up, by step.", "step"),
		refusals:   counter("refusals", "Terms that a member refused."),
		mended:     counter("mended", "Members told to follow the primary outside of a promotion."),
		parts: prometheus.NewHistogramVec(prometheus.HistogramOpts{
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
		r.MustRegister(c.misses, c.held, c.promotions, c.failed, c.refusals, c.mended, c.parts, c.groups)
	}
	return c
}

// took notes the time of a part.
func (c *counts) took(part string, d time.Duration) {
	c.parts.WithLabelValues(part).Observe(d.Seconds())
}

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
