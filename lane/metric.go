package lane

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"egretlane.example/egret"
	"egretlane.example/egret/fair"
)

// Causes for closing a connection, as labels.
const (
	closedIdle     = "idle"
	closedSilent   = "silent"
	closedAnswer   = "answer"
	closedOpen     = "open-transaction"
	closedCanceled = "canceled"
	closedHandover = "handover"
	closedSlots    = "slots-lost"
)

// Metrics counts what lanes do. Durations are in seconds.
type Metrics struct {
	// Connections is the number of open connections for statements, by member.
	Connections *prometheus.GaugeVec

	// Slots is the number of slot locks held, by member.
	Slots *prometheus.GaugeVec

	// Running is the number of statements that run, by member.
	Running *prometheus.GaugeVec

	// Queued is the number of requests that wait, by member and class.
	Queued *prometheus.GaugeVec

	// QueueWait is the time until a slot was had, by class.
	QueueWait *prometheus.HistogramVec

	// Service is the time that a batch had its slot, by class.
	Service *prometheus.HistogramVec

	// ConfirmWait is the time until a write was confirmed or given up.
	ConfirmWait prometheus.Histogram

	// Exchanges counts batches by outcome and reason.
	Exchanges *prometheus.CounterVec

	// Opened counts connections opened.
	Opened prometheus.Counter

	// Closed counts connections closed by cause.
	Closed *prometheus.CounterVec

	// SlotsLost counts losses of the connection that holds the slot locks.
	SlotsLost prometheus.Counter

	// Terminated counts connections of other proxies and overdue ones that were ended on a member.
	Terminated prometheus.Counter
}

// NewMetrics makes the metrics and registers them.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Connections: gauge("egretlane_lane_connections", "Open connections for statements.", "member"),
		Slots:       gauge("egretlane_lane_slots", "Slot locks held.", "member"),
		Running:     gauge("egretlane_lane_running", "Statements that run.", "member"),
		Queued:      gauge("egretlane_lane_queued", "Requests that wait for a slot.", "member", "class"),
		QueueWait:   histogram("egretlane_lane_queue_wait_seconds", "Time until a slot was had.", "class"),
		Service:     histogram("egretlane_lane_service_seconds", "Time that a batch had its slot.", "class"),
		ConfirmWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "egretlane_lane_confirm_wait_seconds",
			Help:    "Time until a write was confirmed or given up.",
			Buckets: buckets(),
		}),
		Exchanges:  counter("egretlane_lane_exchanges_total", "Batches by outcome.", "outcome", "reason"),
		Opened:     single("egretlane_lane_connections_opened_total", "Connections opened."),
		Closed:     counter("egretlane_lane_connections_closed_total", "Connections closed by cause.", "cause"),
		SlotsLost:  single("egretlane_lane_slots_lost_total", "Losses of the connection that holds the slot locks."),
		Terminated: single("egretlane_lane_terminated_total", "Connections that were ended on a member."),
	}
	r.MustRegister(m.Connections, m.Slots, m.Running, m.Queued, m.QueueWait, m.Service, m.ConfirmWait,
		m.Exchanges, m.Opened, m.Closed, m.SlotsLost, m.Terminated)
	return m
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: name,
		Help: help,
	}, labels)
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: name,
		Help: help,
	}, labels)
}

func single(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name: name,
		Help: help,
	})
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    name,
		Help:    help,
		Buckets: buckets(),
	}, labels)
}

// buckets go from half a millisecond to 16 s.
func buckets() []float64 {
	return prometheus.ExponentialBuckets(0.0005, 2, 16)
}

// count counts the end of a batch.
func (m *Metrics) count(f *egret.Failure) {
	if f == nil {
		m.Exchanges.WithLabelValues("answered", "").Inc()
		return
	}
	m.Exchanges.WithLabelValues(f.Outcome.Label(), f.Reason.Label()).Inc()
}

// served counts the end of a batch's slot.
func (m *Metrics) served(it *fair.Item, elapsed time.Duration) {
	m.Service.WithLabelValues(string(it.Class)).Observe(elapsed.Seconds())
}

// forget drops the gauges of a member whose lane has ended.
func (m *Metrics) forget(member string) {
	labels := prometheus.Labels{
		"member": member,
	}
	m.Connections.DeletePartialMatch(labels)
	m.Slots.DeletePartialMatch(labels)
	m.Running.DeletePartialMatch(labels)
	m.Queued.DeletePartialMatch(labels)
}
