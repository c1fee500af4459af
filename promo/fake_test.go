package promo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"egretlane.example/egret"
)

// entry is an entry of a member's log.
type entry struct {
	term uint64
	id   int
}

// ackedEntry is an entry whose write was acknowledged, since a second member has it.
type ackedEntry struct {
	entry  entry
	offset int
}

// fakeMember is a member that behaves as docs/ASSUMPTIONS.md says.
type fakeMember struct {
	egret.Member
	role     egret.Role
	granted  uint64
	log      []entry
	upstream netip.AddrPort

	// followed is the term of the primary that a replica follows.
	followed uint64

	// A member that is down refuses connections. One that is frozen gives no answer.
	down   bool
	frozen bool
}

func (fm *fakeMember) end() egret.Position {
	if len(fm.log) == 0 {
		return egret.Position{}
	}
	return egret.Position{
		Term:   fm.log[len(fm.log)-1].term,
		Offset: uint64(len(fm.log)),
	}
}

func (fm *fakeMember) state() egret.MemberState {
	return egret.MemberState{
		Member:      fm.Name,
		Role:        fm.role,
		GrantedTerm: fm.granted,
		Received:    fm.end(),
		Upstream:    fm.upstream,
		SampledAt:   time.Now(),
	}
}

// fakeGroup simulates a group of three members, the network with its faults, and what each proxy knows.
type fakeGroup struct {
	tb    testing.TB
	group egret.Group
	nodes []egret.Node

	// latency is the average time of a message one way, replicationDelay the interval of replication.
	latency          time.Duration
	replicationDelay time.Duration

	mu        sync.Mutex
	random    *rand.Rand
	members   []*fakeMember
	announced map[string]egret.GroupPrimary
	cut       map[route]bool
	loss      float64
	primaries map[uint64]string
	acked     []ackedEntry
	lastID    int
	stopped   bool

	// leaving names the member that the platform says is leaving.
	leaving string

	// onCall runs before a call is sent, without mu. Tests stop a proxy in it.
	onCall func(node string, step string)

	// promotions counts the promotions that took effect.
	promotions int
}

// route is the network path from a proxy to a member, or between two members.
type route struct {
	from string
	to   string
}

func newFakeGroup(tb testing.TB, seed uint64) *fakeGroup {
	fg := &fakeGroup{
		tb:               tb,
		latency:          2 * time.Millisecond,
		replicationDelay: 5 * time.Millisecond,
		random:           rand.New(rand.NewPCG(seed, 1)),
		announced:        map[string]egret.GroupPrimary{},
		cut:              map[route]bool{},
		primaries: map[uint64]string{
			1: "member-1",
		},
		group: egret.Group{
			Name: "catalogo-1",
		},
	}
	for i := range 3 {
		m := egret.Member{
			Name:    fmt.Sprintf("member-%d", i+1),
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(6501+i)),
			Region:  fmt.Sprintf("region-%d", i/2),
			Domain:  fmt.Sprintf("domain-%d", i),
		}
		fg.group.Members = append(fg.group.Members, m)
		fm := &fakeMember{
			Member:   m,
			role:     egret.RoleReplica,
			granted:  1,
			followed: 1,
			upstream: fg.group.Members[0].Address,
		}
		if i == 0 {
			fm.role = egret.RolePrimary
			fm.upstream = netip.AddrPort{}
			fm.log = []entry{{
				term: 1,
			}}
		}
		fg.members = append(fg.members, fm)
		fg.nodes = append(fg.nodes, egret.Node{
			ID:     fmt.Sprintf("proxy-%d", i+1),
			Region: m.Region,
			Domain: m.Domain,
			State:  egret.NodeAlive,
		})
	}
	go fg.replicate()
	return fg
}

// replicate copies entries from the members to their replicas until the test ends.
func (fg *fakeGroup) replicate() {
	for {
		fg.mu.Lock()
		delay := fg.replicationDelay
		fg.mu.Unlock()
		time.Sleep(delay)
		fg.mu.Lock()
		if fg.stopped {
			fg.mu.Unlock()
			return
		}
		for _, r := range fg.members {
			for _, p := range fg.members {
				fg.replicateEntries(p, r)
			}
		}
		fg.mu.Unlock()
	}
}

