// Package caller implements the server side of the PostgreSQL protocol for callers.
//
// A Server accepts connections, authenticates callers and passes a Conn to its handler. A Conn groups the caller's
// messages into batches. A batch has all messages up to the point at which the caller waits for ReadyForQuery. Prepared
// statements are given names that are the same on each connection of each proxy:
//
//	s := &caller.Server{
//		ListenAddress: addr,
//		Handler:       handler,
//	}
//	err := s.Run(ctx)
package caller

import (
	"cmp"
	"container/list"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"egretlane.example/egret/alloc"
)

// Default timeouts of a Server, for fields that are zero.
const (
	defaultHandshakeTimeout = 10 * time.Second
	defaultBatchTimeout     = 30 * time.Second
	defaultWriteTimeout     = 10 * time.Second
)

// drainHandshakeTimeout limits the rest of a handshake once the proxy is shutting down.
const drainHandshakeTimeout = time.Second

// endReserve is how long before the end of its context Drain ends all requests and transactions, at most. A member may take
// 0.4 s to answer a cancellation through another proxy, and the answer must reach the caller.
const endReserve = 2 * time.Second

// lingerTimeout is how long a connection that ends waits for the caller to read all that was sent and to close its side.
const lingerTimeout = 500 * time.Millisecond

// With a HandshakeLimit, no connection is accepted for up to maxClosingPolls intervals while closingAllowance connections more
// are open than the limits allow.
const (
	closingAllowance    = 64
	maxClosingPolls     = 100
	closingPollInterval = time.Millisecond
)

// Handler runs callers' sessions.
type Handler interface {
	// Admit decides whether an authenticated caller may connect. It is called before the caller is told that it is
	// connected. The error is a *egret.Failure.
	Admit(s *Startup) error

	// Serve runs the session of a connection until the caller disconnects or the proxy shuts down. Shortly before the time
	// for the shutdown is over the context ends, with the cause ErrDraining. A running request is ended and answered then.
	Serve(ctx context.Context, c *Conn)

	// Cancel cancels the running request of the session that has the key.
	Cancel(ctx context.Context, k CancelKey)

	// NewCancelKey returns the cancel key for a new session.
	NewCancelKey() CancelKey
}

// CancelKey identifies a session in a cancel request.
type CancelKey struct {
	// ProcessID is the session's number, sent as the process ID. Its upper half is a hash of the proxy's ID.
	ProcessID uint32

	// Secret authenticates the cancel request: only the session's caller knows it.
	Secret [4]byte
}

// Server accepts callers' connections.
type Server struct {
	// ListenAddress is the address to listen on.
	ListenAddress netip.AddrPort

	// TLS is the configuration for callers that ask for encryption. If it is nil, encryption is declined.
	TLS *tls.Config

	// RequireTLS refuses callers on unencrypted connections. It needs TLS.
	RequireTLS bool

	// Credentials has the verifiers for authentication with SCRAM-SHA-256. If it is nil, callers are not authenticated.
	Credentials *Credentials

	// MaxBatchBytes is the maximum size of a batch, in bytes.
	MaxBatchBytes int

	// SessionLimit is the maximum number of sessions. As many connections may be in their handshake in addition.
	SessionLimit int

	// HandshakeLimit is the maximum number of connections in their handshake: at the limit, the oldest is closed for a new one.
	// Zero means SessionLimit, above which a new one is closed.
	HandshakeLimit int

	// AddressLimit is the maximum number of connections from one client address. Zero means no limit.
	AddressLimit int

	// Memory is the memory for long messages and answers. Nil sets no limit.
	Memory *alloc.Allocator

	// SocketBufferBytes is the size of each of the system's two buffers of a connection. Zero leaves it to the system.
	SocketBufferBytes int

	// UnreadLimit is the maximum number of answers that callers may read slowly at once: above it, connections are closed on
	// which a write takes 0.25 s and a second for each MiB. Zero means no limit.
	UnreadLimit int

	// HandshakeTimeout limits the handshake of a connection, including authentication. Zero means 10 s.
	HandshakeTimeout time.Duration

	// BatchTimeout limits the time from the first byte of a batch to its last, outside of a transaction. Zero means
	// 30 s.
	BatchTimeout time.Duration

	// WriteTimeout limits each write to a caller that doesn't read its answer. Until then the answer keeps a connection
	// to a member in use. Zero means 10 s.
	WriteTimeout time.Duration

	// Handler runs the sessions.
	Handler Handler

	// Metrics counts connections. It must be set.
	Metrics *Metrics

	mu sync.Mutex

	// conns are the connections that have completed their handshake.
	conns map[*Conn]struct{}

	// handshaking are the connections whose handshake is not completed, with their element in handshakeOrder, which has the
	// oldest first. byAddress counts connections by client address, if that is limited.
	handshaking    map[net.Conn]*list.Element
	handshakeOrder list.List
	byAddress      map[netip.Addr]int

	// unread are the writes that callers don't take.
	unread unreadWrites

	// open is the number of connections that are accepted and not closed.
	open atomic.Int64

	// draining reports whether the server is shutting down: sessions end once no transaction is open. ending reports whether
	// the time for that is over: requests and transactions are ended as well.
	draining, ending bool

	// listener accepts connections, and endRequests ends the context of all sessions. Run sets both.
	listener    net.Listener
	endRequests context.CancelCauseFunc

	// goroutines tracks the goroutines of connections and the one that accepts them.
	goroutines sync.WaitGroup
}

