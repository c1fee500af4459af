// Package slots bounds how many statements a member runs at once.
//
// Statements wait in the order of their arrival. Each takes a Slot of its own:
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

// Pool is the slots of a member.
type Pool struct {
	// sem has one unit for each slot. It serves in the order of arrival.
	sem *semaphore.Weighted

	// mu guards the fields below.
	mu sync.Mutex

	// running is how many slots are held.
	running int

	// highest is the highest that running has been.
	highest int
}

// New returns a pool of the given size.
func New(size int) *Pool {
	return &Pool{
		sem: semaphore.NewWeighted(int64(size)),
	}
}

// Slot returns a slot that is not held yet.
func (p *Pool) Slot() *Slot {
	return &Slot{
		pool: p,
	}
}

// Usage returns how many slots are held, and how many ever were at once.
func (p *Pool) Usage() (running int, highest int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running, p.highest
}

func (p *Pool) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += n
	p.highest = max(p.highest, p.running)
}

// Slot is one statement's claim. It belongs to one goroutine.
type Slot struct {
	// pool is where the slot comes from.
	pool *Pool

	// held says that the slot counts in the pool.
	held bool
}

// Acquire waits for the slot. It returns the context's cause if that ends first.
func (s *Slot) Acquire(ctx context.Context) error {
	if s.held {
		return nil
	}
	if err := s.pool.sem.Acquire(ctx, 1); err != nil {
		return context.Cause(ctx)
	}
	s.held = true
	s.pool.add(1)
	return nil
}

// Release gives the slot back, if it is held.
func (s *Slot) Release() {
	if !s.held {
		return
	}
	s.held = false
	s.pool.add(-1)
	s.pool.sem.Release(1)
}
