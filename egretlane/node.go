package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"egretlane.example/egret"
	"egretlane.example/egret/alloc"
	"egretlane.example/egret/config"
	"egretlane.example/egret/egretlane/mirror"
	"egretlane.example/egret/evlog"
	"egretlane.example/egret/fleet"
	"egretlane.example/egret/front"
	"egretlane.example/egret/group"
	"egretlane.example/egret/lease"
	"egretlane.example/egret/link"
	"egretlane.example/egret/netopt"
	"egretlane.example/egret/platform"
	"egretlane.example/egret/quota"
	"egretlane.example/egret/rank"
)

const (
	// bindTimeout bounds the attempts to bind an address that a previous process may still use.
	bindTimeout = 3 * time.Second

	// bindRetryInterval is the delay between two attempts to bind.
	bindRetryInterval = 50 * time.Millisecond

	// drainMargin is the part of a member's drain time that is left for its report to arrive, and for statements that were
	// given a slot to be sent.
	drainMargin = 500 * time.Millisecond

	// openingDivisor is the part of the connections of callers that may be without a session, if no setting says so, and
	// minOpening the least number of these.
	openingDivisor = 2
	minOpening     = 256

	// refusalDivisor is the part of the reserved descriptors that callers may use who are refused for lack of sessions.
	refusalDivisor = 4
)

// node is a proxy process of a fleet.
type node struct {
	settings *config.Settings
	eventLog *evlog.Log
	store    *platform.Store
	promoter *platform.Promoter
	dialer   platform.Dialer
	mirror   *mirror.Mirror
	pool     *link.Pool
	fleet    *fleet.Fleet
	front    *front.Server
	links    *link.Server
	metrics  *nodeMetrics
	quotas   *quotas

	// shuttingDown is true while the process shuts down. isolated is true while more than half of the services are out
	// of its reach, so that other processes serve callers better.
	shuttingDown, isolated atomic.Bool

	// checkedAt is the clock.Time of the last check of the isolation, or zero. lastDelay is the last time in which such checks
	// were late, or nil.
	checkedAt atomic.Int64
	lastDelay atomic.Pointer[processorDelay]
}

// newNode returns a node that is ready to run.
func newNode(s *config.Settings, eventLog *evlog.Log) *node {
	n := &node{
		settings: s,
		eventLog: eventLog,
		metrics:  newNodeMetrics(),
		pool:     &link.Pool{},
	}
	n.store = &platform.Store{
		Address: s.Platform.Store,
		OnCall:  n.metrics.observeStoreCall,
	}
	n.store.Init()
	n.promoter = &platform.Promoter{
		Address: s.Platform.Promotion,
	}
	n.promoter.Init()
	n.mirror = &mirror.Mirror{
		Keys:             n.store,
		OnConfiguration:  n.applyConfiguration,
		OnMembersChanged: n.updateMembers,
		EventLog:         eventLog,
	}
	n.mirror.Init()
	n.fleet = &fleet.Fleet{
		Keys: n.store,
		Self: fleet.Node{
			ID:          s.Node,
			Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
			Address:     s.Listen.Peers,
			Domain:      s.Domain,
			Region:      s.Region,
			Capacity: rank.Capacity{
				Cores:    s.Limits.ProcessorShare * s.Limits.ProcessorSpeed,
				LinkMbps: s.Limits.LinkMbps,
			},
		},
		Pool:            n.pool,
		Bootstrap:       s.Bootstrap,
		StartLane:       n.startLane,
		PrimaryLocation: n.primaryLocation,
		EventLog:        eventLog,
	}
	n.fleet.Init()
	n.metrics.registry.MustRegister(&limitGauges{
		lanes: n.fleet.Lanes,
	})
	n.quotas = n.newQuotas()
	n.mirror.Operator.ChangesFromPeer = n.fleet.ChangesFromPeer
	n.mirror.Operator.WatchesStore = n.fleet.WatchesStore
	n.mirror.Members.ChangesFromPeer = n.fleet.ChangesFromHolder
	n.front = &front.Server{
		Tables:      n.mirror.Tables,
		NewStream:   n.fleet.CallerStream,
		Domain:      s.Domain,
		MaxSessions: sessionLimit(&s.Limits),
		Limits:      connectionLimits(&s.Limits),
		OnRefusal:   n.metrics.countRefusal,
		EventLog:    eventLog,
		Metrics:     n.metrics,
	}
	n.limitMessages(&s.Limits)
	return n
}

