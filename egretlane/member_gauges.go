package main

import (
	"github.com/prometheus/client_golang/prometheus"

	"egretlane.example/egret/lane"
)

// memberGauges exports the replication lag and the reachability of the members of this proxy's lanes. It implements
// prometheus.Collector.
type memberGauges struct {
	// status returns the state of each lane.
	status func() []lane.Status
}

// Describe implements prometheus.Collector.
func (g *memberGauges) Describe(descs chan<- *prometheus.Desc) {
	descs <- lagDesc()
	descs <- reachedDesc()
}

// Collect implements prometheus.Collector.
func (g *memberGauges) Collect(metrics chan<- prometheus.Metric) {
	for _, s := range g.status() {
		reached := 0.0
		if s.Reachable {
			reached = 1
		}
		metrics <- prometheus.MustNewConstMetric(reachedDesc(), prometheus.GaugeValue, reached, s.Member, s.Group)
		if lag := s.Load.Lag; lag >= 0 {
			metrics <- prometheus.MustNewConstMetric(lagDesc(), prometheus.GaugeValue, lag.Seconds(), s.Member, s.Group)
		}
	}
}

func lagDesc() *prometheus.Desc {
	return prometheus.NewDesc("egretlane_lane_lag_seconds",
		"How far a member's applied log is behind the primary's. Absent if unknown.", []string{"member", "group"}, nil)
}

func reachedDesc() *prometheus.Desc {
	return prometheus.NewDesc("egretlane_lane_reached",
		"1 if the member answered the last heartbeat, else 0.", []string{"member", "group"}, nil)
}
