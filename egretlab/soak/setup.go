package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/dbsim"
	"egretlane.example/egret/egretlab/links"
)

// readHeaderTimeout is the time-out of a request to the simulated platform.
const readHeaderTimeout = 5 * time.Second

// startProcesses starts the simulated services and the proxies.
func (s *Soak) startProcesses(ctx context.Context, g *errgroup.Group) error {
	// Soaks that run side by side take their ports from different blocks.
	s.ports.next = firstPort + os.Getpid()%portBlocks*(lastPort-firstPort)/portBlocks
	network := links.Plan{}
	for i := range s.Services {
		s.groups = append(s.groups, s.newGroup(i))
	}
	for i := range s.Proxies {
		p, proxyLinks, err := s.newProxy(ctx, g, i)
		if err != nil {
			return errors.Trace(err)
		}
		s.proxies = append(s.proxies, p)
		network.Links = append(network.Links, proxyLinks...)
	}
	s.relay = &links.Relay{
		Plan: network,
	}
	g.Go(func() error {
		s.store.Run(ctx)
		return nil
	})
	g.Go(func() error {
		return s.relay.Run(ctx)
	})
	for _, d := range s.groups {
		if err := d.Open(ctx); err != nil {
			return errors.Trace(err)
		}
		g.Go(func() error {
			d.Run(ctx)
			return nil
		})
		for _, m := range d.Members {
			g.Go(func() error {
				s.sendHeartbeats(ctx, m)
				return nil
			})
		}
	}
	s.mu.Lock()
	s.writeConfig()
	s.mu.Unlock()
	for _, p := range s.proxies {
		g.Go(func() error {
			return p.supervise(ctx)
		})
		g.Go(func() error {
			p.probeReadiness(ctx)
			return nil
		})
	}
	return nil
}

// routes returns the routes of all services, one of each kind for each service.
func (s *Soak) routes() []route {
	all := []route{}
	for i := range s.Services {
		service := serviceName(i)
		all = append(all, route{
			database:   "orders-" + service,
			service:    service,
			kind:       egret.ConsistencyPrimary,
			writeRatio: 0.4,
		}, route{
			database: "lookups-" + service,
			service:  service,
			kind:     egret.ConsistencyBounded,
			maxAge:   1500 * time.Millisecond,
			public:   s.Plan.Workspaces > 0,
		}, route{
			database:   "stock-" + service,
			service:    service,
			kind:       egret.ConsistencySession,
			maxAge:     2500 * time.Millisecond,
			writeRatio: 0.15,
		})
	}
	return all
}

func serviceName(i int) string {
	return fmt.Sprintf("db-%d", i)
}

func (s *Soak) newGroup(i int) *dbsim.Group {
	g := &dbsim.Group{
		Service:          serviceName(i),
		Slots:            3,
		Connections:      24,
		ConnectCost:      3 * time.Millisecond,
		StatementCost:    2 * time.Millisecond,
		ReplicationDelay: 2 * time.Millisecond,
		ApplyDelay:       15 * time.Millisecond,
		PromotionDelay:   200 * time.Millisecond,
		SyncReplicas:     s.Plan.SyncReplicas,
		LongRate:         s.Plan.LongStatementRate,
		LongCost:         s.Plan.LongStatementCost,
		Observer:         s.ledger,
	}
	for j := range domains {
		g.Members = append(g.Members, &dbsim.Member{
			Listen: s.ports.free(),
			Domain: domains[(i+j)%len(domains)],
		})
	}
	return g
}

