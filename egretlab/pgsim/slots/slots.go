// Package slots limits the number of statements that a member runs at the same time.
//
// Waiting statements get slots in the order of their arrival. Each statement uses its own Slot:
//
//	s := pool.Slot()
//	if err := s.Acquire(ctx); err != nil {
//		return err
//	}
//	defer s.Release()
package slots

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"
)

// Pool is the limit on the running statements of a member.
type Pool struct {
	// sem has one unit for each slot. It serves waiters in the order of arrival.
	sem *semaphore.Weighted

	// mu guards the fields below.
	mu sync.Mutex

	// running is the number of slots that are held.
	running int

	// peak is the highest value of running so far.
	peak int
}

// New returns a pool of size slots.
func New(size int) *Pool {
	return &Pool{
		sem: semaphore.NewWeighted(int64(size)),
	}
}

// Slot returns a slot that is not acquired yet.
func (p *Pool) Slot() *Slot {
	return &Slot{
		pool: p,
	}
}

// Usage returns the number of slots that are held, and its peak.
func (p *Pool) Usage() (running int, peak int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running, p.peak
}

func (p *Pool) addRunning(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += n
	p.peak = max(p.peak, p.running)
}

// Slot is one statement's use of the pool. It must be used by one goroutine only.
type Slot struct {
	// pool is the pool that the slot counts against.
	pool *Pool

	// held reports whether the slot is acquired.
	held bool
}

// Acquire waits until a slot is free. If the context is done first, it returns the cause. Acquiring a held
// slot has no effect.
func (s *Slot) Acquire(ctx context.Context) error {
	if s.held {
		return nil
	}
	if err := s.pool.sem.Acquire(ctx, 1); err != nil {
		return context.Cause(ctx)
	}
	s.held = true
	s.pool.addRunning(1)
	return nil
}

// Release gives the slot back to the pool if it is held.
func (s *Slot) Release() {
	if !s.held {
		return
	}
	s.held = false
	s.pool.addRunning(-1)
	s.pool.sem.Release(1)
}
