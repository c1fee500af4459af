// Package peer implements the gossip protocol between proxies. It spreads the membership of the fleet, the
// primary of each group and the revision of the tables.
//
// Each proxy keeps a table of all proxies and exchanges updates with a few partners over persistent connections.
// An exchange also serves as the heartbeat. New updates are piggybacked on the next exchanges; urgent ones are
// sent to all partners at once. Digests detect lost updates, and only the buckets that differ are pulled. All
// proxies have the same role, and none persists any state.
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

// Mesh is this proxy's view of the other proxies and its side of the protocol. It implements egret.Peers.
type Mesh struct {
	// Node is this proxy: ID, address, region and failure domain. Its incarnation starts at the
	// wall clock in milliseconds, so that a later run with the same ID supersedes an earlier one.
	Node egret.Node

	// Seeds are addresses of proxies to join through. They need not be reachable.
	Seeds []netip.AddrPort

	// VMs is the platform's VM list, a hint for further addresses to join through. It may be nil.
	VMs egret.VMList

	// AddressMap translates addresses before they are dialled.
	AddressMap egret.AddressMap

	// Credentials secures connections to other proxies. If nil, connections are in plain text.
	Credentials credentials.TransportCredentials

	// Dialer opens connections. If nil, TCP connections are opened.
	Dialer dial.Dialer

	// Tracer creates the spans of calls. If nil, the process's global provider is used.
	Tracer trace.TracerProvider

	// Timing holds the intervals and timeouts. Zero values are replaced by the defaults.
	Timing Timing

	// CurrentTables returns the tables in force, or nil. It is called under the mesh's mutex and must not call
	// the mesh.
	CurrentTables func() *egret.Tables

	// EncodedTables returns the tables in force in the encoding that is sent to other proxies.
	EncodedTables func() (revision uint64, data []byte)

	// OfferTables is called with encoded tables that were pulled from another proxy. An error means that they
	// were refused.
	OfferTables func(revision uint64, data []byte) error

	// OnCancel cancels the request of a session of this proxy. It returns false if no session matches
	// the process number and the secret.
	OnCancel func(process uint32, secret []byte) bool

	// OnWitness asks a member of a group for its state on behalf of another proxy.
	OnWitness func(ctx context.Context, group string, member string) (egret.MemberState, error)

	// OnMemberLeaving is called when another proxy reports that a member is leaving, or is no longer leaving. It
	// may be nil.
	OnMemberLeaving func(member string, leaving bool)

	// Sessions returns the number of callers' sessions for the status report. It may be nil.
	Sessions func() int

	// Lanes returns the state of the lanes for the status report. It may be nil.
	Lanes func() []*peerpb.LaneStatus

	// Registry registers the metrics. It may be nil.
	Registry prometheus.Registerer

	// Log records state changes of proxies, and errors. It may be nil.
	Log *log.Logger

	once              sync.Once
	pool              *dial.Pool
	metrics           *metrics
	joined            atomic.Bool
	live              atomic.Pointer[[]egret.Node]
	regions           atomic.Pointer[map[netip.AddrPort]string]
	liveOutdated      atomic.Bool
	announcedRevision atomic.Uint64
	pullingTables     atomic.Bool
	floodRequests     chan struct{}

	// mu guards the fields below. No RPC is made while it is held.
	mu              sync.Mutex
	table           roster.Table
	partners        roster.Partners
	partnersTime    time.Time
	partnersVersion uint64
	liveVersion     uint64
	nextExchange    map[string]time.Time
	inFlight        map[string]*exchangeState
	vmAddresses     []netip.AddrPort
	repairBudget    tokenBucket
	reconnectBudget tokenBucket
	lastInSync      time.Time
	random          *rand.Rand
	changed         chan struct{}
}

// Timing holds the intervals and timeouts of a mesh.
type Timing struct {
	// GossipInterval is the interval between exchanges in a fleet of up to eight proxies. Default 250 ms.
	GossipInterval time.Duration

	// ExchangeTimeout bounds an exchange. Default 500 ms.
	ExchangeTimeout time.Duration

	// SuspicionTimeout is the time to refute a suspicion in a fleet of up to eight proxies. Default 2 s.
	SuspicionTimeout time.Duration

	// DeadRetention is how long dead proxies are kept in the table. Default two hours.
	DeadRetention time.Duration

	// DiscoveryInterval is the interval between attempts to contact an address without a live proxy. Default 2 s.
	DiscoveryInterval time.Duration
}

