// Package kvsim simulates the platform's key-value service.
//
// It keeps all keys in memory and serves the gRPC service of storpb. An expired lease removes its keys. A
// watch is a long poll. The operators' port injects faults and reports the counts of calls:
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

// leaseCheckInterval is the interval between two checks for expired leases.
const leaseCheckInterval = 50 * time.Millisecond

// minKeepaliveInterval is the shortest interval between keepalives that the server accepts from a client.
const minKeepaliveInterval = 5 * time.Second

// Server is the simulated service. Its exported fields must be set before Run.
type Server struct {
	// Listener accepts the connections of the store's clients. Run closes it.
	Listener net.Listener

	// Operator accepts the connections of operators, unless it is nil. Run closes it.
	Operator net.Listener

	// WritesPerSecond limits compare-and-swaps, grants and renewals together. Zero sets no limit.
	WritesPerSecond int

	// ReadsPerSecond limits gets and watches together. Zero sets no limit.
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
			MinTime:             minKeepaliveInterval,
			PermitWithoutStream: true,
		}),
	)
	storpb.RegisterStoreServer(g, &service{
		keys: &s.keys,
	})
	s.calls.reads.limiter = newLimiter(s.ReadsPerSecond)
	s.calls.writes.limiter = newLimiter(s.WritesPerSecond)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.expireLeases(ctx)
	go s.serveOperator(ctx)
	stop := context.AfterFunc(ctx, g.Stop)
	defer stop()
	err := g.Serve(s.Listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Annotate(err, "serving the store")
}

// expireLeases removes expired leases and their keys until the context ends.
func (s *Server) expireLeases(ctx context.Context) {
	t := time.NewTicker(leaseCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.keys.expireLeases(now)
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

// newLimiter returns a limiter that allows bursts of a tenth of a second's calls. Zero sets no limit.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}
