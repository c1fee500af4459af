package link

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"egretlane.example/egret"
	"egretlane.example/egret/claim"
	"egretlane.example/egret/internal/linkpb"
	"egretlane.example/egret/spans"
)

// Host is the process that a Server answers for.
type Host interface {
	// Incarnation is unique for each run of the process.
	Incarnation() string

	// Node names the process.
	Node() string

	// Leaving reports whether the process shuts down.
	Leaving() bool

	// GivenUp returns the revisions of the holdings that the process had and has ended.
	GivenUp() []uint64

	// Stream returns a stream for statements from another proxy. passOn allows it to pass them on to
	// the holder of the service.
	Stream(passOn bool) egret.Stream

	// Promise gives the holder of a service a promise, or reports false.
	Promise(service string, q claim.Promise) bool

	// Clear bars promises to holders before the revision, and returns how long one is still in force.
	Clear(service string, revision uint64) (time.Duration, claim.Intent)

	// Hear asks the proxy at the address for its incarnation.
	Hear(ctx context.Context, a netip.AddrPort) (string, error)

	// Changes returns what the process has seen in the store after the revision, or reports false.
	Changes(prefix string, after uint64) ([]egret.Item, uint64, bool)
}

// Server answers other proxies.
type Server struct {
	linkpb.UnimplementedLinkServer

	// Host is the process.
	Host Host
}

// NewGRPC returns a gRPC server that answers for the host.
func (s *Server) NewGRPC() *grpc.Server {
	g := grpc.NewServer(
		grpc.InitialWindowSize(window),
		grpc.InitialConnWindowSize(window),
		grpc.MaxRecvMsgSize(maxMessage),
	)
	linkpb.RegisterLinkServer(g, s)
	return g
}

// Run runs the statements of one session.
func (s *Server) Run(g grpc.BidiStreamingServer[linkpb.Work, linkpb.Answer]) error {
	var stream egret.Stream
	defer func() {
		if stream != nil {
			stream.Close()
		}
	}()
	for {
		m, err := g.Recv()
		if err != nil {
			// The sender has ended the session, or was lost.
			return nil
		}
		if stream == nil {
			stream = s.Host.Stream(m.GetPassOn())
		}
		ctx, span := spans.Start(spans.Resume(g.Context(), m.GetTraceparent()), "proxy", m.GetId(), m.GetService())
		a := stream.Do(ctx, workFromWire(m))
		spans.End(span, a.Member, a.Fault.Kind.String())
		if err := g.Send(answerToWire(&a)); err != nil {
			return err
		}
	}
}

// Ping tells which process answers.
func (s *Server) Ping(context.Context, *linkpb.PingRequest) (*linkpb.PingReply, error) {
	return &linkpb.PingReply{
		Node:        s.Host.Node(),
		Incarnation: s.Host.Incarnation(),
		Leaving:     s.Host.Leaving(),
		GivenUp:     s.Host.GivenUp(),
	}, nil
}

// Promise gives the holder of a service a promise.
func (s *Server) Promise(_ context.Context, r *linkpb.PromiseRequest) (*linkpb.PromiseReply, error) {
	return &linkpb.PromiseReply{
		Granted: s.Host.Promise(r.GetService(), claim.Promise{
			Revision: r.GetRevision(),
			Time:     time.Duration(r.GetDurationNs()),
			Intent: claim.Intent{
				Primary: r.GetPrimary(),
				Order:   r.GetOrder(),
			},
		}),
	}, nil
}

// Clear bars promises to former holders.
func (s *Server) Clear(_ context.Context, r *linkpb.ClearRequest) (*linkpb.ClearReply, error) {
	left, intent := s.Host.Clear(r.GetService(), r.GetRevision())
	return &linkpb.ClearReply{
		LeftNs:  int64(left),
		Primary: intent.Primary,
		Order:   intent.Order,
	}, nil
}

// Hear asks another proxy for its incarnation.
func (s *Server) Hear(ctx context.Context, r *linkpb.HearRequest) (*linkpb.HearReply, error) {
	a, err := netip.ParseAddrPort(r.GetAddress())
	if err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "address %q: %v", r.GetAddress(), err)
	}
	incarnation, err := s.Host.Hear(ctx, a)
	return &linkpb.HearReply{
		Heard:       err == nil,
		Incarnation: incarnation,
	}, nil
}

// Changes returns what the process has seen in the store.
func (s *Server) Changes(_ context.Context, r *linkpb.ChangesRequest) (*linkpb.ChangesReply, error) {
	items, at, fresh := s.Host.Changes(r.GetPrefix(), r.GetAfter())
	reply := &linkpb.ChangesReply{
		Fresh: fresh,
		At:    at,
	}
	for _, item := range items {
		reply.Items = append(reply.Items, &linkpb.Item{
			Key:      item.Key,
			Revision: item.Revision,
			Data:     item.Data,
			Removed:  item.Removed,
		})
	}
	return reply, nil
}
