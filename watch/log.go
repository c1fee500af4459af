package watch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

const (
	// ownAge is for how long the store's last answer counts as hearing it: two calls that wait for
	// changes and time out.
	ownAge = 2 * (wait + time.Second)

	// batchBytes bounds the values of one answer to another process, but for a single larger one. Few
	// processes answer all others, and links may be thin: a hundred such answers take a link of 10 Mbit/s
	// less than half of the time that they may, even before they are compressed.
	batchBytes = 16 << 10

	// keepRemovals bounds the removals that are remembered. Who has not heard of older ones lists all.
	keepRemovals = 512
)

// log is the newest item of each key, so that others can be told what has changed.
type log struct {
	mu sync.Mutex

	// items are by key, removals among them.
	items map[string]egret.Item

	// removed are the keys of removals, the oldest first.
	removed []string

	// from and at bound the revisions after which all changes are known.
	from, at uint64

	// heard is when the store itself told something last.
	heard clock.Time
}

// reset starts over with all items at a revision.
func (l *log) reset(items []egret.Item, at uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = map[string]egret.Item{}
	l.removed = nil
	l.from, l.at = at, at
	l.heard = clock.Now()
	for _, item := range items {
		l.items[item.Key] = item
	}
}

// add takes changes up to a revision. own says that the store itself told them.
func (l *log) add(items []egret.Item, at uint64, own bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.items == nil {
		// Only others' changes so far: nothing is known before them.
		l.items = map[string]egret.Item{}
		l.from = at
	}
	for _, item := range items {
		if item.Revision < l.items[item.Key].Revision {
			continue
		}
		l.items[item.Key] = item
		if item.Removed {
			l.removed = append(l.removed, item.Key)
		}
	}
	for len(l.removed) > keepRemovals {
		key := l.removed[0]
		l.removed = l.removed[1:]
		if item := l.items[key]; item.Removed {
			l.from = max(l.from, item.Revision)
			delete(l.items, key)
		}
	}
	l.at = max(l.at, at)
	if own {
		l.heard = clock.Now()
	}
}

// after returns the oldest changes after the revision, and up to which revision they are all, if they are
// known and the store was heard lately. After revision zero it returns all items at once: what was removed
// before a list isn't known, so a process that has some of the items can't go on from there.
func (l *log) after(revision uint64) ([]egret.Item, uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.items == nil || clock.Since(l.heard) > ownAge || revision != 0 && revision < l.from {
		return nil, 0, false
	}
	items := []egret.Item{}
	for _, item := range l.items {
		if item.Revision > revision {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b egret.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	if n := batch(items); revision != 0 && n < len(items) {
		return items[:n], items[n-1].Revision, true
	}
	return items, l.at, true
}

// batch returns how many of the items fit into one answer, at least one if there is any. Items of one
// revision go together.
func batch(items []egret.Item) int {
	size := 0
	for i, item := range items {
		size += len(item.Key) + len(item.Data)
		if size > batchBytes && i > 0 && item.Revision != items[i-1].Revision {
			return i
		}
	}
	return len(items)
}
