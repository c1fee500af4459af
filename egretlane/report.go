package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"egretlane.example/egret/clock"
	"egretlane.example/egret/group"
	"egretlane.example/egret/internal/report"
)

// operatorHandler serves the state of the process at report.Path, and the metrics at all other paths.
func (n *node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", n.metrics.handler())
	mux.HandleFunc(report.Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// The only error is that the client is gone.
		_ = json.NewEncoder(w).Encode(n.report(n.fleet.Lanes()))
	})
	return mux
}

// report returns the state of the process, which has the lanes.
func (n *node) report(lanes []*group.Lane) report.Process {
	p := report.Process{
		Node:     n.settings.Node,
		Domain:   n.settings.Domain,
		Region:   n.settings.Region,
		Ready:    n.ready(),
		Services: []report.Service{},
		Refusals: n.metrics.operationRefusals.List(),
	}
	for _, l := range lanes {
		s := l.Report()
		s.Buckets = n.quotas.buckets(s.Service)
		p.Services = append(p.Services, s)
	}
	slices.SortFunc(p.Services, func(a, b report.Service) int { return cmp.Compare(a.Service, b.Service) })
	return p
}

// buckets returns the buckets of a service's quotas, or none if this process doesn't hold the service.
func (q *quotas) buckets(service string) []report.Bucket {
	q.mu.Lock()
	defer q.mu.Unlock()
	buckets := []report.Bucket{}
	m := q.meters[service]
	if m == nil || m.ledger == nil {
		return buckets
	}
	for _, s := range m.ledger.States(clock.Now()) {
		buckets = append(buckets, report.Bucket{
			Workspace: s.Workspace,
			Tokens:    s.Level,
			Depth:     s.Depth,
			Rate:      s.Rate,
		})
	}
	return buckets
}
