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

// entry is an entry of a log.
type entry struct {
	term uint64
	id   int
}

// ack is an entry that a writer was told is safe.
type ack struct {
	entry  entry
	offset int
}

// backend is a member that keeps to docs/ASSUMPTIONS.md.
type backend struct {
	egret.Member
	role     egret.Role
	granted  uint64
	log      []entry
	upstream netip.AddrPort

	// followed is the term of the primary that a replica follows.
	followed uint64

	// down refuses connections, frozen gives no answer.
	down   bool
	frozen bool
}

func (b *backend) end() egret.Position {
	if len(b.log) == 0 {
		return egret.Position{}
	}
	return egret.Position{
		Term:   b.log[len(b.log)-1].term,
		Offset: uint64(len(b.log)),
	}
}

func (b *backend) state() egret.MemberState {
	return egret.MemberState{
		Member:   b.Name,
		Role:     b.role,
		Granted:  b.granted,
		Received: b.end(),
		Upstream: b.upstream,
		Sampled:  time.Now(),
	}
}

// world is a group of three members, the proxies' facts and the faults.
type world struct {
	tb    testing.TB
	group egret.Group
	nodes []egret.Node

	// latency is a call's time each way, delay that of replication.
	latency time.Duration
	delay   time.Duration

	mu       sync.Mutex
	random   *rand.Rand
	backends []*backend
	facts    map[string]egret.GroupFact
	cut      map[link]bool
	loss     float64
	leaders  map[uint64]string
	acked    []ack
	next     int
	stopped  bool

	// leaving names the member that the platform says is leaving.
	leaving string

	// onCall runs before a call takes effect, without mu. It is for promoters that die.
	onCall func(node string, step string)

	// promoted counts effective promotions.
	promoted int
}

// link is a way between a proxy and a member, or two members.
type link struct {
	a string
	b string
}

