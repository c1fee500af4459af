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

// Paths of transactions, as labels.
const (
	pathLocal  = "local"
	pathRemote = "remote"
)

// Lanes reaches the lanes of all members. It implements egret.Lanes and egret.Positions.
type Lanes struct {
	// Peers says which proxies live and what the tables are.
	Peers egret.Peers

	// Local are the lanes that this proxy holds.
	Local egret.Lanes

	// Positions looks up positions from this proxy.
	Positions egret.Positions

	// Conn returns a connection to the proxy at an address.
	Conn func(netip.AddrPort) (grpc.ClientConnInterface, error)

	// Metrics counts transactions by path.
	Metrics *Metrics
}

var (
	_ egret.Lanes     = (*Lanes)(nil)
	_ egret.Positions = (*Lanes)(nil)
)

// Metrics counts what goes to lanes.
type Metrics struct {
	// Transactions counts transactions begun, by path.
	Transactions *prometheus.CounterVec

	// Lost counts batches whose stream ended before the answer was whole.
	Lost prometheus.Counter
}

// NewMetrics makes the metrics and registers them.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Transactions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_relay_transactions_total",
			Help: "Transactions begun at lanes of this proxy and of others.",
		}, []string{"path"}),
		Lost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretlane_relay_lost_total",
			Help: "Batches whose stream ended before the answer was whole.",
		}),
	}
	r.MustRegister(m.Transactions, m.Lost)
	return m
}

// Begin implements egret.Lanes. It waits for the connection to the lane's proxy at most; the lane's
// own refusal comes with the first Exchange.
func (l *Lanes) Begin(ctx context.Context, o egret.Opening) (egret.Transaction, error) {
	owner, f := l.owner(o.Member)
	if f != nil {
		return nil, f
	}
	if owner.ID == l.Peers.Self().ID {
		l.Metrics.Transactions.WithLabelValues(pathLocal).Inc()
		return l.Local.Begin(ctx, o)
	}
	l.Metrics.Transactions.WithLabelValues(pathRemote).Inc()
	return l.open(ctx, owner, o)
}

// Load implements egret.Lanes.
func (l *Lanes) Load(ctx context.Context, member string) (egret.Load, error) {
	owner, f := l.owner(member)
	if f != nil {
		return egret.Load{}, f
	}
	if owner.ID == l.Peers.Self().ID {
		return l.Local.Load(ctx, member)
	}
	client, err := l.client(owner)
	if err != nil {
		return egret.Load{}, errors.Trace(err)
	}
	reply, err := client.GetLoad(ctx, &lanepb.GetLoadRequest{
		Member: member,
	})
	if err != nil {
		return egret.Load{}, errors.Annotatef(err, "load of member %s from proxy %s", member, owner.ID)
	}
	return loadFrom(reply, time.Now()), nil
}

// Confirm implements egret.Positions. The proxy with the lane of the group's primary looks up for
// all, so that it can do many at once. If that fails, this proxy looks up itself.
func (l *Lanes) Confirm(ctx context.Context, group string) (egret.Position, error) {
	fact, known := l.Peers.Primary(group)
	if !known {
		return l.Positions.Confirm(ctx, group)
	}
	owner, f := l.owner(fact.Primary)
	if f != nil || owner.ID == l.Peers.Self().ID {
		return l.Positions.Confirm(ctx, group)
	}
	p, err := l.confirmAt(ctx, owner, fact)
	if err != nil && ctx.Err() == nil {
		return l.Positions.Confirm(ctx, group)
	}
	return p, err
}

// confirmAt asks another proxy for half of the time at most.
func (l *Lanes) confirmAt(ctx context.Context, owner egret.Node, f egret.GroupFact) (egret.Position, error) {
	if deadline, bounded := ctx.Deadline(); bounded {
		half, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		ctx = half
	}
	client, err := l.client(owner)
	if err != nil {
		return egret.Position{}, errors.Trace(err)
	}
	reply, err := client.Confirm(ctx, &lanepb.ConfirmRequest{
		Group:  f.Group,
		Member: f.Primary,
	})
	if err != nil {
		return egret.Position{}, errors.Annotatef(err, "position of group %s from proxy %s", f.Group, owner.ID)
	}
	return positionFrom(reply), nil
}

// owner finds the proxy that holds a member's lane.
func (l *Lanes) owner(name string) (egret.Node, *egret.Failure) {
	m := memberOf(l.Peers.TablesNow(), name)
	if m == nil {
		return egret.Node{}, noLane("member %s is not in the tables", name)
	}
	owner, found := place.Lane(l.Peers.Live(), *m)
	if !found {
		return egret.Node{}, noLane("no proxy holds the lane of member %s", name)
	}
	return owner, nil
}

func (l *Lanes) client(n egret.Node) (lanepb.LaneClient, error) {
	conn, err := l.Conn(n.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "proxy %s", n.ID)
	}
	return lanepb.NewLaneClient(conn), nil
}

// memberOf finds a member in the tables, which may be nil.
func memberOf(t *egret.Tables, name string) *egret.Member {
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
