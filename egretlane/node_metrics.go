package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"egretlane.example/egret"
	"egretlane.example/egret/alloc"
	"egretlane.example/egret/conns"
	"egretlane.example/egret/internal/report"
)

// nodeMetrics holds the metrics of a node. The label values are bounded: consistency levels of routes (label
// kind), faults and statuses of store calls, a bounded number of workspaces and members, but no names of routes.
type nodeMetrics struct {
	registry          *prometheus.Registry
	openSessions      prometheus.Gauge
	answers           *prometheus.CounterVec
	statementSeconds  *prometheus.HistogramVec
	queueSeconds      prometheus.Histogram
	memberSeconds     *prometheus.HistogramVec
	memberConnections *prometheus.CounterVec
	displaced         *prometheus.CounterVec
	connections       *prometheus.GaugeVec
	promotionSeconds  prometheus.Histogram
	storeSeconds      *prometheus.HistogramVec
	refusedSessions   *prometheus.CounterVec
	refusedOperations *prometheus.CounterVec
	operationRefusals report.Refusals
	workspaces        boundedLabels
	members           boundedLabels

	quota quotaCounters

	refusals *prometheus.CounterVec
}

// latencyBuckets returns histogram buckets from the latency of a fast read to the longest statement timeouts, in
// seconds.
func latencyBuckets() []float64 {
	return prometheus.ExponentialBuckets(0.001, 2, 14)
}

func newNodeMetrics() *nodeMetrics {
	m := &nodeMetrics{
		registry: prometheus.NewRegistry(),
		quota:    newQuotaCounters(),
		openSessions: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "egretlane_sessions",
			Help: "Open sessions of callers.",
		}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_answers_total",
			Help: "Statements answered, by route kind and fault.",
		}, []string{"kind", "fault"}),
		statementSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "egretlane_statement_seconds",
			Help:    "Time from a statement's arrival to its answer.",
			Buckets: latencyBuckets(),
		}, []string{"kind"}),
		queueSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "egretlane_queue_seconds",
			Help:    "Time in the queue of a service that this process holds.",
			Buckets: latencyBuckets(),
		}),
		memberSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "egretlane_member_seconds",
			Help:    "Time at a member, by fault.",
			Buckets: latencyBuckets(),
		}, []string{"fault"}),
		memberConnections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_member_connections_total",
			Help: "New connections to members.",
		}, []string{"member"}),
		displaced: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_displaced_connections_total",
			Help: "Idle connections to members closed for another workspace.",
		}, []string{"member"}),
		connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "egretlane_member_connections",
			Help: "Connections to members by state: idle, opening or in use.",
		}, []string{"state"}),
		promotionSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "egretlane_promotion_seconds",
			Help:    "Time from the loss of a primary to the next one.",
			Buckets: latencyBuckets(),
		}),
		storeSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "egretlane_store_seconds",
			Help:    "Calls to the platform's store, by status; 0 is no answer.",
			Buckets: latencyBuckets(),
		}, []string{"status"}),
		refusedSessions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_refused_sessions_total",
			Help: "Sessions refused, by cause.",
		}, []string{"cause"}),
		refusedOperations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_refused_operations_total",
			Help: "Statements and transactions of open sessions refused for their workspace, by cause and workspace.",
		}, []string{"cause", "workspace"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_refusals_total",
			Help: "Callers and messages that were refused and connections that were closed, by cause.",
		}, []string{"cause"}),
	}
	m.quota.register(m.registry)
	m.registry.MustRegister(m.refusals, m.refusedSessions, m.refusedOperations, m.displaced, m.connections,
		m.openSessions, m.answers, m.statementSeconds, m.queueSeconds, m.memberSeconds,
		m.memberConnections, m.promotionSeconds, m.storeSeconds, collectors.NewGoCollector())
	return m
}

