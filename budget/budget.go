// Package budget divides the memory that a process has for messages among its connections.
//
// It decides who gets memory, who waits and whose connection is closed first. It does no I/O and has no clock and no
// goroutines; package alloc applies its decisions. A part of the memory is a reserve, from which only connections take that
// hold little: callers with ordinary messages find it free however many callers send long ones.
//
//	b := budget.Budget{Total: 32 << 20, Reserve: 4 << 20}
//	h := &budget.Holding{}
//	if !b.Take(h, 48<<10, now) {
//		// h waits. Take grants later, in the result of Release, or Victim names a connection to close for it.
//	}
package budget

import (
	"math"
	"time"

	"egretlane.example/egret/clock"
)

const (
	// SmallBytes is the most that a connection may hold of the reserve.
	SmallBytes = 64 << 10

	// MinAge is how long a connection must hold memory before it is closed for another. Most messages are complete by then.
	MinAge = 250 * time.Millisecond

	// maxAge limits the age that counts for a victim, so that a caller that has held little for hours isn't closed before one
	// that has held much for seconds.
	maxAge = 10 * time.Second

	// closeDelay is how long after its choice as a victim a holding is expected to return its memory.
	closeDelay = 200 * time.Millisecond

	// closeRetryDelay is how long after its choice a victim that still holds memory may be chosen again.
	closeRetryDelay = time.Second
)

// Budget is the memory for messages. It isn't safe for concurrent use.
type Budget struct {
	// Total is the memory in bytes, Reserve the part of it that is kept for connections that hold at most SmallBytes.
	Total, Reserve int64

	// held is the sum over all holdings. It exceeds Total after Force.
	held int64

	// holdings has each holding that holds or waits.
	holdings map[*Holding]struct{}

	// waiting is the number of holdings that wait.
	waiting int

	// arrivals numbers the holdings that have waited.
	arrivals uint64
}

// Holding is the memory of one connection. The zero Holding holds nothing.
type Holding struct {
	// held is the memory that it has, wanted what it waits for or zero.
	held, wanted int64

	// since is when it last began to hold memory. It is unset while held is zero.
	since clock.Time

	// running is set while a statement of the connection runs: the memory isn't held by a slow caller then.
	running bool

	// closedAt is when the holding was last a victim, or zero.
	closedAt clock.Time

	// arrival orders holdings that wait for equally much.
	arrival uint64
}

// Held returns the memory of the holding in bytes.
func (h *Holding) Held() int64 { return h.held }

// Waits reports whether the holding waits for memory.
func (h *Holding) Waits() bool { return h.wanted > 0 }

// SetRunning records whether a statement of the connection runs. It is no victim then.
func (h *Holding) SetRunning(running bool) { h.running = running }

// Held returns the memory of all holdings in bytes.
func (b *Budget) Held() int64 { return b.held }

// Waiting returns the number of holdings that wait.
func (b *Budget) Waiting() int { return b.waiting }

// Overdrawn reports whether more is held than there is.
func (b *Budget) Overdrawn() bool { return b.held > b.Total }

// Possible reports whether a holding could have the bytes if no other held any.
func (b *Budget) Possible(bytes int64) bool {
	return bytes <= b.Total-b.Reserve || bytes <= min(SmallBytes, b.Total)
}

// Take takes n bytes for a holding. It returns false if they aren't free: the holding waits then.
func (b *Budget) Take(h *Holding, n int64, now clock.Time) bool {
	if n <= 0 {
		return true
	}
	if b.fits(h, n) {
		b.Force(h, n, now)
		return true
	}
	b.keep(h)
	if h.wanted == 0 {
		b.waiting++
		b.arrivals++
		h.arrival = b.arrivals
	}
	h.wanted = n
	return false
}

// TryTake takes n bytes for a holding, or returns false if they aren't free. The holding doesn't wait.
func (b *Budget) TryTake(h *Holding, n int64, now clock.Time) bool {
	if !b.fits(h, n) {
		return false
	}
	b.Force(h, n, now)
	return true
}

// Force takes n bytes for a holding even if they aren't free, for what is in memory already.
func (b *Budget) Force(h *Holding, n int64, now clock.Time) {
	if n <= 0 {
		return
	}
	b.keep(h)
	if h.held == 0 {
		h.since = now
	}
	h.held += n
	b.held += n
}

// Cancel ends the wait of a holding.
func (b *Budget) Cancel(h *Holding) {
	if h.wanted == 0 {
		return
	}
	h.wanted = 0
	b.waiting--
	b.forget(h)
}

// Release returns n bytes of a holding, or all that it has if that is less. It returns the holdings that got what they waited
// for.
func (b *Budget) Release(h *Holding, n int64, now clock.Time) []*Holding {
	n = min(n, h.held)
	if n <= 0 {
		return nil
	}
	h.held -= n
	b.held -= n
	b.forget(h)
	var granted []*Holding
	for b.waiting > 0 {
		next := b.next()
		if !b.fits(next, next.wanted) {
			break
		}
		wanted := next.wanted
		next.wanted = 0
		b.waiting--
		b.Force(next, wanted, now)
		granted = append(granted, next)
	}
	return granted
}

// Victim returns the holding whose connection is to be closed as others wait or too much is held, or nil. It is the one with
// the highest product of memory and age: a slow caller with a large message. A holding younger than MinAge is closed only
// when twice the total is held. Earlier victims that are about to return enough are awaited.
func (b *Budget) Victim(now clock.Time) *Holding {
	lacking := b.lacking()
	var victim *Holding
	highest := 0.0
	for h := range b.holdings {
		age := now.Sub(h.since)
		if h.closedAt != 0 && now.Sub(h.closedAt) < closeDelay {
			lacking -= h.held
		}
		if h.held == 0 || h.running || h.closedAt != 0 && now.Sub(h.closedAt) < closeRetryDelay || age < MinAge && b.held < 2*b.Total {
			continue
		}
		if score := float64(h.held) * float64(min(max(age, time.Millisecond), maxAge)); score > highest {
			victim, highest = h, score
		}
	}
	if lacking <= 0 || victim == nil {
		return nil
	}
	victim.closedAt = now
	return victim
}

// lacking returns how many bytes must be returned so that no more is held than there is and the next holding that waits gets
// what it wants.
func (b *Budget) lacking() int64 {
	if b.waiting == 0 {
		return b.held - b.Total
	}
	h := b.next()
	free := b.Total - b.held
	if h.held+h.wanted > SmallBytes {
		free -= b.Reserve
	}
	return h.wanted - free
}

// next returns the holding that gets memory first: the one with the smallest message, and among equals the first.
func (b *Budget) next() *Holding {
	var first *Holding
	least := int64(math.MaxInt64)
	for h := range b.holdings {
		size := h.held + h.wanted
		if h.wanted > 0 && (size < least || size == least && h.arrival < first.arrival) {
			first, least = h, size
		}
	}
	return first
}

// fits reports whether a holding may have n bytes more now.
func (b *Budget) fits(h *Holding, n int64) bool {
	free := b.Total - b.held
	if h.held+n > SmallBytes {
		free -= b.Reserve
	}
	return n <= free
}

func (b *Budget) keep(h *Holding) {
	if b.holdings == nil {
		b.holdings = map[*Holding]struct{}{}
	}
	b.holdings[h] = struct{}{}
}

func (b *Budget) forget(h *Holding) {
	if h.held == 0 && h.wanted == 0 {
		h.closedAt = 0
		delete(b.holdings, h)
	}
}
