// Package watch delivers all changes of the keys with a prefix in the platform's store. It can read them from other
// processes that watch the same prefix, to spare the store.
//
//	w := watch.Watcher{
//		Keys:   store,
//		Prefix: "servers/",
//		Reset:  func(items []egret.Item, at egret.Revision) { ... },
//		Change: func(item egret.Item) { ... },
//	}
//	go w.Run(ctx)
package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/evlog"
)

const (
	// pollTimeout is how long one call to the store waits for changes. It is also the time until a lost response
	// is noticed, so it is shorter than the time within which a configuration has to be in force.
	pollTimeout = 3 * time.Second

	// probeTimeout is how long a call waits for changes while calls to the store fail, or when other processes have
	// stopped giving changes, to learn soon whether the store can be reached.
	probeTimeout = 100 * time.Millisecond

	// peerInterval is the time between two requests for changes to other processes. A configuration has to be
	// in force within seconds, and these requests cause no load on the store.
	peerInterval = 250 * time.Millisecond

	// maxPeerFailures is how many requests to other processes may fail in a row before all items are requested. Each goes to
	// another process at random, some of which may not reach the store either.
	maxPeerFailures = 3

	// peerBatchInterval is the time to the next request after a response with changes. It limits the load that a
	// process which is far behind puts on another one's network link.
	peerBatchInterval = 50 * time.Millisecond

	// peerTimeout is how long other processes may give no changes before a process that relies on them calls the
	// store itself. It allows for two requests, each to another process.
	peerTimeout = 2 * peerInterval

	// storeRetryInterval is the mean time between the calls of a process that relies on others to a failing store.
	// It learns from the others that the store is back, unless they are cut off from the store and it isn't; in
	// that case too, a configuration has to be in force within seconds. In an outage the calls of all processes
	// add up.
	storeRetryInterval = 1500 * time.Millisecond

	// peerFreshness is for how long after a response of another process the store counts as reachable. It covers
	// a call of this process to an unresponsive store, and two further requests to other processes.
	peerFreshness = pollTimeout/2 + 2*peerInterval

	// minBackoff and maxBackoff bound the delay after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// Watcher watches the keys with a prefix. Its exported fields must be set before Run.
type Watcher struct {
	// Keys accesses the store.
	Keys egret.Keyspace

	// Prefix is the common prefix of the watched keys.
	Prefix string

	// Reset is called with all items and the revision at which they were read: at the start, after a gap in the history,
	// and after the store was restored from an older copy. Then the items may be older than those that were known.
	Reset func(items []egret.Item, at egret.Revision)

	// Change is called with each item that was changed or removed.
	Change func(item egret.Item)

	// ChangesFromPeer requests the changes after a revision from another process. It returns false if that process
	// doesn't know them. It may be nil.
	ChangesFromPeer func(ctx context.Context, prefix string, after egret.Revision) (Changes, bool)

	// WatchesStore reports whether this process should call the store although others could give it the changes.
	// Nil stands for always.
	WatchesStore func() bool

	// StartFromPeer lets the process start with the items of other processes if the store doesn't respond.
	StartFromPeer bool

	// OnDisconnected is called when calls to the store fail and no other process gives changes, and OnReconnected
	// when either works again. They may be nil.
	OnDisconnected, OnReconnected func()

	// EventLog logs decisions. It may be nil.
	EventLog *evlog.Log

	// backoff is the delay after the last failed call, before jitter. storeFailing says that calls to the store
	// fail, and disconnected that other processes don't give changes either.
	backoff      time.Duration
	storeFailing atomic.Bool
	disconnected bool

	// peerResponseAt is when another process gave changes last.
	peerResponseAt clock.Time

	// storeRetryAt is when a process that relies on others may call the store next.
	storeRetryAt clock.Time

	// peerFailures is how many requests for changes to other processes have failed in a row.
	peerFailures int

	// storeConfirmed says that the store has responded since other processes gave changes last.
	storeConfirmed bool

	// changes are the known changes, for requests of other processes.
	changes changeLog
}

// Changes are changes of keys that a process has seen.
type Changes struct {
	// Items are the changed keys, the oldest change first.
	Items []egret.Item

	// At is the revision up to which the changes are complete.
	At egret.Revision

	// All says that Items are all keys that there are, and not only changes after the requested revision.
	All bool
}

// Run watches the keys until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	last, fromPeer := egret.Revision{}, false
	for ctx.Err() == nil {
		// If a gap followed a list of another process again, that list was older than the store's history.
		if !fromPeer {
			c, ok := w.listFromPeer(ctx, last)
			if ok {
				fromPeer = true
				last = w.follow(ctx, w.applyFromPeer(c, last))
				continue
			}
		}
		fromPeer = false
		items, revision, err := w.Keys.List(ctx, w.Prefix)
		if w.handleResult(ctx, err) {
			if w.StartFromPeer {
				w.follow(ctx, egret.Revision{})
			}
			continue
		}
		w.EventLog.Event("keys-listed").Str("prefix", w.Prefix).Int("items", len(items)).Str("revision", revision.String()).Msg("listed all keys")
		w.changes.replace(items, revision, true)
		w.Reset(items, revision)
		last = w.follow(ctx, revision)
	}
	return nil
}