func (m *nodeMetrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// SetSessions sets the number of open sessions.
func (m *nodeMetrics) SetSessions(n int) {
	m.openSessions.Set(float64(n))
}

// ObserveAnswer counts a statement that was sent to a member or refused.
func (m *nodeMetrics) ObserveAnswer(_ string, consistency egret.Consistency, fault egret.FaultKind, elapsed time.Duration) {
	m.answers.WithLabelValues(consistency.String(), fault.String()).Inc()
	m.statementSeconds.WithLabelValues(consistency.String()).Observe(elapsed.Seconds())
}

// ObserveQueueWait records how long a statement waited for a slot.
func (m *nodeMetrics) ObserveQueueWait(_ string, wait time.Duration) {
	m.queueSeconds.Observe(wait.Seconds())
}

// ObserveStatement records how long a member took to answer a statement.
func (m *nodeMetrics) ObserveStatement(_ string, fault egret.FaultKind, elapsed time.Duration) {
	m.memberSeconds.WithLabelValues(fault.String()).Observe(elapsed.Seconds())
}

// CountConnection counts a new connection to a member.
func (m *nodeMetrics) CountConnection(member string) {
	m.memberConnections.WithLabelValues(m.members.label(member)).Inc()
}

// CountDisplacedConnection counts an idle connection to a member that was closed for another workspace.
func (m *nodeMetrics) CountDisplacedConnection(member string) {
	m.displaced.WithLabelValues(m.members.label(member)).Inc()
}

// ChangeConnections changes the numbers of connections to members.
func (m *nodeMetrics) ChangeConnections(by conns.Counts) {
	m.connections.WithLabelValues("idle").Add(float64(by.Idle))
	m.connections.WithLabelValues("opening").Add(float64(by.Opening))
	m.connections.WithLabelValues("in-use").Add(float64(by.InUse))
}

// ObservePromotion records the duration of a promotion.
func (m *nodeMetrics) ObservePromotion(_ string, elapsed time.Duration) {
	m.promotionSeconds.Observe(elapsed.Seconds())
}

// observeStoreCall records the duration of a call to the store. A status of 0 is no answer.
func (m *nodeMetrics) observeStoreCall(_ string, status int, elapsed time.Duration) {
	m.storeSeconds.WithLabelValues(strconv.Itoa(status)).Observe(elapsed.Seconds())
}

// CountRefusedSession counts a session that was refused.
func (m *nodeMetrics) CountRefusedSession(fault egret.FaultKind) {
	m.refusedSessions.WithLabelValues(fault.String()).Inc()
}

// CountRefusedOperation counts an operation that was refused for its workspace.
func (m *nodeMetrics) CountRefusedOperation(fault egret.FaultKind, workspace string) {
	m.operationRefusals.Count(workspace, fault.String())
	m.refusedOperations.WithLabelValues(fault.String(), m.workspaces.label(workspace)).Inc()
}

// maxLabelValues bounds the values of a label that names workspaces or members, which are replaced by others again and again.
const maxLabelValues = 256

// otherLabel is the value for all others.
const otherLabel = "other"

// boundedLabels bounds the values of a label. The zero value is ready to use.
type boundedLabels struct {
	mu    sync.Mutex
	known map[string]bool
}

// label returns the value, or "other" once maxLabelValues others are in use.
func (l *boundedLabels) label(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known == nil {
		l.known = map[string]bool{}
	}
	if !l.known[value] && len(l.known) >= maxLabelValues {
		return otherLabel
	}
	l.known[value] = true
	return value
}

// countRefusal counts a refused caller or message.
func (m *nodeMetrics) countRefusal(cause string) {
	m.refusals.WithLabelValues(cause).Inc()
}

// observeMemory adds gauges of the memory for messages.
func (m *nodeMetrics) observeMemory(a *alloc.Allocator) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "egretlane_message_bytes",
		Help: "Memory that long messages and answers hold.",
	}, func() float64 {
		held, _ := a.Usage()
		return float64(held)
	}), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "egretlane_message_waits",
		Help: "Connections that wait for memory for a message.",
	}, func() float64 {
		_, waiting := a.Usage()
		return float64(waiting)
	}))
}
