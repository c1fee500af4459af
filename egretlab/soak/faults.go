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
	// membersPrefix is the prefix of the keys of members' entries in the store, configKey the key of the operator's
	// configuration.
	membersPrefix = "servers/"
	configKey     = "op/config"

	// drainDuration is how long a draining member still serves after its entry in the store says so.
	drainDuration = 3 * time.Second

	// linkDelay is added to the latency of a delayed link, storeDelay to each answer of a slow store.
	linkDelay  = 80 * time.Millisecond
	storeDelay = 300 * time.Millisecond

	// memberFaultRate is the ratio of statements that an impaired member fails or doesn't answer. statementDelay is
	// what a slow member adds to the time of each statement.
	memberFaultRate = 0.3
	statementDelay  = 60 * time.Millisecond

	// misbehavingCallers is the number of misbehaving callers that connect at once.
	misbehavingCallers = 12

	// minCopyAge and maxCopyAge bound the age, at the start of its outage, of the copy that a store is restored from.
	minCopyAge = 4 * time.Second
	maxCopyAge = 10 * time.Second

	// storeWriteFaultRate is the ratio of conditional writes whose answers are lost or that are executed late.
	storeWriteFaultRate = 0.5
)

// config is the operator's configuration, as it is encoded in the store.
type config struct {
	Version  int             `json:"version"`
	Routes   []configRoute   `json:"routes"`
	Services []configService `json:"services"`
	Limits   map[string]int  `json:"limits"`

	Workspaces *[]configWorkspace `json:"tenants,omitempty"`
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
	Public   bool   `json:"public,omitempty"`
}

type configService struct {
	Name        string `json:"name"`
	Connections int    `json:"max_conns"`
	Synchronous int    `json:"sync_replicas"`
}

// writeConfig writes the next version of the configuration. The caller holds mu.
func (s *Soak) writeConfig() {
	s.config.Version += 3
	s.config.Limits = map[string]int{"tx_idle_ms": 2000}
	s.config.Routes, s.config.Services = nil, nil
	for _, r := range append(s.routes(), s.extraRoutes...) {
		kind := map[egret.Consistency]string{egret.ConsistencyPrimary: "primary", egret.ConsistencyBounded: "bounded", egret.ConsistencySession: "session"}[r.kind]
		s.config.Routes = append(s.config.Routes, configRoute{
			Name:    r.database,
			Host:    r.database,
			Kind:    kind,
			Timeout: s.Plan.StatementTimeout.Milliseconds(),
			Target:  500,
			Service: r.service,
			MaxAge:  r.maxAge.Milliseconds(),
			Public:  r.public,
		})
		s.ledger.AllowRoute(r.database, r.service)
	}
	for _, g := range s.groups {
		s.config.Services = append(s.config.Services, configService{
			Name:        g.Service,
			Connections: g.Connections,
			Synchronous: g.SyncReplicas,
		})
	}
	s.config.Workspaces = s.configWorkspaces()
	data, err := json.Marshal(s.config)
	if err != nil {
		// Texts and numbers can always be encoded.
		panic(err)
	}
	s.store.Put(configKey, data)
}

// runEvents runs the events of the plan at their times and returns at the end of the plan.
func (s *Soak) runEvents(ctx context.Context) {
	wg := sync.WaitGroup{}
	for _, e := range s.Plan.Events {
		pause(ctx, time.Until(s.startedAt.Add(e.At)))
		if ctx.Err() != nil {
			break
		}
		s.logf("%s for %s, target %d", e.Kind, e.Duration.Round(time.Millisecond), e.Target)
		if slices.Contains(plannedKinds, e.Kind) || e.Kind == KindRollProxies || e.Kind == KindWithdrawKey || e.Kind == KindExceedQuota {
			wg.Go(func() {
				s.runPlannedWork(ctx, e)
			})
			continue
		}
		s.addActiveFaults(1)
		resumeKeys := s.suspendKeys(e)
		end := s.injectFault(ctx, e)
		wg.Go(func() {
			defer s.addActiveFaults(-1)
			pause(ctx, e.Duration)
			end()
			resumeKeys()
		})
	}
	wg.Wait()
	pause(ctx, time.Until(s.startedAt.Add(s.Plan.Duration)))
}

func (s *Soak) addActiveFaults(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeFaults += by
	s.lastFaultChange = time.Now()
}

// runPlannedWork runs an event of planned work.
func (s *Soak) runPlannedWork(ctx context.Context, e Event) {
	p := s.targetProxy(e)
	g := s.groups[e.Target%len(s.groups)]
	switch e.Kind {
	case KindStopProxy:
		p.stop()
	case KindRollProxies:
		s.rollProxies(ctx, e)
	case KindHangupProxy:
		p.signal(syscall.SIGHUP)
	case KindChangeConfig:
		s.changeConfig(ctx, e)
	case KindWithdrawKey:
		s.withdrawKeys(ctx, e)
	case KindExceedQuota:
		s.exceedQuota(ctx, e)
	case KindDrainMember:
		s.replaceMember(ctx, g.Members[e.Target%len(g.Members)])
	case KindDrainPrimary:
		if m := g.Primary(); m != nil {
			s.replaceMember(ctx, m)
		}
	}
}