func newWorld(tb testing.TB, seed uint64) *world {
	w := &world{
		tb:      tb,
		latency: 2 * time.Millisecond,
		delay:   5 * time.Millisecond,
		random:  rand.New(rand.NewPCG(seed, 1)),
		facts:   map[string]egret.GroupFact{},
		cut:     map[link]bool{},
		leaders: map[uint64]string{
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
		w.group.Members = append(w.group.Members, m)
		b := &backend{
			Member:   m,
			role:     egret.RoleReplica,
			granted:  1,
			followed: 1,
			upstream: w.group.Members[0].Address,
		}
		if i == 0 {
			b.role = egret.RolePrimary
			b.upstream = netip.AddrPort{}
			b.log = []entry{{
				term: 1,
			}}
		}
		w.backends = append(w.backends, b)
		w.nodes = append(w.nodes, egret.Node{
			ID:     fmt.Sprintf("proxy-%d", i+1),
			Region: m.Region,
			Domain: m.Domain,
			State:  egret.NodeAlive,
		})
	}
	go w.replicate()
	return w
}

// replicate moves logs from primaries to the replicas that follow them.
func (w *world) replicate() {
	for {
		w.mu.Lock()
		delay := w.delay
		w.mu.Unlock()
		time.Sleep(delay)
		w.mu.Lock()
		if w.stopped {
			w.mu.Unlock()
			return
		}
		for _, r := range w.backends {
			for _, p := range w.backends {
				w.pass(p, r)
			}
		}
		w.mu.Unlock()
	}
}

// pass gives a replica up to three entries of its upstream.
func (w *world) pass(p, r *backend) {
	follows := r.role == egret.RoleReplica && r.upstream == p.Address && r.granted == r.followed
	leads := p.role == egret.RolePrimary && p.granted == r.followed || p.role == egret.RoleFenced
	if !follows || !leads || p.down || p.frozen || r.down || r.frozen || w.cut[link{p.Name, r.Name}] {
		return
	}
	// Logs with an equal entry are equal up to it.
	common := min(len(p.log), len(r.log))
	for common > 0 && p.log[common-1] != r.log[common-1] {
		common--
	}
	if p.role == egret.RoleFenced && common < len(r.log) {
		return
	}
	r.log = append(r.log[:common:common], p.log[common:min(len(p.log), common+3)]...)
}

// call runs a platform function of a member, with the network's latency and losses.
func (w *world) call(ctx context.Context, node string, m egret.Member, step string, f func(b *backend) error) (egret.MemberState, error) {
	w.mu.Lock()
	onCall := w.onCall
	w.mu.Unlock()
	if onCall != nil {
		onCall(node, step)
	}
	if err := w.travel(ctx, node, m.Name); err != nil {
		return egret.MemberState{}, err
	}
	w.mu.Lock()
	b := w.backend(m.Name)
	err := f(b)
	s := b.state()
	w.mu.Unlock()
	if err != nil {
		return egret.MemberState{}, err
	}
	return s, w.travel(ctx, node, m.Name)
}

// travel takes a message one way.
func (w *world) travel(ctx context.Context, node, member string) error {
	w.mu.Lock()
	b := w.backend(member)
	lost := b.frozen || w.cut[link{node, member}] || w.random.Float64() < w.loss
	down := b.down
	took := w.latency/2 + time.Duration(w.random.Int64N(int64(w.latency)))
	w.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	if !pause(ctx, took) {
		return ctx.Err()
	}
	if down {
		return errors.New("connection refused")
	}
	return nil
}

func (w *world) backend(name string) *backend {
	i := slices.IndexFunc(w.backends, func(b *backend) bool {
		return b.Name == name
	})
	return w.backends[i]
}

// control is the way of one proxy to the members.
type control struct {
	world *world
	node  string
}

func (c *control) Status(ctx context.Context, m egret.Member) (egret.MemberState, error) {
	return c.world.call(ctx, c.node, m, "status", func(*backend) error {
		return nil
	})
}

func (c *control) Fence(ctx context.Context, m egret.Member, term uint64) (egret.MemberState, error) {
	return c.world.call(ctx, c.node, m, "fence", func(b *backend) error {
		if term <= b.granted {
			return &egret.TermError{
				Member:  b.Name,
				Granted: b.granted,
			}
		}
		b.granted = term
		b.role = egret.RoleFenced
		b.upstream = netip.AddrPort{}
		return nil
	})
}

func (c *control) Promote(ctx context.Context, m egret.Member, term uint64) (egret.MemberState, error) {
	return c.world.call(ctx, c.node, m, "promote", func(b *backend) error {
		return c.world.promote(b, term)
	})
}

// promote makes a member lead and checks that nothing acknowledged is missing.
func (w *world) promote(b *backend, term uint64) error {
	switch {
	case b.granted > term:
		return &egret.TermError{
			Member:  b.Name,
			Granted: b.granted,
		}
	case b.role == egret.RolePrimary && b.granted == term:
		return nil
	case b.role != egret.RoleFenced || b.granted != term:
		return errors.New("not fenced in the term")
	}
	if other := w.leaders[term]; other != "" && other != b.Name {
		w.tb.Errorf("term %d has two primaries: %s and %s", term, other, b.Name)
	}
	for _, a := range w.acked {
		if a.entry.term < term && (len(b.log) < a.offset || b.log[a.offset-1] != a.entry) {
			w.tb.Errorf("%s leads term %d without the acknowledged entry %d of term %d", b.Name, term, a.entry.id, a.entry.term)
		}
	}
	w.leaders[term] = b.Name
	w.promoted++
	b.role = egret.RolePrimary
	b.log = append(b.log, entry{
		term: term,
	})
	return nil
}

func (c *control) Follow(ctx context.Context, m egret.Member, term uint64, primary netip.AddrPort) (egret.MemberState, error) {
	return c.world.call(ctx, c.node, m, "follow", func(b *backend) error {
		if b.granted > term {
			return &egret.TermError{
				Member:  b.Name,
				Granted: b.granted,
			}
		}
		if b.role == egret.RolePrimary && b.granted == term {
			return errors.New("primary of the term")
		}
		b.granted = term
		b.followed = term
		b.role = egret.RoleReplica
		b.upstream = primary
		return nil
	})
}

func (c *control) Await(ctx context.Context, m egret.Member, p egret.Position, wait time.Duration) (egret.MemberState, error) {
	over := time.Now().Add(wait)
	for {
		s, err := c.Status(ctx, m)
		if err != nil || s.Received.Reaches(p) || s.Granted != p.Term || time.Now().After(over) {
			return s, err
		}
		if !pause(ctx, 5*time.Millisecond) {
			return s, ctx.Err()
		}
	}
}

// peers is the view of one proxy. Facts reach the others a little later.
type peers struct {
	world *world
	self  egret.Node
}

func (p *peers) Self() egret.Node   { return p.self }
func (p *peers) Live() []egret.Node { return p.world.live() }

func (p *peers) Primary(string) (egret.GroupFact, bool) {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	f, ok := p.world.facts[p.self.ID]
	return f, ok
}

func (p *peers) Announce(f egret.GroupFact) {
	p.world.learn(p.self.ID, f)
	go func() {
		time.Sleep(30 * time.Millisecond)
		for _, n := range p.world.live() {
			p.world.learn(n.ID, f)
		}
	}()
}

func (w *world) live() []egret.Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes
}

