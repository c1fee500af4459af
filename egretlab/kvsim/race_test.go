package kvsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/retry"
	"egretlane.example/egret/store"
	"egretlane.example/egret/table"
)

const tablesKey = "egretlane/tables"

// start runs a server and returns it with its address.
func start(t *testing.T, s *Server) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Listener = l
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		done <- s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run = %v", err)
		}
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

func dial(t *testing.T, a netip.AddrPort) *store.Client {
	t.Helper()
	c := &store.Client{
		Address: a,
		Timeout: time.Second,
	}
	t.Cleanup(func() {
		_ = c.Close()
	})
	return c
}

// attempt is an apply in the history.
type attempt struct {
	// base is the revision that the edit was made from.
	base uint64

	// unknown says that the outcome isn't known.
	unknown bool

	// made says that the edit took effect, as revision base+1.
	made bool
}

// register is the sequential model of the tables: a revision that an apply raises by one if it was
// made from it.
var register = porcupine.NondeterministicModel{
	Init: func() []any {
		return []any{uint64(0)}
	},
	Step: func(state any, _ any, output any) []any {
		revision := state.(uint64)
		a := output.(attempt)
		raised := []any{a.base + 1}
		switch {
		case a.unknown && a.base == revision:
			return append(raised, revision)
		case a.unknown, !a.made && a.base != revision:
			return []any{revision}
		case a.made && a.base == revision:
			return raised
		default:
			return nil
		}
	},
}

// race is a set of operators that edit one store's tables at once.
type race struct {
	// address is that of the store.
	address netip.AddrPort

	// mu guards the fields below.
	mu      sync.Mutex
	history []porcupine.Operation

	// made and refused hold the IDs of the edits whose outcome is known.
	made    []string
	refused []string
}

// edit makes edits from revisions that it has read, until each is settled or unknown.
func (r *race) edit(t *testing.T, operator int, edits int) {
	e := &table.Editor{
		Store: dial(t, r.address),
		Key:   tablesKey,
		Backoff: retry.Backoff{
			Base: time.Millisecond,
			Cap:  20 * time.Millisecond,
		},
	}
	for i := range edits {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		base, err := e.Read(ctx)
		if err != nil {
			t.Errorf("Read = %v", err)
		} else {
			r.apply(ctx, t, e, operator, fmt.Sprintf("edit-%d-%d", operator, i), base.Revision)
		}
		cancel()
	}
}

func (r *race) apply(ctx context.Context, t *testing.T, e *table.Editor, operator int, id string, base uint64) {
	call := time.Now().UnixNano()
	_, err := e.Apply(ctx, table.Proposal{
		Tables: &egret.Tables{},
		Base:   base,
		Edit: egret.Edit{
			ID: id,
		},
	})
	out := attempt{
		base:    base,
		made:    err == nil,
		unknown: errors.HasType[*table.OutcomeError](err),
	}
	if err != nil && !out.unknown && !errors.Is(err, egret.ErrConflict) {
		t.Errorf("Apply = %v", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{
		ClientId: operator,
		Call:     call,
		Output:   out,
		Return:   time.Now().UnixNano(),
	})
	if out.made {
		r.made = append(r.made, id)
	}
	if !out.made && !out.unknown {
		r.refused = append(r.refused, id)
	}
}

// Operators race each other while the store loses answers, goes down and comes back. Of the edits
// of a revision one takes effect, each operator is told the truth, and proxies see revisions rise.
func TestRacingOperators(t *testing.T) {
	const operators, edits, seed = 4, 12, 7
	t.Logf("seed %d", seed)
	s := &Server{}
	r := &race{
		address: start(t, s),
	}
	ctx, stop := context.WithCancel(t.Context())
	faults := sync.WaitGroup{}
	faults.Go(func() {
		breakAtRandom(ctx, s, rand.New(rand.NewPCG(seed, seed)))
	})
	faults.Go(func() {
		watchRise(ctx, t, dial(t, r.address))
	})
	race := sync.WaitGroup{}
	for o := range operators {
		race.Go(func() {
			r.edit(t, o, edits)
		})
	}
	race.Wait()
	stop()
	faults.Wait()
	r.check(t, s)
}

// check compares what the operators were told with what the store has.
func (r *race) check(t *testing.T, s *Server) {
	v, _ := s.keys.get(tablesKey)
	final, err := table.Decode(v.Revision, v.Data)
	if err != nil {
		t.Fatal(err)
	}
	kept := make(map[string]bool)
	for _, e := range final.Edits {
		kept[e.ID] = true
	}
	for _, id := range r.made {
		if !kept[id] {
			t.Errorf("%s was told to have taken effect and isn't in the history", id)
		}
	}
	for _, id := range r.refused {
		if kept[id] {
			t.Errorf("%s was told to have been refused and is in the history", id)
		}
	}
	if uint64(len(kept)) != v.Revision {
		t.Errorf("%d edits in revision %d", len(kept), v.Revision)
	}
	if !porcupine.CheckOperations(register.ToModel(), r.history) {
		t.Error("the history of edits is not linearizable")
	}
	t.Logf("%d made, %d refused, %d in all", len(r.made), len(r.refused), len(r.history))
}

// breakAtRandom changes the store's fault until the context ends, and mends it.
func breakAtRandom(ctx context.Context, s *Server, r *rand.Rand) {
	modes := []Mode{ModeNone, ModeLoseAnswer, ModeDown, ModeLoseAnswer, ModeSlow}
	for ctx.Err() == nil {
		_ = s.Break(modes[r.IntN(len(modes))], 5*time.Millisecond)
		select {
		case <-time.After(time.Duration(r.IntN(20)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
	_ = s.Break(ModeNone, 0)
}

// watchRise keeps tables in force and checks that their revision only rises.
func watchRise(ctx context.Context, t *testing.T, c *store.Client) {
	k := &table.Keeper{
		Store: c,
		Key:   tablesKey,
	}
	go func() {
		_ = k.Run(ctx)
	}()
	last := uint64(0)
	for {
		changed := k.Changed()
		if now := k.Now(); now != nil {
			if now.Revision < last {
				t.Errorf("revision %d after %d", now.Revision, last)
			}
			last = now.Revision
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
