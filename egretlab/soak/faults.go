package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/dbsim"
	"egretlane.example/egret/egretlab/keysim"
	"egretlane.example/egret/egretlab/links"
)

const (
	// membersPrefix is where members write, configKey where the operator does.
	membersPrefix = "servers/"
	configKey     = "op/config"

	// drainTime is how long a member serves after it has said that it leaves.
	drainTime = 3 * time.Second

	// slowLink is added to the latency of a link, slowStore to the answers of the store.
	slowLink  = 80 * time.Millisecond
	slowStore = 300 * time.Millisecond

	// troubledPart is the part of statements that a troubled member fails or doesn't answer, slowWork
	// what a slow one adds to each.
	troubledPart = 0.3
	slowWork     = 60 * time.Millisecond

	// rudeCallers is how many rude callers come at once.
	rudeCallers = 12

	// lostAnswers is the part of conditional writes whose answers are lost.
	lostAnswers = 0.5
)

// config is the operator's configuration, as it is written.
type config struct {
	Version  int             `json:"version"`
	Routes   []configRoute   `json:"routes"`
	Services []configService `json:"services"`
	Limits   map[string]int  `json:"limits"`
}

type configRoute struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Kind     string `json:"route_type"`
	Timeout  int64  `json:"timeout_ms"`
	Target   int64  `json:"target_latency_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	MaxAge   int64  `json:"max_staleness_ms"`
}

type configService struct {
	Name        string `json:"name"`
	Connections int    `json:"max_conns"`
	Synchronous int    `json:"sync_replicas"`
}

// configure writes the next version of the configuration. The caller holds mu.
func (s *Soak) configure() {
	s.config.Version += 3
	s.config.Limits = map[string]int{"tx_idle_ms": 2000}
	s.config.Routes, s.config.Services = nil, nil
	for _, r := range append(s.routes(), s.extras...) {
		kind := map[egret.RouteKind]string{egret.RoutePrimary: "primary", egret.RouteBounded: "bounded", egret.RouteSession: "session"}[r.kind]
		s.config.Routes = append(s.config.Routes, configRoute{
			Name:    r.database,
			Host:    r.database,
			Kind:    kind,
			Timeout: statementTimeout.Milliseconds(),
			Target:  500,
			Service: r.service,
			MaxAge:  r.maxAge.Milliseconds(),
		})
		s.ledger.Allow(r.database, r.service)
	}
	for _, g := range s.groups {
		s.config.Services = append(s.config.Services, configService{
			Name:        g.Service,
			Connections: g.Connections,
			Synchronous: g.SyncReplicas,
		})
	}
	data, err := json.Marshal(s.config)
	if err != nil {
		// Texts and numbers can always be encoded.
		panic(err)
	}
	s.store.Put(configKey, data)
}

// play lets the events of the plan happen and returns at its end.
func (s *Soak) play(ctx context.Context) {
	wg := sync.WaitGroup{}
	for _, e := range s.Plan.Events {
		pause(ctx, time.Until(s.began.Add(e.At)))
		if ctx.Err() != nil {
			break
		}
		s.logf("%s for %s, target %d", e.Kind, e.For.Round(time.Millisecond), e.Target)
		if slices.Contains(planned, e.Kind) {
			wg.Go(func() {
				s.work(ctx, e)
			})
			continue
		}
		s.disturb(1)
		undo := s.inject(ctx, e)
		wg.Go(func() {
			defer s.disturb(-1)
			pause(ctx, e.For)
			undo()
		})
	}
	wg.Wait()
	pause(ctx, time.Until(s.began.Add(s.Plan.Length)))
}

func (s *Soak) disturb(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbs += by
	s.calmFrom = time.Now()
}

// work does planned work.
func (s *Soak) work(ctx context.Context, e Event) {
	p := s.victim(e)
	g := s.groups[e.Target%len(s.groups)]
	switch e.Kind {
	case KindStop:
		p.stop()
	case KindHangup:
		p.signal(syscall.SIGHUP)
	case KindConfig:
		s.changeRoutes(ctx, e)
	case KindDrain:
		s.release(ctx, g.Members[e.Target%len(g.Members)])
	case KindDrainLead:
		if m := g.Lead(); m != nil {
			s.release(ctx, m)
		}
	}
}

// release replaces a member: it drains, ends, and a successor starts with its log at its address.
func (s *Soak) release(ctx context.Context, m *dbsim.Member) {
	m.Drain()
	pause(ctx, heartbeat+drainTime)
	m.Crash()
	pause(ctx, time.Second)
	if err := m.Start(ctx, true); err != nil && ctx.Err() == nil {
		s.ledger.Broken("SOAK", err.Error())
	}
}

// changeRoutes adds a database, checks that it is served in time, and removes it again.
func (s *Soak) changeRoutes(ctx context.Context, e Event) {
	extra := route{
		database: fmt.Sprintf("extra-%d", e.Target),
		service:  s.groups[e.Target%len(s.groups)].Service,
		kind:     egret.RoutePrimary,
	}
	for _, present := range []bool{true, false} {
		s.mu.Lock()
		s.extras = slices.DeleteFunc(s.extras, func(r route) bool {
			return r == extra
		})
		if present {
			s.extras = append(s.extras, extra)
		}
		s.configure()
		s.mu.Unlock()
		since := time.Now()
		pause(ctx, configBound)
		s.checkRoute(extra, since, present)
	}
}

// checkRoute checks that all proxies that run undisturbed know the database, or that none does.
func (s *Soak) checkRoute(r route, since time.Time, want bool) {
	for _, p := range s.proxies {
		c := &caller{
			soak:  s,
			route: r,
		}
		known, told := c.knows(p)
		calm := s.quiet(since.Add(-contact)) && p.stopping().IsZero() && p.runsSince(since.Add(-contact))
		if told && known != want && calm {
			s.ledger.Broken("CONFIG", fmt.Sprintf("%s knows %s: %t, %s after the acknowledgement", p.name, r.database, known, time.Since(since)))
		}
	}
}

// victim returns the proxy that an event hits: for every second target the one that wrote to the store
// last, which holds a service.
func (s *Soak) victim(e Event) *proxy {
	if e.Target%2 == 0 {
		writer := s.store.LastWriter()
		for _, p := range s.proxies {
			if p.name == writer {
				return p
			}
		}
	}
	return s.proxies[e.Target%len(s.proxies)]
}

// inject starts a fault and returns what ends it.
func (s *Soak) inject(ctx context.Context, e Event) func() {
	p := s.victim(e)
	g := s.groups[e.Target/3%len(s.groups)]
	lead := g.Lead()
	if lead == nil {
		lead = g.Members[0]
	}
	other := g.Members[e.Target/7%len(g.Members)]
	switch e.Kind {
	case KindKill:
		p.signal(syscall.SIGKILL)
	case KindPause:
		p.signal(syscall.SIGSTOP)
		return func() {
			p.signal(syscall.SIGCONT)
		}
	case KindKillAll:
		for _, p := range s.proxies {
			p.signal(syscall.SIGKILL)
		}
	case KindForget:
		s.store.Forget()
	case KindCrash:
		return s.crash(ctx, lead, false)
	case KindCrashOther:
		return s.crash(ctx, other, false)
	case KindErase:
		return s.crash(ctx, other, true)
	case KindIsolate, KindLoseAnswers, KindGrey, KindSlow, KindDeaf:
		return s.trouble(e, g, lead, other)
	case KindRude:
		s.rude(ctx, e, p)
	case KindReset:
		s.relay.Reset(p.name, other.Listen.String())
	case KindSlowLink:
		s.relay.Delay(p.name, "*", slowLink)
		return func() {
			s.relay.Delay(p.name, "*", 0)
		}
	case KindGarbage:
		return s.garbage(e)
	case KindDark, KindHalf, KindOneWay:
		return s.cut(e, lead)
	default:
		return s.breakStore(e, p)
	}
	return func() {}
}

// crash ends a member, and starts it again at the end.
func (s *Soak) crash(ctx context.Context, m *dbsim.Member, erase bool) func() {
	m.Crash()
	if erase {
		m.Erase()
	}
	return func() {
		if err := m.Start(ctx, false); err != nil && ctx.Err() == nil {
			s.ledger.Broken("SOAK", err.Error())
		}
	}
}

// trouble lets something be wrong with a member for a while.
func (s *Soak) trouble(e Event, g *dbsim.Group, lead, other *dbsim.Member) func() {
	m, t := other, dbsim.Trouble{}
	switch e.Kind {
	case KindIsolate:
		m, t.Isolated = lead, true
	case KindLoseAnswers:
		t.LoseAnswers = troubledPart
	case KindGrey:
		t.Fail = troubledPart
	case KindSlow:
		t.Slow = slowWork
	case KindDeaf:
		t.Deaf = true
	}
	g.Trouble(m, t)
	return func() {
		g.Trouble(m, dbsim.Trouble{})
	}
}

// rude opens sessions at a proxy that send what no caller should: they rest inside transactions that
// have written, break off within a message, flood, and send broken messages.
func (s *Soak) rude(ctx context.Context, e Event, p *proxy) {
	r := s.routes()[0]
	manners := []func(c *caller){
		func(c *caller) {
			begun, name := time.Now(), newID()
			if c.ask("BEGIN", begun, name) == nil && c.ask(statement(r.database+"-0", true), begun, name) == nil {
				pause(ctx, e.For)
			}
		},
		func(c *caller) {
			_, _ = fmt.Fprint(c.conn, "QUERY 1 WRI")
			pause(ctx, e.For)
		},
		func(c *caller) {
			_, _ = fmt.Fprint(c.conn, strings.Repeat("QUERY - nonsense\r\n", 5000))
		},
		func(c *caller) {
			_, _ = fmt.Fprint(c.conn, "\x00\xff"+strings.Repeat("x", 2<<20))
		},
	}
	for i := range rudeCallers {
		go func() {
			c := &caller{
				soak:  s,
				route: r,
			}
			c.start(p)
			if c.conn != nil {
				manners[i%len(manners)](c)
				c.conn.Close()
			}
		}()
	}
}

// garbage writes entries that name no member.
func (s *Soak) garbage(e Event) func() {
	keys := []string{}
	for i, text := range []string{"", "{", `{"service":7}`, `{"service":"db-0","address":"nowhere","capacity":2,"state":"ready","db_role":"primary"}`} {
		key := fmt.Sprintf("%sx-%d-%d", membersPrefix, e.Target, i)
		s.store.Put(key, []byte(text))
		keys = append(keys, key)
	}
	return func() {
		for _, key := range keys {
			s.store.Remove(key)
		}
	}
}

// cut cuts proxies off a member: all, every second one, or all in one direction.
func (s *Soak) cut(e Event, m *dbsim.Member) func() {
	cuts := []links.Cut{}
	for i, p := range s.proxies {
		if e.Kind == KindHalf && i%2 == 0 {
			continue
		}
		c := links.Cut{
			From: p.name,
			To:   m.Listen.String(),
		}
		if e.Kind == KindOneWay {
			c.OneWay = true
			if e.Target%2 == 0 {
				c.From, c.To = c.To, c.From
			}
		}
		s.relay.Cut(c)
		cuts = append(cuts, c)
	}
	return func() {
		for _, c := range cuts {
			s.relay.Uncut(c)
		}
	}
}

// breakStore lets the store fail, for one proxy or for all.
func (s *Soak) breakStore(e Event, p *proxy) func() {
	modes := []keysim.Mode{keysim.ModeRefuse, keysim.ModeLimit, keysim.ModeReset, keysim.ModeSilent}
	f, victim := keysim.Fault{}, ""
	switch e.Kind {
	case KindStoreDown:
		f.Mode = modes[e.Target%len(modes)]
	case KindStoreRefuse:
		f.Mode, victim = modes[e.Target/11%3], p.name
	case KindStoreSilent:
		f.Mode, victim = keysim.ModeSilent, p.name
	case KindStoreSlow:
		f.Delay = slowStore
	case KindStoreLoses:
		f.LoseAnswers = lostAnswers
	case KindStoreLate:
		f.LateWrites = lostAnswers
	}
	s.store.Break(victim, f)
	return func() {
		s.store.Break(victim, keysim.Fault{})
	}
}
