package watch

import (
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
	// startRevision itself isn't among them. Both are of the same era, and so are the revisions of all items.
	startRevision, endRevision egret.Revision

	// storeResponseAt is when the store itself responded last.
	storeResponseAt clock.Time
}

// replace replaces the content by all items at a revision. fromStore is as in add.
func (l *changeLog) replace(items []egret.Item, revision egret.Revision, fromStore bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = map[string]egret.Item{}
	l.removed = nil
	l.startRevision, l.endRevision = revision, revision
	if fromStore {
		l.storeResponseAt = clock.Now()
	}
	for _, item := range items {
		l.items[item.Key] = item
	}
}

// add adds the changes up to a revision. fromStore says that they come from the store and not from another process.
func (l *changeLog) add(items []egret.Item, revision egret.Revision, fromStore bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.items == nil {
		// There was no list yet, only changes from other processes: older changes aren't known.
		l.items = map[string]egret.Item{}
		l.startRevision = revision
	}
	for _, item := range items {
		if item.Revision.Before(l.items[item.Key].Revision) {
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
			l.startRevision = later(l.startRevision, item.Revision)
			delete(l.items, key)
		}
	}
	l.endRevision = later(l.endRevision, revision)
	if fromStore {
		l.storeResponseAt = clock.Now()
	}
}

// later returns the later of two revisions.
func later(a, b egret.Revision) egret.Revision {
	if a.Before(b) {
		return b
	}
	return a
}

// changesAfter returns the oldest changes after the revision that fit into one response. It returns false if not all
// changes are known, or if the store's last response is older than storeFreshness. After the zero revision it returns all
// items at once: removals before the list aren't known, so a process that has only some of the items can't continue from
// there. After a revision of an earlier era it returns all items too, as changes of that era may be lost.
func (l *changeLog) changesAfter(revision egret.Revision) (Changes, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	restored := revision.Exists() && revision.Era < l.endRevision.Era
	if restored && revision.Era == 0 {
		// A process of an earlier version knows no eras, and would take all items for changes.
		return Changes{}, false
	}
	if l.items == nil || clock.Since(l.storeResponseAt) > storeFreshness || revision.Era > l.endRevision.Era ||
		revision.Exists() && !restored && revision.Before(l.startRevision) {
		return Changes{}, false
	}
	items := []egret.Item{}
	for _, item := range l.items {
		if revision.Before(item.Revision) && (!restored || !item.Removed) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b egret.Item) int { return a.Revision.Compare(b.Revision) })
	c := Changes{
		Items: items,
		At:    l.endRevision,
		All:   restored,
	}
	if n := batchLen(items); revision.Exists() && !restored && n < len(items) {
		c.Items, c.At = items[:n], items[n-1].Revision
	}
	return c, true
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
