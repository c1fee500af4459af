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
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// handshakeTimeout bounds a connection's start, proof of the caller included.
const handshakeTimeout = 10 * time.Second

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

	// SessionLimit is the highest number of connections.
	SessionLimit int

	// Handler serves the callers.
	Handler Handler

	// Metrics counts connections. It must be set.
	Metrics *Metrics

	mu sync.Mutex

	// conns has the connections that are past their handshake.
	conns map[*Conn]struct{}

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
	s.mu.Lock()
	s.draining = true
	for c := range s.conns {
		c.drain()
	}
	s.mu.Unlock()
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
	left := len(s.conns)
	for c := range s.conns {
		c.net.Close()
	}
	s.mu.Unlock()
	return errors.Errorf("%d connections were still busy", left)
}

func (s *Server) serve(ctx context.Context, n net.Conn) {
	defer n.Close()
	c, err := s.handshake(ctx, n)
	if err != nil {
		s.Metrics.Refused.WithLabelValues(causeOf(err)).Inc()
		return
	}
	if c == nil {
		return
	}
	defer c.net.Close()
	if !s.add(c) {
		s.Metrics.Refused.WithLabelValues("limit").Inc()
		c.FailFatal("53300", "the proxy has its limit of connections")
		return
	}
	defer s.remove(c)
	s.Handler.Serve(ctx, c)
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
