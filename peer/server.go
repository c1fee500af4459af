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

// server implements the peer service.
type server struct {
	peerpb.UnimplementedPeerServer
	mesh *Mesh
}

// Exchange merges the request before it builds the reply, so that the reply refutes an update in the request
// that marks this proxy as suspect or dead.
func (s *server) Exchange(_ context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	m := s.mesh
	from, ok := nodeFromWire(r.GetFrom())
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "the request names no proxy")
	}
	m.mergeUpdates(r.GetFrom(), r.GetNews())
	if r.GetDigest().GetRevision() > m.tablesRevision() {
		// The pull outlives the request.
		go m.pullTables(context.Background(), from.Address)
	}
	if len(r.GetDigest().GetNodes()) == roster.Buckets {
		// The pull outlives the request, too.
		go m.pullDifference(context.Background(), from.Address, r.GetDigest(), true)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return &peerpb.ExchangeReply{
		From:   nodeToWire(m.table.Self()),
		Digest: m.replyDigest(r.GetDigest(), time.Now()),
		News:   m.updatesFor(from.ID),
	}, nil
}

// Probe makes an exchange with a known proxy on behalf of another one, and returns whether it answered.
func (s *server) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	m := s.mesh
	m.mu.Lock()
	n, known := m.table.Node(r.GetId())
	m.mu.Unlock()
	if !known {
		return nil, status.Error(codes.NotFound, "the proxy is not known here")
	}
	return &peerpb.ProbeReply{
		Reached: m.tryExchange(ctx, n),
	}, nil
}

// Pull returns the content of buckets, and the tables if they are requested and newer.
func (s *server) Pull(_ context.Context, r *peerpb.PullRequest) (*peerpb.PullReply, error) {
	m := s.mesh
	reply := &peerpb.PullReply{
		Revision: m.tablesRevision(),
	}
	if r.GetTables() && m.EncodedTables != nil {
		revision, data := m.EncodedTables()
		reply.Revision = revision
		if revision > r.GetTablesAbove() {
			reply.Tables = data
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	reply.News = updatesToWire(m.table.Entries(r.GetNodeBuckets(), r.GetFactBuckets()))
	return reply, nil
}

// Witness asks a member for its state on behalf of another proxy.
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
		Granted: state.GrantedTerm,
		Role:    string(state.Role),

		ReceivedTerm:   state.Received.Term,
		ReceivedOffset: state.Received.Offset,
	}, nil
}

// Cancel passes a cancel request to the sessions of this proxy.
func (s *server) Cancel(_ context.Context, r *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	found := s.mesh.OnCancel != nil && s.mesh.OnCancel(r.GetProcess(), r.GetSecret())
	return &peerpb.CancelReply{
		Found: found,
	}, nil
}

// Status returns the state of this proxy and its table for operators.
func (s *server) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	m := s.mesh
	reply := &peerpb.StatusReply{
		Revision: m.tablesRevision(),
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
	entries := updatesToWire(m.table.Entries(roster.AllBuckets(), roster.AllBuckets()))
	reply.Nodes = entries.GetNodes()
	reply.Facts = entries.GetFacts()
	return reply, nil
}

// Nodes returns all known proxies, including dead ones.
func (m *Mesh) Nodes() []egret.Node {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Nodes(func(egret.Node) bool {
		return true
	})
}
