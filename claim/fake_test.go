package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

// errCut is what a call gets whose way is cut.
const errCut = errors.ConstError("the way is cut")

// world is a store and processes with the ways between them.
type world struct {
	mu        sync.Mutex
	item      egret.Item
	revision  uint64
	claims    []*Claim
	cutStore  map[string]bool
	loseReply map[string]bool
	cutPeers  map[[2]string]bool
	lateness  time.Duration

	// unseen keeps changes from those that watch the store.
	unseen bool

	// conflicts counts writes at a revision that is no longer the newest.
	conflicts int
}

func newWorld() *world {
	return &world{
		cutStore:  map[string]bool{},
		loseReply: map[string]bool{},
		cutPeers:  map[[2]string]bool{},
		revision:  1,
	}
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

func nodeAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

// start adds processes and runs them until the test ends.
func (w *world) start(t *testing.T, n int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range n {
		c := &Claim{
			Service: "s",
			Keys:    &fakeKeys{world: w, node: nodeName(i)},
			Self: Self{
				Node:        nodeName(i),
				Incarnation: "1",
				Address:     nodeAddress(i),
			},
			Peers: &fakePeers{world: w, index: i, total: n, silentSince: map[string]clock.Time{}},
			Fresh: true,
			Held:  func(*Claim) func() { return func() {} },
		}
		c.Init()
		c.Observe(egret.Item{})
		w.claims = append(w.claims, c)
	}
	for _, c := range w.claims {
		go func() { _ = c.Run(ctx) }()
	}
	go w.watch(ctx)
}

// watch shows the newest item to all that reach the store.
func (w *world) watch(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		item := w.item
		open := []*Claim{}
		for _, c := range w.claims {
			if !w.cutStore[c.Self.Node] && !w.unseen {
				open = append(open, c)
			}
		}
		w.mu.Unlock()
		if item.Revision != 0 {
			for _, c := range open {
				c.Observe(item)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (w *world) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// valid returns the claim that is in force, or nil. It fails the test if there are two.
func (w *world) valid(t *testing.T) *Claim {
	t.Helper()
	for _, a := range w.claims {
		if !a.Valid() {
			continue
		}
		for _, b := range w.claims {
			if b != a && b.Valid() && a.Valid() {
				t.Fatalf("%s and %s both hold the service", a.Self.Node, b.Self.Node)
			}
		}
		return a
	}
	return nil
}

// await waits until a claim is in force that fits, watching that there are never two.
func (w *world) await(t *testing.T, what string, limit time.Duration, fits func(c *Claim) bool) *Claim {
	t.Helper()
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if c := w.valid(t); c != nil && fits(c) {
			return c
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("no %s within %v", what, limit)
	return nil
}

// fakeKeys is one process's way to the store.
type fakeKeys struct {
	egret.Keyspace
	world *world
	node  string
}

func (k *fakeKeys) reach(ctx context.Context) error {
	k.world.mu.Lock()
	cut := k.world.cutStore[k.node]
	k.world.mu.Unlock()
	// A call waits on a way that is cut, and goes through if that heals in time.
	for cut {
		select {
		case <-ctx.Done():
			return errCut
		case <-time.After(5 * time.Millisecond):
		}
		k.world.mu.Lock()
		cut = k.world.cutStore[k.node]
		k.world.mu.Unlock()
	}
	return nil
}

func (k *fakeKeys) Read(ctx context.Context, key string) (egret.Item, error) {
	if err := k.reach(ctx); err != nil {
		return egret.Item{}, err
	}
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	if k.world.item.Revision == 0 {
		return egret.Item{Key: key}, nil
	}
	return k.world.item, nil
}

func (k *fakeKeys) Swap(ctx context.Context, key string, revision uint64, data []byte, _ egret.LeaseID) (uint64, error) {
	if err := k.reach(ctx); err != nil {
		return 0, err
	}
	w := k.world
	w.mu.Lock()
	lose, late := w.loseReply[k.node], w.lateness
	w.mu.Unlock()
	if lose {
		go func() {
			time.Sleep(late)
			_, _ = w.swap(key, revision, data)
		}()
		<-ctx.Done()
		return 0, errCut
	}
	return w.swap(key, revision, data)
}

func (w *world) swap(key string, revision uint64, data []byte) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.item.Revision != revision {
		w.conflicts++
		return 0, errors.Trace(egret.ErrConflict)
	}
	w.revision++
	w.item = egret.Item{
		Key:      key,
		Data:     slices.Clone(data),
		Revision: w.revision,
	}
	return w.revision, nil
}

// fakePeers is one process's view of the others.
type fakePeers struct {
	world        *world
	index, total int

	// looks counts how often the process looked after a holder.
	looks atomic.Int64

	mu          sync.Mutex
	silentSince map[string]clock.Time
}

func (p *fakePeers) reaches(node string) bool {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	return !p.world.cutPeers[[2]string{nodeName(p.index), node}] && !p.world.cutPeers[[2]string{node, nodeName(p.index)}]
}

func (p *fakePeers) Rank(_ string, most int) int { return min(p.index, most) }

func (p *fakePeers) Silent(r Record) time.Duration {
	p.looks.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reaches(r.Node) {
		delete(p.silentSince, r.Node)
		return 0
	}
	if p.silentSince[r.Node] == 0 {
		p.silentSince[r.Node] = clock.Now()
	}
	return clock.Since(p.silentSince[r.Node])
}

func (p *fakePeers) GaveUp(revision uint64) bool {
	for i, c := range p.world.claims {
		if p.reaches(nodeName(i)) && c.GivenUp() == revision {
			return true
		}
	}
	return false
}

func (p *fakePeers) Answers(_ context.Context, r Record) bool { return p.reaches(r.Node) }

func (p *fakePeers) Stopped(context.Context, Record) bool { return false }

func (p *fakePeers) Voters() []Voter {
	voters := []Voter{}
	for i := range p.total {
		voters = append(voters, Voter{Node: nodeName(i), Address: nodeAddress(i)})
	}
	return voters
}

func (p *fakePeers) find(ctx context.Context, v Voter) (*Claim, error) {
	if !p.reaches(v.Node) {
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
		return nil, errCut
	}
	for _, c := range p.world.claims {
		if c.Self.Node == v.Node {
			return c, nil
		}
	}
	return nil, errCut
}

func (p *fakePeers) Promise(ctx context.Context, v Voter, _ string, q Promise) (bool, error) {
	c, err := p.find(ctx, v)
	if err != nil {
		return false, err
	}
	return c.Grant(q), nil
}

func (p *fakePeers) Clear(ctx context.Context, v Voter, _ string, revision uint64) (time.Duration, Intent, error) {
	c, err := p.find(ctx, v)
	if err != nil {
		return 0, Intent{}, err
	}
	left, in := c.Bar(revision)
	return left, in, nil
}

// chaos cuts and heals ways at random for a while.
func (w *world) chaos(seed uint64, rounds int, pause time.Duration) {
	r := rand.New(rand.NewPCG(seed, seed))
	n := len(w.claims)
	for range rounds {
		w.change(func() {
			clear(w.cutStore)
			clear(w.loseReply)
			clear(w.cutPeers)
			w.lateness = time.Duration(r.IntN(2000)) * time.Millisecond
			for i := range n {
				w.cutStore[nodeName(i)] = r.IntN(3) == 0
				w.loseReply[nodeName(i)] = r.IntN(5) == 0
				for j := range n {
					w.cutPeers[[2]string{nodeName(i), nodeName(j)}] = i != j && r.IntN(6) == 0
				}
			}
			if r.IntN(8) == 0 {
				w.item = egret.Item{}
			}
		})
		time.Sleep(pause)
	}
}
