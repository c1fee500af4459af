// Package peer is the proxies among themselves: who is there, which member leads a group, and the
// tables' revision.
//
// Each proxy keeps a roster of all proxies and exchanges it, in small parts, with a few partners
// over connections that stay open. The exchange is the heartbeat, too. What is new goes along with
// the next exchanges; what is urgent goes to the partners at once. Digests find what was missed, and
// only the parts that differ are pulled. No proxy is special, and none keeps anything.
//
//	m := &peer.Mesh{
//		Node:          self,
//		Seeds:         seeds,
//		CurrentTables: tables.Current,
//	}
//	m.Register(server)
//	go m.Run(ctx)
//	primary, ok := m.Primary("catalogo-1")
package peer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/peerpb"
	"egretlane.example/egret/peer/dial"
	"egretlane.example/egret/peer/roster"
	"egretlane.example/egret/place"
)

// Mesh is this proxy's part in the mesh of proxies. It implements egret.Peers.
type Mesh struct {
	// Node is this proxy: ID, address, region and failure domain. Its incarnation starts at the
	// wall clock, so that a later run with the same ID goes before an earlier one.
	Node egret.Node

	// Seeds are addresses of proxies to join by. They need not live.
	Seeds []netip.AddrPort

	// VMs is the platform's list, a hint for addresses to join by. It may be nil.
	VMs egret.VMList

	// Map replaces addresses before they are dialled.
	Map egret.AddressMap

	// Credentials secures connections to other proxies. Nil leaves them in plain text.
	Credentials credentials.TransportCredentials

	// Dialer opens connections. Nil opens TCP connections.
	Dialer dial.Dialer

	// Tracer makes the spans of calls. Nil takes the process's own.
	Tracer trace.TracerProvider

	// Timing holds the intervals and timeouts. Zero values take the defaults.
	Timing Timing

	// CurrentTables returns the tables in force, or nil. It doesn't call the mesh.
	CurrentTables func() *egret.Tables

	// TablesBytes returns the tables in force as they go to other proxies.
	TablesBytes func() (revision uint64, data []byte)

	// OfferTables hands over tables that came from another proxy.
	OfferTables func(revision uint64, data []byte) error

	// OnCancel cancels the request of a session of this proxy. It returns false if the secret
	// fits none.
	OnCancel func(process uint32, secret []byte) bool

	// OnWitness asks a member of a group for its state, for another proxy.
	OnWitness func(ctx context.Context, group string, member string) (egret.MemberState, error)

	// OnNotice takes a note that a member is leaving, or no longer. It may be nil.
	OnNotice func(member string, leaving bool)

	// Sessions returns the number of callers' sessions, for operators. It may be nil.
	Sessions func() int

	// Lanes returns the state of the lanes, for operators. It may be nil.
	Lanes func() []*peerpb.LaneStatus

	// Registry takes the metrics. It may be nil.
	Registry prometheus.Registerer

	// Log takes a line for each change of state. It may be nil.
	Log *log.Logger

	once     sync.Once
	pool     *dial.Pool
	counts   *counts
	answered atomic.Bool
	live     atomic.Pointer[[]egret.Node]
	regions  atomic.Pointer[map[netip.AddrPort]string]
	stale    atomic.Bool
	revision atomic.Uint64
	pulling  atomic.Bool
	urgent   chan struct{}

	// mu guards what follows. No call is made under it.
	mu       sync.Mutex
	table    roster.Table
	partners roster.Partners
	drawn    time.Time
	drawnFor uint64
	built    uint64
	next     map[string]time.Time
	busy     map[string]*asking
	listed   []netip.AddrPort
	repair   allowance
	renewals allowance
	equal    time.Time
	random   *rand.Rand
	news     chan struct{}
}

// Timing holds the intervals and timeouts of a mesh.
type Timing struct {
	// Beat is the interval of exchanges in a fleet of up to eight proxies. Default 250 ms.
	Beat time.Duration

	// Timeout bounds an exchange. Default 500 ms.
	Timeout time.Duration

	// Suspicion is the time to refute a suspicion in a small fleet. Default 2 s.
	Suspicion time.Duration

	// Forget is how long the dead are kept. Default two hours.
	Forget time.Duration

	// Seek is the interval of attempts to find proxies that aren't live. Default 2 s.
	Seek time.Duration
}

