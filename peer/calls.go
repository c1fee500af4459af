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

// Leave notifies the partners that this proxy is leaving. Proxies that know of it place no lanes on this one. Leave
// returns when the partners have answered or the context has ended.
func (m *Mesh) Leave(ctx context.Context) {
	m.init()
	m.mu.Lock()
	m.table.Leave(time.Now())
	m.applyChange(roster.Change{
		Changed: true,
		Urgent:  true,
	})
	m.updatePartners(time.Now())
	targets := m.allPartners()
	m.mu.Unlock()
	wg := sync.WaitGroup{}
	for _, n := range targets {
		wg.Go(func() {
			m.tryExchange(ctx, n)
		})
	}
	wg.Wait()
}

// ForwardCancel forwards a cancel request to the proxies whose short hash is the upper half of the process number. It
// returns false if none of them has the session.
func (m *Mesh) ForwardCancel(ctx context.Context, process uint32, secret []byte) bool {
	m.init()
	calls := []func() bool{}
	for _, n := range m.Nodes() {
		if n.State == egret.NodeDead || uint32(place.ShortHash(n.ID)) != process>>16 {
			continue
		}
		calls = append(calls, func() bool {
			return m.cancelSessionOn(ctx, n, process, secret)
		})
	}
	return anyTrue(calls)
}

// cancelSessionOn cancels the session's request on one proxy, which may be this one.
func (m *Mesh) cancelSessionOn(ctx context.Context, n egret.Node, process uint32, secret []byte) bool {
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

// Witness asks another proxy for the state of a member as that proxy sees it. Only the member's name, role, granted
// term, the end of its log and the sampling time are set. An error that satisfies
// errors.Is(err, egret.ErrMemberNotReached) means that the proxy answered but can't reach the member.
func (m *Mesh) Witness(ctx context.Context, n egret.Node, group string, member string) (egret.MemberState, error) {
	m.init()
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
		return egret.MemberState{}, errors.Annotatef(egret.ErrMemberNotReached, "witness %s", n.ID)
	}
	return egret.MemberState{
		Member:      member,
		Role:        egret.Role(reply.GetRole()),
		GrantedTerm: reply.GetGranted(),
		Received: egret.Position{
			Term:   reply.GetReceivedTerm(),
			Offset: reply.GetReceivedOffset(),
		},
		SampledAt: time.Now(),
	}, nil
}
