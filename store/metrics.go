package store

import (
	"sync"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"egretlane.example/egret"
)

// callResult is the result of a call. Its value is a label of metrics.
type callResult string

// The results of calls.
const (
	resultOK           callResult = "ok"
	resultConflict     callResult = "conflict"
	resultLeaseExpired callResult = "lease-lapsed"
	resultFailed       callResult = "failed"
)

// callOutcome combines the labels of the counter of calls.
type callOutcome struct {
	kind   callKind
	result callResult
}

// callCounts counts calls by outcome. Its zero value is ready to use.
type callCounts struct {
	// mu guards calls.
	mu sync.Mutex

	// calls holds the number of calls with each outcome.
	calls map[callOutcome]uint64
}

func (c *callCounts) add(k callKind, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = make(map[callOutcome]uint64)
	}
	c.calls[callOutcome{
		kind:   k,
		result: resultOf(err),
	}]++
}

func resultOf(err error) callResult {
	switch {
	case err == nil:
		return resultOK
	case errors.Is(err, egret.ErrConflict):
		return resultConflict
	case errors.Is(err, egret.ErrLeaseExpired):
		return resultLeaseExpired
	default:
		return resultFailed
	}
}

// Describe implements prometheus.Collector.
func (c *Client) Describe(descs chan<- *prometheus.Desc) {
	descs <- callsDesc()
}

// Collect implements prometheus.Collector.
func (c *Client) Collect(metrics chan<- prometheus.Metric) {
	c.counts.mu.Lock()
	defer c.counts.mu.Unlock()
	for e, n := range c.counts.calls {
		metrics <- prometheus.MustNewConstMetric(callsDesc(), prometheus.CounterValue, float64(n), string(e.kind), string(e.result))
	}
}

func callsDesc() *prometheus.Desc {
	return prometheus.NewDesc("egretlane_store_calls_total", "Calls of the store, by kind and result.", []string{"kind", "result"}, nil)
}
