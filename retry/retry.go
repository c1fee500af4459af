// Package retry bounds how often and how fast a request is tried again.
//
// A request has one budget of time over all its tries. Between two tries it waits for a capped,
// jittered time. Over all requests of a proxy, tries again are a small part of first tries, so that
// a database that refuses everything gets little more than the callers' own load:
//
//	p := retry.Plan{
//		Deadline: start.Add(route.Budget),
//		Backoff:  backoff,
//		Ratio:    ratio,
//	}
//	wait, ok := p.Next(time.Now(), rand.Float64(), false)
package retry

import (
	"sync"
	"time"
)

// Backoff is the wait between tries. It doubles from Base up to Cap, and half of it is random.
type Backoff struct {
	// Base is the first wait, above zero.
	Base time.Duration

	// Cap is the longest wait, not below Base.
	Cap time.Duration
}

// Wait returns the wait before the try that follows n tries, for a random number in [0, 1).
func (b Backoff) Wait(n int, random float64) time.Duration {
	wait := b.Cap
	for i, w := 1, b.Base; w < b.Cap; i, w = i+1, 2*w {
		if i >= n {
			wait = w
			break
		}
	}
	half := wait / 2
	return half + time.Duration(random*float64(half))
}

// Ratio limits tries again to a part of first tries. It is safe for concurrent use.
type Ratio struct {
	// Part is how many tries again each first try earns, between 0 and 1.
	Part float64

	// Burst is how many tries again can be saved up. They are there at the start.
	Burst float64

	mu sync.Mutex

	// spent is how much of Burst is missing. It is never below zero.
	spent float64
}

// First counts a first try.
func (r *Ratio) First() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spent = max(0, r.spent-r.Part)
}

// Again asks for one more try.
func (r *Ratio) Again() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.spent+1 > r.Burst {
		return false
	}
	r.spent++
	return true
}

// Plan holds the tries of one request. It is not safe for concurrent use.
type Plan struct {
	// Deadline ends the request's budget.
	Deadline time.Time

	// Backoff is the wait between tries.
	Backoff Backoff

	// Ratio is shared by the proxy's requests.
	Ratio *Ratio

	// tries counts the tries that Next has allowed.
	tries int
}

// Next returns how long to wait before one more try, for a random number in [0, 1). It returns
// false if the budget would end first or the ratio is used up. A try that goes where no request
// has been refused, such as a new primary, is free: it counts no load on a member that refuses.
func (p *Plan) Next(now time.Time, random float64, free bool) (time.Duration, bool) {
	wait := p.Backoff.Wait(p.tries+1, random)
	if !now.Add(wait).Before(p.Deadline) {
		return 0, false
	}
	if !free && !p.Ratio.Again() {
		return 0, false
	}
	p.tries++
	return wait, true
}

// Left returns what is left of the budget. It is never below zero.
func (p *Plan) Left(now time.Time) time.Duration {
	return max(0, p.Deadline.Sub(now))
}