// Metrics are the metrics of callers' connections.
type Metrics struct {
	// Accepted counts accepted connections.
	Accepted prometheus.Counter

	// Refused counts connections that ended in the handshake, by cause.
	Refused *prometheus.CounterVec

	// Closed counts sessions whose connections were closed for others, by cause.
	Closed *prometheus.CounterVec

	// Open is the number of connections that have completed their handshake.
	Open prometheus.Gauge
}

// NewMetrics registers the metrics of callers.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Accepted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretlane_caller_connections_total",
			Help: "Connections that callers opened.",
		}),
		Refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_caller_refused_total",
			Help: "Connections of callers that ended in the handshake.",
		}, []string{"cause"}),
		Closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_caller_closed_total",
			Help: "Connections of callers with a session that were closed for other callers.",
		}, []string{"cause"}),
		Open: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "egretlane_caller_connections",
			Help: "Connections of callers that are open.",
		}),
	}
	r.MustRegister(m.Accepted, m.Refused, m.Closed, m.Open)
	return m
}

// Run accepts connections until the context is canceled or Drain is called. Open connections are not closed when the context is
// canceled; Drain closes them.
func (s *Server) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.ListenAddress.String())
	if err != nil {
		return errors.Annotate(err, "listen for callers")
	}
	s.accept(ctx, l)
	return nil
}

// accept serves the connections of a listener until the context is canceled or the server shuts down.
func (s *Server) accept(ctx context.Context, l net.Listener) {
	// Drain waits for this goroutine too, so that no connection is accepted after Drain has returned.
	s.goroutines.Add(1)
	defer s.goroutines.Done()
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
	})
	defer stop()
	serving, end := context.WithCancelCause(context.WithoutCancel(ctx))
	s.beginAccepting(l, end)
	for {
		n, err := l.Accept()
		switch {
		case err == nil:
			s.Metrics.Accepted.Inc()
			s.open.Add(1)
			s.goroutines.Go(func() {
				defer s.open.Add(-1)
				s.serve(serving, n)
			})
			s.awaitClosing()
		case errors.Is(err, net.ErrClosed):
			return
		default:
			// Possible causes are a lack of file descriptors and a peer that has disconnected. Retry after a short delay.
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// awaitClosing waits for a limited time while more connections are open than the limits allow: those that were closed for
// others keep their descriptors until their goroutines have run.
func (s *Server) awaitClosing() {
	if s.HandshakeLimit == 0 {
		return
	}
	for polls := 0; polls < maxClosingPolls && s.open.Load() > int64(s.SessionLimit+s.HandshakeLimit+closingAllowance); polls++ {
		time.Sleep(closingPollInterval)
	}
}

// beginAccepting records what a shutdown needs: the listener, and end, which ends the context of all sessions.
func (s *Server) beginAccepting(l net.Listener, end context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unread.limit = s.UnreadLimit
	s.listener = l
	s.endRequests = end
}

// Drain stops accepting and ends idle sessions at once, and the others once they have no open transaction. Shortly before the
// context ends, it ends all requests, which are answered, and all open transactions. It returns when all connections are
// closed. When the context ends first, as callers don't read their answers, it closes the remaining connections and returns an
// error.
func (s *Server) Drain(ctx context.Context) error {
	s.startDrain()
	done := make(chan struct{})
	go func() {
		s.goroutines.Wait()
		close(done)
	}()
	if deadline, bounded := ctx.Deadline(); bounded {
		left := time.Until(deadline)
		timer := time.AfterFunc(left-min(endReserve, left/2), s.endSessions)
		defer timer.Stop()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.netConn.Close()
	}
	for n := range s.handshaking {
		n.Close()
	}
	if busy := len(s.conns) + len(s.handshaking); busy > 0 {
		return errors.Errorf("%d connections were still busy", busy)
	}
	// What remains are callers that were told the end and haven't closed their side.
	return nil
}

func (s *Server) startDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		c.drain()
	}
	for n := range s.handshaking {
		s.limitHandshake(n)
	}
}

// endSessions makes each session end its request and its transaction.
func (s *Server) endSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	for c := range s.conns {
		c.end()
	}
	if s.endRequests != nil {
		s.endRequests(ErrDraining)
	}
}

