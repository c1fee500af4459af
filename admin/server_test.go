package admin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"egretlane.example/egret/internal/peerpb"
)

func TestPages(t *testing.T) {
	ready := false
	r := prometheus.NewRegistry()
	r.MustRegister(prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "egretlane_test",
	}))
	s := &Server{
		Ready: func() bool {
			return ready
		},
		Gatherer: r,
		Status: func() *peerpb.StatusReply {
			return &peerpb.StatusReply{
				Self: &peerpb.Node{
					Id: "proxy-1",
				},
				Lanes: []*peerpb.LaneStatus{{
					Member:    "member-1",
					LagMicros: -1,
				}},
			}
		},
	}
	for _, c := range []struct {
		method, path string
		code         int
		body         string
	}{
		{method: "GET", path: "/live", code: 200, body: "live\n"},
		{method: "GET", path: "/ready", code: 503, body: "not ready\n"},
		{method: "GET", path: "/metrics", code: 200, body: "egretlane_test 0\n"},
		{method: "POST", path: "/status", code: 405},
		{method: "GET", path: "/debug/pprof/", code: 404},
		{method: "GET", path: "/", code: 404},
	} {
		if rec := request(s, c.method, c.path); rec.Code != c.code || !strings.Contains(rec.Body.String(), c.body) {
			t.Errorf("%s %s: %d %q, want %d %q", c.method, c.path, rec.Code, rec.Body, c.code, c.body)
		}
	}
	ready = true
	if rec := request(s, "GET", "/ready"); rec.Code != http.StatusOK {
		t.Errorf("/ready: %d", rec.Code)
	}
	s.ServeProfiles = true
	if rec := request(s, "GET", "/debug/pprof/"); rec.Code != http.StatusOK {
		t.Errorf("profiles: %d", rec.Code)
	}
	checkStatus(t, request(s, "GET", "/status"))
}

// checkStatus checks that the status is JSON and includes fields that have the zero value.
func checkStatus(t *testing.T, rec *httptest.ResponseRecorder) {
	t.Helper()
	got := struct {
		Self struct {
			ID string
		}
		Sessions *int
		Lanes    []struct {
			LagMicros string `json:"lag_micros"`
			Reached   *bool
		}
	}{}
	if err := json.Unmarshal(rec.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got.Self.ID != "proxy-1" || got.Sessions == nil || got.Lanes[0].Reached == nil || got.Lanes[0].LagMicros != "-1" {
		t.Errorf("status %s", rec.Body)
	}
}

func request(s *Server, method, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.handler().ServeHTTP(w, httptest.NewRequest(method, path, nil))
	return w
}
