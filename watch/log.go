package watch

import (
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

const (
	// ownAge is for how long the store's last answer counts as hearing it: two calls that wait for
	// changes and time out.
	ownAge = 2 * (wait + time.Second)

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

// after returns the changes after the revision, if they are known and the store was heard lately. After
// revision zero it returns all items.
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
	return items, l.at, true
}
