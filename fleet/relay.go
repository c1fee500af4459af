package fleet

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"egretlane.example/egret"
	"egretlane.example/egret/watch"
)

const (
	// observerCount is the number of processes in each region that watch the store. Each other process asks one of
	// them for changes, chosen at random each time, so that neither the calls to the store nor the traffic between
	// regions grow with the fleet.
	observerCount = 3

	// maxDirectNodes is the largest number of processes with which each one watches the store itself. A
	// configuration then reaches a process without passing through another one.
	maxDirectNodes = 12
)

// WatchesStore reports whether this process watches the store itself.
func (f *Fleet) WatchesStore() bool {
	f.mu.Lock()
	small := len(f.nodes) <= maxDirectNodes
	f.mu.Unlock()
	if small {
		return true
	}
	near, _ := f.observers()
	return slices.ContainsFunc(near, func(n Node) bool { return n.ID == f.Self.ID })
}

// observers returns the processes that watch the store for the others: those of this process's region, and those of the
// other regions. They run on VMs with the most processor time and bandwidth. Processes that know the same registrations
// choose the same observers.
func (f *Fleet) observers() (near, far []Node) {
	f.mu.Lock()
	regions := map[string][]Node{}
	for _, n := range f.nodes {
		regions[n.Region] = append(regions[n.Region], n)
	}
	largest := f.largest
	f.mu.Unlock()
	for region, nodes := range regions {
		slices.SortFunc(nodes, func(a, b Node) int {
			return cmp.Or(cmp.Compare(b.Capacity.RelativeTo(largest), a.Capacity.RelativeTo(largest)),
				cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)))
		})
		nodes = nodes[:min(len(nodes), observerCount)]
		if region == f.Self.Region {
			near = nodes
		} else {
			far = append(far, nodes...)
		}
	}
	return near, far
}

// ChangesFromPeer asks an observer other than this process for the changes below the prefix after the revision. It
// reports false if the observer can't tell; the next call then asks one of another region.
func (f *Fleet) ChangesFromPeer(ctx context.Context, prefix string, after egret.Revision) (watch.Changes, bool) {
	near, far := f.observers()
	others := slices.DeleteFunc(near, func(n Node) bool { return n.ID == f.Self.ID })
	if asksFar := f.nearObserverFailed.Swap(false); len(others) == 0 || asksFar && len(far) > 0 {
		others = far
	}
	if len(others) == 0 {
		return watch.Changes{}, false
	}
	n := others[rand.IntN(len(others))]
	c, ok := f.Pool.Changes(ctx, n.Address, prefix, after)
	f.nearObserverFailed.Store(!ok && n.Region == f.Self.Region)
	return c, ok
}

// ChangesFromHolder is like ChangesFromPeer, but asks another process that holds a service. Holders watch the members,
// which observers don't.
func (f *Fleet) ChangesFromHolder(ctx context.Context, prefix string, after egret.Revision) (watch.Changes, bool) {
	holders := map[netip.AddrPort]bool{}
	for _, l := range f.allLeases() {
		s, known := l.LatestRecord()
		if known && s.Stored.Exists() && !s.Record.Released && s.Record.Node != f.Self.ID {
			holders[s.Record.Address] = true
		}
	}
	if len(holders) == 0 {
		return watch.Changes{}, false
	}
	others := slices.Collect(maps.Keys(holders))
	return f.Pool.Changes(ctx, others[rand.IntN(len(others))], prefix, after)
}

// Changes returns the changes of the fleet's keys that this process has seen after the revision. It reports false if it
// can't tell them, or if the prefix is another one.
func (f *Fleet) Changes(prefix string, after egret.Revision) (watch.Changes, bool) {
	f.mu.Lock()
	w := f.watch
	f.mu.Unlock()
	if prefix != keysPrefix || w == nil {
		return watch.Changes{}, false
	}
	return w.ChangesAfter(after)
}
