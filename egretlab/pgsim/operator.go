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

// LogPosition is the JSON form of a log position.
type LogPosition struct {
	// Term is the term of the log entry.
	Term uint64 `json:"term"`

	// Offset is the offset of the log entry.
	Offset uint64 `json:"offset"`
}

// StateReply is the response to GET /state.
type StateReply struct {
	// Member is the member's name.
	Member string `json:"member"`

	// Role is primary, replica or fenced.
	Role egret.Role `json:"role"`

	// Granted is the highest term that the member has granted.
	Granted uint64 `json:"granted"`

	// Received is the position of the last entry in the log.
	Received LogPosition `json:"received"`

	// Applied is the position up to which reads see the log.
	Applied LogPosition `json:"applied"`

	// Upstream is the address of the primary that a replica follows. It is empty in other roles.
	Upstream string `json:"upstream"`

	// Leaving reports whether the member announces that it is about to leave its group.
	Leaving bool `json:"leaving"`

	// Connections is the number of open client connections.
	Connections int `json:"connections"`

	// Running is the number of running statements.
	Running int `json:"running"`

	// Orders is the number of rows visible to reads.
	Orders int `json:"orders"`
}

// StatsReply is the response to GET /stats.
type StatsReply struct {
	// HighestConnections is the peak number of client connections.
	HighestConnections int `json:"highest-connections"`

	// HighestRunning is the peak number of statements running at the same time.
	HighestRunning int `json:"highest-running"`

	// RefusedConnections is the number of connections rejected because of the limit.
	RefusedConnections uint64 `json:"refused-connections"`

	// Totals counts the attempts to run a command, by command.
	Totals []stats.Total `json:"totals"`

	// Connections holds the recorded events of each connection.
	Connections []stats.Connection `json:"connections"`
}

// Handler returns the HTTP handler of the operators' port. It reports what the member did and sets the
// faults that tests inject.
//
//	GET  /live, /ready
//	GET  /log?after=OFFSET (the entries after the offset), /state, /stats?events=COUNT (the newest events)
//	POST /lag?duration=5s, /delay?duration=5s, /leaving?value=true, /refuse?value=true
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /live", writeOK)
	m.HandleFunc("GET /ready", writeOK)
	m.HandleFunc("GET /log", s.getLog)
	m.HandleFunc("GET /state", s.getState)
	m.HandleFunc("GET /stats", s.getStats)
	m.HandleFunc("POST /lag", durationHandler("lag", s.Member.SetLag))
	m.HandleFunc("POST /delay", durationHandler("delay", s.faults.SetAnswerDelay))
	m.HandleFunc("POST /leaving", boolHandler("leaving", s.faults.SetLeaving))
	m.HandleFunc("POST /refuse", boolHandler("refuse", s.faults.SetRefusesStatements))
	return m
}

func writeOK(w http.ResponseWriter, _ *http.Request) {
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
	writeJSON(w, append([]walog.Entry{}, s.Member.EntriesAfter(after)...))
}

func (s *Server) getState(w http.ResponseWriter, _ *http.Request) {
	st := s.Member.State()
	running, _ := s.shared.Platform.Slots.Usage()
	reply := StateReply{
		Member:  s.Member.Name,
		Role:    st.Grant.Role,
		Granted: st.Grant.Term,
		Received: LogPosition{
			Term:   st.Received.Term,
			Offset: st.Received.Offset,
		},
		Applied: LogPosition{
			Term:   st.Applied.Term,
			Offset: st.Applied.Offset,
		},
		Leaving:     s.faults.Leaving(),
		Connections: s.registry.ConnectionCount(),
		Running:     running,
		Orders:      s.Member.OrderCount(),
	}
	if st.Grant.Upstream.IsValid() {
		reply.Upstream = st.Grant.Upstream.String()
	}
	writeJSON(w, reply)
}

func (s *Server) getStats(w http.ResponseWriter, r *http.Request) {
	limit := stats.MaxEvents
	if text := r.URL.Query().Get("events"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			http.Error(w, "events: a count of zero or more is needed, as 100", http.StatusBadRequest)
			return
		}
		limit = n
	}
	_, connections, refused := s.registry.usage()
	_, running := s.shared.Platform.Slots.Usage()
	writeJSON(w, StatsReply{
		HighestConnections: connections,
		HighestRunning:     running,
		RefusedConnections: refused,
		Totals:             s.recorder.Totals(),
		Connections:        s.recorder.Connections(limit),
	})
}

// durationHandler returns a handler that passes the ?duration= of a request to set.
func durationHandler(name string, set func(d time.Duration)) http.HandlerFunc {
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

// boolHandler returns a handler that passes the ?value= of a request to set.
func boolHandler(name string, set func(b bool)) http.HandlerFunc {
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

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		log.Error().Err(err).Msg("failed to write the response to an operator request")
	}
}
