// Package oper serves operators: liveness, readiness, metrics and the proxy's status over HTTP.
//
//	s := &oper.Server{
//		Listen:   addr,
//		Ready:    mesh.Ready,
//		Gatherer: registry,
//		Status:   status,
//	}
//	err := s.Run(ctx)
package oper

import (
	"context"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"google.golang.org/protobuf/encoding/protojson"

	"egretlane.example/egret/internal/peerpb"
)

// Server is the operators' port.
type Server struct {
	// Listen is where operators connect. It belongs on a network that callers can't reach.
	Listen netip.AddrPort

	// Ready says whether the balancer should send callers here.
	Ready func() bool

	// Gatherer has the metrics.
	Gatherer prometheus.Gatherer

	// Status returns the proxy's state.
	Status func() *peerpb.StatusReply

	// Profile adds the profiles of net/http/pprof.
	Profile bool
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	h := &http.Server{
		Addr:              s.Listen.String(),
		Handler:           s.handler(),
		ReadHeaderTimeout: 5 * time.Second,
	}
	stop := context.AfterFunc(ctx, func() {
		_ = h.Close()
	})
	defer stop()
	err := h.ListenAndServe()
	if ctx.Err() != nil {
		return nil
	}
	return errors.Annotate(err, "operators' port")
}

func (s *Server) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, "live\n")
	})
	m.HandleFunc("GET /ready", s.ready)
	m.HandleFunc("GET /status", s.status)
	m.Handle("GET /metrics", promhttp.HandlerFor(s.Gatherer, promhttp.HandlerOpts{}))
	if s.Profile {
		m.HandleFunc("/debug/pprof/", pprof.Index)
		m.HandleFunc("/debug/pprof/profile", pprof.Profile)
	}
	return m
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.Ready() {
		answer(w, http.StatusOK, "ready\n")
		return
	}
	answer(w, http.StatusServiceUnavailable, "not ready\n")
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	data, err := protojson.MarshalOptions{
		UseProtoNames:   true,
		EmitUnpopulated: true,
	}.Marshal(s.Status())
	if err != nil {
		answer(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	answer(w, http.StatusOK, string(data)+"\n")
}

func answer(w http.ResponseWriter, code int, text string) {
	w.WriteHeader(code)
	// The operator may have gone.
	_, _ = w.Write([]byte(text))
}
