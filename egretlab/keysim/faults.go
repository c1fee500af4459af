package keysim

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Mode is how the store turns a caller away.
type Mode int

// The modes. All but ModeNone do nothing of what is asked.
const (
	ModeNone Mode = iota

	// ModeRefuse answers 503, ModeLimit 429.
	ModeRefuse
	ModeLimit

	// ModeReset resets the connection, ModeSilent never answers.
	ModeReset
	ModeSilent
)

// maxLate is how much later than its call a late write is executed, at most.
const maxLate = 3 * time.Second

// Fault is what a caller meets at the store. The zero value is none.
type Fault struct {
	// Mode is how the caller is turned away.
	Mode Mode

	// Delay is added before each answer.
	Delay time.Duration

	// LoseAnswers is the part of conditional writes, from 0 to 1, that are executed and not answered.
	LoseAnswers float64

	// LateWrites is the part of conditional writes, from 0 to 1, that are not answered and executed
	// some time later.
	LateWrites float64
}

// Break sets the fault that a caller meets. An empty name stands for all callers without one of their
// own. The zero fault ends it.
func (s *Server) Break(caller string, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults == nil {
		s.faults = map[string]Fault{}
	}
	s.faults[caller] = f
	if f == (Fault{}) {
		delete(s.faults, caller)
	}
	s.wake()
}

// Down reports whether the store turns all callers away.
func (s *Server) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[""].Mode != ModeNone
}

func (s *Server) fault(caller string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, found := s.faults[caller]; found {
		return f
	}
	return s.faults[""]
}

// refuse turns a call away. It returns false if the mode lets it through.
func refuse(w http.ResponseWriter, q *http.Request, m Mode) bool {
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

// reset closes the connection without an answer.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		// Pending data would turn the reset into an ordinary end.
		_ = t.SetLinger(0)
	}
	c.Close()
}

func chance(part float64) bool {
	return part > 0 && rand.Float64() < part
}
