// Package kvsim stands in for the platform's key-value service.
//
// It keeps all keys in memory and speaks the protocol of storpb. Leases remove their keys when they
// end. A watch is a long poll. The operators' port sets faults and tells what was called:
//
//	s := &kvsim.Server{
//		Listener: listener,
//	}
//	err := s.Run(ctx)
package kvsim

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"egretlane.example/egret/internal/storpb"
)

// sweepInterval is how often ended leases are looked for.
const sweepInterval = 50 * time.Millisecond

// keepaliveFloor is the shortest interval of keepalives that the server puts up with.
const keepaliveFloor = 5 * time.Second

// Server is the stand-in. Its exported fields are set before Run.
type Server struct {
	// Listener takes the store's calls. Run closes it.
	Listener net.Listener

	// Operator takes the operators' calls, or is nil. Run closes it.
	Operator net.Listener

	// WritesPerSecond bounds compare-and-swaps, grants and renewals. Zero sets no bound.
	WritesPerSecond int

	// ReadsPerSecond bounds gets and watches. Zero sets no bound.
	ReadsPerSecond int

	keys   keys
	faults faults
	calls  calls
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	g := grpc.NewServer(
		grpc.UnaryInterceptor(s.intercept),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             keepaliveFloor,
			PermitWithoutStream: true,
		}),
	)
	storpb.RegisterStoreServer(g, &service{
		keys: &s.keys,
	})
	s.calls.reads.limit = newLimit(s.ReadsPerSecond)
	s.calls.writes.limit = newLimit(s.WritesPerSecond)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.sweep(ctx)
	go s.serveOperator(ctx)
	stop := context.AfterFunc(ctx, g.Stop)
	defer stop()
	err := g.Serve(s.Listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Annotate(err, "serving the store")
}

// sweep ends leases until the context ends.
func (s *Server) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.keys.expire(now)
		}
	}
}

func (s *Server) serveOperator(ctx context.Context) {
	if s.Operator == nil {
		return
	}
	h := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: time.Second,
	}
	stop := context.AfterFunc(ctx, func() {
		_ = h.Close()
	})
	defer stop()
	_ = h.Serve(s.Operator)
}

// newLimit allows bursts of a tenth of a second.
func newLimit(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}
