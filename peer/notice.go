package peer

import (
	"context"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/peerpb"
)

// NotifyMemberLeaving notifies another proxy that a member is leaving, or is no longer leaving.
func (m *Mesh) NotifyMemberLeaving(ctx context.Context, n egret.Node, member string, leaving bool) error {
	m.init()
	cc, err := m.pool.Conn(n.Address)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = peerpb.NewPeerClient(cc).Notice(ctx, &peerpb.NoticeRequest{
		Member:  member,
		Leaving: leaving,
	})
	return errors.Annotatef(err, "notice to proxy %s", n.ID)
}

// Notice passes a notice about a leaving member to OnMemberLeaving.
func (s *server) Notice(_ context.Context, r *peerpb.NoticeRequest) (*peerpb.NoticeReply, error) {
	if s.mesh.OnMemberLeaving != nil {
		s.mesh.OnMemberLeaving(r.GetMember(), r.GetLeaving())
	}
	return &peerpb.NoticeReply{}, nil
}
