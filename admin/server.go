// Package admin provides the HTTP server for operators: liveness, readiness, metrics, status and profiles of a proxy.
//
//	s := &admin.Server{
//		Listen:   addr,
//		Ready:    mesh.Ready,
//		Gatherer: registry,
//		Status:   status,
//	}
//	err := s.Run(ctx)
package admin

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

// Server is the HTTP server for operators.
type Server struct {
	// ListenAddress is the address to listen on. It should be on a network that callers can't reach.
	ListenAddress netip.AddrPort

	// Ready reports whether the load balancer should send callers to this proxy.
	Ready func() bool

	// Gatherer provides the metrics.
	Gatherer prometheus.Gatherer

	// Status returns the current status of the proxy.
	Status func() *peerpb.StatusReply

	// ServeProfiles enables the handlers of net/http/pprof.
	ServeProfiles bool
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{
		Addr:              s.ListenAddress.String(),
		Handler:           s.handler(),
		ReadHeaderTimeout: 5 * time.Second,
	}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close()
	})
	defer stop()
	err := server.ListenAndServe()
	if ctx.Err() != nil {
		return nil
	}
	return errors.Annotate(err, "operators' HTTP server")
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusOK, "live\n")
	})
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /status", s.status)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.Gatherer, promhttp.HandlerOpts{}))
	if s.ServeProfiles {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	}
	return mux
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.Ready() {
		respond(w, http.StatusOK, "ready\n")
		return
	}
	respond(w, http.StatusServiceUnavailable, "not ready\n")
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	data, err := protojson.MarshalOptions{
		UseProtoNames:   true,
		EmitUnpopulated: true,
	}.Marshal(s.Status())
	if err != nil {
		respond(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	respond(w, http.StatusOK, string(data)+"\n")
}

func respond(w http.ResponseWriter, code int, text string) {
	w.WriteHeader(code)
	// Write fails if the client has disconnected. Nobody is left to report that to.
	_, _ = w.Write([]byte(text))
}