// newProxy returns a proxy and its links to the store, to the promotion service and to all members.
func (s *Soak) newProxy(ctx context.Context, g *errgroup.Group, i int) (*proxy, []links.Link, error) {
	endpoint := links.Endpoint{
		Name:   fmt.Sprintf("proxy-%d", i),
		Domain: domains[i%len(domains)],
		Region: regions[i%len(domains)],
	}
	p := &proxy{
		name:      endpoint.Name,
		domain:    endpoint.Domain,
		region:    endpoint.Region,
		callers:   s.ports.free(),
		readiness: s.ports.free(),
		peers:     s.ports.free(),
		store:     s.ports.free(),
		promotion: s.ports.free(),
		program:   s.Program,
		folder:    s.Folder,
		logRate:   s.LogRate,
		onUnexpectedExit: func(detail string) {
			s.ledger.RecordViolation("FAULT", detail)
		},
	}
	store, err := serveHTTP(ctx, g, s.store.Handler(endpoint.Name))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	promotion, err := serveHTTP(ctx, g, http.HandlerFunc(s.handlePromotion))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	proxyLinks := []links.Link{{
		From:   endpoint,
		To:     links.Endpoint{Name: "store"},
		Listen: p.store,
		Dial:   store,
	}, {
		From:   endpoint,
		To:     links.Endpoint{Name: "promotion"},
		Listen: p.promotion,
		Dial:   promotion,
	}}
	for _, d := range s.groups {
		for _, m := range d.Members {
			proxyLinks = append(proxyLinks, links.Link{
				From:   endpoint,
				To:     links.Endpoint{Name: m.Listen.String()},
				Listen: s.ports.free(),
				Dial:   m.Listen,
			})
		}
	}
	return p, proxyLinks, nil
}

// serveHTTP serves HTTP on a free loopback port until the context ends, and returns the address.
func serveHTTP(ctx context.Context, g *errgroup.Group, h http.Handler) (netip.AddrPort, error) {
	c := net.ListenConfig{}
	l, err := c.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Trace(err)
	}
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	g.Go(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Trace(err)
	})
	context.AfterFunc(ctx, func() {
		_ = server.Close()
	})
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

// rewriteAddress replaces the address in a member's entry by that of the reading proxy's link to the member, so
// that faults of the network apply to the connection.
func (s *Soak) rewriteAddress(client, key string, value []byte) []byte {
	entry := map[string]any{}
	if !strings.HasPrefix(key, membersPrefix) || json.Unmarshal(value, &entry) != nil {
		return value
	}
	for _, l := range s.relay.Plan.Links {
		if l.From.Name == client && l.To.Name == entry["address"] {
			entry["address"] = l.Listen.String()
		}
	}
	changed, err := json.Marshal(entry)
	if err != nil {
		return value
	}
	return changed
}

// handlePromotion serves requests to promote a member.
func (s *Soak) handlePromotion(w http.ResponseWriter, q *http.Request) {
	order := struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}{}
	token, err := strconv.ParseUint(q.Header.Get("X-Egretlane-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(q.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.ledger.CheckPromotionOrder(order.Service, q.Header.Get("X-Egretlane-Lease-Holder"), token)
	for _, g := range s.groups {
		if g.Service == order.Service && g.Promote(order.ID) {
			s.logf("promotion of %s in %s with token %d", order.ID, order.Service, token)
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// sendHeartbeats writes a member's entry to the store at each heartbeat until the context ends. It removes the
// entry after three missed heartbeats.
func (s *Soak) sendHeartbeats(ctx context.Context, m *dbsim.Member) {
	last, missed, sequence := "", 0, 0
	for ctx.Err() == nil {
		sequence++
		id, data := m.Registration(sequence)
		switch {
		case id == "" || s.store.IsDown():
			missed++
		default:
			if last != id && last != "" {
				s.store.Remove(membersPrefix + last)
			}
			s.store.Put(membersPrefix+id, data)
			last, missed = id, 0
		}
		if missed == 3 && last != "" {
			s.store.Remove(membersPrefix + last)
		}
		// A change of the role is written without waiting for the next heartbeat.
		role := m.Role()
		for range int(heartbeatInterval / (50 * time.Millisecond)) {
			pause(ctx, 50*time.Millisecond)
			if m.Role() != role {
				break
			}
		}
	}
}

// Ports are handed out from firstPort to lastPort. portBlocks is the number of blocks of ports from which a soak begins.
const (
	firstPort  = 20000
	lastPort   = 32000
	portBlocks = 12
)

// portAllocator hands out free ports below the ephemeral port range of the operating system.
type portAllocator struct {
	next int
}

func (p *portAllocator) free() netip.AddrPort {
	for {
		p.next++
		if p.next > lastPort {
			p.next = firstPort
		}
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(p.next))
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		_ = l.Close()
		return a
	}
}
