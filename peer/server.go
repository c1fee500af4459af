package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/peerpb"
	"egretlane.example/egret/peer/roster"
)

// server answers the other proxies.
type server struct {
	peerpb.UnimplementedPeerServer
	mesh *Mesh
}

// Exchange takes the request in before it answers, so that the answer has a refutation of what the
// request claims about this proxy.
func (s *server) Exchange(_ context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	m := s.mesh
	from, ok := nodeFromWire(r.GetFrom())
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "the request names no proxy")
	}
	m.learn(r.GetFrom(), r.GetNews())
	if r.GetDigest().GetRevision() > m.revisionNow() {
		// The pull outlives the request.
		go m.pullTables(context.Background(), from.Address)
	}
	if len(r.GetDigest().GetNodes()) == roster.Buckets {
		// The pull outlives the request, too.
		go m.compare(context.Background(), from.Address, r.GetDigest(), true)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return &peerpb.ExchangeReply{
		From:   nodeToWire(m.table.Self()),
		Digest: m.answer(r.GetDigest(), time.Now()),
		News:   m.newsFor(from.ID),
	}, nil
}

// Probe sends a heartbeat to a proxy that this one knows.
func (s *server) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	m := s.mesh
	m.mu.Lock()
	n, known := m.table.Node(r.GetId())
	m.mu.Unlock()
	if !known {
		return nil, status.Error(codes.NotFound, "the proxy is not known here")
	}
	return &peerpb.ProbeReply{
		Reached: m.again(ctx, n),
	}, nil
}

// Pull returns the content of buckets, and the tables if they are asked for and newer.
func (s *server) Pull(_ context.Context, r *peerpb.PullRequest) (*peerpb.PullReply, error) {
	m := s.mesh
	reply := &peerpb.PullReply{
		Revision: m.revisionNow(),
	}
	if r.GetTables() && m.TablesBytes != nil {
		revision, data := m.TablesBytes()
		reply.Revision = revision
		if revision > r.GetTablesAbove() {
			reply.Tables = data
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	reply.News = newsToWire(m.table.Entries(r.GetNodeBuckets(), r.GetFactBuckets()))
	return reply, nil
}

// Witness asks a member for its state.
func (s *server) Witness(ctx context.Context, r *peerpb.WitnessRequest) (*peerpb.WitnessReply, error) {
	if s.mesh.OnWitness == nil {
		return nil, status.Error(codes.Unimplemented, "this proxy is no witness")
	}
	state, err := s.mesh.OnWitness(ctx, r.GetGroup(), r.GetMember())
	if err != nil {
		return &peerpb.WitnessReply{}, nil
	}
	return &peerpb.WitnessReply{
		Reached: true,
		Granted: state.Granted,
		Role:    string(state.Role),

		ReceivedTerm:   state.Received.Term,
		ReceivedOffset: state.Received.Offset,
	}, nil
}

// Cancel hands a cancel request to the sessions of this proxy.
func (s *server) Cancel(_ context.Context, r *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	found := s.mesh.OnCancel != nil && s.mesh.OnCancel(r.GetProcess(), r.GetSecret())
	return &peerpb.CancelReply{
		Found: found,
	}, nil
}

// Status returns what operators see of this proxy.
func (s *server) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	m := s.mesh
	reply := &peerpb.StatusReply{
		Revision: m.revisionNow(),
		Ready:    m.Ready(),
	}
	if m.Sessions != nil {
		reply.Sessions = uint32(m.Sessions())
	}
	if m.Lanes != nil {
		reply.Lanes = m.Lanes()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	reply.Self = nodeToWire(m.table.Self())
	news := newsToWire(m.table.Entries(roster.AllBuckets(), roster.AllBuckets()))
	reply.Nodes = news.GetNodes()
	reply.Facts = news.GetFacts()
	return reply, nil
}

// Nodes returns all proxies that this one knows, the dead included.
func (m *Mesh) Nodes() []egret.Node {
	m.open()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Nodes(func(egret.Node) bool {
		return true
	})
}