// replicateEntries copies up to three entries from p to r if r is a replica of p. Entries that a primary lacks are
// dropped first. A fenced p gives its entries only to a replica that has none beyond its own.
func (fg *fakeGroup) replicateEntries(p, r *fakeMember) {
	follows := r.role == egret.RoleReplica && r.upstream == p.Address && r.granted == r.followed
	leads := p.role == egret.RolePrimary && p.granted == r.followed || p.role == egret.RoleFenced
	if !follows || !leads || p.down || p.frozen || r.down || r.frozen || fg.cut[route{p.Name, r.Name}] {
		return
	}
	// Logs that agree in an entry are equal up to it.
	common := min(len(p.log), len(r.log))
	for common > 0 && p.log[common-1] != r.log[common-1] {
		common--
	}
	if p.role == egret.RoleFenced && common < len(r.log) {
		return
	}
	r.log = append(r.log[:common:common], p.log[common:min(len(p.log), common+3)]...)
}

// call runs a platform function of a member, with the network's latency and faults.
func (fg *fakeGroup) call(ctx context.Context, node string, m egret.Member, step string, f func(fm *fakeMember) error) (egret.MemberState, error) {
	fg.mu.Lock()
	onCall := fg.onCall
	fg.mu.Unlock()
	if onCall != nil {
		onCall(node, step)
	}
	if err := fg.deliver(ctx, node, m.Name); err != nil {
		return egret.MemberState{}, err
	}
	fg.mu.Lock()
	fm := fg.member(m.Name)
	err := f(fm)
	s := fm.state()
	fg.mu.Unlock()
	if err != nil {
		return egret.MemberState{}, err
	}
	return s, fg.deliver(ctx, node, m.Name)
}

// deliver simulates the delivery of one message between a proxy and a member. A lost message blocks until the context
// ends.
func (fg *fakeGroup) deliver(ctx context.Context, node, member string) error {
	fg.mu.Lock()
	fm := fg.member(member)
	lost := fm.frozen || fg.cut[route{node, member}] || fg.random.Float64() < fg.loss
	down := fm.down
	latency := fg.latency/2 + time.Duration(fg.random.Int64N(int64(fg.latency)))
	fg.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	if !sleep(ctx, latency) {
		return ctx.Err()
	}
	if down {
		return errors.New("connection refused")
	}
	return nil
}

func (fg *fakeGroup) member(name string) *fakeMember {
	i := slices.IndexFunc(fg.members, func(fm *fakeMember) bool {
		return fm.Name == name
	})
	return fg.members[i]
}

// fakeControl implements egret.MemberControl for one proxy.
type fakeControl struct {
	fake *fakeGroup
	node string
}

func (c *fakeControl) Status(ctx context.Context, m egret.Member) (egret.MemberState, error) {
	return c.fake.call(ctx, c.node, m, "status", func(*fakeMember) error {
		return nil
	})
}

func (c *fakeControl) Fence(ctx context.Context, m egret.Member, term uint64) (egret.MemberState, error) {
	return c.fake.call(ctx, c.node, m, "fence", func(fm *fakeMember) error {
		if term <= fm.granted {
			return &egret.TermError{
				Member:  fm.Name,
				Granted: fm.granted,
			}
		}
		fm.granted = term
		fm.role = egret.RoleFenced
		fm.upstream = netip.AddrPort{}
		return nil
	})
}

func (c *fakeControl) Promote(ctx context.Context, m egret.Member, term uint64) (egret.MemberState, error) {
	return c.fake.call(ctx, c.node, m, "promote", func(fm *fakeMember) error {
		return c.fake.promote(fm, term)
	})
}

