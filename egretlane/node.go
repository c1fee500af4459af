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
	"egretlane.example/egret/claim"
	"egretlane.example/egret/fleet"
	"egretlane.example/egret/front"
	"egretlane.example/egret/group"
	"egretlane.example/egret/link"
	"egretlane.example/egret/netopt"
	"egretlane.example/egret/platform"
	"egretlane.example/egret/setup"
	"egretlane.example/egret/trail"
)

const (
	// bindTimeout bounds the wait for an address that a former process may still use.
	bindTimeout = 3 * time.Second

	// bindPause is the time between two attempts to bind.
	bindPause = 50 * time.Millisecond

	// descriptorReserve is how many descriptors are kept for files, members, proxies and the store.
	descriptorReserve = 700
)

// node is a proxy process of a fleet.
type node struct {
	settings  *setup.Settings
	trail     *trail.Trail
	store     *platform.Store
	promoter  *platform.Promoter
	dialer    platform.Dialer
	directory *directory
	pool      *link.Pool
	fleet     *fleet.Fleet
	front     *front.Server
	meters    *meters

	// leaving says that the process shuts down, isolated that other processes serve callers better.
	leaving, isolated atomic.Bool
}

// newNode assembles the process.
func newNode(s *setup.Settings, t *trail.Trail) *node {
	n := &node{
		settings: s,
		trail:    t,
		meters:   newMeters(),
		pool:     &link.Pool{},
	}
	n.store = &platform.Store{
		Address: s.Platform.Store,
		Counts:  n.meters.called,
	}
	n.store.Init()
	n.promoter = &platform.Promoter{
		Address: s.Platform.Promotion,
	}
	n.promoter.Init()
	n.directory = newDirectory(n.store, t)
	n.fleet = &fleet.Fleet{
		Keys: n.store,
		Self: fleet.Node{
			ID:          s.Node,
			Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
			Address:     s.Listen.Peers,
			Domain:      s.Domain,
			Region:      s.Region,
		},
		Pool:      n.pool,
		Bootstrap: s.Bootstrap,
		Hold:      n.hold,
		Home:      n.home,
		Trail:     t,
	}
	n.fleet.Init()
	n.directory.operatorKeys.Relay = n.fleet.Relay
	n.directory.operatorKeys.Direct = n.fleet.Direct
	n.directory.configured = n.configured
	n.directory.changed = n.changed
	n.front = &front.Server{
		Tables: n.directory.tables.Load,
		Codec:  func(c net.Conn) egret.CallerConn { return platform.NewCaller(c) },
		Open:   n.fleet.Entry,
		Limit:  max(0, s.Limits.Descriptors-descriptorReserve),
		Trail:  t,
		Counts: n.meters,
	}
	return n
}

// run serves until the context ends, and then shuts down gracefully.
func (n *node) run(ctx context.Context) error {
	n.trail.Event("process-started").Str("incarnation", n.fleet.Self.Incarnation).Str("domain", n.settings.Domain).Msg("the process starts")
	peers, err := n.bind(ctx, n.settings.Listen.Peers)
	if err != nil {
		return err
	}
	ready, err := n.bind(ctx, n.settings.Listen.Readiness)
	if err != nil {
		return err
	}
	callers, err := n.bind(ctx, n.settings.Listen.Callers)
	if err != nil {
		return err
	}
	work, end := context.WithCancel(context.Background())
	defer end()
	g, work := errgroup.WithContext(work)
	server := link.Server{
		Host: n,
	}
	rpc := server.NewGRPC()
	g.Go(func() error { return rpc.Serve(peers) })
	g.Go(func() error { return serveHTTP(ready, &platform.Ready{Ready: n.ready}) })
	if n.settings.Listen.Metrics.IsValid() {
		l, err := n.bind(ctx, n.settings.Listen.Metrics)
		if err != nil {
			return err
		}
		g.Go(func() error { return serveHTTP(l, n.meters.handler()) })
	}
	g.Go(func() error { return n.trail.Run(work) })
	g.Go(func() error { return n.fleet.Run(work) })
	g.Go(func() error { return n.directory.operatorKeys.Run(work) })
	g.Go(func() error { return n.directory.watchMembers(work, func() bool { return len(n.fleet.Lanes()) > 0 }) })
	g.Go(func() error { return n.front.Serve(work, callers) })
	g.Go(func() error { return n.watchReach(work) })
	select {
	case <-ctx.Done():
		n.shutDown(callers)
		end()
		rpc.Stop()
		closeListener(ready)
		n.trail.Event("process-stopped").Msg("the process ends")
		return nil
	case <-work.Done():
		return g.Wait()
	}
}

// bind listens at the address. A former process may have it for a moment longer.
func (n *node) bind(ctx context.Context, a netip.AddrPort) (net.Listener, error) {
	began := time.Now()
	for {
		l, err := netopt.Listen(ctx, a)
		if err == nil || time.Since(began) > bindTimeout {
			return l, err
		}
		time.Sleep(bindPause)
	}
}

// closeListener closes a listener. Its only error is that it was closed before.
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

// ready reports whether the process takes callers.
func (n *node) ready() bool {
	return !n.leaving.Load() && !n.isolated.Load() && n.directory.tables.Load() != nil
}

// configured puts a newer configuration into force.
func (n *node) configured(t *egret.Tables) {
	services := []string{}
	for _, p := range t.Pools {
		services = append(services, p.Name)
	}
	n.fleet.Configure(services)
	for _, l := range n.fleet.Lanes() {
		if p := t.Pool(l.Service); p != nil {
			l.Configure(p)
		}
	}
}

// changed tells the lane of a service about its members.
func (n *node) changed(service string, members []egret.Backend) {
	for _, l := range n.fleet.Lanes() {
		if l.Service == service {
			l.Update(members)
		}
	}
}

// hold starts the lane of a service that this process now holds.
func (n *node) hold(c *claim.Claim) *group.Lane {
	l := &group.Lane{
		Service:  c.Service,
		Dialer:   n.dialer,
		Promoter: n.promoter,
		Holding:  c,
		Trail:    n.trail,
		Counts:   n.meters,
	}
	l.Init()
	if p := n.directory.tables.Load().Pool(c.Service); p != nil {
		l.Configure(p)
	}
	go func() {
		n.directory.need()
		l.Update(n.directory.of(c.Service))
		// The lane ends when the holding does and returns no error.
		_ = l.Run(context.Background())
	}()
	return l
}

// home returns where a service's primary stands.
func (n *node) home(service string) (domain, region string) {
	domain = n.directory.home(service)
	return domain, n.settings.Regions[domain]
}
