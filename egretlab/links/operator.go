package links

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/phuslu/log"
)

// Traffic is the number of bytes relayed from a region to another for one cause.
type Traffic struct {
	// Cause is what the traffic is for.
	Cause Cause `json:"cause"`

	// From is the region that the bytes came from.
	From string `json:"from"`

	// To is the region that the bytes went to.
	To string `json:"to"`

	// Bytes is the number of bytes of TCP payload.
	Bytes int64 `json:"bytes"`
}

// Handler returns the handler of the relay's HTTP interface for operators.
//
//	GET  /live, /ready
//	GET  /bytes (the bytes relayed so far, by cause and regions)
//	POST /cut?from=ENDPOINT&to=ENDPOINT (each a name, a failure domain, a region or *; &one-way=true)
//	POST /heal
func (r *Relay) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /live", respondOK)
	m.HandleFunc("GET /ready", respondOK)
	m.HandleFunc("GET /bytes", r.getBytes)
	m.HandleFunc("POST /cut", r.postCut)
	m.HandleFunc("POST /heal", r.postHeal)
	return m
}

// Traffic returns the bytes relayed so far, by cause and regions.
func (r *Relay) Traffic() []Traffic {
	r.initLinks()
	all := []Traffic{}
	add := func(t Traffic) {
		i := slices.IndexFunc(all, func(o Traffic) bool {
			return o.Cause == t.Cause && o.From == t.From && o.To == t.To
		})
		if i < 0 {
			all = append(all, t)
			return
		}
		all[i].Bytes += t.Bytes
	}
	for _, l := range r.links {
		add(Traffic{
			Cause: l.Cause,
			From:  l.From.Region,
			To:    l.To.Region,
			Bytes: l.forwardBytes.Load(),
		})
		add(Traffic{
			Cause: l.Cause,
			From:  l.To.Region,
			To:    l.From.Region,
			Bytes: l.reverseBytes.Load(),
		})
	}
	return all
}

func (r *Relay) getBytes(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(r.Traffic()); err != nil {
		log.Error().Err(err).Msg("writing the response to an operator failed")
	}
}

func (r *Relay) postCut(w http.ResponseWriter, q *http.Request) {
	values := q.URL.Query()
	c := Cut{
		From: values.Get("from"),
		To:   values.Get("to"),
	}
	c.OneWay, _ = strconv.ParseBool(values.Get("one-way"))
	if c.From == "" || c.To == "" {
		http.Error(w, "from and to are needed", http.StatusBadRequest)
		return
	}
	r.AddCut(c)
	log.Info().Str("from", c.From).Str("to", c.To).Bool("one-way", c.OneWay).Msg("network cut started")
}

func (r *Relay) postHeal(http.ResponseWriter, *http.Request) {
	r.Heal()
	log.Info().Msg("all network cuts ended")
}

func respondOK(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}