func (w *world) learn(node string, f egret.GroupFact) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.facts[node].Term < f.Term {
		w.facts[node] = f
	}
}

func (p *peers) TablesNow() *egret.Tables {
	return &egret.Tables{
		Revision: 1,
		Pools: []egret.Pool{{
			Name:   "catalogo",
			Groups: []egret.Group{p.world.group},
		}},
	}
}

// start runs the watcher of a proxy until the context ends.
func (w *world) start(ctx context.Context, i int) *Watcher {
	watcher := &Watcher{
		Peers: &peers{
			world: w,
			self:  w.nodes[i],
		},
		Control: &control{
			world: w,
			node:  w.nodes[i].ID,
		},
		Leaving: func(member string) bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return member == w.leaving
		},
		Seed: uint64(i + 1),
	}
	watcher.Ask = func(ctx context.Context, n egret.Node, group, member string) (egret.MemberState, error) {
		asked := &control{
			world: w,
			node:  n.ID,
		}
		deadline, _ := ctx.Deadline()
		asking, cancel := context.WithDeadline(ctx, deadline.Add(-witnessMargin))
		defer cancel()
		s, err := asked.Status(asking, memberOf(w.group, member))
		if err != nil {
			return s, egret.ErrUnseen
		}
		return s, nil
	}
	go watcher.Run(ctx)
	return watcher
}

// write places entries on whoever takes them and notes those that a second member confirms.
func (w *world) write(ctx context.Context, pace time.Duration) {
	for pause(ctx, pace) {
		w.mu.Lock()
		leading := []*backend{}
		for _, b := range w.backends {
			if b.role == egret.RolePrimary && !b.down && !b.frozen {
				leading = append(leading, b)
			}
		}
		if len(leading) > 0 {
			b := leading[w.random.IntN(len(leading))]
			w.next++
			e := entry{
				term: b.granted,
				id:   w.next,
			}
			b.log = append(b.log, e)
			go w.confirm(ctx, b.Name, e, b.end())
		}
		w.mu.Unlock()
	}
}

// confirm asks the other members whether they have received the entry in its term.
func (w *world) confirm(ctx context.Context, primary string, e entry, p egret.Position) {
	c := &control{
		world: w,
		node:  "writer",
	}
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	for ctx.Err() == nil {
		for _, m := range w.group.Members {
			s, err := c.Status(ctx, m)
			if m.Name == primary || err != nil || s.Granted != p.Term || !s.Received.Reaches(p) {
				continue
			}
			w.mu.Lock()
			w.acked = append(w.acked, ack{
				entry:  e,
				offset: int(p.Offset),
			})
			w.mu.Unlock()
			return
		}
		pause(ctx, 5*time.Millisecond)
	}
}

// settled reports whether one primary leads, the others follow it with the same log, and all
// proxies know it.
func (w *world) settled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	lead := slices.MaxFunc(w.backends, func(a, b *backend) int {
		return cmp.Compare(a.granted, b.granted)
	})
	for _, b := range w.backends {
		if b.role == egret.RolePrimary {
			lead = b
		}
	}
	for _, n := range w.nodes {
		if f := w.facts[n.ID]; f.Term != lead.granted || f.Primary != lead.Name {
			return false
		}
	}
	for _, b := range w.backends {
		follows := b.role == egret.RoleReplica && b.upstream == lead.Address && b.granted == lead.granted
		if b != lead && (!follows || !slices.Equal(b.log, lead.log)) {
			return false
		}
	}
	return lead.role == egret.RolePrimary
}

// await waits for a condition, in the test's own time.
func (w *world) await(what string, limit time.Duration, condition func() bool) time.Duration {
	w.tb.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			w.mu.Lock()
			for _, b := range w.backends {
				w.tb.Logf("%s: %+v down %t frozen %t", b.Name, b.state(), b.down, b.frozen)
			}
			w.tb.Logf("facts: %v", w.facts)
			w.mu.Unlock()
			w.tb.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// change runs f under the lock.
func (w *world) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// led returns the primary that takes writes and the number of promotions so far.
func (w *world) led() (string, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	best := &backend{}
	for _, b := range w.backends {
		if b.role == egret.RolePrimary && !b.down && !b.frozen && b.granted > best.granted {
			best = b
		}
	}
	return best.Name, w.promoted
}
