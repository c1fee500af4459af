package pgsim

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/stats"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// Place is a position in JSON.
type Place struct {
	// Term is the position's term.
	Term uint64 `json:"term"`

	// Offset is the position's offset.
	Offset uint64 `json:"offset"`
}

// StateReply answers GET /state.
type StateReply struct {
	// Member is the member's name.
	Member string `json:"member"`

	// Role is primary, replica or fenced.
	Role egret.Role `json:"role"`

	// Granted is the highest term granted.
	Granted uint64 `json:"granted"`

	// Received is the end of the log.
	Received Place `json:"received"`

	// Applied is what reads see.
	Applied Place `json:"applied"`

	// Upstream is the primary that a replica follows, or empty.
	Upstream string `json:"upstream"`

	// Leaving is what the member says of itself.
	Leaving bool `json:"leaving"`

	// Connections is how many clients are connected.
	Connections int `json:"connections"`

	// Running is how many statements run.
	Running int `json:"running"`

	// Orders is how many rows reads see.
	Orders int `json:"orders"`
}

// StatsReply answers GET /stats.
type StatsReply struct {
	// HighestConnections is how many clients were connected at most.
	HighestConnections int `json:"highest-connections"`

	// HighestRunning is how many statements ran at once at most.
	HighestRunning int `json:"highest-running"`

	// RefusedConnections is how many connections were beyond the limit.
	RefusedConnections uint64 `json:"refused-connections"`

	// Totals is how often each command was asked for.
	Totals []stats.Total `json:"totals"`

	// Connections is the events of each connection.
	Connections []stats.Connection `json:"connections"`
}

// Handler returns the operators' port: what the member did, and switches for tests.
//
//	GET  /live, /ready
//	GET  /log?after=OFFSET (the entries beyond it), /state, /stats
//	POST /lag?duration=5s, /delay?duration=5s, /leaving?value=true, /refuse?value=true
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /live", answerOK)
	m.HandleFunc("GET /ready", answerOK)
	m.HandleFunc("GET /log", s.getLog)
	m.HandleFunc("GET /state", s.getState)
	m.HandleFunc("GET /stats", s.getStats)
	m.HandleFunc("POST /lag", setDuration("lag", s.Member.SetLag))
	m.HandleFunc("POST /delay", setDuration("delay", s.faults.SetDelay))
	m.HandleFunc("POST /leaving", setBool("leaving", s.faults.SetLeaving))
	m.HandleFunc("POST /refuse", setBool("refuse", s.faults.SetRefuse))
	return m
}

func answerOK(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (s *Server) getLog(w http.ResponseWriter, r *http.Request) {
	after := uint64(0)
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
			return
		}
		after = n
	}
	answer(w, append([]walog.Entry{}, s.Member.Entries(after)...))
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	st := s.Member.State()
	running, _ := s.host.Platform.Slots.Usage()
	reply := StateReply{
		Member:  s.Member.Name,
		Role:    st.Grant.Role,
		Granted: st.Grant.Term,
		Received: Place{
			Term:   st.Received.Term,
			Offset: st.Received.Offset,
		},
		Applied: Place{
			Term:   st.Applied.Term,
			Offset: st.Applied.Offset,
		},
		Leaving:     s.faults.Leaving(),
		Connections: s.directory.Connections(),
		Running:     running,
		Orders:      s.Member.Orders(),
	}
	if st.Grant.Upstream.IsValid() {
		reply.Upstream = st.Grant.Upstream.String()
	}
	answer(w, reply)
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	_, connections, refused := s.directory.usage()
	_, running := s.host.Platform.Slots.Usage()
	answer(w, StatsReply{
		HighestConnections: connections,
		HighestRunning:     running,
		RefusedConnections: refused,
		Totals:             s.recorder.Totals(),
		Connections:        s.recorder.Connections(),
	})
}

// setDuration returns a handler that sets a switch from ?duration=.
func setDuration(name string, set func(d time.Duration)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		d, err := time.ParseDuration(r.URL.Query().Get("duration"))
		if err != nil || d < 0 {
			http.Error(w, "duration: a duration of zero or more is needed, as 5s", http.StatusBadRequest)
			return
		}
		set(d)
		log.Info().Str("switch", name).Dur("value", d).Msg("switch set")
	}
}

// setBool returns a handler that sets a switch from ?value=.
func setBool(name string, set func(b bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b, err := strconv.ParseBool(r.URL.Query().Get("value"))
		if err != nil {
			http.Error(w, "value: true or false is needed", http.StatusBadRequest)
			return
		}
		set(b)
		log.Info().Str("switch", name).Bool("value", b).Msg("switch set")
	}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		log.Error().Err(err).Msg("answer to an operator failed")
	}
}
