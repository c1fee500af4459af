package keysim

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Mode is the way in which the store rejects requests.
type Mode int

// The modes. A rejected request has no effect.
const (
	ModeNone Mode = iota

	// ModeRefuse answers with status 503, ModeLimit with 429.
	ModeRefuse
	ModeLimit

	// ModeReset resets the connection, ModeSilent never answers.
	ModeReset
	ModeSilent
)

// maxLateWriteDelay bounds the delay from the request of a late write to its execution, which is half of it.
const maxLateWriteDelay = 3 * time.Second

// Fault is a fault of the store that is injected for a caller. The zero value is no fault.
type Fault struct {
	// Mode is the way in which requests are rejected, if they are.
	Mode Mode

	// Delay is how long each request is held back before it is handled.
	Delay time.Duration

	// LostAnswerRate is the probability, from 0 to 1, that a conditional write is executed but not answered.
	LostAnswerRate float64

	// LateWriteRate is the probability, from 0 to 1, that a conditional write is not answered and is
	// executed some time later.
	LateWriteRate float64
}

// SetFault sets the fault of a caller. That of the empty name applies to all callers without one of their
// own. The zero Fault ends it.
func (s *Server) SetFault(caller string, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults == nil {
		s.faults = map[string]Fault{}
	}
	s.faults[caller] = f
	if f == (Fault{}) {
		delete(s.faults, caller)
	}
	s.wakeWatches()
}

// IsDown reports whether the store rejects the requests of all callers without a fault of their own.
func (s *Server) IsDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[""].Mode != ModeNone
}

// faultOf returns the fault that applies to a caller.
func (s *Server) faultOf(caller string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, found := s.faults[caller]; found {
		return f
	}
	return s.faults[""]
}

// reject rejects a request as the mode says. It returns false for ModeNone, which rejects nothing.
func reject(w http.ResponseWriter, q *http.Request, m Mode) bool {
	switch m {
	case ModeRefuse:
		w.WriteHeader(http.StatusServiceUnavailable)
	case ModeLimit:
		w.WriteHeader(http.StatusTooManyRequests)
	case ModeReset:
		reset(w)
	case ModeSilent:
		<-q.Context().Done()
	default:
		return false
	}
	return true
}

// reset resets the connection without an answer. If the connection can't be taken over, it answers with
// status 503.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		// Otherwise Close would send pending data and end the connection in order, without a reset.
		_ = t.SetLinger(0)
	}
	c.Close()
}

// withProbability returns true with the given probability.
func withProbability(p float64) bool {
	return p > 0 && rand.Float64() < p
}
