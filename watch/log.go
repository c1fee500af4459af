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
	// storeFreshness is for how long after the store's last response this process answers other processes: the
	// duration of two calls that wait for changes and time out.
	storeFreshness = 2 * (pollTimeout + time.Second)

	// maxBatchBytes limits the size of the items in one response to another process, unless a single item or
	// those of one revision are larger. A few processes respond to all others, and their network links may be
	// slow: on a link of 10 Mbit/s, a hundred such responses take less than half of the time that is allowed for
	// them, even without compression.
	maxBatchBytes = 16 << 10

	// maxRemovals limits the number of removals that are kept. A process that has missed older ones lists all keys.
	maxRemovals = 512
)

// changeLog has the newest item of each key, so that changes can be given to other processes.
type changeLog struct {
	mu sync.Mutex

	// items are the newest items by key. They include removed ones.
	items map[string]egret.Item

	// removed are the keys of removed items, the oldest removal first.
	removed []string

	// startRevision and endRevision bound the revisions between which all changes are known. The change at
	// startRevision itself isn't among them.
	startRevision, endRevision uint64

	// storeResponseAt is when the store itself responded last.
	storeResponseAt clock.Time
}

// replace replaces the content by all items at a revision.
func (l *changeLog) replace(items []egret.Item, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = map[string]egret.Item{}
	l.removed = nil
	l.startRevision, l.endRevision = revision, revision
	l.storeResponseAt = clock.Now()
	for _, item := range items {
		l.items[item.Key] = item
	}
}

// add adds the changes up to a revision. fromStore says that they come from the store and not from another process.
func (l *changeLog) add(items []egret.Item, revision uint64, fromStore bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.items == nil {
		// There was no list yet, only changes from other processes: older changes aren't known.
		l.items = map[string]egret.Item{}
		l.startRevision = revision
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
	for len(l.removed) > maxRemovals {
		key := l.removed[0]
		l.removed = l.removed[1:]
		if item := l.items[key]; item.Removed {
			l.startRevision = max(l.startRevision, item.Revision)
			delete(l.items, key)
		}
	}
	l.endRevision = max(l.endRevision, revision)
	if fromStore {
		l.storeResponseAt = clock.Now()
	}
}

// changesAfter returns the oldest changes after the revision that fit into one response, and the revision up to
// which they are complete. It returns false if not all changes are known, or if the store's last response is older
// than storeFreshness. After revision zero it returns all items at once: removals before the list aren't known, so
// a process that has only some of the items can't continue from there.
func (l *changeLog) changesAfter(revision uint64) ([]egret.Item, uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.items == nil || clock.Since(l.storeResponseAt) > storeFreshness || revision != 0 && revision < l.startRevision {
		return nil, 0, false
	}
	items := []egret.Item{}
	for _, item := range l.items {
		if item.Revision > revision {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b egret.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	if n := batchLen(items); revision != 0 && n < len(items) {
		return items[:n], items[n-1].Revision, true
	}
	return items, l.endRevision, true
}

// batchLen returns how many of the items fit into one response: at least one if there are any, and all items of a
// revision or none.
func batchLen(items []egret.Item) int {
	size := 0
	for i, item := range items {
		size += len(item.Key) + len(item.Data)
		if size > maxBatchBytes && i > 0 && item.Revision != items[i-1].Revision {
			return i
		}
	}
	return len(items)
}