// init sets the defaults and creates the internal state on the first call of a method.
func (m *Mesh) init() {
	m.once.Do(func() {
		m.Timing.setDefaults()
		if m.Log == nil {
			m.Log = &log.Logger{
				Level: log.PanicLevel,
			}
		}
		now := time.Now()
		m.Node.Incarnation = uint64(now.UnixMilli())
		m.Node.State = egret.NodeAlive
		m.table.SuspicionTimeout = m.Timing.SuspicionTimeout
		m.table.DeadRetention = m.Timing.DeadRetention
		m.table.Start(m.Node, now)
		m.random = rand.New(rand.NewPCG(uint64(place.ShortHash(m.Node.ID)), m.Node.Incarnation))
		m.floodRequests = make(chan struct{}, 1)
		m.changed = make(chan struct{})
		m.nextExchange = map[string]time.Time{}
		m.inFlight = map[string]*exchangeState{}
		m.lastInSync = now
		m.repairBudget = newTokenBucket(repairBurst, repairRate, now)
		m.reconnectBudget = newTokenBucket(reconnectBurst, reconnectRate, now)
		m.metrics = newMetrics(m.Registry)
		m.pool = &dial.Pool{
			AddressMap:  m.AddressMap,
			Credentials: m.Credentials,
			Dialer:      m.Dialer,
			Tracer:      m.Tracer,
			Meter:       m.newMeter(),
		}
		m.refreshLive()
	})
}

func (t *Timing) setDefaults() {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&t.GossipInterval, 250*time.Millisecond)
	set(&t.ExchangeTimeout, 500*time.Millisecond)
	set(&t.SuspicionTimeout, 2*time.Second)
	set(&t.DeadRetention, 2*time.Hour)
	set(&t.DiscoveryInterval, 2*time.Second)
}

// Run takes part in the mesh until the context ends.
func (m *Mesh) Run(ctx context.Context) error {
	m.init()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return m.pool.Run(ctx)
	})
	g.Go(func() error {
		return m.runGossip(ctx)
	})
	g.Go(func() error {
		return m.runDiscovery(ctx)
	})
	g.Go(func() error {
		return m.runVMList(ctx)
	})
	return g.Wait()
}

// Register adds the peer service to a server, which must have been created with ServerOptions.
func (m *Mesh) Register(s grpc.ServiceRegistrar) {
	m.init()
	peerpb.RegisterPeerServer(s, &server{
		mesh: m,
	})
}

// Conn returns a shared connection to another proxy. It dials when a call needs it and never becomes invalid.
// Conn fails only if the address is invalid.
func (m *Mesh) Conn(a netip.AddrPort) (grpc.ClientConnInterface, error) {
	m.init()
	return m.pool.Conn(a)
}

// Reconnect makes the next calls to the address use a new connection. Use it when calls over the current
// connection get no answer.
func (m *Mesh) Reconnect(a netip.AddrPort) {
	m.init()
	m.pool.Replace(a)
}

// Ready reports whether this proxy has joined the others or tables are in force.
func (m *Mesh) Ready() bool {
	return m.joined.Load() || m.TablesInForce() != nil
}

// Self returns this proxy's own node with its current incarnation and state.
func (m *Mesh) Self() egret.Node {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Self()
}

// Live returns the proxies that may hold lanes, ordered by ID. The slice must not be modified.
func (m *Mesh) Live() []egret.Node {
	m.init()
	if m.liveOutdated.Load() {
		m.mu.Lock()
		m.refreshLive()
		m.mu.Unlock()
	}
	return *m.live.Load()
}

// Primary returns the primary of the group with the highest known term.
func (m *Mesh) Primary(group string) (egret.GroupPrimary, bool) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Fact(group)
}

// AnnouncePrimary spreads the primary of a group. It is ignored unless its term is higher than the known one.
func (m *Mesh) AnnouncePrimary(f egret.GroupPrimary) {
	m.init()
	m.mu.Lock()
	c := m.table.MergeFact(f)
	m.applyChange(c)
	m.mu.Unlock()
}

// TablesInForce returns the tables in force, or nil.
func (m *Mesh) TablesInForce() *egret.Tables {
	if m.CurrentTables == nil {
		return nil
	}
	return m.CurrentTables()
}

// Changed returns a channel that is closed at the next change of a node, a primary or the tables.
func (m *Mesh) Changed() <-chan struct{} {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// applyChange counts refutations, requests a flood for an urgent change and wakes up those that wait on Changed.
// The caller holds mu.
func (m *Mesh) applyChange(c roster.Change) {
	if c.Refuted {
		m.metrics.refutations.Inc()
	}
	if c.Urgent {
		m.requestFlood()
	}
	if !c.Changed {
		return
	}
	m.liveOutdated.Store(true)
	close(m.changed)
	m.changed = make(chan struct{})
}

// refreshLive rebuilds the list of live nodes if a node has changed. It runs on demand, since many changes may
// come between two reads. The caller holds mu, or is init.
func (m *Mesh) refreshLive() {
	m.liveOutdated.Store(false)
	if m.liveVersion == m.table.Version() {
		return
	}
	m.liveVersion = m.table.Version()
	live := m.table.Nodes(func(n egret.Node) bool {
		return n.State == egret.NodeAlive || n.State == egret.NodeSuspect
	})
	regions := make(map[netip.AddrPort]string, len(live))
	for _, n := range live {
		regions[n.Address] = n.Region
	}
	m.live.Store(&live)
	m.regions.Store(&regions)
	m.metrics.nodes.Set(float64(len(live)))
}

// requestFlood makes runGossip start a flood, unless a request is already pending.
func (m *Mesh) requestFlood() {
	select {
	case m.floodRequests <- struct{}{}:
	default:
	}
}
