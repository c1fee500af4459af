package vmsim

import (
	"io"
	"net/http"
	"strconv"

	"egretlane.example/egret/vmlist"
)

// maxBodyBytes is the largest size of the list in a PUT request.
const maxBodyBytes = 16 << 20

// handler returns the HTTP handler of the list and of its controls.
func (s *Server) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /vms", s.serveGet)
	m.HandleFunc("PUT /vms", s.servePut)
	m.HandleFunc("POST /leaving", s.serveLeaving)
	m.HandleFunc("POST /fault", s.serveFault)
	m.HandleFunc("GET /live", serveOK)
	m.HandleFunc("GET /ready", serveOK)
	return m
}

func (s *Server) serveGet(w http.ResponseWriter, _ *http.Request) {
	if s.isDown() {
		http.Error(w, "the list is down", http.StatusServiceUnavailable)
		return
	}
	data, err := vmlist.Encode(s.Visible())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vms, err := vmlist.Decode(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(vms)
}

// serveLeaving marks the VM of the parameter name as leaving or not, as the parameter value says.
func (s *Server) serveLeaving(w http.ResponseWriter, r *http.Request) {
	leaving, err := strconv.ParseBool(r.FormValue("value"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = s.SetLeaving(r.FormValue("name"), leaving)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
	}
}

// serveFault sets the fault from the parameter mode: none or down.
func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	switch r.FormValue("mode") {
	case "none":
		s.SetDown(false)
	case "down":
		s.SetDown(true)
	default:
		http.Error(w, "mode is none or down", http.StatusBadRequest)
	}
}

func serveOK(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}
