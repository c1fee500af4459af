package fleet

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"egretlane.example/egret"
)

const (
	// observers is how many processes ask the store for changes. The others ask them, by turns, so that
	// the calls to the store don't grow with the fleet.
	observers = 4

	// smallFleet is up to how many processes each asks the store itself, which takes one part less in
	// the way of a configuration.
	smallFleet = 12
)

// Direct reports whether this process asks the store for changes itself.
func (f *Fleet) Direct() bool {
	f.mu.Lock()
	small := len(f.nodes) <= smallFleet
	f.mu.Unlock()
	if small {
		return true
	}
	for _, n := range f.observers() {
		if n.ID == f.Self.ID {
			return true
		}
	}
	return false
}

// observers returns the processes that ask the store for changes. All processes that know the same
// registrations choose the same.
func (f *Fleet) observers() []Node {
	f.mu.Lock()
	nodes := make([]Node, 0, len(f.nodes))
	for _, n := range f.nodes {
		nodes = append(nodes, n)
	}
	f.mu.Unlock()
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	return nodes[:min(len(nodes), observers)]
}

// Relay asks one of the other observers for changes in the store after the revision. It reports false
// if that one doesn't know.
func (f *Fleet) Relay(ctx context.Context, prefix string, after uint64) ([]egret.Item, uint64, bool) {
	others := slices.DeleteFunc(f.observers(), func(n Node) bool { return n.ID == f.Self.ID })
	if len(others) == 0 {
		return nil, 0, false
	}
	return f.Pool.Changes(ctx, others[rand.IntN(len(others))].Address, prefix, after)
}

// Changes returns what this process has seen of the fleet's keys after the revision.
func (f *Fleet) Changes(prefix string, after uint64) ([]egret.Item, uint64, bool) {
	f.mu.Lock()
	w := f.watch
	f.mu.Unlock()
	if prefix != keysPrefix || w == nil {
		return nil, 0, false
	}
	return w.Changes(after)
}