// rollProxies stops all proxies in turn, beginning with the target, within the event's duration. The platform restarts them.
func (s *Soak) rollProxies(ctx context.Context, e Event) {
	for i := range s.proxies {
		s.proxies[(e.Target+i)%len(s.proxies)].stop()
		pause(ctx, e.Duration/time.Duration(len(s.proxies)))
	}
}

// replaceMember replaces a member: it drains and exits, and a successor with its log starts at its address.
func (s *Soak) replaceMember(ctx context.Context, m *dbsim.Member) {
	m.Drain()
	pause(ctx, heartbeatInterval+drainDuration)
	m.Crash()
	pause(ctx, time.Second)
	if err := m.Start(ctx, true); err != nil && ctx.Err() == nil {
		s.ledger.RecordViolation("SOAK", err.Error())
	}
}

// changeConfig adds a database to the configuration and removes it again. After each change it checks that the
// proxies apply it within configTimeout.
func (s *Soak) changeConfig(ctx context.Context, e Event) {
	extra := route{
		database: fmt.Sprintf("extra-%d", e.Target),
		service:  s.groups[e.Target%len(s.groups)].Service,
		kind:     egret.ConsistencyPrimary,
	}
	for _, present := range []bool{true, false} {
		s.mu.Lock()
		s.extraRoutes = slices.DeleteFunc(s.extraRoutes, func(r route) bool {
			return r == extra
		})
		if present {
			s.extraRoutes = append(s.extraRoutes, extra)
		}
		s.writeConfig()
		s.mu.Unlock()
		since := time.Now()
		pause(ctx, configTimeout)
		s.checkRoute(extra, since, present)
	}
}

// checkRoute checks whether the proxies know the database, which they must if want is true and must not otherwise. It
// passes over a proxy that is stopping, has just started or may still be affected by a fault.
func (s *Soak) checkRoute(r route, since time.Time, want bool) {
	for _, p := range s.proxies {
		c := &caller{
			soak:  s,
			route: r,
		}
		known, answered := c.knowsDatabase(p)
		undisturbed := s.faultFreeSince(since.Add(-settleTime)) && p.stopRequestedAt().IsZero() && p.startedBefore(since.Add(-settleTime))
		if answered && known != want && undisturbed {
			s.ledger.RecordViolation("CONFIG", fmt.Sprintf("%s knows %s: %t, %s after the acknowledgement", p.name, r.database, known, time.Since(since)))
		}
	}
}

