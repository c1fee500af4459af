package peer

import (
	"context"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/peerpb"
	"egretlane.example/egret/peer/roster"
)

// New connections to silent partners that may be made at once, and in a second.
const (
	renewalBurst = 8
	renewalRate  = 4
)

// probes is how many other proxies are asked to reach a silent one.
const probes = 3

// missed asks a silent proxy once more over a new connection, since the old one may have gone
// silent alone, and through others. If nobody reaches it, it is suspect.
func (m *Mesh) missed(ctx context.Context, n egret.Node) {
	if m.mayRenew() {
		m.pool.Renew(n.Address)
	}
	calls := []func() bool{
		func() bool {
			return m.again(ctx, n)
		},
	}
	for _, h := range m.helpers(n) {
		calls = append(calls, func() bool {
			return m.probe(ctx, h, n)
		})
	}
	if together(calls) || ctx.Err() != nil {
		return
	}
	refused := m.pool.Refused(n.Address)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.table.Suspect(n, refused, time.Now()) {
		return
	}
	m.counts.suspicions.Inc()
	m.Log.Warn().Str("node", n.ID).Bool("refused", refused).Msg("proxy is silent")
	m.settle(roster.Change{
		Changed: true,
		Urgent:  true,
	})
}

// mayRenew reports whether a connection may be replaced now. Where this proxy itself is too slow for
// its partners, new connections to all of them would make it slower.
func (m *Mesh) mayRenew() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewals.take(1, time.Now())
}

// again repeats an exchange.
func (m *Mesh) again(ctx context.Context, n egret.Node) bool {
	reply, err := m.call(ctx, n)
	if err != nil {
		return false
	}
	m.absorb(ctx, reply)
	return true
}

// helpers chooses proxies to ask about a silent one. Those of other failure domains than its own
// and this proxy's come first.
func (m *Mesh) helpers(n egret.Node) []egret.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := m.table.Nodes(func(o egret.Node) bool {
		return o.State == egret.NodeAlive && o.ID != n.ID && o.ID != m.Node.ID
	})
	m.random.Shuffle(len(others), func(i, j int) {
		others[i], others[j] = others[j], others[i]
	})
	first := []egret.Node{}
	rest := []egret.Node{}
	for _, o := range others {
		if o.Domain != n.Domain && o.Domain != m.Node.Domain {
			first = append(first, o)
		} else {
			rest = append(rest, o)
		}
	}
	first = append(first, rest...)
	return first[:min(probes, len(first))]
}

// probe asks a helper to reach a proxy.
func (m *Mesh) probe(ctx context.Context, helper egret.Node, n egret.Node) bool {
	cc, err := m.pool.Conn(helper.Address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*m.Timing.Timeout)
	defer cancel()
	reply, err := peerpb.NewPeerClient(cc).Probe(ctx, &peerpb.ProbeRequest{
		Id:      n.ID,
		Address: n.Address.String(),
	})
	return err == nil && reply.GetReached()
}
