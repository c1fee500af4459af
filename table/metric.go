package table

import "github.com/prometheus/client_golang/prometheus"

// counts holds the keeper's counters.
type counts struct {
	// failures counts the failed calls of the store.
	failures uint64

	// older counts the offers of a lower revision.
	older uint64

	// faulty counts the values, of the store or of peers, that have faults.
	faulty uint64
}

// Describe implements prometheus.Collector.
func (k *Keeper) Describe(descs chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(k, descs)
}

// Collect implements prometheus.Collector.
func (k *Keeper) Collect(metrics chan<- prometheus.Metric) {
	k.mu.Lock()
	defer k.mu.Unlock()
	revision := uint64(0)
	if k.now != nil {
		revision = k.now.Revision
	}
	gauge := func(name string, help string, value float64) {
		metrics <- prometheus.MustNewConstMetric(prometheus.NewDesc(name, help, nil, nil), prometheus.GaugeValue, value)
	}
	counter := func(name string, help string, value uint64) {
		metrics <- prometheus.MustNewConstMetric(prometheus.NewDesc(name, help, nil, nil), prometheus.CounterValue, float64(value))
	}
	gauge("egretlane_tables_revision", "Revision of the tables in force, 0 if there are none.", float64(revision))
	gauge("egretlane_tables_store_revision", "Highest revision that the store or a peer has shown. Above the revision in force, the store's value has faults.", float64(k.seen))
	counter("egretlane_tables_store_errors_total", "Failed calls of the store for the tables.", k.counts.failures)
	counter("egretlane_tables_older_offers_total", "Tables that were refused since their revision is lower than that in force.", k.counts.older)
	counter("egretlane_tables_faulty_values_total", "Values of the store and of peers that were refused since they have faults.", k.counts.faulty)
}
