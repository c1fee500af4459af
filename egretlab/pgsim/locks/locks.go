// Package locks keeps the advisory locks of a member's connections.
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

// Holder is a connection that may hold locks.
type Holder struct {
	// Process is the connection's process number.
	Process uint32

	// Application is the connection's application name.
	Application string
}

// Lock is a lock that is held.
type Lock struct {
	// Key names the lock.
	Key int64

	// Holder has the lock.
	Holder Holder

	// Count is how often the holder took it. It is above zero.
	Count int
}

// Table is the advisory locks of a member. The zero Table is empty and ready to use.
type Table struct {
	// mu guards the field below.
	mu sync.Mutex

	// held is the locks in no order, each key at most once.
	held []Lock
}

// TryLock takes the lock unless another connection has it. A connection may take it again.
func (t *Table) TryLock(h Holder, key int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.find(key)
	if i < 0 {
		t.held = append(t.held, Lock{
			Key:    key,
			Holder: h,
			Count:  1,
		})
		return true
	}
	if t.held[i].Holder.Process != h.Process {
		return false
	}
	t.held[i].Count++
	return true
}

// Unlock undoes one TryLock of the connection. It returns false if the connection has no such lock.
func (t *Table) Unlock(process uint32, key int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.find(key)
	if i < 0 || t.held[i].Holder.Process != process {
		return false
	}
	t.held[i].Count--
	if t.held[i].Count == 0 {
		t.held = slices.Delete(t.held, i, i+1)
	}
	return true
}

// Release undoes all locks of a connection.
func (t *Table) Release(process uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = slices.DeleteFunc(t.held, func(l Lock) bool {
		return l.Holder.Process == process
	})
}

// List returns the locks, ordered by key.
func (t *Table) List() []Lock {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := slices.Clone(t.held)
	slices.SortFunc(all, func(a, b Lock) int {
		return cmp.Compare(a.Key, b.Key)
	})
	return all
}

func (t *Table) find(key int64) int {
	return slices.IndexFunc(t.held, func(l Lock) bool {
		return l.Key == key
	})
}