// promote makes a member primary. It checks that the term has no other primary, and that the member's log holds all
// entries acknowledged in earlier terms.
func (fg *fakeGroup) promote(fm *fakeMember, term uint64) error {
	switch {
	case fm.granted > term:
		return &egret.TermError{
			Member:  fm.Name,
			Granted: fm.granted,
		}
	case fm.role == egret.RolePrimary && fm.granted == term:
		return nil
	case fm.role != egret.RoleFenced || fm.granted != term:
		return errors.New("not fenced in the term")
	}
	if other := fg.primaries[term]; other != "" && other != fm.Name {
		fg.tb.Errorf("term %d has two primaries: %s and %s", term, other, fm.Name)
	}
	for _, a := range fg.acked {
		if a.entry.term < term && (len(fm.log) < a.offset || fm.log[a.offset-1] != a.entry) {
			fg.tb.Errorf("%s leads term %d without the acknowledged entry %d of term %d", fm.Name, term, a.entry.id, a.entry.term)
		}
	}
	fg.primaries[term] = fm.Name
	fg.promotions++
	fm.role = egret.RolePrimary
	fm.log = append(fm.log, entry{
		term: term,
	})
	return nil
}

func (c *fakeControl) Follow(ctx context.Context, m egret.Member, term uint64, primary netip.AddrPort) (egret.MemberState, error) {
	return c.fake.call(ctx, c.node, m, "follow", func(fm *fakeMember) error {
		if fm.granted > term {
			return &egret.TermError{
				Member:  fm.Name,
				Granted: fm.granted,
			}
		}
		if fm.role == egret.RolePrimary && fm.granted == term {
			return errors.New("primary of the term")
		}
		fm.granted = term
		fm.followed = term
		fm.role = egret.RoleReplica
		fm.upstream = primary
		return nil
	})
}

func (c *fakeControl) AwaitPosition(ctx context.Context, m egret.Member, p egret.Position, wait time.Duration) (egret.MemberState, error) {
	deadline := time.Now().Add(wait)
	for {
		s, err := c.Status(ctx, m)
		if err != nil || s.Received.Reaches(p) || s.GrantedTerm != p.Term || time.Now().After(deadline) {
			return s, err
		}
		if !sleep(ctx, 5*time.Millisecond) {
			return s, ctx.Err()
		}
	}
}

// fakePeers implements egret.Peers for one proxy. An announced primary reaches the other proxies after 30 ms.
type fakePeers struct {
	fake *fakeGroup
	self egret.Node
}

func (p *fakePeers) Self() egret.Node   { return p.self }
func (p *fakePeers) Live() []egret.Node { return p.fake.live() }

func (p *fakePeers) Primary(string) (egret.GroupPrimary, bool) {
	p.fake.mu.Lock()
	defer p.fake.mu.Unlock()
	current, known := p.fake.announced[p.self.ID]
	return current, known
}

func (p *fakePeers) AnnouncePrimary(announced egret.GroupPrimary) {
	p.fake.storePrimary(p.self.ID, announced)
	go func() {
		time.Sleep(30 * time.Millisecond)
		for _, n := range p.fake.live() {
			p.fake.storePrimary(n.ID, announced)
		}
	}()
}

func (fg *fakeGroup) live() []egret.Node {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	return fg.nodes
}

func (fg *fakeGroup) storePrimary(node string, announced egret.GroupPrimary) {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	if fg.announced[node].Term < announced.Term {
		fg.announced[node] = announced
	}
}

func (p *fakePeers) TablesInForce() *egret.Tables {
	return &egret.Tables{
		Revision: 1,
		Pools: []egret.Pool{{
			Name:   "catalogo",
			Groups: []egret.Group{p.fake.group},
		}},
	}
}

// start runs the watcher of the proxy with the index until the context ends.
func (fg *fakeGroup) start(ctx context.Context, i int) *Watcher {
	watcher := &Watcher{
		Peers: &fakePeers{
			fake: fg,
			self: fg.nodes[i],
		},
		Control: &fakeControl{
			fake: fg,
			node: fg.nodes[i].ID,
		},
		Leaving: func(member string) bool {
			fg.mu.Lock()
			defer fg.mu.Unlock()
			return member == fg.leaving
		},
		Seed: uint64(i + 1),
	}
	watcher.StatusVia = func(ctx context.Context, n egret.Node, group, member string) (egret.MemberState, error) {
		asked := &fakeControl{
			fake: fg,
			node: n.ID,
		}
		deadline, _ := ctx.Deadline()
		asking, cancel := context.WithDeadline(ctx, deadline.Add(-witnessMargin))
		defer cancel()
		s, err := asked.Status(asking, memberOf(fg.group, member))
		if err != nil {
			return s, egret.ErrMemberNotReached
		}
		return s, nil
	}
	go watcher.Run(ctx)
	return watcher
}