// newQuotas returns the quotas of workspaces on the services that this process holds.
func (n *node) newQuotas() *quotas {
	return &quotas{
		Self:          n.settings.Listen.Peers,
		Pool:          n.pool,
		HolderAddress: n.fleet.HolderAddress,
		Settings: quota.Settings{
			Window:  time.Duration(n.settings.Quota.Window),
			Overage: n.settings.Quota.Overage,
			Slack:   n.settings.Quota.Slack,
		},
		Metrics:  n.metrics,
		EventLog: n.eventLog,
	}
}

// limitMessages sets the limits of messages from callers and from other proxies.
func (n *node) limitMessages(l *config.Limits) {
	memory := alloc.New(l.MessageMemoryMB<<20, l.MemoryMB<<20/100*memoryLimitPercent)
	limits := platform.CallerLimits{
		Memory:         memory,
		MessageTimeout: time.Duration(l.MessageTimeout),
		AnswerTimeout:  time.Duration(l.AnswerTimeout),
	}
	if memory != nil {
		limits.SocketBufferBytes = l.SocketBufferKB << 10
		memory.OnClose = n.logClosedForMemory
		n.metrics.observeMemory(memory)
	}
	n.dialer.Memory = memory
	n.front.Codec = func(c net.Conn) egret.CallerConn { return limits.NewConn(c) }
	n.links = &link.Server{
		Host:            n,
		Memory:          memory,
		MaxStreams:      l.PeerStreams,
		MaxMessageBytes: l.PeerMessageMB << 20,
		OnRefusal:       n.metrics.countRefusal,
	}
}

// logClosedForMemory counts and logs a caller whose connection is closed as others need its memory.
func (n *node) logClosedForMemory(held int64) {
	n.metrics.countRefusal("closed-for-memory")
	n.eventLog.Event("closed-for-memory").Int64("bytes", held).Msg("a slow caller's connection is closed, as others need its memory")
}

// sessionLimit returns the maximum number of callers' sessions, or zero for no limit. If the descriptors are few, a quarter of
// them is for sessions.
func sessionLimit(l *config.Limits) int {
	return max(l.Descriptors-l.ReservedDescriptors, l.Descriptors/4)
}

// connectionLimits returns the limits of callers' connections.
func connectionLimits(l *config.Limits) front.Limits {
	limits := front.Limits{
		Opening:    l.OpeningConnections,
		PerAddress: l.AddressConnections,
	}
	if sessions := sessionLimit(l); sessions > 0 {
		limits.Connections = sessions + l.ReservedDescriptors/refusalDivisor
		if limits.Opening == 0 {
			limits.Opening = max(minOpening, sessions/openingDivisor)
		}
	}
	return limits
}

// listeners are the listeners of a node.
type listeners struct {
	peers, ready, callers net.Listener

	// metrics is nil if the settings have no address for it.
	metrics net.Listener
}

// run serves until the context ends, and then shuts down gracefully.
func (n *node) run(ctx context.Context) error {
	n.eventLog.Event("process-started").Str("incarnation", n.fleet.Self.Incarnation).Str("domain", n.settings.Domain).Msg("process started")
	l, err := n.listen(ctx)
	if err != nil {
		l.close()
		return err
	}
	return n.serve(ctx, l)
}

// listen binds all addresses. After an error it returns the listeners that were bound before.
func (n *node) listen(ctx context.Context) (listeners, error) {
	l := listeners{}
	for _, b := range []struct {
		listener *net.Listener
		address  netip.AddrPort
	}{
		{listener: &l.peers, address: n.settings.Listen.Peers},
		{listener: &l.ready, address: n.settings.Listen.Readiness},
		{listener: &l.callers, address: n.settings.Listen.Callers},
		{listener: &l.metrics, address: n.settings.Listen.Metrics},
	} {
		if b.listener == &l.metrics && !b.address.IsValid() {
			continue
		}
		bound, err := n.bind(ctx, b.address)
		if err != nil {
			return l, err
		}
		*b.listener = bound
	}
	return l, nil
}

// close closes the listeners that are open.
func (l listeners) close() {
	for _, c := range []net.Listener{l.peers, l.ready, l.callers, l.metrics} {
		if c != nil {
			closeListener(c)
		}
	}
}

