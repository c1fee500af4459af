package store

import (
	"sync"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"egretlane.example/egret"
)

// result is how a call ended, as metrics name it.
type result string

// The results of calls.
const (
	resultOK       result = "ok"
	resultConflict result = "conflict"
	resultLapsed   result = "lease-lapsed"
	resultFailed   result = "failed"
)

// ending is a kind of call with a result.
type ending struct {
	kind   kind
	result result
}

// counts holds how calls ended. The zero counts is empty and ready to use.
type counts struct {
	// mu guards calls.
	mu sync.Mutex

	// calls counts each ending.
	calls map[ending]uint64
}

func (c *counts) add(k kind, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = make(map[ending]uint64)
	}
	c.calls[ending{
		kind:   k,
		result: resultOf(err),
	}]++
}

func resultOf(err error) result {
	switch {
	case err == nil:
		return resultOK
	case errors.Is(err, egret.ErrConflict):
		return resultConflict
	case errors.Is(err, egret.ErrLeaseLapsed):
		return resultLapsed
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