// open sets up what all methods need.
func (m *Mesh) open() {
	m.once.Do(func() {
		m.Timing.fill()
		if m.Log == nil {
			m.Log = &log.Logger{
				Level: log.PanicLevel,
			}
		}
		now := time.Now()
		m.Node.Incarnation = uint64(now.UnixMilli())
		m.Node.State = egret.NodeAlive
		m.table.Suspicion = m.Timing.Suspicion
		m.table.Forget = m.Timing.Forget
		m.table.Start(m.Node, now)
		m.random = rand.New(rand.NewPCG(uint64(place.ShortHash(m.Node.ID)), m.Node.Incarnation))
		m.urgent = make(chan struct{}, 1)
		m.news = make(chan struct{})
		m.next = map[string]time.Time{}
		m.busy = map[string]*asking{}
		m.equal = now
		m.repair = newAllowance(allowanceBurst, allowanceRate, now)
		m.renewals = newAllowance(renewalBurst, renewalRate, now)
		m.counts = newCounts(m.Registry)
		m.pool = &dial.Pool{
			Map:         m.Map,
			Credentials: m.Credentials,
			Dialer:      m.Dialer,
			Tracer:      m.Tracer,
			Meter:       m.meter(),
		}
		m.refresh()
	})
}

func (t *Timing) fill() {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&t.Beat, 250*time.Millisecond)
	set(&t.Timeout, 500*time.Millisecond)
	set(&t.Suspicion, 2*time.Second)
	set(&t.Forget, 2*time.Hour)
	set(&t.Seek, 2*time.Second)
}

// Run takes part in the mesh until the context ends.
func (m *Mesh) Run(ctx context.Context) error {
	m.open()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return m.pool.Run(ctx)
	})
	g.Go(func() error {
		return m.runBeats(ctx)
	})
	g.Go(func() error {
		return m.runSeek(ctx)
	})
	g.Go(func() error {
		return m.runList(ctx)
	})
	return g.Wait()
}

// Register adds the mesh's service to a server, which must have the options of ServerOptions.
func (m *Mesh) Register(s grpc.ServiceRegistrar) {
	m.open()
	peerpb.RegisterPeerServer(s, &server{
		mesh: m,
	})
}

// Conn returns a connection to another proxy. It is shared, dials when a call needs it and stays
// valid for good. The error is that of an invalid address.
func (m *Mesh) Conn(a netip.AddrPort) (grpc.ClientConnInterface, error) {
	m.open()
	return m.pool.Conn(a)
}

// Renew makes the next calls to the address use a new connection. It is for callers that found the
// present one silent.
func (m *Mesh) Renew(a netip.AddrPort) {
	m.open()
	m.pool.Renew(a)
}

// Ready reports whether a peer has answered or tables are known.
func (m *Mesh) Ready() bool {
	return m.answered.Load() || m.TablesNow() != nil
}

// Self returns this proxy.
func (m *Mesh) Self() egret.Node {
	m.open()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Self()
}

// Live returns the proxies that may hold lanes, ordered by ID. Callers leave the slice unchanged.
func (m *Mesh) Live() []egret.Node {
	m.open()
	if m.stale.Load() {
		m.mu.Lock()
		m.refresh()
		m.mu.Unlock()
	}
	return *m.live.Load()
}

// Primary returns the newest fact about the group.
func (m *Mesh) Primary(group string) (egret.GroupFact, bool) {
	m.open()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Fact(group)
}

// Announce spreads a fact. An older one changes nothing.
func (m *Mesh) Announce(f egret.GroupFact) {
	m.open()
	m.mu.Lock()
	c := m.table.MergeFact(f)
	m.settle(c)
	m.mu.Unlock()
}

// TablesNow returns the tables in force, or nil.
func (m *Mesh) TablesNow() *egret.Tables {
	if m.CurrentTables == nil {
		return nil
	}
	return m.CurrentTables()
}

// Changed returns a channel that is closed at the next change of a node, a fact or the tables.
func (m *Mesh) Changed() <-chan struct{} {
	m.open()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.news
}

// settle does what follows from a change. The caller holds mu.
func (m *Mesh) settle(c roster.Change) {
	if c.Refuted {
		m.counts.refutations.Inc()
	}
	if c.Urgent {
		m.hurry()
	}
	if !c.Changed {
		return
	}
	m.stale.Store(true)
	close(m.news)
	m.news = make(chan struct{})
}

// refresh publishes the live nodes if they changed. The caller holds mu, or is open. It runs when
// somebody asks, since many changes may come between.
func (m *Mesh) refresh() {
	m.stale.Store(false)
	if m.built == m.table.Version() {
		return
	}
	m.built = m.table.Version()
	live := m.table.Nodes(func(n egret.Node) bool {
		return n.State == egret.NodeAlive || n.State == egret.NodeSuspect
	})
	regions := make(map[netip.AddrPort]string, len(live))
	for _, n := range live {
		regions[n.Address] = n.Region
	}
	m.live.Store(&live)
	m.regions.Store(&regions)
	m.counts.nodes.Set(float64(len(live)))
}

// hurry asks for exchanges with all partners at once.
func (m *Mesh) hurry() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}