// serve serves until the context ends, and then shuts down gracefully. If a component fails before, the others end with
// it, and serve returns its error.
func (n *node) serve(ctx context.Context, l listeners) error {
	components, stop := context.WithCancel(context.Background())
	defer stop()
	g, serving := errgroup.WithContext(components)
	rpc := n.links.NewGRPC()
	g.Go(func() error { return rpc.Serve(l.peers) })
	g.Go(func() error { return serveHTTP(l.ready, &platform.ReadinessHandler{IsReady: n.ready}) })
	if l.metrics != nil {
		g.Go(func() error { return serveHTTP(l.metrics, n.operatorHandler()) })
	}
	g.Go(func() error { return n.eventLog.Run(serving) })
	g.Go(func() error { return n.fleet.Run(serving) })
	g.Go(func() error { return n.mirror.Operator.Run(serving) })
	g.Go(func() error { return n.mirror.WatchMembers(serving, func() bool { return len(n.fleet.Lanes()) > 0 }) })
	g.Go(func() error { return n.front.Serve(serving, l.callers) })
	g.Go(func() error { return n.watchIsolation(serving) })
	g.Go(func() error { return n.quotas.run(serving) })
	select {
	case <-ctx.Done():
		n.shutDown(l.callers)
		stop()
		rpc.Stop()
		l.close()
		n.eventLog.Event("process-stopped").Msg("process stopped")
		return nil
	case <-serving.Done():
		rpc.Stop()
		l.close()
		return context.Cause(serving)
	}
}

// bind listens on the address. It retries for a while, as a previous process may not have released it yet.
func (n *node) bind(ctx context.Context, a netip.AddrPort) (net.Listener, error) {
	began := time.Now()
	for {
		l, err := netopt.Listen(ctx, a)
		if err == nil || time.Since(began) > bindTimeout {
			return l, err
		}
		time.Sleep(bindRetryInterval)
	}
}

// closeListener closes a listener. The only error, that it is already closed, is ignored.
func closeListener(l net.Listener) {
	_ = l.Close()
}

func serveHTTP(l net.Listener, h http.Handler) error {
	s := http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Second,
	}
	return s.Serve(l)
}

// ready reports whether the process accepts callers.
func (n *node) ready() bool {
	return !n.shuttingDown.Load() && !n.isolated.Load() && n.mirror.Tables() != nil
}

// applyConfiguration passes a newer configuration to the fleet and to the lanes.
func (n *node) applyConfiguration(t *egret.Tables) {
	services := []string{}
	for _, p := range t.Pools {
		services = append(services, p.Name)
	}
	n.quotas.configure(t)
	n.fleet.Configure(services)
	for _, l := range n.fleet.Lanes() {
		if p := t.Pool(l.Service); p != nil {
			l.Configure(p)
		}
	}
}

// updateMembers passes the members of a service to its lane.
func (n *node) updateMembers(service string, members []egret.Backend) {
	for _, l := range n.fleet.Lanes() {
		if l.Service == service {
			l.SetMembers(members)
		}
	}
}

// startLane starts the lane of a service that this process holds from now on.
func (n *node) startLane(c *lease.Lease) *group.Lane {
	l := &group.Lane{
		Service:  c.Service,
		Dialer:   n.dialer,
		Promoter: n.promoter,
		Lease:    c,
		EventLog: n.eventLog,
		Metrics:  n.metrics,
	}
	m := n.quotas.open(c.Service, c, c.First(), c.UnusedSince())
	l.Meter = m
	if limit := time.Duration(n.settings.MemberDrain); limit > 0 {
		l.DrainLimit = max(limit-drainMargin, drainMargin)
	}
	l.Init()
	if p := n.mirror.Tables().Pool(c.Service); p != nil {
		l.Configure(p)
	}
	go func() {
		n.mirror.WakeMembers()
		l.SetMembers(n.mirror.MembersOf(c.Service))
		// Run returns when this process no longer holds the service. It returns no error.
		_ = l.Run(context.Background())
		n.quotas.close(m)
	}()
	return l
}

// primaryLocation returns the failure domain and the region of a service's primary.
func (n *node) primaryLocation(service string) (domain, region string) {
	domain = n.mirror.PrimaryDomain(service)
	return domain, n.settings.Regions[domain]
}
