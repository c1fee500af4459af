package relay

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/lanepb"
	"egretlane.example/egret/place"
)

// Values of the label path: whether the lane is held by this proxy.
const (
	pathLocal  = "local"
	pathRemote = "remote"
)

// Lanes gives access to the lanes of all members. It implements egret.Lanes and egret.Positions.
type Lanes struct {
	// Peers provides the live proxies, the tables and the primary of each group.
	Peers egret.Peers

	// Local gives access to the lanes that this proxy holds.
	Local egret.Lanes

	// Positions looks up positions without another proxy's help.
	Positions egret.Positions

	// Conn returns a gRPC connection to the proxy at an address.
	Conn func(netip.AddrPort) (grpc.ClientConnInterface, error)

	// Metrics counts transactions and lost batches.
	Metrics *Metrics
}

var (
	_ egret.Lanes     = (*Lanes)(nil)
	_ egret.Positions = (*Lanes)(nil)
)

// Metrics counts transactions that begin on lanes, and failures of streams.
type Metrics struct {
	// Transactions counts transactions that were begun, by path.
	Transactions *prometheus.CounterVec

	// LostBatches counts batches whose stream ended before the answer was complete.
	LostBatches prometheus.Counter
}

// NewMetrics returns the metrics of the package, registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Transactions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_relay_transactions_total",
			Help: "Transactions begun at lanes of this proxy and of others.",
		}, []string{"path"}),
		LostBatches: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretlane_relay_lost_total",
			Help: "Batches whose stream ended before the answer was whole.",
		}),
	}
	r.MustRegister(m.Transactions, m.LostBatches)
	return m
}

// Begin implements egret.Lanes. For a lane of another proxy it waits only for the connection to that proxy; if the
// lane refuses the transaction, the first Exchange returns the failure.
func (l *Lanes) Begin(ctx context.Context, o egret.TransactionOptions) (egret.Transaction, error) {
	holder, f := l.laneHolder(o.Member)
	if f != nil {
		return nil, f
	}
	if holder.ID == l.Peers.Self().ID {
		l.Metrics.Transactions.WithLabelValues(pathLocal).Inc()
		return l.Local.Begin(ctx, o)
	}
	l.Metrics.Transactions.WithLabelValues(pathRemote).Inc()
	return l.openStream(ctx, holder, o)
}

// Load implements egret.Lanes.
func (l *Lanes) Load(ctx context.Context, member string) (egret.Load, error) {
	holder, f := l.laneHolder(member)
	if f != nil {
		return egret.Load{}, f
	}
	if holder.ID == l.Peers.Self().ID {
		return l.Local.Load(ctx, member)
	}
	client, err := l.client(holder)
	if err != nil {
		return egret.Load{}, errors.Trace(err)
	}
	reply, err := client.GetLoad(ctx, &lanepb.GetLoadRequest{
		Member: member,
	})
	if err != nil {
		return egret.Load{}, errors.Annotatef(err, "load of member %s from proxy %s", member, holder.ID)
	}
	return loadFromProto(reply, time.Now()), nil
}

// ConfirmedPosition implements egret.Positions. It asks the proxy that holds the lane of the group's primary, so that
// one proxy can combine the lookups of all. If that fails, this proxy looks up the position itself.
func (l *Lanes) ConfirmedPosition(ctx context.Context, group string) (egret.Position, error) {
	current, known := l.Peers.Primary(group)
	if !known {
		return l.Positions.ConfirmedPosition(ctx, group)
	}
	holder, f := l.laneHolder(current.Primary)
	if f != nil || holder.ID == l.Peers.Self().ID {
		return l.Positions.ConfirmedPosition(ctx, group)
	}
	p, err := l.confirmFromPeer(ctx, holder, current)
	if err != nil && ctx.Err() == nil {
		return l.Positions.ConfirmedPosition(ctx, group)
	}
	return p, err
}

// confirmFromPeer requests a group's position from another proxy. It uses at most half of the time until ctx's
// deadline, so that the rest is left for a lookup from this proxy.
func (l *Lanes) confirmFromPeer(ctx context.Context, holder egret.Node, f egret.GroupPrimary) (egret.Position, error) {
	if deadline, bounded := ctx.Deadline(); bounded {
		half, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		ctx = half
	}
	client, err := l.client(holder)
	if err != nil {
		return egret.Position{}, errors.Trace(err)
	}
	reply, err := client.Confirm(ctx, &lanepb.ConfirmRequest{
		Group:  f.Group,
		Member: f.Primary,
	})
	if err != nil {
		return egret.Position{}, errors.Annotatef(err, "position of group %s from proxy %s", f.Group, holder.ID)
	}
	return positionFromProto(reply), nil
}

// laneHolder returns the proxy that holds a member's lane.
func (l *Lanes) laneHolder(name string) (egret.Node, *egret.Failure) {
	m := findMember(l.Peers.TablesInForce(), name)
	if m == nil {
		return egret.Node{}, noLaneFailure("member %s is not in the tables", name)
	}
	holder, found := place.LaneHolder(l.Peers.Live(), *m)
	if !found {
		return egret.Node{}, noLaneFailure("no proxy holds the lane of member %s", name)
	}
	return holder, nil
}

// client returns a client of the lanes that another proxy holds.
func (l *Lanes) client(n egret.Node) (lanepb.LaneClient, error) {
	conn, err := l.Conn(n.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "proxy %s", n.ID)
	}
	return lanepb.NewLaneClient(conn), nil
}

// findMember returns a member of the tables, or nil if there is none. The tables may be nil.
func findMember(t *egret.Tables, name string) *egret.Member {
	if t == nil {
		return nil
	}
	for _, p := range t.Pools {
		for i := range p.Groups {
			if m := p.Groups[i].Member(name); m != nil {
				return m
			}
		}
	}
	return nil
}