// write appends entries at an interval to a random primary that takes writes, and records those that a second member
// confirms.
func (fg *fakeGroup) write(ctx context.Context, interval time.Duration) {
	for sleep(ctx, interval) {
		fg.mu.Lock()
		writable := []*fakeMember{}
		for _, fm := range fg.members {
			if fm.role == egret.RolePrimary && !fm.down && !fm.frozen {
				writable = append(writable, fm)
			}
		}
		if len(writable) > 0 {
			fm := writable[fg.random.IntN(len(writable))]
			fg.lastID++
			e := entry{
				term: fm.granted,
				id:   fg.lastID,
			}
			fm.log = append(fm.log, e)
			go fg.confirm(ctx, fm.Name, e, fm.end())
		}
		fg.mu.Unlock()
	}
}

// confirm polls the other members for up to 300 ms until one has received the entry in its term, and records the entry
// as acknowledged.
func (fg *fakeGroup) confirm(ctx context.Context, primary string, e entry, p egret.Position) {
	c := &fakeControl{
		fake: fg,
		node: "writer",
	}
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	for ctx.Err() == nil {
		for _, m := range fg.group.Members {
			s, err := c.Status(ctx, m)
			if m.Name == primary || err != nil || s.GrantedTerm != p.Term || !s.Received.Reaches(p) {
				continue
			}
			fg.mu.Lock()
			fg.acked = append(fg.acked, ackedEntry{
				entry:  e,
				offset: int(p.Offset),
			})
			fg.mu.Unlock()
			return
		}
		sleep(ctx, 5*time.Millisecond)
	}
}

// converged reports whether there is one primary, the other members follow it with the same log, and all proxies know
// it.
func (fg *fakeGroup) converged() bool {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	primary := slices.MaxFunc(fg.members, func(a, b *fakeMember) int {
		return cmp.Compare(a.granted, b.granted)
	})
	for _, fm := range fg.members {
		if fm.role == egret.RolePrimary {
			primary = fm
		}
	}
	for _, n := range fg.nodes {
		if f := fg.announced[n.ID]; f.Term != primary.granted || f.Primary != primary.Name {
			return false
		}
	}
	for _, fm := range fg.members {
		follows := fm.role == egret.RoleReplica && fm.upstream == primary.Address && fm.granted == primary.granted
		if fm != primary && (!follows || !slices.Equal(fm.log, primary.log)) {
			return false
		}
	}
	return primary.role == egret.RolePrimary
}

// waitFor waits for a condition and returns how long it took, on the test's simulated clock. It fails the test after
// the limit.
func (fg *fakeGroup) waitFor(what string, limit time.Duration, condition func() bool) time.Duration {
	fg.tb.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			fg.mu.Lock()
			for _, fm := range fg.members {
				fg.tb.Logf("%s: %+v down %t frozen %t", fm.Name, fm.state(), fm.down, fm.frozen)
			}
			fg.tb.Logf("announced: %v", fg.announced)
			fg.mu.Unlock()
			fg.tb.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// locked runs f with mu held.
func (fg *fakeGroup) locked(f func()) {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	f()
}

// activePrimary returns the name of the primary of the highest term that takes writes, and the number of promotions so
// far.
func (fg *fakeGroup) activePrimary() (string, int) {
	fg.mu.Lock()
	defer fg.mu.Unlock()
	best := &fakeMember{}
	for _, fm := range fg.members {
		if fm.role == egret.RolePrimary && !fm.down && !fm.frozen && fm.granted > best.granted {
			best = fm
		}
	}
	return best.Name, fg.promotions
}