// listFromPeer requests all items from another process, unless this process watches the store itself. It returns false if
// that process doesn't know them as they were at the revision or later.
func (w *Watcher) listFromPeer(ctx context.Context, last egret.Revision) (Changes, bool) {
	if !last.Exists() || w.ChangesFromPeer == nil || w.WatchesStore == nil || w.WatchesStore() {
		return Changes{}, false
	}
	return w.requestAll(ctx, last)
}

// requestAll requests all items, as they were at the revision or later, from another process.
func (w *Watcher) requestAll(ctx context.Context, last egret.Revision) (Changes, bool) {
	c, ok := w.ChangesFromPeer(ctx, w.Prefix, egret.Revision{})
	if !ok || c.At.Before(last) {
		return Changes{}, false
	}
	c.All = true
	c.Items = slices.DeleteFunc(slices.Clone(c.Items), func(item egret.Item) bool { return item.Removed })
	return c, true
}

// requestChanges requests the changes after the revision from another process. While the store fails, it requests all items
// after maxPeerFailures failed requests in a row, as others don't know the changes before a gap in their history.
func (w *Watcher) requestChanges(ctx context.Context, after egret.Revision) (Changes, bool) {
	if w.peerFailures >= maxPeerFailures && after.Exists() && w.storeFailing.Load() {
		w.peerFailures = 0
		return w.requestAll(ctx, after)
	}
	c, ok := w.ChangesFromPeer(ctx, w.Prefix, after)
	if ok {
		w.peerFailures = 0
	} else {
		w.peerFailures++
	}
	return c, ok
}

// follow delivers the changes after the revision until the history has a gap, and returns the revision up to which it has
// delivered them. After the zero revision it returns without a call to the store if no other process gives the items.
func (w *Watcher) follow(ctx context.Context, revision egret.Revision) egret.Revision {
	for ctx.Err() == nil {
		direct := w.WatchesStore == nil || w.WatchesStore()
		if w.ChangesFromPeer != nil && (!direct || w.storeFailing.Load()) {
			c, ok := w.requestChanges(ctx, revision)
			interval := peerInterval
			if ok && c.At.Era >= revision.Era {
				if len(c.Items) > 0 {
					// There may be more changes than fit into one response.
					interval = peerBatchInterval
				}
				revision = w.applyFromPeer(c, revision)
				w.peerResponseAt = clock.Now()
				w.storeConfirmed = false
				w.storeRetryAt = w.peerResponseAt.Add(peerTimeout)
				w.markReconnected("another process")
			} else if w.storeFailing.Load() {
				w.markDisconnected(errNoChanges)
			}
			if !direct && clock.Now() < w.storeRetryAt {
				sleep(ctx, interval)
				continue
			}
		}
		if !revision.Exists() {
			return revision
		}
		items, next, err := w.Keys.Watch(ctx, w.Prefix, revision, w.changesTimeout(direct))
		if err != nil {
			w.storeRetryAt = clock.Now().Add(storeRetryInterval/2 + rand.N(storeRetryInterval))
		}
		if errors.Is(err, egret.ErrCompacted) {
			w.EventLog.Event("history-gone").Str("prefix", w.Prefix).Str("after", revision.String()).Err(err).Msg("the store doesn't have the changes after this revision; listing all keys")
			return revision
		}
		if w.handleResult(ctx, err) {
			continue
		}
		w.storeConfirmed = true
		revision = w.apply(items, next, true)
	}
	return revision
}

