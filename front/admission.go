package front

import (
	"container/list"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// Causes of refusals, as metrics and log lines name them.
const (
	causeEnding       = "ending"
	causeMalformed    = "malformed"
	causeStartup      = "startup-timeout"
	causeNoTables     = "no-configuration"
	causeNoDatabase   = "no-database"
	causeUnauthorized = "unauthorized"
	causeSessions     = "sessions"
	causeOpening      = "connections-opening"
	causeConnections  = "connections"
	causeAddress      = "connections-per-address"
	causeMemory       = "memory"
	causeMessage      = "message-timeout"
	causeState        = "session-state"
)

const (
	// refusalLogInterval is the least time between two log lines for refusals of one cause.
	refusalLogInterval = time.Second

	// abortPollInterval and maxAbortPolls bound how long the server accepts nothing while connections that it has ended
	// are being closed.
	abortPollInterval = time.Millisecond
	maxAbortPolls     = 100

	// closingAllowance is the number of connections above MaxConnections that may be in the process of being closed.
	closingAllowance = 64
)

// Limits bound the connections of callers. Zero values set no limit.
type Limits struct {
	// Connections is the maximum number of connections, Opening that of connections without a session. At a limit, the
	// connection that has been without a session for the longest time is closed.
	Connections, Opening int

	// PerAddress is the maximum number of connections from one client address. Others are closed at once.
	PerAddress int
}

// aborter is a connection that can be ended at any time. Without it, only a wait for the startup message is ended.
type aborter interface{ Abort() }

// stateKeeper is a connection that limits the memory for the state of its session, given in bytes.
type stateKeeper interface{ KeepState(size int) bool }

// admission has the connections of a server. The server's mu guards it.
type admission struct {
	// opening has the connections whose sessions are not open yet, and order the same with the oldest first.
	opening map[egret.CallerConn]*list.Element
	order   list.List

	// aborted has the connections that were ended for newer ones, until their goroutines notice.
	aborted map[egret.CallerConn]struct{}

	// closing counts the connections that are neither in opening nor in the server's sessions and are not closed yet.
	closing int

	// byAddress counts connections by client address, if that is limited. addresses has the address of each.
	byAddress map[netip.Addr]int
	addresses map[egret.CallerConn]netip.Addr
}

// refusalLog is what is needed to log refusals of one cause at a bounded rate.
type refusalLog struct {
	lastLine clock.Time
	count    int
}

// admit registers a new connection, or closes it and returns false.
func (s *Server) admit(c net.Conn) (egret.CallerConn, bool) {
	address := remoteAddress(c)
	s.mu.Lock()
	full := s.Limits.PerAddress > 0 && s.admission.byAddress[address] >= s.Limits.PerAddress
	s.mu.Unlock()
	if full {
		s.countRefusal(causeAddress, "too many connections from "+address.String())
		c.Close()
		return nil, false
	}
	if !s.makeRoom() {
		s.countRefusal(causeConnections, "all connections have sessions")
		c.Close()
		return nil, false
	}
	opened := s.Codec(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &s.admission
	if a.opening == nil {
		a.opening = map[egret.CallerConn]*list.Element{}
	}
	a.opening[opened] = a.order.PushBack(opened)
	if s.Limits.PerAddress > 0 {
		if a.byAddress == nil {
			a.byAddress, a.addresses = map[netip.Addr]int{}, map[egret.CallerConn]netip.Addr{}
		}
		a.byAddress[address]++
		a.addresses[opened] = address
	}
	if s.admitsNone {
		opened.Interrupt()
	}
	return opened, true
}

// makeRoom ends the connection that has been without a session for the longest time if a limit is reached. It returns false if
// there is no room for another connection.
func (s *Server) makeRoom() bool {
	aborted := false
	for range maxAbortPolls {
		s.mu.Lock()
		count := len(s.sessions) + len(s.admission.opening) + s.admission.closing
		overOpening := s.Limits.Opening > 0 && len(s.admission.opening) >= s.Limits.Opening
		overAll := s.Limits.Connections > 0 && count >= s.Limits.Connections
		abort := !aborted && (overOpening || overAll) && s.abortOldest()
		s.mu.Unlock()
		if abort {
			aborted = true
			s.countRefusal(causeOpening, "a newer connection needed its place")
		}
		switch {
		case s.Limits.Connections == 0 || count < s.Limits.Connections+closingAllowance && (aborted || !overAll):
			return true
		case !aborted && count < s.Limits.Connections+closingAllowance:
			return false
		}
		time.Sleep(abortPollInterval)
	}
	return false
}

// abortOldest ends the connection that has been without a session for the longest time, and reports whether there was one. The
// caller holds mu.
func (s *Server) abortOldest() bool {
	oldest := s.admission.order.Front()
	if oldest == nil {
		return false
	}
	c := oldest.Value.(egret.CallerConn)
	s.forgetOpening(c)
	if s.admission.aborted == nil {
		s.admission.aborted = map[egret.CallerConn]struct{}{}
	}
	s.admission.aborted[c] = struct{}{}
	s.admission.closing++
	if a, ok := c.(aborter); ok {
		a.Abort()
	} else {
		c.Interrupt()
	}
	return true
}

// forgetOpening removes a connection from those without a session, if it is one. The caller holds mu.
func (s *Server) forgetOpening(c egret.CallerConn) {
	if e, found := s.admission.opening[c]; found {
		s.admission.order.Remove(e)
		delete(s.admission.opening, c)
	}
}

// forgetAddress no longer counts a connection for its address. The caller holds mu.
func (s *Server) forgetAddress(c egret.CallerConn) {
	address, found := s.admission.addresses[c]
	if !found {
		return
	}
	delete(s.admission.addresses, c)
	if s.admission.byAddress[address]--; s.admission.byAddress[address] == 0 {
		delete(s.admission.byAddress, address)
	}
}

// isAborted reports whether the connection was ended for a newer one.
func (s *Server) isAborted(c egret.CallerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.isAborted(c)
}

// isAborted reports whether the connection was ended for a newer one. The caller holds the server's mu.
func (a *admission) isAborted(c egret.CallerConn) bool {
	_, found := a.aborted[c]
	return found
}

// countRefusal counts a refused caller, and logs the first and then at most one a second for each cause.
func (s *Server) countRefusal(cause, text string) {
	if s.OnRefusal != nil {
		s.OnRefusal(cause)
	}
	s.mu.Lock()
	if s.refusals == nil {
		s.refusals = map[string]*refusalLog{}
	}
	l := s.refusals[cause]
	if l == nil {
		l = &refusalLog{}
		s.refusals[cause] = l
	}
	l.count++
	now, count := clock.Now(), l.count
	due := l.lastLine == 0 || now.Sub(l.lastLine) >= refusalLogInterval
	if due {
		l.lastLine, l.count = now, 0
	}
	s.mu.Unlock()
	if due {
		s.EventLog.Event("callers-refused").Str("cause", cause).Str("last", text).Int("count", count).Msg("callers were refused or their connections closed")
	}
}

// readCause returns the cause of a failed read, or an empty cause if the caller has closed the connection.
func readCause(err error) (egret.FaultKind, string) {
	switch {
	case errors.Is(err, egret.ErrNoMemory):
		return egret.FaultBusy, causeMemory
	case errors.Is(err, egret.ErrMessageTimeout):
		return egret.FaultMalformed, causeMessage
	default:
		return egret.FaultMalformed, causeMalformed
	}
}

// remoteAddress returns the client address of a connection, without the port.
func remoteAddress(c net.Conn) netip.Addr {
	if t, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return t.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
