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

// build starts the stand-ins and the proxies.
func (s *Soak) build(ctx context.Context, g *errgroup.Group) error {
	s.ports.next = 20000 + (os.Getpid()*131)%8000
	plan := links.Plan{}
	for i := range s.Services {
		s.groups = append(s.groups, s.group(i))
	}
	for i := range s.Proxies {
		p, lines, err := s.proxy(ctx, g, i)
		if err != nil {
			return errors.Trace(err)
		}
		s.proxies = append(s.proxies, p)
		plan.Links = append(plan.Links, lines...)
	}
	s.relay = &links.Relay{
		Plan: plan,
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
				s.beat(ctx, m)
				return nil
			})
		}
	}
	s.mu.Lock()
	s.configure()
	s.mu.Unlock()
	for _, p := range s.proxies {
		g.Go(func() error {
			return p.run(ctx)
		})
		g.Go(func() error {
			p.probe(ctx)
			return nil
		})
	}
	return nil
}

// routes are those of each service: one of each kind, on the services in turn.
func (s *Soak) routes() []route {
	all := []route{}
	for i := range s.Services {
		service := serviceName(i)
		all = append(all, route{
			database: "orders-" + service,
			service:  service,
			kind:     egret.RoutePrimary,
			writes:   0.4,
		}, route{
			database: "lookups-" + service,
			service:  service,
			kind:     egret.RouteBounded,
			maxAge:   1500 * time.Millisecond,
		}, route{
			database: "stock-" + service,
			service:  service,
			kind:     egret.RouteSession,
			maxAge:   2500 * time.Millisecond,
			writes:   0.15,
		})
	}
	return all
}

func serviceName(i int) string {
	return fmt.Sprintf("db-%d", i)
}

func (s *Soak) group(i int) *dbsim.Group {
	g := &dbsim.Group{
		Service:      serviceName(i),
		Slots:        3,
		Connections:  24,
		ConnectCost:  3 * time.Millisecond,
		Work:         2 * time.Millisecond,
		Transit:      2 * time.Millisecond,
		Lag:          15 * time.Millisecond,
		PromoteTime:  200 * time.Millisecond,
		SyncReplicas: s.Plan.Synchronous,
		Witness:      s.ledger,
	}
	for j := range domains {
		g.Members = append(g.Members, &dbsim.Member{
			Listen: s.ports.free(),
			Domain: domains[(i+j)%len(domains)],
		})
	}
	return g
}

// proxy returns a proxy and its links to the store, to the operator of promotions and to all members.
func (s *Soak) proxy(ctx context.Context, g *errgroup.Group, i int) (*proxy, []links.Link, error) {
	place := links.Place{
		Name:   fmt.Sprintf("proxy-%d", i),
		Domain: domains[i%len(domains)],
		Region: regions[i%len(domains)],
	}
	p := &proxy{
		name:      place.Name,
		domain:    place.Domain,
		region:    place.Region,
		callers:   s.ports.free(),
		readiness: s.ports.free(),
		peers:     s.ports.free(),
		store:     s.ports.free(),
		promotion: s.ports.free(),
		program:   s.Program,
		folder:    s.Folder,
		logRate:   s.LogRate,
		ended: func(what string) {
			s.ledger.Broken("FAULT", what)
		},
	}
	store, err := serve(ctx, g, s.store.Handler(place.Name))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	promotion, err := serve(ctx, g, http.HandlerFunc(s.promote))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	lines := []links.Link{{
		From:   place,
		To:     links.Place{Name: "store"},
		Listen: p.store,
		Dial:   store,
	}, {
		From:   place,
		To:     links.Place{Name: "promotion"},
		Listen: p.promotion,
		Dial:   promotion,
	}}
	for _, d := range s.groups {
		for _, m := range d.Members {
			lines = append(lines, links.Link{
				From:   place,
				To:     links.Place{Name: m.Listen.String()},
				Listen: s.ports.free(),
				Dial:   m.Listen,
			})
		}
	}
	return p, lines, nil
}

// serve serves HTTP at a free port of the loopback.
func serve(ctx context.Context, g *errgroup.Group, h http.Handler) (netip.AddrPort, error) {
	c := net.ListenConfig{}
	l, err := c.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Trace(err)
	}
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: answerWait,
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

// view shows each proxy the addresses of its own links to the members.
func (s *Soak) view(caller, key string, value []byte) []byte {
	entry := map[string]any{}
	if !strings.HasPrefix(key, membersPrefix) || json.Unmarshal(value, &entry) != nil {
		return value
	}
	for _, l := range s.relay.Plan.Links {
		if l.From.Name == caller && l.To.Name == entry["address"] {
			entry["address"] = l.Listen.String()
		}
	}
	changed, err := json.Marshal(entry)
	if err != nil {
		return value
	}
	return changed
}

// promote takes orders to promote a member.
func (s *Soak) promote(w http.ResponseWriter, q *http.Request) {
	order := struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}{}
	token, err := strconv.ParseUint(q.Header.Get("X-Egretlane-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(q.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.ledger.Ordered(order.Service, q.Header.Get("X-Egretlane-Lease-Holder"), token)
	for _, g := range s.groups {
		if g.Service == order.Service && g.Promote(order.ID) {
			s.logf("promotion of %s in %s with token %d", order.ID, order.Service, token)
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// beat writes a member's entries until the context ends.
func (s *Soak) beat(ctx context.Context, m *dbsim.Member) {
	last, missed, sequence := "", 0, 0
	for ctx.Err() == nil {
		sequence++
		id, data := m.Entry(sequence)
		switch {
		case id == "" || s.store.Down():
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
		// A change of the role is told at once.
		role := m.Role()
		for range int(heartbeat / (50 * time.Millisecond)) {
			pause(ctx, 50*time.Millisecond)
			if m.Role() != role {
				break
			}
		}
	}
}

// ports gives out ports below those that the system gives out by itself.
type ports struct {
	next int
}

func (p *ports) free() netip.AddrPort {
	for {
		p.next++
		if p.next > 32000 {
			p.next = 20000
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
