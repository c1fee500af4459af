package lane

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"egretlane.example/egret"
	"egretlane.example/egret/fair"
)

// Causes for closing a connection, as values of the label "cause".
const (
	closedIdle     = "idle"
	closedSilent   = "silent"
	closedAnswer   = "answer"
	closedOpen     = "open-transaction"
	closedCanceled = "canceled"
	closedHandover = "handover"
	closedSlots    = "slots-lost"
)

// Metrics are the metrics of all lanes of a proxy. Durations are in seconds.
type Metrics struct {
	// Connections is the number of open connections for statements, by member.
	Connections *prometheus.GaugeVec

	// Slots is the number of slot locks that are held, by member.
	Slots *prometheus.GaugeVec

	// Running is the number of statements that run or may still run on the member, by member.
	Running *prometheus.GaugeVec

	// Queued is the number of requests that wait for a slot, by member and class.
	Queued *prometheus.GaugeVec

	// QueueWait is the time that requests waited for a slot, by class.
	QueueWait *prometheus.HistogramVec

	// Service is the time that batches occupied their slot, by class.
	Service *prometheus.HistogramVec

	// ConfirmWait is the time until a write was confirmed or its confirmation failed.
	ConfirmWait prometheus.Histogram

	// Exchanges counts batches by outcome and reason.
	Exchanges *prometheus.CounterVec

	// ConnectionsOpened counts the connections that were opened.
	ConnectionsOpened prometheus.Counter

	// ConnectionsClosed counts the connections that were closed, by cause.
	ConnectionsClosed *prometheus.CounterVec

	// SlotsLost counts losses of a connection that holds slot locks.
	SlotsLost prometheus.Counter

	// ConnectionsTerminated counts requests to terminate a connection on a member, including failed
	// ones: connections of overdue statements, stale ones of this proxy, and those of absent
	// proxies.
	ConnectionsTerminated prometheus.Counter
}

// NewMetrics creates the metrics and registers them.
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
		Exchanges:             counter("egretlane_lane_exchanges_total", "Batches by outcome.", "outcome", "reason"),
		ConnectionsOpened:     single("egretlane_lane_connections_opened_total", "Connections opened."),
		ConnectionsClosed:     counter("egretlane_lane_connections_closed_total", "Connections closed by cause.", "cause"),
		SlotsLost:             single("egretlane_lane_slots_lost_total", "Losses of the connection that holds the slot locks."),
		ConnectionsTerminated: single("egretlane_lane_terminated_total", "Connections that were ended on a member."),
	}
	r.MustRegister(m.Connections, m.Slots, m.Running, m.Queued, m.QueueWait, m.Service, m.ConfirmWait,
		m.Exchanges, m.ConnectionsOpened, m.ConnectionsClosed, m.SlotsLost, m.ConnectionsTerminated)
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

// buckets returns bounds from 0.5 ms to 16 s, in seconds.
func buckets() []float64 {
	return prometheus.ExponentialBuckets(0.0005, 2, 16)
}

// count counts a finished batch by its outcome.
func (m *Metrics) count(f *egret.Failure) {
	if f == nil {
		m.Exchanges.WithLabelValues("answered", "").Inc()
		return
	}
	m.Exchanges.WithLabelValues(f.Outcome.Label(), f.Reason.Label()).Inc()
}

// served records how long a batch occupied its slot.
func (m *Metrics) served(item *fair.Item, elapsed time.Duration) {
	m.Service.WithLabelValues(string(item.Class)).Observe(elapsed.Seconds())
}

// forget deletes the gauges of a member whose lane has ended.
func (m *Metrics) forget(member string) {
	labels := prometheus.Labels{
		"member": member,
	}
	m.Connections.DeletePartialMatch(labels)
	m.Slots.DeletePartialMatch(labels)
	m.Running.DeletePartialMatch(labels)
	m.Queued.DeletePartialMatch(labels)
}
