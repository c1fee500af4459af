package keysim

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// itemReply is an item on the wire.
type itemReply struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_rev,omitempty"`
	Lease    uint64 `json:"lease_id"`
	Removed  bool   `json:"compacted,omitempty"`
}

// Handler serves the calls of one caller.
func (s *Server) Handler(caller string) http.Handler {
	m := http.NewServeMux()
	handle := func(pattern string, h func(w http.ResponseWriter, q *http.Request)) {
		m.HandleFunc(pattern, func(w http.ResponseWriter, q *http.Request) {
			f := s.fault(caller)
			time.Sleep(f.Delay)
			if !refuse(w, q, f.Mode) {
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
		s.transact(w, q, caller)
	})
	handle("POST /egretlane/kv-lease", s.grant)
	handle("POST /egretlane/kv-keep/{id}", s.keep)
	handle("DELETE /egretlane/kv-lease-end/{id}", s.endLease)
	return m
}

// reply returns an item as the caller sees it. The caller holds mu.
func (s *Server) reply(caller string, i item) itemReply {
	r := itemReply{
		Key:      i.key,
		Value:    i.value,
		Revision: i.revision,
		Created:  i.created,
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
	answer(w, http.StatusOK, r)
}

func (s *Server) getRange(w http.ResponseWriter, q *http.Request, caller string) {
	s.mu.Lock()
	items, more := s.below(q.URL.Query().Get("prefix"), q.URL.Query().Get("after"))
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
	answer(w, http.StatusOK, r)
}

func (s *Server) watch(w http.ResponseWriter, q *http.Request, caller string) {
	values := q.URL.Query()
	after, err := strconv.ParseUint(values.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(values.Get("wait_ms"))
	if err != nil || err2 != nil || wait < 0 || wait > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for expired := false; ; {
		events, at, changed, kept := s.since(values.Get("prefix"), after)
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
			answer(w, http.StatusOK, r)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			expired = true
		case <-q.Context().Done():
			return
		}
		// A store that goes down cuts the watches that wait.
		if refuse(w, q, s.fault(caller).Mode) {
			return
		}
	}
}

// change is the body of a conditional write.
type change struct {
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

func (s *Server) transact(w http.ResponseWriter, q *http.Request, caller string) {
	c := change{}
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f := s.fault(caller)
	if chance(f.LateWrites) {
		time.AfterFunc(maxLate/2, func() {
			s.apply(c, caller)
		})
		<-q.Context().Done()
		return
	}
	status, body := s.apply(c, caller)
	if chance(f.LoseAnswers) {
		<-q.Context().Done()
		return
	}
	answer(w, status, body)
}

// apply executes a conditional write.
func (s *Server) apply(c change, caller string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range c.Puts {
		if protected(p.Key) {
			return http.StatusForbidden, nil
		}
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			return http.StatusNotFound, nil
		}
	}
	current := []itemReply{}
	holds := true
	for _, p := range c.Precondition {
		i := s.items[p.Key]
		holds = holds && i.revision == p.Revision
		if i.revision != 0 {
			current = append(current, s.reply(caller, i))
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{
			"items": current,
		}
	}
	s.writer = caller
	for _, p := range c.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range c.Deletes {
		if protected(key) {
			return http.StatusForbidden, nil
		}
		s.remove(key)
	}
	return http.StatusOK, map[string]any{
		"revision": s.revision,
	}
}

// protected reports whether only the operator and the members may write the key.
func protected(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

type leaseReply struct {
	ID    uint64 `json:"lease_id"`
	TTLms int64  `json:"ttl_ms"`
}

func (s *Server) grant(w http.ResponseWriter, q *http.Request) {
	b := leaseReply{}
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
		ttl: ttl,
		due: time.Now().Add(ttl),
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, leaseReply{
		ID:    id,
		TTLms: ttl.Milliseconds(),
	})
}

func (s *Server) keep(w http.ResponseWriter, q *http.Request) {
	s.onLease(w, q, func(_ uint64, l *lease) {
		l.due = time.Now().Add(l.ttl)
	})
}

func (s *Server) endLease(w http.ResponseWriter, q *http.Request) {
	s.onLease(w, q, func(id uint64, _ *lease) {
		s.end(id)
	})
}

// onLease answers a call about a lease after the function, which is called with mu held.
func (s *Server) onLease(w http.ResponseWriter, q *http.Request, do func(id uint64, l *lease)) {
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
	answer(w, http.StatusOK, leaseReply{
		ID:    id,
		TTLms: l.ttl.Milliseconds(),
	})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		// The caller may be gone.
		_ = json.NewEncoder(w).Encode(body)
	}
}
