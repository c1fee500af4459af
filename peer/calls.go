package peer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/peerpb"
	"egretlane.example/egret/peer/roster"
	"egretlane.example/egret/place"
)

// Leave tells the others that this proxy leaves. They place no lanes on it from then on. It returns
// when the partners have answered or the context has ended.
func (m *Mesh) Leave(ctx context.Context) {
	m.open()
	m.mu.Lock()
	m.table.Leave(time.Now())
	m.settle(roster.Change{
		Changed: true,
		Urgent:  true,
	})
	m.draw(time.Now())
	targets := m.all()
	m.mu.Unlock()
	wg := sync.WaitGroup{}
	for _, n := range targets {
		wg.Go(func() {
			m.again(ctx, n)
		})
	}
	wg.Wait()
}

// CancelAt hands a cancel request to the proxies whose short hash is in the upper half of the
// process number. It returns false if none has the session.
func (m *Mesh) CancelAt(ctx context.Context, process uint32, secret []byte) bool {
	m.open()
	calls := []func() bool{}
	for _, n := range m.Nodes() {
		if n.State == egret.NodeDead || uint32(place.ShortHash(n.ID)) != process>>16 {
			continue
		}
		calls = append(calls, func() bool {
			return m.cancelOn(ctx, n, process, secret)
		})
	}
	return together(calls)
}

func (m *Mesh) cancelOn(ctx context.Context, n egret.Node, process uint32, secret []byte) bool {
	if n.ID == m.Node.ID {
		return m.OnCancel != nil && m.OnCancel(process, secret)
	}
	cc, err := m.pool.Conn(n.Address)
	if err != nil {
		return false
	}
	reply, err := peerpb.NewPeerClient(cc).Cancel(ctx, &peerpb.CancelRequest{
		Process: process,
		Secret:  secret,
	})
	return err == nil && reply.GetFound()
}

// Witness asks another proxy for the state of a member, as it sees it. The state has the member's
// name, role, granted term and the end of its log only. An error that satisfies errors.Is(err, egret.ErrUnseen) says that the
// proxy answered but doesn't reach the member.
func (m *Mesh) Witness(ctx context.Context, n egret.Node, group string, member string) (egret.MemberState, error) {
	m.open()
	cc, err := m.pool.Conn(n.Address)
	if err != nil {
		return egret.MemberState{}, err
	}
	reply, err := peerpb.NewPeerClient(cc).Witness(ctx, &peerpb.WitnessRequest{
		Member: member,
		Group:  group,
	})
	if err != nil {
		return egret.MemberState{}, errors.Annotatef(err, "witness %s", n.ID)
	}
	if !reply.GetReached() {
		return egret.MemberState{}, errors.Annotatef(egret.ErrUnseen, "witness %s", n.ID)
	}
	return egret.MemberState{
		Member:  member,
		Role:    egret.Role(reply.GetRole()),
		Granted: reply.GetGranted(),
		Received: egret.Position{
			Term:   reply.GetReceivedTerm(),
			Offset: reply.GetReceivedOffset(),
		},
		Sampled: time.Now(),
	}, nil
}