func (s *Server) serve(ctx context.Context, n net.Conn) {
	address := remoteAddr(n).Addr().Unmap()
	if !s.addAddress(address) {
		s.Metrics.Refused.WithLabelValues("address").Inc()
		n.Close()
		return
	}
	defer s.removeAddress(address)
	if !s.beginHandshake(n) {
		s.Metrics.Refused.WithLabelValues("limit").Inc()
		n.Close()
		return
	}
	limitSocket(n, s.SocketBufferBytes)
	defer closeDelivering(n)
	c, err := s.handshake(ctx, n)
	s.endHandshake(n)
	if err != nil {
		s.Metrics.Refused.WithLabelValues(causeOf(err)).Inc()
		return
	}
	if c == nil {
		return
	}
	defer c.memory.account.Close()
	defer c.endOutput()
	defer s.removeConn(c)
	s.Handler.Serve(ctx, c)
}

// closeDelivering closes a connection. Unless the caller has closed its side, it reads on for a short time after the end of the
// output: closing a connection that has unread bytes resets it, which discards output that the caller hasn't read.
func closeDelivering(n net.Conn) {
	defer n.Close()
	h, ok := n.(interface{ CloseWrite() error })
	if !ok || h.CloseWrite() != nil {
		return
	}
	if n.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, n)
	}
}

// beginHandshake registers a connection in its handshake and sets the deadline of the handshake. It returns false if there are too many.
func (s *Server) beginHandshake(n net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.handshaking) >= cmp.Or(s.HandshakeLimit, s.SessionLimit) && !s.closeOldestHandshake() {
		return false
	}
	if s.handshaking == nil {
		s.handshaking = make(map[net.Conn]*list.Element)
	}
	s.handshaking[n] = s.handshakeOrder.PushBack(n)
	s.limitHandshake(n)
	return true
}

// limitHandshake sets the deadline of a handshake. The caller holds mu, so that the deadline of the shutdown comes last.
func (s *Server) limitHandshake(n net.Conn) {
	timeout := cmp.Or(s.HandshakeTimeout, defaultHandshakeTimeout)
	if s.draining {
		timeout = min(timeout, drainHandshakeTimeout)
	}
	// If this fails, the connection is closed already.
	_ = n.SetDeadline(time.Now().Add(timeout))
}

func (s *Server) endHandshake(n net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetHandshake(n)
}

// forgetHandshake removes a connection from those in their handshake, if it is one. The caller holds mu.
func (s *Server) forgetHandshake(n net.Conn) {
	if e, found := s.handshaking[n]; found {
		s.handshakeOrder.Remove(e)
		delete(s.handshaking, n)
	}
}

// closeOldestHandshake closes the connection that is in its handshake for the longest time. It returns false without a
// HandshakeLimit. The caller holds mu.
func (s *Server) closeOldestHandshake() bool {
	oldest := s.handshakeOrder.Front()
	if s.HandshakeLimit == 0 || oldest == nil {
		return false
	}
	n := oldest.Value.(net.Conn)
	s.forgetHandshake(n)
	s.Metrics.Refused.WithLabelValues("replaced").Inc()
	n.Close()
	return true
}

// addAddress counts a connection for its client address. It returns false if there are too many.
func (s *Server) addAddress(a netip.Addr) bool {
	if s.AddressLimit == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAddress[a] >= s.AddressLimit {
		return false
	}
	if s.byAddress == nil {
		s.byAddress = map[netip.Addr]int{}
	}
	s.byAddress[a]++
	return true
}

// removeAddress no longer counts a connection for its client address.
func (s *Server) removeAddress(a netip.Addr) {
	if s.AddressLimit == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAddress[a]--; s.byAddress[a] == 0 {
		delete(s.byAddress, a)
	}
}

// addConn registers a connection that has passed authentication. It returns false if there are too many.
func (s *Server) addConn(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.SessionLimit {
		return false
	}
	if s.conns == nil {
		s.conns = make(map[*Conn]struct{})
	}
	s.conns[c] = struct{}{}
	s.Metrics.Open.Set(float64(len(s.conns)))
	if s.draining {
		c.drain()
	}
	if s.ending {
		c.end()
	}
	return true
}

func (s *Server) removeConn(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.Metrics.Open.Set(float64(len(s.conns)))
}

func (s *Server) newConn(n net.Conn) *Conn {
	c := newConn(n, s.MaxBatchBytes)
	c.reader.batchTimeout = cmp.Or(s.BatchTimeout, defaultBatchTimeout)
	c.writeTimeout = cmp.Or(s.WriteTimeout, defaultWriteTimeout)
	c.memory.account = s.Memory.NewAccount(c.disconnect)
	c.unread = &s.unread
	c.onAbort = func(cause string) { s.Metrics.Closed.WithLabelValues(cause).Inc() }
	return c
}
