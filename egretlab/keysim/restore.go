package keysim

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// eraHeader is the header with the era, in all answers.
	eraHeader = "Store-Era"

	// copyInterval is the interval at which copies of the state are taken, and maxCopyAge how long they are kept.
	copyInterval = 250 * time.Millisecond
	maxCopyAge   = 15 * time.Second
)

// storeCopy is a copy of the store's state.
type storeCopy struct {
	takenAt  time.Time
	revision uint64
	items    map[string]item
	leases   map[uint64]time.Duration
}

// Era returns the era: one more than the number of restores.
func (s *Server) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restores + 1
}

// keepCopy takes a copy of the state if one is due.
func (s *Server) keepCopy(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.copies); n > 0 && now.Sub(s.copies[n-1].takenAt) < copyInterval {
		return
	}
	c := storeCopy{
		takenAt:  now,
		revision: s.revision,
		items:    maps.Clone(s.items),
		leases:   map[uint64]time.Duration{},
	}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	s.copies = append(s.copies, c)
	s.copies = slices.DeleteFunc(s.copies, func(c storeCopy) bool { return now.Sub(c.takenAt) > maxCopyAge })
}

// Restore replaces the state by the newest copy that is at least of the given age, or by the oldest one, and begins a new
// era. Revisions go back to that of the copy. What the operator and the members have written since is written again; what
// the system has written is lost. It needs Run.
func (s *Server) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c := storeCopy{}
	for i, kept := range s.copies {
		if i == 0 || now.Sub(kept.takenAt) >= age {
			c = kept
		}
	}
	lost := s.items
	s.restores++
	s.revision = c.revision
	s.items = map[string]item{}
	maps.Copy(s.items, c.items)
	s.leases = map[uint64]*lease{}
	for id, ttl := range c.leases {
		s.leases[id] = &lease{
			ttl:       ttl,
			expiresAt: now.Add(ttl),
		}
	}
	s.changes = slices.DeleteFunc(slices.Clone(s.changes), func(i item) bool { return i.revision > c.revision })
	s.droppedRevision = min(s.droppedRevision, c.revision)
	s.copies = nil
	s.writeAgain(lost)
	s.wakeWatches()
}

// writeAgain writes the keys of the operator and of the members as they were before a restore. The caller holds mu.
func (s *Server) writeAgain(lost map[string]item) {
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if _, found := lost[key]; isProtected(key) && !found {
			s.remove(key)
		}
	}
	written := slices.SortedFunc(maps.Values(lost), func(a, b item) int { return cmp.Compare(a.revision, b.revision) })
	for _, i := range written {
		if current := s.items[i.key]; isProtected(i.key) && !bytes.Equal(current.value, i.value) {
			s.put(i.key, i.value, 0)
		}
	}
}
