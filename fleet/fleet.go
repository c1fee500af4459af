package fleet

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/evlog"
	"egretlane.example/egret/group"
	"egretlane.example/egret/lease"
	"egretlane.example/egret/link"
	"egretlane.example/egret/rank"
	"egretlane.example/egret/watch"
)

const (
	// keysPrefix is the prefix of the fleet's keys in the store. The registrations of nodes and the
	// records of holders share it, so that one watch covers both.
	keysPrefix = "egretlane/"

	// nodesPrefix is the prefix of the keys under which proxies register themselves.
	nodesPrefix = keysPrefix + "nodes/"
)

// Node is the registration of a proxy in the store.
type Node struct {
	// ID identifies the node. Incarnation is unique for each run of its process.
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`

	// Address is the address at which the proxy serves its peers.
	Address netip.AddrPort `json:"address"`

	// Domain and Region are the node's failure domain and its region.
	Domain string `json:"domain"`
	Region string `json:"region"`

	// Capacity is what the node's VM offers the proxy.
	Capacity rank.Capacity `json:"capacity"`
}

// candidate returns the node as a candidate for holding a service.
func (n *Node) candidate() rank.Candidate {
	return rank.Candidate{
		Node:     n.ID,
		Domain:   n.Domain,
		Region:   n.Region,
		Capacity: n.Capacity,
	}
}

// Fleet tracks the proxies and the holders of services. Its exported fields must be set before Run.
type Fleet struct {
	// Keys is the platform's store.
	Keys egret.Keyspace

	// Self is the registration of this process.
	Self Node

	// Pool holds the connections to other proxies.
	Pool *link.Pool

	// StartLane starts and returns the lane of a service on which this process has acquired a valid lease.
	StartLane func(l *lease.Lease) *group.Lane

	// Bootstrap is set if the whole fleet starts for the first time.
	Bootstrap bool

	// PrimaryLocation returns the failure domain and the region of a service's primary, or empty strings if they
	// are unknown.
	PrimaryLocation func(service string) (domain, region string)

	// EventLog is the log of decisions. It may be nil.
	EventLog *evlog.Log

	// startedAt is when Init was called.
	startedAt clock.Time

	// runCtx is canceled when Run returns.
	runCtx context.Context

	// firstList is closed when all keys were listed for the first time, by endFirstList.
	firstList    chan struct{}
	endFirstList func()

	// storeRestored wakes keepRegistered after a restore of the store, which may have lost the registration of this process.
	storeRestored chan struct{}

	// watch watches the fleet's keys in the store.
	watch *watch.Watcher

	// storeDownSince is the clock.Time since which the store has not answered and no other process has
	// relayed its changes, or zero.
	storeDownSince atomic.Int64

	// nearObserverFailed says that the last observer that was asked is in this process's region and gave no changes.
	nearObserverFailed atomic.Bool

	// claiming serializes MayAcquire. It is locked before mu.
	claiming sync.Mutex

	// mu guards the fields below. Lock order: the mu of a lease.Lease is taken before this one.
	mu sync.Mutex

	nodes map[string]Node

	// ownRevision is the revision of this node's registration, or zero if there is none.
	ownRevision egret.Revision

	// largest has the most cores and the fastest link of all nodes that were registered since the last full list.
	largest rank.Capacity

	// runs has the current run of each process that was registered since this one started.
	runs map[string]processRun

	// leavingRuns has the incarnation of each process that has reported that it is leaving.
	leavingRuns map[string]string

	leases map[string]*lease.Lease
	lanes  map[string]*group.Lane

	// records has the newest item of each holder's record, by service. It includes services that are
	// not configured yet. listedAt is the revision at which all keys were listed last, or zero if they never were.
	records  map[string]egret.Item
	listedAt egret.Revision

	// eraKnownSince is when this process learned of the era of listedAt, or zero.
	eraKnownSince clock.Time

	// indirectRoutes has, by the address of a holder that this process may not reach, a proxy that
	// reaches it.
	indirectRoutes map[netip.AddrPort]indirectRoute

	// indirectProbes has the addresses that other proxies were asked to probe within the last
	// indirectProbeInterval.
	indirectProbes map[netip.AddrPort]bool

	// givenUp has the revisions of the leases that their holders have reported as ended, and when this process learned it.
	givenUp map[egret.Revision]clock.Time

	// claims has the times at which MayAcquire allowed this process to acquire services.
	claims map[string]clock.Time

	// cachedCounts is the number of services that each process held at cachedCountsAt.
	cachedCounts   map[string]int
	cachedCountsAt clock.Time

	// movedPingAt is the time of the last ping that followed a FaultNotHolder, by address.
	movedPingAt map[netip.AddrPort]clock.Time

	// leaving is set when the process starts to shut down, and leaveStarted is closed.
	leaving      bool
	leaveStarted chan struct{}
}

// processRun is a run of another process.
type processRun struct {
	incarnation string

	// startSeenAt is when this process saw the registration of the run, or zero if the run began before this process listed
	// the registrations for the first time.
	startSeenAt clock.Time
}

// indirectRoute is a proxy that has confirmed that it reaches another one.
type indirectRoute struct {
	// via is the address of the confirming proxy.
	via         netip.AddrPort
	confirmedAt clock.Time

	// sameIncarnation is set if the process that answered via is the expected one.
	sameIncarnation bool
}

// Init prepares the fleet. It must be called once, before any other method.
func (f *Fleet) Init() {
	f.startedAt = clock.Now()
	f.leaveStarted = make(chan struct{})
	f.firstList = make(chan struct{})
	f.endFirstList = sync.OnceFunc(func() { close(f.firstList) })
	f.storeRestored = make(chan struct{}, 1)
	f.nodes = map[string]Node{}
	f.runs = map[string]processRun{}
	f.leavingRuns = map[string]string{}
	f.leases = map[string]*lease.Lease{}
	f.lanes = map[string]*group.Lane{}
	f.records = map[string]egret.Item{}
	f.indirectRoutes = map[netip.AddrPort]indirectRoute{}
	f.indirectProbes = map[netip.AddrPort]bool{}
	f.givenUp = map[egret.Revision]clock.Time{}
	f.claims = map[string]clock.Time{}
	f.movedPingAt = map[netip.AddrPort]clock.Time{}
}

// Run registers the process and tracks the fleet until the context is canceled.
func (f *Fleet) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	f.mu.Lock()
	f.runCtx = ctx
	for _, l := range f.leases {
		f.startLease(l)
	}
	f.watch = &watch.Watcher{
		Keys:            f.Keys,
		Prefix:          keysPrefix,
		Reset:           f.applySnapshot,
		Change:          f.applyItem,
		ChangesFromPeer: f.ChangesFromPeer,
		WatchesStore:    f.WatchesStore,
		OnDisconnected: func() {
			f.storeDownSince.Store(int64(clock.Now()))
		},
		OnReconnected: func() {
			f.storeDownSince.Store(0)
		},
		EventLog: f.EventLog,
	}
	f.mu.Unlock()
	g.Go(func() error { return f.watch.Run(ctx) })
	g.Go(func() error { return f.keepRegistered(ctx) })
	g.Go(func() error { return f.runHolderPings(ctx) })
	return g.Wait()
}

// Configure sets the names of all services. It creates a lease.Lease for each new one, and keeps this process from
// acquiring the leases on those that are no longer configured.
func (f *Fleet) Configure(services []string) {
	wanted := map[string]bool{}
	for _, name := range services {
		wanted[name] = true
	}
	f.mu.Lock()
	for name := range wanted {
		if f.leases[name] == nil {
			f.addLease(name)
		}
	}
	dropped := []*lease.Lease{}
	for name, l := range f.leases {
		if !wanted[name] {
			dropped = append(dropped, l)
		}
	}
	f.mu.Unlock()
	for _, l := range dropped {
		l.DisableAcquisition()
	}
}

// addLease creates the Lease of a service, and starts it if the fleet runs. The caller holds mu.
func (f *Fleet) addLease(service string) {
	l := &lease.Lease{
		Service: service,
		Keys:    f.Keys,
		Self: lease.Identity{
			Node:        f.Self.ID,
			Incarnation: f.Self.Incarnation,
			Address:     f.Self.Address,
		},
		Peers:     f,
		StartedAt: f.startedAt,
		Bootstrap: f.Bootstrap,
		OnValid:   f.addLane,
		EventLog:  f.EventLog,
	}
	l.Init()
	if f.leaving {
		l.DisableAcquisition()
	}
	if f.listedAt != (egret.Revision{}) {
		l.Observe(f.recordItem(service))
	}
	f.leases[service] = l
	if f.runCtx != nil {
		f.startLease(l)
	}
}

// startLease runs a Lease in the background until Run ends. The caller holds mu.
func (f *Fleet) startLease(l *lease.Lease) {
	// Run of a Lease returns only when the context is canceled, and never an error.
	go func(ctx context.Context) { _ = l.Run(ctx) }(f.runCtx)
}

// addLane starts the lane of a service, and returns a function that removes and closes it.
func (f *Fleet) addLane(l *lease.Lease) func() {
	lane := f.StartLane(l)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lanes[l.Service] = lane
	return func() {
		f.mu.Lock()
		if f.lanes[l.Service] == lane {
			delete(f.lanes, l.Service)
		}
		f.mu.Unlock()
		lane.Close()
	}
}

// Lanes returns the lanes of the services that this process holds.
func (f *Fleet) Lanes() []*group.Lane {
	f.mu.Lock()
	defer f.mu.Unlock()
	lanes := []*group.Lane{}
	for _, lane := range f.lanes {
		lanes = append(lanes, lane)
	}
	return lanes
}

// Lane returns the lane of a service that this process holds, or nil.
func (f *Fleet) Lane(service string) *group.Lane {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lanes[service]
}

// AcquiredLeases returns the leases that this process has acquired, valid or not.
func (f *Fleet) AcquiredLeases() []*lease.Lease {
	acquired := []*lease.Lease{}
	for _, l := range f.allLeases() {
		if l.Acquired() {
			acquired = append(acquired, l)
		}
	}
	return acquired
}

// Lease returns this process's Lease of a service, or nil if the service isn't configured.
func (f *Fleet) Lease(service string) *lease.Lease {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leases[service]
}

// HolderAddress returns the address of the process that holds the service, and false if none is known to.
func (f *Fleet) HolderAddress(service string) (netip.AddrPort, bool) {
	l := f.Lease(service)
	if l == nil {
		return netip.AddrPort{}, false
	}
	s, known := l.LatestRecord()
	return s.Record.Address, known && s.Stored.Exists() && !s.Record.Released && s.Record.Address.IsValid()
}

// recordItem returns the newest item of the record of a service, or one without a number if the store has none. The caller
// holds mu.
func (f *Fleet) recordItem(service string) egret.Item {
	if item, found := f.records[service]; found {
		return item
	}
	return egret.Item{
		Revision: egret.Revision{Era: f.listedAt.Era},
	}
}

// applySnapshot replaces what is known of the fleet by a full list of its keys.
func (f *Fleet) applySnapshot(items []egret.Item, at egret.Revision) {
	f.mu.Lock()
	clear(f.nodes)
	clear(f.records)
	f.ownRevision = egret.Revision{}
	f.largest = rank.Capacity{}
	first := f.listedAt == (egret.Revision{})
	restored := !first && f.listedAt.Era < at.Era
	if first || restored {
		f.eraKnownSince = clock.Now()
	}
	f.listedAt = at
	f.mu.Unlock()
	for _, item := range items {
		f.applyItem(item)
	}
	f.endFirstList()
	for _, l := range f.allLeases() {
		f.mu.Lock()
		item := f.recordItem(l.Service)
		f.mu.Unlock()
		if !item.Revision.Exists() {
			l.Observe(item)
		}
	}
	if !restored {
		return
	}
	select {
	case f.storeRestored <- struct{}{}:
	default:
	}
}

// applyItem applies the change of one key of the fleet.
func (f *Fleet) applyItem(item egret.Item) {
	if id, found := strings.CutPrefix(item.Key, nodesPrefix); found {
		f.applyNode(id, item)
		return
	}
	service, found := strings.CutPrefix(item.Key, lease.Prefix)
	if !found {
		return
	}
	f.mu.Lock()
	f.records[service] = item
	l := f.leases[service]
	f.mu.Unlock()
	defer f.invalidateCounts()
	if l != nil {
		l.Observe(item)
	}
}

// applyNode applies a change to the registration of a node.
func (f *Fleet) applyNode(id string, item egret.Item) {
	n := Node{}
	if !item.Removed {
		if err := json.Unmarshal(item.Data, &n); err != nil || n.ID != id {
			f.EventLog.Event("node-unreadable").Str("node", id).Err(err).Msg("can't decode the registration of a proxy")
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if id == f.Self.ID {
		f.ownRevision = item.Revision
		if item.Removed {
			f.ownRevision = egret.Revision{}
		}
	}
	if f.nodes[id] == n {
		return
	}
	if item.Removed {
		delete(f.nodes, id)
	} else {
		f.nodes[id] = n
		f.largest = f.largest.Max(n.Capacity)
		f.recordRun(n)
	}
	f.EventLog.Event("node-seen").Str("node", id).Str("incarnation", n.Incarnation).Bool("removed", item.Removed).Int("nodes", len(f.nodes)).Msg("the registration of a proxy changed")
}

// recordRun records the run of the process that has registered. The caller holds mu.
func (f *Fleet) recordRun(n Node) {
	if f.runs[n.ID].incarnation == n.Incarnation {
		return
	}
	run := processRun{
		incarnation: n.Incarnation,
	}
	select {
	case <-f.firstList:
		run.startSeenAt = clock.Now()
	default:
	}
	f.runs[n.ID] = run
}

// Leave keeps this process from acquiring leases, and withdraws its registration, so that no holder names
// it as its successor.
func (f *Fleet) Leave() {
	f.mu.Lock()
	if !f.leaving {
		close(f.leaveStarted)
	}
	f.leaving = true
	f.mu.Unlock()
	for _, l := range f.allLeases() {
		l.DisableAcquisition()
	}
}

// EraKnownSince returns when this process learned of the current era of the store, or zero if it has read nothing.
func (f *Fleet) EraKnownSince() clock.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.eraKnownSince
}

// allLeases returns the Leases of all services.
func (f *Fleet) allLeases() []*lease.Lease {
	f.mu.Lock()
	defer f.mu.Unlock()
	leases := make([]*lease.Lease, 0, len(f.leases))
	for _, l := range f.leases {
		leases = append(leases, l)
	}
	return leases
}

// NodeID returns the ID of this process's node.
func (f *Fleet) NodeID() string {
	return f.Self.ID
}

// Incarnation returns an identifier that is unique for each run of the process.
func (f *Fleet) Incarnation() string {
	return f.Self.Incarnation
}

// Leaving reports whether the process is shutting down.
func (f *Fleet) Leaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

// GrantPromise promises the holder of a service to acknowledge no successor for a time. It reports whether the
// promise was given.
func (f *Fleet) GrantPromise(service string, q lease.Promise) bool {
	l := f.Lease(service)
	return l != nil && l.GrantPromise(q)
}

// Fence refuses further promises to former holders of a service, and returns what this process knows of them.
func (f *Fleet) Fence(service string, q lease.Fence) lease.FenceReply {
	l := f.Lease(service)
	if l == nil {
		// Without the service's configuration, this process has given no promise since it started. A
		// promise that an earlier run gave may still be in force.
		return lease.FenceReply{
			Remaining: lease.PromiseDuration,
		}
	}
	return l.Fence(q)
}
