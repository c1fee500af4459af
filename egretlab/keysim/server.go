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
	// sweepInterval is how often lapsed leases are looked for.
	sweepInterval = 20 * time.Millisecond

	// minTTL is the shortest lease, as the platform grants it.
	minTTL = time.Second

	// pageItems is how many items a page of a range has at most.
	pageItems = 500
)

// Server holds the items. The zero value of the unexported fields is an empty store.
type Server struct {
	// History is how many changes a watch may go back. Zero keeps all.
	History int

	// View returns what a caller reads in place of a value. It may be nil. It is called with the
	// store's lock held.
	View func(caller, key string, value []byte) []byte

	// PauseLeases stops the clock of leases while the store is down. Otherwise they lapse meanwhile.
	PauseLeases bool

	// mu guards the fields below.
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	leases   map[uint64]*lease

	// changes has the last changes in order. Watches may start at dropped or later.
	changes []item
	dropped uint64

	// changed is closed at the next change, and at the next change of faults.
	changed chan struct{}

	faults map[string]Fault

	// writer is the caller of the last conditional write that held.
	writer string
}

// item is an item, or a removed key in the list of changes.
type item struct {
	key      string
	value    []byte
	revision uint64
	created  uint64
	lease    uint64
	removed  bool
}

type lease struct {
	ttl time.Duration
	due time.Time
}

// Run removes the keys of lapsed leases until the context ends.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.sweep(now)
		}
	}
}

func (s *Server) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.PauseLeases && s.faults[""].Mode != ModeNone {
		for _, l := range s.leases {
			l.due = l.due.Add(sweepInterval)
		}
		return
	}
	for id, l := range s.leases {
		if now.After(l.due) {
			s.end(id)
		}
	}
}

// end removes a lease and its keys. The caller holds mu.
func (s *Server) end(id uint64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].lease == id {
			s.remove(key)
		}
	}
}

// Put writes a key without a condition, as the operator and the members do.
func (s *Server) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// LastWriter returns the caller of the last conditional write that held, or "".
func (s *Server) LastWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer
}

// Remove removes a key.
func (s *Server) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Forget drops the history that watches go back to.
func (s *Server) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
	s.dropped = s.revision
}

// put writes a key. The caller holds mu.
func (s *Server) put(key string, value []byte, lease uint64) {
	if s.items == nil {
		s.items = map[string]item{}
	}
	s.revision++
	i := item{
		key:      key,
		value:    value,
		revision: s.revision,
		created:  s.revision,
		lease:    lease,
	}
	if old, found := s.items[key]; found {
		i.created = old.created
	}
	s.items[key] = i
	s.note(i)
}

// remove removes a key. The caller holds mu.
func (s *Server) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.revision++
	s.note(item{
		key:      key,
		revision: s.revision,
		removed:  true,
	})
}

// note adds a change and wakes the watches. The caller holds mu.
func (s *Server) note(i item) {
	s.changes = append(s.changes, i)
	if over := len(s.changes) - s.History; s.History > 0 && over > 0 {
		s.dropped = s.changes[over-1].revision
		s.changes = slices.Clone(s.changes[over:])
	}
	s.wake()
}

// wake ends the waits for a change. The caller holds mu.
func (s *Server) wake() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// below returns the items with the prefix after a key, in order, and whether there are more. The caller
// holds mu.
func (s *Server) below(prefix, after string) ([]item, bool) {
	found := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(found) == pageItems {
			return found, true
		}
		found = append(found, s.items[key])
	}
	return found, false
}

// since returns the changes below the prefix after a revision, and a channel that is closed at the next
// one. It returns false if the history no longer goes back that far.
func (s *Server) since(prefix string, after uint64) ([]item, uint64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if after < s.dropped {
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
