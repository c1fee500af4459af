package link

import (
	"cmp"
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"egretlane.example/egret"
	"egretlane.example/egret/alloc"
	"egretlane.example/egret/internal/linkpb"
	"egretlane.example/egret/lease"
	"egretlane.example/egret/quota"
	"egretlane.example/egret/spans"
	"egretlane.example/egret/watch"
)

const (
	// longBytes is the size from which on a statement from another proxy needs memory of the budget.
	longBytes = 2 << 10

	// workCost is the memory that a statement from another proxy takes in relation to its size: the message, the statement,
	// and its copy for a member.
	workCost = 3

	// answerCost is the memory that an answer to another proxy takes in relation to its size: the rows and the message.
	answerCost = 2
)

// Host is the process whose calls a Server handles.
type Host interface {
	// Incarnation returns an identifier that is unique for each run of the process.
	Incarnation() string

	// NodeID returns the ID of the process's node.
	NodeID() string

	// Leaving reports whether the process is shutting down.
	Leaving() bool

	// GivenUpRevisions returns the revisions of the leases of this process that have ended.
	GivenUpRevisions() []egret.Revision

	// PeerStream returns a stream for statements from another proxy. If mayForward is set, it may forward
	// them to the holder of the service.
	PeerStream(mayForward bool) egret.Stream

	// GrantPromise promises the holder of a service to acknowledge no successor for a time. It reports
	// whether the promise was given.
	GrantPromise(service string, q lease.Promise) bool

	// Fence refuses further promises to holders whose records are older than the revision.
	Fence(service string, q lease.Fence) lease.FenceReply

	// Lend takes tokens from the buckets of the service's quotas and returns how many it took.
	Lend(service string, wanted []quota.Amount) []quota.Amount

	// PingPeer pings the proxy at the address and returns its incarnation.
	PingPeer(ctx context.Context, a netip.AddrPort) (string, error)

	// Changes returns the changes in the store that the process has seen below the prefix after the
	// revision. It reports false if it can't tell them.
	Changes(prefix string, after egret.Revision) (watch.Changes, bool)
}

// Server handles the calls of other proxies.
type Server struct {
	linkpb.UnimplementedLinkServer

	// Host is the process whose calls the server handles.
	Host Host

	// Memory is the memory for long messages, or nil for no limit.
	Memory *alloc.Allocator

	// MaxStreams is the maximum number of concurrent calls on a connection, and MaxMessageBytes the maximum size of a message.
	// Zero means no limit and a default.
	MaxStreams, MaxMessageBytes int

	// OnRefusal is called with the cause of each refused message, if it isn't nil. It must not block.
	OnRefusal func(cause string)

	// inProgress counts the statements that were received and whose answers were not sent yet.
	inProgress atomic.Int64
}

// NewGRPC returns a gRPC server on which s is registered.
func (s *Server) NewGRPC() *grpc.Server {
	options := []grpc.ServerOption{
		grpc.InitialWindowSize(flowWindowBytes),
		grpc.InitialConnWindowSize(flowWindowBytes),
		grpc.MaxRecvMsgSize(cmp.Or(s.MaxMessageBytes, maxMessageBytes)),
	}
	if s.MaxStreams > 0 {
		options = append(options, grpc.MaxConcurrentStreams(uint32(s.MaxStreams)))
	}
	g := grpc.NewServer(options...)
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
			// The sender has closed the stream, or its connection was lost.
			return nil
		}
		if stream == nil {
			stream = s.Host.PeerStream(m.GetPassOn())
		}
		if err := s.answer(g, stream, m); err != nil {
			return err
		}
	}
}

// answer runs a statement and sends its answer.
func (s *Server) answer(g grpc.BidiStreamingServer[linkpb.Work, linkpb.Answer], stream egret.Stream, m *linkpb.Work) error {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	ctx, span := spans.Start(spans.Extract(g.Context(), m.GetTraceparent()), "proxy", m.GetId(), m.GetService())
	a := s.run(ctx, stream, m)
	spans.End(span, a.Member, a.Fault.Kind.String())
	defer s.countAnswer(&a)()
	return g.Send(answerToWire(&a))
}

// run runs a statement. A long one is refused if there is no memory for it; it is in memory already, so it doesn't wait.
func (s *Server) run(ctx context.Context, stream egret.Stream, m *linkpb.Work) egret.Answer {
	if size := workBytes(m); size > longBytes && s.Memory != nil {
		account := s.Memory.NewAccount(func() {})
		account.SetRunning(true)
		if !account.TryTake(int64(size) * workCost) {
			if s.OnRefusal != nil {
				s.OnRefusal("peer-memory")
			}
			return egret.Answer{
				Fault: egret.Fault{
					Kind: egret.FaultBusy,
					Text: "the proxy that holds the service has no memory for a statement of this size at present",
				},
			}
		}
		defer account.Close()
	}
	return stream.Do(ctx, requestFromWire(m))
}

