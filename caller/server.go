// Package caller speaks the PostgreSQL protocol with callers.
//
// A Server accepts connections, proves who the caller is and hands a Conn to its handler. A Conn
// turns the caller's messages into batches: all messages up to the point where the caller waits for
// ReadyForQuery. Prepared statements get names that are the same on each connection of each proxy:
//
//	s := &caller.Server{
//		Listen:  addr,
//		Handler: desk,
//	}
//	err := s.Run(ctx)
package caller

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Bounds on slow callers, for fields of a Server that are zero.
const (
	defaultHandshakeTimeout = 10 * time.Second
	defaultBatchTimeout     = 30 * time.Second
	defaultWriteTimeout     = 10 * time.Second
)

// drainHandshake is how long a handshake may still take once the proxy shuts down.
const drainHandshake = time.Second

// Handler serves callers.
type Handler interface {
	// Admit checks a caller's start before the caller is told that it is connected. The error is a
	// *egret.Failure.
	Admit(s *Startup) error

	// Serve runs the session of a connection until the caller leaves or the context ends.
	Serve(ctx context.Context, c *Conn)

	// Cancel cancels the running request of the session with the key.
	Cancel(ctx context.Context, k CancelKey)

	// Key returns the key of a new session.
	Key() CancelKey
}

// CancelKey names a session in a cancel request.
type CancelKey struct {
	// Process is the session's number. Its upper half is a hash of the proxy's ID.
	Process uint32

	// Secret proves that the request comes from the session's caller.
	Secret [4]byte
}

// Server accepts callers.
type Server struct {
	// Listen is where callers connect.
	Listen netip.AddrPort

	// TLS encrypts connections of callers that ask for it. It may be nil.
	TLS *tls.Config

	// RequireTLS refuses callers that don't encrypt. It needs TLS.
	RequireTLS bool

	// Credentials proves callers by SCRAM-SHA-256. Without it every caller is taken at its word.
	Credentials *Credentials

	// StatementLimit is the size of the largest batch, in bytes.
	StatementLimit int

	// SessionLimit is the highest number of connections. As many may be in their handshake besides.
	SessionLimit int

	// HandshakeTimeout bounds a connection's start, proof of the caller included. Zero means 10 s.
	HandshakeTimeout time.Duration

	// BatchTimeout bounds the time from the first byte of a batch to its last, outside of a
	// transaction. Zero means 30 s.
	BatchTimeout time.Duration

	// WriteTimeout bounds the wait for a caller that doesn't read its answer. Until then the answer
	// holds a connection of a member. Zero means 10 s.
	WriteTimeout time.Duration

	// Handler serves the callers.
	Handler Handler

	// Metrics counts connections. It must be set.
	Metrics *Metrics

	mu sync.Mutex

	// conns has the connections that are past their handshake.
	conns map[*Conn]struct{}

	// greeted has the connections that are in their handshake.
	greeted map[net.Conn]struct{}

	// draining says that connections end between transactions.
	draining bool

	// all counts the goroutines of connections.
	all sync.WaitGroup
}

// Metrics counts what callers do.
type Metrics struct {
	// Accepted counts connections.
	Accepted prometheus.Counter

	// Refused counts connections that ended in the handshake, by cause.
	Refused *prometheus.CounterVec

	// Open is the number of connections past their handshake.
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
		Open: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "egretlane_caller_connections",
			Help: "Connections of callers that are open.",
		}),
	}
	r.MustRegister(m.Accepted, m.Refused, m.Open)
	return m
}

// Run accepts callers until the context ends. Connections outlive it: Drain ends them.
func (s *Server) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return errors.Annotate(err, "callers' port")
	}
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
	})
	defer stop()
	for {
		n, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// Out of file descriptors, or the peer has gone. Accepting goes on.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.Metrics.Accepted.Inc()
		s.all.Go(func() {
			s.serve(context.WithoutCancel(ctx), n)
		})
	}
}

// Drain ends idle connections at once and busy ones between transactions. It returns when all have
// ended, or with an error when the context ends; connections that are left are then closed.
func (s *Server) Drain(ctx context.Context) error {
	s.startDrain()
	done := make(chan struct{})
	go func() {
		s.all.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.net.Close()
	}
	for n := range s.greeted {
		n.Close()
	}
	return errors.Errorf("%d connections were still busy", len(s.conns))
}

func (s *Server) startDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.conns {
		c.drain()
	}
	for n := range s.greeted {
		// A failure means that the connection is gone.
		_ = n.SetDeadline(time.Now().Add(drainHandshake))
	}
}

func (s *Server) serve(ctx context.Context, n net.Conn) {
	defer n.Close()
	if !s.greet(n) {
		s.Metrics.Refused.WithLabelValues("limit").Inc()
		return
	}
	c, err := s.handshake(ctx, n)
	s.ungreet(n)
	if err != nil {
		s.Metrics.Refused.WithLabelValues(causeOf(err)).Inc()
		return
	}
	if c == nil {
		return
	}
	defer c.net.Close()
	defer s.remove(c)
	s.Handler.Serve(ctx, c)
}

// greet notes the start of a handshake. It returns false if there are too many.
func (s *Server) greet(n net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.greeted) >= s.SessionLimit {
		return false
	}
	if s.greeted == nil {
		s.greeted = make(map[net.Conn]struct{})
	}
	s.greeted[n] = struct{}{}
	return true
}

func (s *Server) ungreet(n net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.greeted, n)
}

func (s *Server) add(c *Conn) bool {
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
	return true
}

func (s *Server) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.Metrics.Open.Set(float64(len(s.conns)))
}

func (s *Server) handshakeTimeout() time.Duration {
	return cmp.Or(s.HandshakeTimeout, defaultHandshakeTimeout)
}

func (s *Server) newConn(n net.Conn) *Conn {
	c := newConn(n, s.StatementLimit)
	c.gate.batchTimeout = cmp.Or(s.BatchTimeout, defaultBatchTimeout)
	c.writeTimeout = cmp.Or(s.WriteTimeout, defaultWriteTimeout)
	return c
}
