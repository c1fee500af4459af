package peer

import (
	"context"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/peerpb"
	"egretlane.example/egret/peer/roster"
)

// Rate limit of new connections to unresponsive partners: the burst, and the rate per second.
const (
	reconnectBurst = 8
	reconnectRate  = 4
)

// indirectProbes is the number of other proxies that are asked to probe an unresponsive one.
const indirectProbes = 3

// confirmFailure tries an unresponsive proxy again over a new connection, since the failure may be that of the
// old connection only, and at the same time probes it through other proxies. If no attempt succeeds, the proxy
// becomes suspect, or dead if it was leaving.
func (m *Mesh) confirmFailure(ctx context.Context, n egret.Node) {
	if m.mayReconnect() {
		m.pool.Replace(n.Address)
	}
	calls := []func() bool{
		func() bool {
			return m.tryExchange(ctx, n)
		},
	}
	for _, h := range m.probeHelpers(n) {
		calls = append(calls, func() bool {
			return m.indirectProbe(ctx, h, n)
		})
	}
	if anyTrue(calls) || ctx.Err() != nil {
		return
	}
	refused := m.pool.Refused(n.Address)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.table.Suspect(n, refused, time.Now()) {
		return
	}
	if now, _ := m.table.Node(n.ID); now.State == egret.NodeDead {
		m.Log.Info().Str("node", n.ID).Msg("leaving proxy has ended")
	} else {
		m.metrics.suspicions.Inc()
		m.Log.Warn().Str("node", n.ID).Bool("refused", refused).Msg("proxy does not answer; suspecting it")
	}
	m.applyChange(roster.Change{
		Changed: true,
		Urgent:  true,
	})
}

// mayReconnect reports whether a connection may be replaced now. The rate is limited because calls also time out
// when this proxy itself is overloaded, and new connections to all partners would add to its load.
func (m *Mesh) mayReconnect() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reconnectBudget.take(1, time.Now())
}

// tryExchange makes one exchange with a proxy and reports whether it answered.
func (m *Mesh) tryExchange(ctx context.Context, n egret.Node) bool {
	reply, err := m.call(ctx, n)
	if err != nil {
		return false
	}
	m.handleReply(ctx, reply)
	return true
}

// probeHelpers selects alive proxies for indirect probes of an unresponsive one. Proxies outside of its failure
// domain and of this proxy's are preferred.
func (m *Mesh) probeHelpers(n egret.Node) []egret.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := m.table.Nodes(func(o egret.Node) bool {
		return o.State == egret.NodeAlive && o.ID != n.ID && o.ID != m.Node.ID
	})
	m.random.Shuffle(len(others), func(i, j int) {
		others[i], others[j] = others[j], others[i]
	})
	preferred := []egret.Node{}
	rest := []egret.Node{}
	for _, o := range others {
		if o.Domain != n.Domain && o.Domain != m.Node.Domain {
			preferred = append(preferred, o)
		} else {
			rest = append(rest, o)
		}
	}
	preferred = append(preferred, rest...)
	return preferred[:min(indirectProbes, len(preferred))]
}

// indirectProbe asks a helper to probe a proxy, and reports whether the helper reached it.
func (m *Mesh) indirectProbe(ctx context.Context, helper egret.Node, n egret.Node) bool {
	cc, err := m.pool.Conn(helper.Address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 2*m.Timing.ExchangeTimeout)
	defer cancel()
	reply, err := peerpb.NewPeerClient(cc).Probe(ctx, &peerpb.ProbeRequest{
		Id:      n.ID,
		Address: n.Address.String(),
	})
	return err == nil && reply.GetReached()
}