// countAnswer counts a large answer as memory, and returns a function that ends that.
func (s *Server) countAnswer(a *egret.Answer) func() {
	size := 0
	for _, row := range a.Rows {
		size += len(row)
	}
	if size <= longBytes || s.Memory == nil {
		return func() {}
	}
	account := s.Memory.NewAccount(func() {})
	account.SetRunning(true)
	account.Force(int64(size) * answerCost)
	return account.Close
}

// workBytes returns the size of the texts in a statement.
func workBytes(m *linkpb.Work) int {
	size := len(m.GetText()) + len(m.GetShape())
	for _, v := range m.GetValues() {
		size += len(v.GetValue())
	}
	return size
}

// InProgress returns the number of statements that have no answer yet. The transport may still have to write the answers to
// others when it is zero.
func (s *Server) InProgress() int {
	return int(s.inProgress.Load())
}

// Ping returns the identity and the state of the process.
func (s *Server) Ping(context.Context, *linkpb.PingRequest) (*linkpb.PingReply, error) {
	reply := &linkpb.PingReply{
		Node:        s.Host.NodeID(),
		Incarnation: s.Host.Incarnation(),
		Leaving:     s.Host.Leaving(),
	}
	for _, r := range s.Host.GivenUpRevisions() {
		reply.GivenUp = append(reply.GivenUp, r.Number)
		reply.GivenUpEras = append(reply.GivenUpEras, r.Era)
	}
	return reply, nil
}

// Promise asks the host for a promise to the holder of a service.
func (s *Server) Promise(_ context.Context, r *linkpb.PromiseRequest) (*linkpb.PromiseReply, error) {
	return &linkpb.PromiseReply{
		Granted: s.Host.GrantPromise(r.GetService(), lease.Promise{
			Revision: revisionFromWire(r.GetEra(), r.GetRevision()),
			Duration: time.Duration(r.GetDurationNs()),
			Intent: lease.Intent{
				Primary: r.GetPrimary(),
				Order:   r.GetOrder(),
			},
		}),
	}, nil
}

// Clear has the host refuse further promises to former holders of a service.
func (s *Server) Clear(_ context.Context, r *linkpb.ClearRequest) (*linkpb.ClearReply, error) {
	reply := s.Host.Fence(r.GetService(), lease.Fence{
		Revision: revisionFromWire(r.GetEra(), r.GetRevision()),
		Since:    revisionFromWire(r.GetSinceEra(), r.GetSince()),
	})
	return &linkpb.ClearReply{
		LeftNs:  int64(reply.Remaining),
		Primary: reply.Intent.Primary,
		Order:   reply.Intent.Order,

		Complete: reply.Complete,
	}, nil
}

// Lend has the host take tokens from the buckets of a service's quotas for the sender.
func (s *Server) Lend(_ context.Context, r *linkpb.LendRequest) (*linkpb.LendReply, error) {
	return &linkpb.LendReply{
		Lent: amountsToWire(s.Host.Lend(r.GetService(), amountsFromWire(r.GetWanted()))),
	}, nil
}

// Hear has the host ping another proxy, and returns whether that answered and the incarnation that did.
func (s *Server) Hear(ctx context.Context, r *linkpb.HearRequest) (*linkpb.HearReply, error) {
	a, err := netip.ParseAddrPort(r.GetAddress())
	if err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "address %q: %v", r.GetAddress(), err)
	}
	incarnation, err := s.Host.PingPeer(ctx, a)
	return &linkpb.HearReply{
		Heard:       err == nil,
		Incarnation: incarnation,
	}, nil
}

// Changes returns the changes in the store that the host has seen.
func (s *Server) Changes(_ context.Context, r *linkpb.ChangesRequest) (*linkpb.ChangesReply, error) {
	c, fresh := s.Host.Changes(r.GetPrefix(), revisionFromWire(r.GetEra(), r.GetAfter()))
	reply := &linkpb.ChangesReply{
		Fresh: fresh,
		At:    c.At.Number,
		Era:   c.At.Era,
		All:   c.All,
	}
	for _, item := range c.Items {
		reply.Items = append(reply.Items, &linkpb.Item{
			Key:      item.Key,
			Revision: item.Revision.Number,
			Data:     item.Data,
			Removed:  item.Removed,
		})
	}
	return reply, nil
}
