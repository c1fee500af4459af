package main

import (
	"github.com/prometheus/client_golang/prometheus"

	"egretlane.example/egret/group"
)

// limitGauges exports the concurrency limits of the members of the services that this process holds. It implements
// prometheus.Collector.
type limitGauges struct {
	// lanes returns the lanes of these services.
	lanes func() []*group.Lane
}

// Describe implements prometheus.Collector.
func (g *limitGauges) Describe(descs chan<- *prometheus.Desc) {
	descs <- memberLimitDesc()
	descs <- memberSlotsDesc()
}

// Collect implements prometheus.Collector.
func (g *limitGauges) Collect(metrics chan<- prometheus.Metric) {
	for _, l := range g.lanes() {
		for _, m := range l.Limits() {
			metrics <- prometheus.MustNewConstMetric(memberLimitDesc(), prometheus.GaugeValue, float64(m.Limit), m.Member, l.Service)
			metrics <- prometheus.MustNewConstMetric(memberSlotsDesc(), prometheus.GaugeValue, float64(m.Slots), m.Member, l.Service)
		}
	}
}

func memberLimitDesc() *prometheus.Desc {
	return prometheus.NewDesc("egretlane_member_limit",
		"How many statements a member is assumed to run at once.", []string{"member", "service"}, nil)
}

func memberSlotsDesc() *prometheus.Desc {
	return prometheus.NewDesc("egretlane_member_slots",
		"How many statements a member announces to run at once.", []string{"member", "service"}, nil)
}
