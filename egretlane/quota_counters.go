package main

import (
	"cmp"

	"github.com/prometheus/client_golang/prometheus"
)

// quotaCounters holds the metrics of the quotas of workspaces.
type quotaCounters struct {
	refusals                                 *prometheus.CounterVec
	lendMessages, tokensBorrowed, tokensLent prometheus.Counter
}

func newQuotaCounters() quotaCounters {
	return quotaCounters{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_quota_refusals_total",
			Help: "Operations refused by quotas, by workspace.",
		}, []string{"workspace"}),
		lendMessages: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretlane_quota_lend_messages_total",
			Help: "Messages that asked another process for tokens of quotas.",
		}),
		tokensBorrowed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretlane_quota_tokens_borrowed_total",
			Help: "Tokens of quotas borrowed from other processes.",
		}),
		tokensLent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretlane_quota_tokens_lent_total",
			Help: "Tokens of quotas lent to other processes, with those of lost answers.",
		}),
	}
}

func (m *quotaCounters) register(r *prometheus.Registry) {
	r.MustRegister(m.refusals, m.lendMessages, m.tokensBorrowed, m.tokensLent)
}

// CountQuotaRefusal counts an operation that a quota refused. The name of a workspace that is not in the configuration is empty.
func (m *nodeMetrics) CountQuotaRefusal(workspace string) {
	m.quota.refusals.WithLabelValues(m.workspaces.label(cmp.Or(workspace, otherLabel))).Inc()
}

// CountLoan counts a message that asked another process for tokens, and the tokens that it got.
func (m *nodeMetrics) CountLoan(borrowed float64) {
	m.quota.lendMessages.Inc()
	m.quota.tokensBorrowed.Add(borrowed)
}

// CountLent counts tokens lent to another process.
func (m *nodeMetrics) CountLent(tokens float64) {
	m.quota.tokensLent.Add(tokens)
}
