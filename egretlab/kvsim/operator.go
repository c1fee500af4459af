package kvsim

import (
	"encoding/json"
	"net/http"
	"time"
)

// handler returns the HTTP handler of the operators' port.
func (s *Server) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /fault", s.serveFault)
	m.HandleFunc("GET /stats", s.serveStats)
	m.HandleFunc("GET /live", serveOK)
	m.HandleFunc("GET /ready", serveOK)
	return m
}

// serveFault sets the fault from the parameters mode and, for a slow store, delay.
func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	delay := time.Duration(0)
	if text := r.FormValue("delay"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		delay = d
	}
	err := s.SetFault(Mode(r.FormValue("mode")), delay)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Stats())
}

func serveOK(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}