// changesTimeout returns how long the next call waits for changes. A call that is sent in an outage may never get a
// response, so a call after a failed one is short, to notice soon that the store is back. So is the first call of a
// process that relies on others after these have stopped giving changes, to notice a partition soon.
func (w *Watcher) changesTimeout(direct bool) time.Duration {
	if w.storeFailing.Load() || !direct && !w.storeConfirmed {
		return probeTimeout
	}
	return pollTimeout
}

// applyFromPeer delivers what another process gave after the revision, and returns the revision to continue from.
func (w *Watcher) applyFromPeer(c Changes, after egret.Revision) egret.Revision {
	if !c.All {
		if c.At.Before(after) {
			return w.apply(c.Items, after, false)
		}
		return w.apply(c.Items, c.At, false)
	}
	w.EventLog.Event("keys-received").Str("prefix", w.Prefix).Int("items", len(c.Items)).Str("before", after.String()).Str("revision", c.At.String()).Msg("another process gave all keys, as there is a gap in the history, or as the store was restored from a copy")
	w.changes.replace(c.Items, c.At, false)
	w.Reset(c.Items, c.At)
	return c.At
}

// apply delivers the changes up to the revision, and returns the revision. fromStore says that they come from the
// store and not from another process.
func (w *Watcher) apply(items []egret.Item, revision egret.Revision, fromStore bool) egret.Revision {
	w.changes.add(items, revision, fromStore)
	for _, item := range items {
		w.Change(item)
	}
	return revision
}

// ChangesAfter returns changes after the revision. It returns false if this process gets no response from the store
// itself, or doesn't know the history that far back.
func (w *Watcher) ChangesAfter(after egret.Revision) (Changes, bool) {
	if w.storeFailing.Load() {
		return Changes{}, false
	}
	return w.changes.changesAfter(after)
}

// handleResult reports whether a call to the store failed, and sleeps for the backoff if it did.
func (w *Watcher) handleResult(ctx context.Context, err error) bool {
	if err == nil {
		w.storeFailing.Store(false)
		w.markReconnected("the store")
		w.backoff = 0
		return false
	}
	if ctx.Err() != nil {
		return true
	}
	w.storeFailing.Store(true)
	w.markDisconnected(err)
	w.backoff = min(max(minBackoff, 2*w.backoff), maxBackoff)
	sleep(ctx, w.backoff/2+rand.N(w.backoff))
	return true
}

// errNoChanges reports that a process that is asked for changes gives none.
const errNoChanges = errors.ConstError("no changes from another process")

// markDisconnected begins the state disconnected, unless another process has given changes lately.
func (w *Watcher) markDisconnected(err error) {
	if w.disconnected || clock.Since(w.peerResponseAt) <= peerFreshness {
		return
	}
	w.disconnected = true
	w.EventLog.Event("store-lost").Str("prefix", w.Prefix).Err(err).Msg("calls to the store fail, and no other process gives its changes")
	if w.OnDisconnected != nil {
		w.OnDisconnected()
	}
}

// markReconnected ends the state disconnected, as the store or another process has given changes.
func (w *Watcher) markReconnected(from string) {
	if !w.disconnected {
		return
	}
	w.disconnected = false
	w.EventLog.Event("store-regained").Str("prefix", w.Prefix).Str("from", from).Msg("receiving the store's changes again")
	if w.OnReconnected != nil {
		w.OnReconnected()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
