package keysim

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// leaseCheckInterval is the interval between two checks for expired leases.
	leaseCheckInterval = 20 * time.Millisecond

	// minTTL is the shortest time to live of a lease, as in the platform's store.
	minTTL = time.Second

	// maxPageItems is the most items that one answer to a range request has.
	maxPageItems = 500
)

// Server is the simulated store. It is empty at first.
type Server struct {
	// History is the number of changes that are kept for watches. Zero keeps all.
	History int

	// View returns the value that a caller reads in place of the stored one. It may be nil. It is
	// called with the store's lock held.
	View func(caller, key string, value []byte) []byte

	// PauseLeases extends all leases by the time that the store is down. Otherwise they may expire
	// during that time.
	PauseLeases bool

	// mu guards the fields below.
	mu       sync.Mutex
	revision uint64

	// restores counts the calls of Restore. copies are the states of the last maxCopyAge, oldest first.
	restores uint64
	copies   []storeCopy

	items  map[string]item
	leases map[uint64]*lease

	// changes has the changes after droppedRevision, oldest first. A watch that starts before
	// droppedRevision is refused.
	changes         []item
	droppedRevision uint64

	// changed is closed at the next change of an item or of a fault.
	changed chan struct{}

	// faults has the injected faults by caller. The empty name is for callers without one of their own.
	faults map[string]Fault

	// lastWriter is the caller of the last conditional write whose precondition was met.
	lastWriter string
}

// item is an item. In the list of changes it may also be the removal of one.
type item struct {
	key            string
	value          []byte
	revision       uint64
	createRevision uint64
	lease          uint64
	removed        bool
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Run removes expired leases and their keys until the context ends.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(leaseCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.expireLeases(now)
			s.keepCopy(now)
		}
	}
}

// expireLeases removes the leases that have expired. While the store is down and PauseLeases is set it
// extends all of them instead.
func (s *Server) expireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.PauseLeases && s.faults[""].Mode != ModeNone {
		for _, l := range s.leases {
			l.expiresAt = l.expiresAt.Add(leaseCheckInterval)
		}
		return
	}
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and its keys. The caller holds mu.
func (s *Server) removeLease(id uint64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].lease == id {
			s.remove(key)
		}
	}
}

// Put writes a key unconditionally, as the operator and the members do.
func (s *Server) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// LastWriter returns the caller of the last conditional write whose precondition was met, or "".
func (s *Server) LastWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

// Remove removes a key.
func (s *Server) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// DropHistory drops all changes that are kept for watches. A watch from an earlier revision is refused.
func (s *Server) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
	s.droppedRevision = s.revision
}

// put writes a key. The caller holds mu.
func (s *Server) put(key string, value []byte, lease uint64) {
	if s.items == nil {
		s.items = map[string]item{}
	}
	s.revision++
	i := item{
		key:            key,
		value:          value,
		revision:       s.revision,
		createRevision: s.revision,
		lease:          lease,
	}
	if old, found := s.items[key]; found {
		i.createRevision = old.createRevision
	}
	s.items[key] = i
	s.recordChange(i)
}

// remove removes a key. The caller holds mu.
func (s *Server) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.revision++
	s.recordChange(item{
		key:      key,
		revision: s.revision,
		removed:  true,
	})
}

// recordChange adds a change to the history, drops the oldest ones beyond History and wakes the watches. The
// caller holds mu.
func (s *Server) recordChange(i item) {
	s.changes = append(s.changes, i)
	if excess := len(s.changes) - s.History; s.History > 0 && excess > 0 {
		s.droppedRevision = s.changes[excess-1].revision
		s.changes = slices.Clone(s.changes[excess:])
	}
	s.wakeWatches()
}

// wakeWatches makes the waiting watches look for changes and faults again. The caller holds mu.
func (s *Server) wakeWatches() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// itemsAfter returns the items with the prefix and a key greater than after, in order of their keys. It
// returns true if there are more than maxPageItems. The caller holds mu.
func (s *Server) itemsAfter(prefix, after string) ([]item, bool) {
	found := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(found) == maxPageItems {
			return found, true
		}
		found = append(found, s.items[key])
	}
	return found, false
}

// changesAfter returns the changes of keys with the prefix after a revision, the store's revision, and a
// channel that is closed at the next change of an item or of a fault. It returns false if changes after the revision were
// dropped, or if the store doesn't have the revision.
func (s *Server) changesAfter(prefix string, after uint64) ([]item, uint64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if after < s.droppedRevision || after > s.revision {
		return nil, 0, nil, false
	}
	found := []item{}
	for _, i := range s.changes {
		if i.revision > after && strings.HasPrefix(i.key, prefix) {
			found = append(found, i)
		}
	}
	return found, s.revision, s.changed, true
}
