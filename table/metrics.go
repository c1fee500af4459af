package table

import "github.com/prometheus/client_golang/prometheus"

// cacheCounts holds the counters behind the metrics.
type cacheCounts struct {
	// storeFailures counts failed calls of the store.
	storeFailures uint64

	// staleOffers counts offers of a lower revision than the current one.
	staleOffers uint64

	// faultyValues counts values from the store or from peers that have faults.
	faultyValues uint64
}

// Describe implements prometheus.Collector.
func (c *Cache) Describe(descs chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, descs)
}

// Collect implements prometheus.Collector.
func (c *Cache) Collect(metrics chan<- prometheus.Metric) {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision := uint64(0)
	if c.current != nil {
		revision = c.current.Revision
	}
	gauge := func(name string, help string, value float64) {
		metrics <- prometheus.MustNewConstMetric(prometheus.NewDesc(name, help, nil, nil), prometheus.GaugeValue, value)
	}
	counter := func(name string, help string, value uint64) {
		metrics <- prometheus.MustNewConstMetric(prometheus.NewDesc(name, help, nil, nil), prometheus.CounterValue, float64(value))
	}
	gauge("egretlane_tables_revision", "Revision of the tables in force, 0 if there are none.", float64(revision))
	gauge("egretlane_tables_store_revision", "Highest revision that the store or a peer has shown. Above the revision in force, the store's value has faults.", float64(c.highestSeen))
	counter("egretlane_tables_store_errors_total", "Failed calls of the store for the tables.", c.counts.storeFailures)
	counter("egretlane_tables_older_offers_total", "Tables that were refused since their revision is lower than that in force.", c.counts.staleOffers)
	counter("egretlane_tables_faulty_values_total", "Values of the store and of peers that were refused since they have faults.", c.counts.faultyValues)
}
