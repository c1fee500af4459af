// Package watch follows the keys below a prefix of the platform's store.
//
//	w := watch.Watch{
//		Keys:   store,
//		Prefix: "servers/",
//		Reset:  func(items []egret.Item) { ... },
//		Change: func(item egret.Item) { ... },
//	}
//	go w.Run(ctx)
package watch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/trail"
)

const (
	// wait is how long one call waits for changes. A store that swallows the answer is noticed
	// after it, so it stays below the time in which a configuration has to be in force.
	wait = 3 * time.Second

	// probeWait is how long a call waits while calls fail.
	probeWait = 100 * time.Millisecond

	// relayInterval is how often another process is asked for changes. A configuration has to be in
	// force within seconds, and the questions cost the platform nothing.
	relayInterval = 250 * time.Millisecond

	// batchInterval is the same after an answer with changes. It bounds what a process that lags far
	// behind asks of another's link.
	batchInterval = 50 * time.Millisecond

	// relayPatience is how long the others may not know before a process that relies on them asks the
	// store itself: two tries, each with another process.
	relayPatience = 2 * relayInterval

	// ownInterval is the time between the calls of such a process to a store that fails. It hears of the
	// store's return from the others, unless they are cut off and it isn't, and a configuration has to be
	// in force within seconds then as well. Calls in an outage are paid for by all.
	ownInterval = 1500 * time.Millisecond

	// relayAge is for how long an answer of another process counts as hearing the store: a call of this
	// process to a silent store, and two further questions.
	relayAge = wait/2 + 2*relayInterval

	// firstPause and maxPause bound the pauses after failed calls.
	firstPause = 50 * time.Millisecond
	maxPause   = 600 * time.Millisecond
)

// Watch follows the keys below a prefix. Its fields are set before Run.
type Watch struct {
	// Keys is the store.
	Keys egret.Keyspace

	// Prefix is what the keys start with.
	Prefix string

	// Reset takes all items, at the start and after a gap in the history.
	Reset func(items []egret.Item)

	// Change takes one item that changed or was removed.
	Change func(item egret.Item)

	// Relay asks another process for changes after a revision, and reports false if it doesn't know.
	// It may be nil.
	Relay func(ctx context.Context, prefix string, after uint64) ([]egret.Item, uint64, bool)

	// Direct reports whether this process should ask the store itself, though others could tell it.
	// Nil stands for always.
	Direct func() bool

	// RelayStart lets the process begin with what others have seen, if the store gives no answer.
	RelayStart bool

	// Lost is called when calls begin to fail and no other process tells of changes, and Regained when
	// either is over. They may be nil.
	Lost, Regained func()

	// Trail writes decisions. It may be nil.
	Trail *trail.Trail

	// pause is that after the last failed call. failing says that calls to the store fail, and deaf that
	// others don't tell of changes either.
	pause   time.Duration
	failing atomic.Bool
	deaf    bool

	// relayed is when another process told of changes last.
	relayed clock.Time

	// ownAfter is when a process that relies on others may ask the store itself.
	ownAfter clock.Time

	// log is what was seen, for other processes.
	log log
}

// Run follows the keys until the context ends.
func (w *Watch) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		items, at, err := w.Keys.List(ctx, w.Prefix)
		if w.failed(ctx, err) {
			if w.RelayStart {
				w.follow(ctx, 0)
			}
			continue
		}
		w.Trail.Event("keys-listed").Str("prefix", w.Prefix).Int("items", len(items)).Uint64("revision", at).Msg("read all keys")
		w.log.reset(items, at)
		w.Reset(items)
		w.follow(ctx, at)
	}
	return nil
}

// follow hands on changes until the history has a gap. It ends at once after revision zero if no other
// process knows more.
func (w *Watch) follow(ctx context.Context, at uint64) {
	for ctx.Err() == nil {
		direct := w.Direct == nil || w.Direct()
		if w.Relay != nil && (!direct || w.failing.Load()) {
			items, next, ok := w.Relay(ctx, w.Prefix, at)
			between := relayInterval
			if ok {
				if len(items) > 0 {
					// There may be more than one answer holds.
					between = batchInterval
				}
				at = w.take(items, max(at, next), false)
				w.relayed = clock.Now()
				w.ownAfter = w.relayed.Add(relayPatience)
				w.heard("another process")
			}
			if !direct && clock.Now() < w.ownAfter {
				pause(ctx, between)
				continue
			}
		}
		if at == 0 {
			return
		}
		items, next, err := w.Keys.Changes(ctx, w.Prefix, at, w.patience())
		if err != nil {
			w.ownAfter = clock.Now().Add(ownInterval/2 + rand.N(ownInterval))
		}
		if errors.Is(err, egret.ErrHistoryGone) {
			w.Trail.Event("history-gone").Str("prefix", w.Prefix).Uint64("after", at).Msg("the store has dropped changes")
			return
		}
		if w.failed(ctx, err) {
			continue
		}
		at = w.take(items, next, true)
	}
}

// patience is how long the next call waits for changes. A call that is sent in an outage may never be
// answered, so those after a failed one are short, to hear soon of the store's return.
func (w *Watch) patience() time.Duration {
	if w.failing.Load() {
		return probeWait
	}
	return wait
}

// take hands changes on and returns the revision to go on from. own says that the store itself told
// them.
func (w *Watch) take(items []egret.Item, at uint64, own bool) uint64 {
	w.log.add(items, at, own)
	for _, item := range items {
		w.Change(item)
	}
	return at
}

// Changes returns what was seen after the revision, and up to which revision that is all. It reports
// false if this process doesn't hear the store itself, or doesn't know that far back.
func (w *Watch) Changes(after uint64) ([]egret.Item, uint64, bool) {
	if w.failing.Load() {
		return nil, 0, false
	}
	return w.log.after(after)
}

// failed reports whether the call failed, and pauses then.
func (w *Watch) failed(ctx context.Context, err error) bool {
	if err == nil {
		w.failing.Store(false)
		w.heard("the store")
		w.pause = 0
		return false
	}
	if ctx.Err() != nil {
		return true
	}
	w.failing.Store(true)
	if !w.deaf && clock.Since(w.relayed) > relayAge {
		w.deaf = true
		w.Trail.Event("store-lost").Str("prefix", w.Prefix).Err(err).Msg("the store gives no answer, and no other process has one")
		if w.Lost != nil {
			w.Lost()
		}
	}
	w.pause = min(max(firstPause, 2*w.pause), maxPause)
	pause(ctx, w.pause/2+rand.N(w.pause))
	return true
}

// heard notes that the store's changes are known again.
func (w *Watch) heard(from string) {
	if !w.deaf {
		return
	}
	w.deaf = false
	w.Trail.Event("store-regained").Str("prefix", w.Prefix).Str("from", from).Msg("the store's changes are known again")
	if w.Regained != nil {
		w.Regained()
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
