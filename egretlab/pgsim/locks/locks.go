// Package locks implements PostgreSQL's session-level advisory locks for the connections of a member.
//
//	if t.TryLock(holder, key) {
//		defer t.Unlock(holder.Process, key)
//	}
package locks

import (
	"cmp"
	"slices"
	"sync"
)

// Holder identifies a connection that can hold locks.
type Holder struct {
	// Process is the connection's process number.
	Process uint32

	// Application is the connection's application name.
	Application string
}

// Lock is an advisory lock that is held.
type Lock struct {
	// Key identifies the lock.
	Key int64

	// Holder is the connection that holds the lock.
	Holder Holder

	// HoldCount is the number of times that the holder has taken the lock and not released it. It is above
	// zero.
	HoldCount int
}

// Table holds the advisory locks of a member. The zero Table is empty and ready to use.
type Table struct {
	// mu guards the field below.
	mu sync.Mutex

	// locks holds the locks in no particular order, with each key at most once.
	locks []Lock
}

// TryLock takes the lock and returns true, or returns false if another connection holds it. A connection
// may take the same lock several times.
func (t *Table) TryLock(h Holder, key int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.index(key)
	if i < 0 {
		t.locks = append(t.locks, Lock{
			Key:       key,
			Holder:    h,
			HoldCount: 1,
		})
		return true
	}
	if t.locks[i].Holder.Process != h.Process {
		return false
	}
	t.locks[i].HoldCount++
	return true
}

// Unlock reverts one TryLock of the connection. It returns false if the connection doesn't hold the lock.
func (t *Table) Unlock(process uint32, key int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.index(key)
	if i < 0 || t.locks[i].Holder.Process != process {
		return false
	}
	t.locks[i].HoldCount--
	if t.locks[i].HoldCount == 0 {
		t.locks = slices.Delete(t.locks, i, i+1)
	}
	return true
}

// ReleaseAll releases all locks of a connection.
func (t *Table) ReleaseAll(process uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.locks = slices.DeleteFunc(t.locks, func(l Lock) bool {
		return l.Holder.Process == process
	})
}

// List returns the held locks, ordered by key.
func (t *Table) List() []Lock {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := slices.Clone(t.locks)
	slices.SortFunc(all, func(a, b Lock) int {
		return cmp.Compare(a.Key, b.Key)
	})
	return all
}

// index returns the index of the lock with the key, or -1. t.mu must be held.
func (t *Table) index(key int64) int {
	return slices.IndexFunc(t.locks, func(l Lock) bool {
		return l.Key == key
	})
}
