package keysim

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// itemReply is an item, or a change of one, as it is sent.
type itemReply struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_rev,omitempty"`
	Lease    uint64 `json:"lease_id"`
	Removed  bool   `json:"compacted,omitempty"`
}

// Handler returns the HTTP handler for one caller.
func (s *Server) Handler(caller string) http.Handler {
	m := http.NewServeMux()
	handle := func(pattern string, h func(w http.ResponseWriter, q *http.Request)) {
		m.HandleFunc(pattern, func(w http.ResponseWriter, q *http.Request) {
			f := s.faultOf(caller)
			time.Sleep(f.Delay)
			if !reject(w, q, f.Mode) {
				w.Header().Set(eraHeader, strconv.FormatUint(s.Era(), 10))
				h(w, q)
			}
		})
	}
	handle("GET /egretlane/kv-key", func(w http.ResponseWriter, q *http.Request) {
		s.getKey(w, q, caller)
	})
	handle("GET /egretlane/kv-range", func(w http.ResponseWriter, q *http.Request) {
		s.getRange(w, q, caller)
	})
	handle("GET /egretlane/kv-watch", func(w http.ResponseWriter, q *http.Request) {
		s.watch(w, q, caller)
	})
	handle("POST /egretlane/kv-txn", func(w http.ResponseWriter, q *http.Request) {
		s.writeConditionally(w, q, caller)
	})
	handle("POST /egretlane/kv-lease", s.grantLease)
	handle("POST /egretlane/kv-keep/{id}", s.renewLease)
	handle("DELETE /egretlane/kv-lease-end/{id}", s.endLease)
	return m
}

// reply returns an item as it is sent to the caller, with the value that View gives. The lock mu must be
// held.
func (s *Server) reply(caller string, i item) itemReply {
	r := itemReply{
		Key:      i.key,
		Value:    i.value,
		Revision: i.revision,
		Created:  i.createRevision,
		Lease:    i.lease,
		Removed:  i.removed,
	}
	if s.View != nil && !i.removed {
		r.Value = s.View(caller, i.key, i.value)
	}
	return r
}

func (s *Server) replies(caller string, items []item) []itemReply {
	all := make([]itemReply, 0, len(items))
	for _, i := range items {
		all = append(all, s.reply(caller, i))
	}
	return all
}

func (s *Server) getKey(w http.ResponseWriter, q *http.Request, caller string) {
	s.mu.Lock()
	i, found := s.items[q.URL.Query().Get("key")]
	r := struct {
		itemReply
		At uint64 `json:"at_rev"`
	}{
		itemReply: s.reply(caller, i),
		At:        s.revision,
	}
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, r)
}

func (s *Server) getRange(w http.ResponseWriter, q *http.Request, caller string) {
	s.mu.Lock()
	items, more := s.itemsAfter(q.URL.Query().Get("prefix"), q.URL.Query().Get("after"))
	r := struct {
		Items []itemReply `json:"items"`
		More  bool        `json:"has_more"`
		At    uint64      `json:"at_rev"`
	}{
		Items: s.replies(caller, items),
		More:  more,
		At:    s.revision,
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, r)
}

func (s *Server) watch(w http.ResponseWriter, q *http.Request, caller string) {
	values := q.URL.Query()
	after, err := strconv.ParseUint(values.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(values.Get("wait_ms"))
	if err != nil || err2 != nil || wait < 0 || wait > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	era := s.Era()
	for expired := false; ; {
		events, at, changed, kept := s.changesAfter(values.Get("prefix"), after)
		if !kept {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || expired {
			s.mu.Lock()
			r := struct {
				Events []itemReply `json:"events"`
				At     uint64      `json:"at_rev"`
			}{
				Events: s.replies(caller, events),
				At:     at,
			}
			s.mu.Unlock()
			writeJSON(w, http.StatusOK, r)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-q.Context().Done():
			return
		}
		if s.Era() != era {
			// The watch was lost with the store that it waited in.
			reset(w)
			return
		}
		// A fault that is set while the watch waits rejects it too.
		if reject(w, q, s.faultOf(caller).Mode) {
			return
		}
	}
}

// txnRequest is the body of a conditional write.
type txnRequest struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease_id"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *Server) writeConditionally(w http.ResponseWriter, q *http.Request, caller string) {
	c := txnRequest{}
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f := s.faultOf(caller)
	if withProbability(f.LateWriteRate) {
		time.AfterFunc(maxLateWriteDelay/2, func() {
			s.apply(c, caller)
		})
		<-q.Context().Done()
		return
	}
	status, body := s.apply(c, caller)
	if withProbability(f.LostAnswerRate) {
		<-q.Context().Done()
		return
	}
	writeJSON(w, status, body)
}

// apply executes a conditional write and returns the status and the body of the answer.
func (s *Server) apply(c txnRequest, caller string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range c.Puts {
		if isProtected(p.Key) {
			return http.StatusForbidden, nil
		}
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			return http.StatusNotFound, nil
		}
	}
	current := []itemReply{}
	met := true
	for _, p := range c.Precondition {
		i := s.items[p.Key]
		met = met && i.revision == p.Revision
		if i.revision != 0 {
			current = append(current, s.reply(caller, i))
		}
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{
			"items": current,
		}
	}
	s.lastWriter = caller
	for _, p := range c.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range c.Deletes {
		if isProtected(key) {
			return http.StatusForbidden, nil
		}
		s.remove(key)
	}
	return http.StatusOK, map[string]any{
		"revision": s.revision,
	}
}

// isProtected reports whether the key may be written only by the operator and the members, which use Put
// and Remove.
func isProtected(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

// leaseMessage is the body of a request for a lease and of all answers about leases.
type leaseMessage struct {
	ID    uint64 `json:"lease_id"`
	TTLms int64  `json:"ttl_ms"`
}

func (s *Server) grantLease(w http.ResponseWriter, q *http.Request) {
	b := leaseMessage{}
	if err := json.NewDecoder(q.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(minTTL, time.Duration(b.TTLms)*time.Millisecond)
	s.mu.Lock()
	if s.leases == nil {
		s.leases = map[uint64]*lease{}
	}
	s.revision++
	id := s.revision
	s.leases[id] = &lease{
		ttl:       ttl,
		expiresAt: time.Now().Add(ttl),
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, leaseMessage{
		ID:    id,
		TTLms: ttl.Milliseconds(),
	})
}

func (s *Server) renewLease(w http.ResponseWriter, q *http.Request) {
	s.withLease(w, q, func(_ uint64, l *lease) {
		l.expiresAt = time.Now().Add(l.ttl)
	})
}

func (s *Server) endLease(w http.ResponseWriter, q *http.Request) {
	s.withLease(w, q, func(id uint64, _ *lease) {
		s.removeLease(id)
	})
}

// withLease calls do, with mu held, for the lease whose ID is in the path. It answers with the lease.
func (s *Server) withLease(w http.ResponseWriter, q *http.Request, do func(id uint64, l *lease)) {
	id, err := strconv.ParseUint(q.PathValue("id"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	l, found := s.leases[id]
	if found {
		do(id, l)
	}
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, leaseMessage{
		ID:    id,
		TTLms: l.ttl.Milliseconds(),
	})
}

// writeJSON answers with the status and the body, unless that is nil.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		// An error means that the caller has closed the connection.
		_ = json.NewEncoder(w).Encode(body)
	}
}
