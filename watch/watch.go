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
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/trail"
)

const (
	// wait is how long one call waits for changes. A store that swallows the answer is noticed
	// after it, so it stays below the time in which a configuration has to be in force.
	wait = 3 * time.Second

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

	// Lost is called when calls begin to fail, and Regained when they succeed again. They may be nil.
	Lost, Regained func()

	// Trail writes decisions. It may be nil.
	Trail *trail.Trail

	failing bool
	pause   time.Duration
}

// Run follows the keys until the context ends.
func (w *Watch) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		items, at, err := w.Keys.List(ctx, w.Prefix)
		if w.failed(ctx, err) {
			continue
		}
		w.Trail.Event("keys-listed").Str("prefix", w.Prefix).Int("items", len(items)).Uint64("revision", at).Msg("read all keys")
		w.Reset(items)
		w.follow(ctx, at)
	}
	return nil
}

// follow hands on changes until the history has a gap.
func (w *Watch) follow(ctx context.Context, at uint64) {
	for ctx.Err() == nil {
		items, next, err := w.Keys.Changes(ctx, w.Prefix, at, wait)
		if errors.Is(err, egret.ErrHistoryGone) {
			w.Trail.Event("history-gone").Str("prefix", w.Prefix).Uint64("after", at).Msg("the store has dropped changes")
			return
		}
		if w.failed(ctx, err) {
			continue
		}
		for _, item := range items {
			w.Change(item)
		}
		at = next
	}
}

// failed reports whether the call failed, and pauses then.
func (w *Watch) failed(ctx context.Context, err error) bool {
	if err == nil {
		if w.failing {
			w.Trail.Event("store-regained").Str("prefix", w.Prefix).Msg("the store answers again")
			if w.Regained != nil {
				w.Regained()
			}
		}
		w.failing = false
		w.pause = 0
		return false
	}
	if ctx.Err() != nil {
		return true
	}
	if !w.failing {
		w.Trail.Event("store-lost").Str("prefix", w.Prefix).Err(err).Msg("the store gives no answer")
		if w.Lost != nil {
			w.Lost()
		}
	}
	w.failing = true
	w.pause = min(max(firstPause, 2*w.pause), maxPause)
	select {
	case <-ctx.Done():
	case <-time.After(w.pause/2 + rand.N(w.pause)):
	}
	return true
}
