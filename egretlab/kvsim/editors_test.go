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

// start runs a server until the test ends and returns its address.
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

// outcome is the result of an apply in the history.
type outcome struct {
	// base is the revision that the edit was based on.
	base uint64

	// unknown says that it isn't known whether the edit took effect.
	unknown bool

	// applied says that the edit took effect, as revision base+1.
	applied bool
}

// tablesModel is the sequential model of the tables: a revision that an apply raises by one if the edit was
// based on it.
var tablesModel = porcupine.NondeterministicModel{
	Init: func() []any {
		return []any{uint64(0)}
	},
	Step: func(state any, _ any, output any) []any {
		revision := state.(uint64)
		a := output.(outcome)
		raised := []any{a.base + 1}
		switch {
		case a.unknown && a.base == revision:
			return append(raised, revision)
		case a.unknown, !a.applied && a.base != revision:
			return []any{revision}
		case a.applied && a.base == revision:
			return raised
		default:
			return nil
		}
	},
}

// editors is a set of operators that edit the tables of one store concurrently.
type editors struct {
	// address is the address of the store.
	address netip.AddrPort

	// mu guards the fields below.
	mu      sync.Mutex
	history []porcupine.Operation

	// applied and refused hold the IDs of the edits whose outcome is known.
	applied []string
	refused []string
}

// edit makes the given number of edits. Each is based on the revision that was read before it.
func (e *editors) edit(t *testing.T, operator int, edits int) {
	editor := &table.Editor{
		Store: dial(t, e.address),
		Key:   tablesKey,
		Backoff: retry.Backoff{
			Base: time.Millisecond,
			Cap:  20 * time.Millisecond,
		},
	}
	for i := range edits {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		base, err := editor.Read(ctx)
		if err != nil {
			t.Errorf("Read = %v", err)
		} else {
			e.apply(ctx, t, editor, operator, fmt.Sprintf("edit-%d-%d", operator, i), base.Revision)
		}
		cancel()
	}
}

func (e *editors) apply(ctx context.Context, t *testing.T, editor *table.Editor, operator int, id string, base uint64) {
	call := time.Now().UnixNano()
	_, err := editor.Apply(ctx, table.Proposal{
		Tables: &egret.Tables{},
		Base:   base,
		Edit: egret.Edit{
			ID: id,
		},
	})
	o := outcome{
		base:    base,
		applied: err == nil,
		unknown: errors.HasType[*table.OutcomeError](err),
	}
	if err != nil && !o.unknown && !errors.Is(err, egret.ErrConflict) {
		t.Errorf("Apply = %v", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history = append(e.history, porcupine.Operation{
		ClientId: operator,
		Call:     call,
		Output:   o,
		Return:   time.Now().UnixNano(),
	})
	if o.applied {
		e.applied = append(e.applied, id)
	}
	if !o.applied && !o.unknown {
		e.refused = append(e.refused, id)
	}
}

// Operators edit concurrently while the store loses answers, is slow, goes down and comes back. Of the
// edits based on one revision one must take effect, no operator may get a false outcome, and a proxy must
// never see the revision fall.
func TestRacingOperators(t *testing.T) {
	const operators, edits, seed = 4, 12, 7
	t.Logf("seed %d", seed)
	s := &Server{}
	e := &editors{
		address: start(t, s),
	}
	ctx, stop := context.WithCancel(t.Context())
	background := sync.WaitGroup{}
	background.Go(func() {
		setRandomFaults(ctx, s, rand.New(rand.NewPCG(seed, seed)))
	})
	background.Go(func() {
		checkRevisionsRise(ctx, t, dial(t, e.address))
	})
	edited := sync.WaitGroup{}
	for o := range operators {
		edited.Go(func() {
			e.edit(t, o, edits)
		})
	}
	edited.Wait()
	stop()
	background.Wait()
	e.check(t, s)
}

// check compares the outcomes that the operators got with the history that the store has.
func (e *editors) check(t *testing.T, s *Server) {
	v, _ := s.keys.get(tablesKey)
	final, err := table.Decode(v.Revision, v.Data)
	if err != nil {
		t.Fatal(err)
	}
	kept := make(map[string]bool)
	for _, edit := range final.Edits {
		kept[edit.ID] = true
	}
	for _, id := range e.applied {
		if !kept[id] {
			t.Errorf("%s was reported as applied and isn't in the history", id)
		}
	}
	for _, id := range e.refused {
		if kept[id] {
			t.Errorf("%s was reported as refused and is in the history", id)
		}
	}
	if uint64(len(kept)) != v.Revision {
		t.Errorf("%d edits in revision %d", len(kept), v.Revision)
	}
	if !porcupine.CheckOperations(tablesModel.ToModel(), e.history) {
		t.Error("the history of edits is not linearizable")
	}
	t.Logf("%d applied, %d refused, %d in all", len(e.applied), len(e.refused), len(e.history))
}

// setRandomFaults changes the store's fault at random until the context ends, and then removes it.
func setRandomFaults(ctx context.Context, s *Server, r *rand.Rand) {
	modes := []Mode{ModeNone, ModeLoseAnswer, ModeDown, ModeLoseAnswer, ModeSlow}
	for ctx.Err() == nil {
		_ = s.SetFault(modes[r.IntN(len(modes))], 5*time.Millisecond)
		select {
		case <-time.After(time.Duration(r.IntN(20)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
	_ = s.SetFault(ModeNone, 0)
}

// checkRevisionsRise follows the tables as a proxy does and checks that their revision never falls.
func checkRevisionsRise(ctx context.Context, t *testing.T, c *store.Client) {
	k := &table.Cache{
		Store: c,
		Key:   tablesKey,
	}
	go func() {
		_ = k.Run(ctx)
	}()
	last := uint64(0)
	for {
		changed := k.Changed()
		if now := k.Current(); now != nil {
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