// targetProxy returns the proxy that an event affects. For even targets it is the last proxy that wrote to the
// store, which holds the lease of a service.
func (s *Soak) targetProxy(e Event) *proxy {
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

// injectFault starts a fault and returns a function that ends it.
func (s *Soak) injectFault(ctx context.Context, e Event) func() {
	p := s.targetProxy(e)
	g := s.groups[e.Target/3%len(s.groups)]
	primary := g.Primary()
	if primary == nil {
		primary = g.Members[0]
	}
	other := g.Members[e.Target/7%len(g.Members)]
	switch e.Kind {
	case KindKillProxy:
		p.signal(syscall.SIGKILL)
	case KindPauseProxy:
		p.signal(syscall.SIGSTOP)
		return func() {
			p.signal(syscall.SIGCONT)
		}
	case KindKillAllProxies:
		for _, p := range s.proxies {
			p.signal(syscall.SIGKILL)
		}
	case KindStoreForgets:
		s.store.DropHistory()
	case KindCrashPrimary:
		return s.crashMember(ctx, primary, false)
	case KindCrashMember:
		return s.crashMember(ctx, other, false)
	case KindEraseMember:
		return s.crashMember(ctx, other, true)
	case KindCutPrimaryFromMembers, KindMemberLosesAnswers, KindMemberFailsSome, KindSlowMember, KindReplicaReceivesNothing:
		return s.impairMember(e, g, primary, other)
	case KindMisbehavingCallers:
		s.startMisbehavingCallers(ctx, e, p)
	case KindResetMembers:
		s.relay.ResetConnections(p.name, other.Listen.String())
	case KindDelayMembers:
		s.relay.SetExtraLatency(p.name, "*", linkDelay)
		return func() {
			s.relay.SetExtraLatency(p.name, "*", 0)
		}
	case KindWriteInvalidEntries:
		return s.writeInvalidEntries(e)
	case KindCutPrimary, KindCutPrimaryFromSome, KindCutPrimaryOneWay:
		return s.cutPrimary(e, primary)
	case KindStoreRestored:
		return s.restoreStore(e)
	default:
		return s.impairStore(e, p)
	}
	return func() {}
}

// crashMember stops a member without draining it, and erases its log if asked to. The returned function restarts it.
func (s *Soak) crashMember(ctx context.Context, m *dbsim.Member, erase bool) func() {
	m.Crash()
	if erase {
		m.EraseLog()
	}
	return func() {
		if err := m.Start(ctx, false); err != nil && ctx.Err() == nil {
			s.ledger.RecordViolation("SOAK", err.Error())
		}
	}
}

// impairMember starts a partial failure of a member. The returned function ends it.
func (s *Soak) impairMember(e Event, g *dbsim.Group, primary, other *dbsim.Member) func() {
	m, faults := other, dbsim.Faults{}
	switch e.Kind {
	case KindCutPrimaryFromMembers:
		m, faults.Isolated = primary, true
	case KindMemberLosesAnswers:
		faults.LostAnswerRate = memberFaultRate
	case KindMemberFailsSome:
		faults.FailureRate = memberFaultRate
	case KindSlowMember:
		faults.ExtraTime = statementDelay
	case KindReplicaReceivesNothing:
		faults.ReplicationStopped = true
	}
	g.SetFaults(m, faults)
	return func() {
		g.SetFaults(m, dbsim.Faults{})
	}
}

// startMisbehavingCallers opens sessions at a proxy that violate the protocol or hold resources: they stay idle in
// transactions that have written, stop in the middle of a message, flood the proxy with requests, and send
// malformed messages.
func (s *Soak) startMisbehavingCallers(ctx context.Context, e Event, p *proxy) {
	r := s.routes()[0]
	behaviors := []func(c *caller){
		func(c *caller) {
			txStartedAt, name := time.Now(), newID()
			if c.execute("BEGIN", txStartedAt, name) == nil && c.execute(statement(r.database+"-0", true), txStartedAt, name) == nil {
				pause(ctx, e.Duration)
			}
		},
		func(c *caller) {
			_, _ = fmt.Fprint(c.conn, "QUERY 1 WRI")
			pause(ctx, e.Duration)
		},
		func(c *caller) {
			_, _ = fmt.Fprint(c.conn, strings.Repeat("QUERY - nonsense\r\n", 5000))
		},
		func(c *caller) {
			_, _ = fmt.Fprint(c.conn, "\x00\xff"+strings.Repeat("x", 2<<20))
		},
	}
	for i := range misbehavingCallers {
		go func() {
			c := &caller{
				soak:  s,
				route: r,
			}
			c.connect(p)
			if c.conn != nil {
				behaviors[i%len(behaviors)](c)
				c.conn.Close()
			}
		}()
	}
}

// writeInvalidEntries writes entries to the store that describe no valid member. The returned function removes them.
func (s *Soak) writeInvalidEntries(e Event) func() {
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

// cutPrimary cuts the network between a member and proxies: all of them, every second one, or all in one direction.
// The returned function ends the cuts.
func (s *Soak) cutPrimary(e Event, m *dbsim.Member) func() {
	cuts := []links.Cut{}
	for i, p := range s.proxies {
		if e.Kind == KindCutPrimaryFromSome && i%2 == 0 {
			continue
		}
		c := links.Cut{
			From: p.name,
			To:   m.Listen.String(),
		}
		if e.Kind == KindCutPrimaryOneWay {
			c.OneWay = true
			if e.Target%2 == 0 {
				c.From, c.To = c.To, c.From
			}
		}
		s.relay.AddCut(c)
		cuts = append(cuts, c)
	}
	return func() {
		for _, c := range cuts {
			s.relay.RemoveCut(c)
		}
	}
}

// impairStore makes the store fail for one proxy or for all. The returned function ends it.
func (s *Soak) impairStore(e Event, p *proxy) func() {
	modes := []keysim.Mode{keysim.ModeRefuse, keysim.ModeLimit, keysim.ModeReset, keysim.ModeSilent}
	f, client := keysim.Fault{}, ""
	switch e.Kind {
	case KindStoreDown:
		f.Mode = modes[e.Target%len(modes)]
	case KindStoreRefusesProxy:
		f.Mode, client = modes[e.Target/11%3], p.name
	case KindStoreSilentToProxy:
		f.Mode, client = keysim.ModeSilent, p.name
	case KindStoreSlow:
		f.Delay = storeDelay
	case KindStoreLosesAnswers:
		f.LostAnswerRate = storeWriteFaultRate
	case KindStoreWritesLate:
		f.LateWriteRate = storeWriteFaultRate
	}
	s.store.SetFault(client, f)
	return func() {
		s.store.SetFault(client, keysim.Fault{})
	}
}

// restoreStore makes the store fail for all proxies. The returned function brings it back from an older copy.
func (s *Soak) restoreStore(e Event) func() {
	s.store.SetFault("", keysim.Fault{
		Mode: keysim.ModeSilent,
	})
	return func() {
		s.store.Restore(e.Duration + minCopyAge + time.Duration(e.Target)*time.Millisecond%(maxCopyAge-minCopyAge))
		s.store.SetFault("", keysim.Fault{})
	}
}
