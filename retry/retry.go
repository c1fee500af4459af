// Package retry limits how often and how fast requests are retried.
//
// A request has one time budget for all its attempts. Before each retry it waits for a backoff with a maximum and
// jitter. Over all requests of a proxy, the retries are limited to a small fraction of the first attempts, so that a
// database that refuses all requests gets little more than the load of the callers' own requests:
//
//	p := retry.Plan{
//		Deadline: start.Add(route.Budget),
//		Backoff:  backoff,
//		Throttle: throttle,
//	}
//	delay, ok := p.Next(time.Now(), rand.Float64(), false)
package retry

import (
	"sync"
	"time"
)

// Backoff is an exponential backoff between attempts. The delay doubles from Base up to Cap; up to half of it is
// subtracted at random.
type Backoff struct {
	// Base is the first delay before jitter. It must be above zero.
	Base time.Duration

	// Cap is the maximum delay. It must not be below Base.
	Cap time.Duration
}

// Delay returns the delay after n attempts, for a random number in [0, 1).
func (b Backoff) Delay(n int, random float64) time.Duration {
	delay := b.Cap
	for i, d := 1, b.Base; d < b.Cap; i, d = i+1, 2*d {
		if i >= n {
			delay = d
			break
		}
	}
	half := delay / 2
	return half + time.Duration(random*float64(half))
}

// Throttle is a token bucket that limits retries to a fraction of the first attempts. It is safe for concurrent use.
type Throttle struct {
	// RetriesPerRequest is the number of tokens that each first attempt adds, between 0 and 1. A retry takes one token.
	RetriesPerRequest float64

	// Burst is the capacity of the bucket, which is full at the start.
	Burst float64

	mu sync.Mutex

	// missing is the number of tokens that are missing from a full bucket. It is never below zero.
	missing float64
}

// AddAttempt counts a first attempt.
func (t *Throttle) AddAttempt() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.missing = max(0, t.missing-t.RetriesPerRequest)
}

// Allow takes a token for a retry. It returns false if there is none.
func (t *Throttle) Allow() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.missing+1 > t.Burst {
		return false
	}
	t.missing++
	return true
}

// Plan decides whether and when one request is retried. It is not safe for concurrent use.
type Plan struct {
	// Deadline is the end of the request's time budget.
	Deadline time.Time

	// Backoff gives the delay before each retry.
	Backoff Backoff

	// Throttle limits the retries of all requests of the proxy, which share it.
	Throttle *Throttle

	// retries counts the retries that Next has allowed.
	retries int
}

// Next returns the delay before the next retry, for a random number in [0, 1). It returns false if the time budget
// would end first or Throttle allows no retry. A retry at a member that has refused no request, such as a new primary,
// is free: it takes nothing from Throttle, as it adds no load to a member that refuses requests.
func (p *Plan) Next(now time.Time, random float64, free bool) (time.Duration, bool) {
	delay := p.Backoff.Delay(p.retries+1, random)
	if !now.Add(delay).Before(p.Deadline) {
		return 0, false
	}
	if !free && !p.Throttle.Allow() {
		return 0, false
	}
	p.retries++
	return delay, true
}

// Remaining returns the remaining time budget. It is never below zero.
func (p *Plan) Remaining(now time.Time) time.Duration {
	return max(0, p.Deadline.Sub(now))
}
