package fleet

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"egretlane.example/egret"
	"egretlane.example/egret/claim"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/group"
	"egretlane.example/egret/link"
	"egretlane.example/egret/trail"
	"egretlane.example/egret/watch"
)

const (
	// keysPrefix is where the fleet's keys lie. Nodes and holders share it, so that one watch serves
	// both.
	keysPrefix = "egretlane/"

	// nodesPrefix is where proxies register themselves.
	nodesPrefix = keysPrefix + "nodes/"
)

// Node is a proxy as it registers itself.
type Node struct {
	// ID names the node. Incarnation is unique for each run of its process.
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`

	// Address is where the proxy serves its peers.
	Address netip.AddrPort `json:"address"`

	// Domain and Region are the node's failure domain and its region.
	Domain string `json:"domain"`
	Region string `json:"region"`
}

// Fleet knows the proxies and the holders of services. Its exported fields are set before Run.
type Fleet struct {
	// Keys is the store.
	Keys egret.Keyspace

	// Self is this process.
	Self Node

	// Pool holds the connections to other proxies.
	Pool *link.Pool

	// Hold starts the lane of a service that this process now holds.
	Hold func(c *claim.Claim) *group.Lane

	// Bootstrap says that the whole fleet starts for the first time.
	Bootstrap bool

	// Home returns the failure domain and the region of a service's primary, or "".
	Home func(service string) (domain, region string)

	// Trail writes decisions. It may be nil.
	Trail *trail.Trail

	// run ends with Run.
	run context.Context

	// watch follows the fleet's keys.
	watch *watch.Watch

	// storeLost is since when the store gives no answer, as a clock.Time, or zero.
	storeLost atomic.Int64

	// mu guards all below. It comes after the mu of claims.
	mu sync.Mutex

	nodes  map[string]Node
	claims map[string]*claim.Claim
	lanes  map[string]*group.Lane

	// records are newest items of holders whose services aren't configured yet.
	records map[string]egret.Item
	listed  bool

	// via are proxies that reach a holder which this process doesn't.
	via map[netip.AddrPort]detour

	// asking are the addresses about which other proxies are being asked.
	asking map[netip.AddrPort]bool

	// givenUp are the revisions of holdings that their holders have ended.
	givenUp map[uint64]bool

	// counts is how many services each process held at countedAt.
	counts    map[string]int
	countedAt clock.Time

	// movedAt is when a process was asked last whether it has given up a service.
	movedAt map[netip.AddrPort]clock.Time

	// leaving says that the process shuts down; left is closed then.
	leaving bool
	left    chan struct{}
}

// detour is a proxy that hears another one.
type detour struct {
	by   netip.AddrPort
	at   clock.Time
	same bool
}

// Init prepares the fleet. It is called once, before any other method.
func (f *Fleet) Init() {
	f.left = make(chan struct{})
	f.nodes = map[string]Node{}
	f.claims = map[string]*claim.Claim{}
	f.lanes = map[string]*group.Lane{}
	f.records = map[string]egret.Item{}
	f.via = map[netip.AddrPort]detour{}
	f.asking = map[netip.AddrPort]bool{}
	f.givenUp = map[uint64]bool{}
	f.movedAt = map[netip.AddrPort]clock.Time{}
}

// Run registers the process and follows the fleet until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	f.mu.Lock()
	f.run = ctx
	for _, c := range f.claims {
		f.start(c)
	}
	f.watch = &watch.Watch{
		Keys:   f.Keys,
		Prefix: keysPrefix,
		Reset:  f.reset,
		Change: f.change,
		Relay:  f.Relay,
		Direct: f.Direct,
		Lost: func() {
			f.storeLost.Store(int64(clock.Now()))
		},
		Regained: func() {
			f.storeLost.Store(0)
		},
		Trail: f.Trail,
	}
	f.mu.Unlock()
	g.Go(func() error { return f.watch.Run(ctx) })
	g.Go(func() error { return f.register(ctx) })
	g.Go(func() error { return f.listen(ctx) })
	return g.Wait()
}

// Configure takes the names of the services that there are.
func (f *Fleet) Configure(services []string) {
	wanted := map[string]bool{}
	for _, name := range services {
		wanted[name] = true
	}
	f.mu.Lock()
	for name := range wanted {
		if f.claims[name] == nil {
			f.add(name)
		}
	}
	dropped := []*claim.Claim{}
	for name, c := range f.claims {
		if !wanted[name] {
			dropped = append(dropped, c)
		}
	}
	f.mu.Unlock()
	for _, c := range dropped {
		c.Leave()
	}
}

// add starts the claim of a service. The caller holds mu.
func (f *Fleet) add(service string) {
	c := &claim.Claim{
		Service: service,
		Keys:    f.Keys,
		Self: claim.Self{
			Node:        f.Self.ID,
			Incarnation: f.Self.Incarnation,
			Address:     f.Self.Address,
		},
		Peers: f,
		Fresh: f.Bootstrap,
		Held:  f.held,
		Trail: f.Trail,
	}
	c.Init()
	if f.leaving {
		c.Leave()
	}
	if f.listed {
		c.Observe(f.records[service])
	}
	f.claims[service] = c
	if f.run != nil {
		f.start(c)
	}
}

// start runs a claim until the fleet ends. The caller holds mu.
func (f *Fleet) start(c *claim.Claim) {
	// A claim ends with the context and returns no error.
	go func(ctx context.Context) { _ = c.Run(ctx) }(f.run)
}

// held starts the lane of a service.
func (f *Fleet) held(c *claim.Claim) func() {
	l := f.Hold(c)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lanes[c.Service] = l
	return func() {
		f.mu.Lock()
		if f.lanes[c.Service] == l {
			delete(f.lanes, c.Service)
		}
		f.mu.Unlock()
		l.Close()
	}
}

// Lanes returns the lanes of the services that this process holds.
func (f *Fleet) Lanes() []*group.Lane {
	f.mu.Lock()
	defer f.mu.Unlock()
	lanes := []*group.Lane{}
	for _, l := range f.lanes {
		lanes = append(lanes, l)
	}
	return lanes
}

// Claim returns the claim of a service, or nil.
func (f *Fleet) Claim(service string) *claim.Claim {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.claims[service]
}

// reset takes all keys of the fleet.
func (f *Fleet) reset(items []egret.Item) {
	f.mu.Lock()
	clear(f.nodes)
	clear(f.records)
	f.listed = true
	f.mu.Unlock()
	for _, item := range items {
		f.change(item)
	}
	for _, c := range f.allClaims() {
		f.mu.Lock()
		item, found := f.records[c.Service]
		f.mu.Unlock()
		if !found {
			// The list shows no record.
			c.Observe(item)
		}
	}
}

// change takes one key of the fleet.
func (f *Fleet) change(item egret.Item) {
	if id, found := strings.CutPrefix(item.Key, nodesPrefix); found {
		f.changeNode(id, item)
		return
	}
	service, found := strings.CutPrefix(item.Key, claim.Prefix)
	if !found {
		return
	}
	f.mu.Lock()
	f.records[service] = item
	c := f.claims[service]
	f.mu.Unlock()
	defer f.recount()
	if c != nil {
		c.Observe(item)
	}
}

// changeNode takes a registration.
func (f *Fleet) changeNode(id string, item egret.Item) {
	n := Node{}
	if !item.Removed {
		if err := json.Unmarshal(item.Data, &n); err != nil || n.ID != id {
			f.Trail.Event("node-unreadable").Str("node", id).Err(err).Msg("the proxy's registration can't be read")
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nodes[id] == n {
		return
	}
	if item.Removed {
		delete(f.nodes, id)
	} else {
		f.nodes[id] = n
	}
	f.Trail.Event("node-seen").Str("node", id).Str("incarnation", n.Incarnation).Bool("removed", item.Removed).Int("nodes", len(f.nodes)).Msg("a proxy's registration changed")
}

// Leave keeps this process from taking services, and takes back its registration, so that nobody names
// it as a successor.
func (f *Fleet) Leave() {
	f.mu.Lock()
	if !f.leaving {
		close(f.left)
	}
	f.leaving = true
	f.mu.Unlock()
	for _, c := range f.allClaims() {
		c.Leave()
	}
}

// allClaims returns the claims of all services.
func (f *Fleet) allClaims() []*claim.Claim {
	f.mu.Lock()
	defer f.mu.Unlock()
	claims := make([]*claim.Claim, 0, len(f.claims))
	for _, c := range f.claims {
		claims = append(claims, c)
	}
	return claims
}

// Node returns the process's name.
func (f *Fleet) Node() string {
	return f.Self.ID
}

// Incarnation is unique for each run of the process.
func (f *Fleet) Incarnation() string {
	return f.Self.Incarnation
}

// Leaving reports whether the process shuts down.
func (f *Fleet) Leaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

// Grant gives the holder of a service a promise, or reports false.
func (f *Fleet) Grant(service string, q claim.Promise) bool {
	c := f.Claim(service)
	return c != nil && c.Grant(q)
}

// Bar bars promises to the holders of a service before the revision.
func (f *Fleet) Bar(service string, revision uint64) (time.Duration, claim.Intent) {
	c := f.Claim(service)
	if c == nil {
		// A process without the service's configuration has given no promise since it started.
		return claim.PromiseTime, claim.Intent{}
	}
	return c.Bar(revision)
}
