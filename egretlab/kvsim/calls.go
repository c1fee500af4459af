package kvsim

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// kind is a kind of call, as the protocol names it.
type kind string

// The kinds of calls.
const (
	kindGet   kind = "Get"
	kindSwap  kind = "CompareAndSwap"
	kindWatch kind = "Watch"
	kindGrant kind = "Grant"
	kindRenew kind = "Renew"
)

// isWrite reports whether the call changes something.
func (k kind) isWrite() bool {
	return k == kindSwap || k == kindGrant || k == kindRenew
}

// Stats tells what was called since the start.
type Stats struct {
	// Gets counts the calls of Get.
	Gets uint64 `json:"gets"`

	// Swaps counts the calls of CompareAndSwap.
	Swaps uint64 `json:"compare-and-swaps"`

	// Watches counts the calls of Watch.
	Watches uint64 `json:"watches"`

	// Grants counts the calls of Grant.
	Grants uint64 `json:"grants"`

	// Renewals counts the calls of Renew.
	Renewals uint64 `json:"renewals"`

	// Limited counts the calls that went over a rate limit.
	Limited uint64 `json:"limited"`

	// WaitingWatches is how many watches wait now.
	WaitingWatches int `json:"waiting-watches"`

	// MostReadsPerSecond is the highest count of reads within a second of the clock.
	MostReadsPerSecond uint64 `json:"most-reads-per-second"`

	// MostWritesPerSecond is the highest count of writes within a second of the clock.
	MostWritesPerSecond uint64 `json:"most-writes-per-second"`
}

// calls counts the calls and bounds their rate.
type calls struct {
	// mu guards the fields below.
	mu sync.Mutex

	// stats holds the counts but the highest rates.
	stats Stats

	// reads and writes hold the rates.
	reads  meter
	writes meter
}

// meter finds the highest rate.
type meter struct {
	// limit bounds the rate.
	limit *rate.Limiter

	// second is the one that count belongs to, in seconds since 1970.
	second int64

	// count is the calls within second.
	count uint64

	// most is the highest count so far.
	most uint64
}

// Stats returns what was called so far.
func (s *Server) Stats() Stats {
	c := &s.calls
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.MostReadsPerSecond = c.reads.most
	stats.MostWritesPerSecond = c.writes.most
	return stats
}

// begin counts a call. The returned function ends it.
func (c *calls) begin(k kind, now time.Time) (func(), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(k)
	m := &c.reads
	if k.isWrite() {
		m = &c.writes
	}
	m.add(now)
	if !m.limit.AllowN(now, 1) {
		c.stats.Limited++
		return nil, status.Error(codes.ResourceExhausted, "over the store's rate limit")
	}
	if k != kindWatch {
		return func() {}, nil
	}
	c.stats.WaitingWatches++
	return c.endWatch, nil
}

func (c *calls) endWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.WaitingWatches--
}

// count adds a call to its kind. The caller holds mu.
func (c *calls) count(k kind) {
	switch k {
	case kindGet:
		c.stats.Gets++
	case kindSwap:
		c.stats.Swaps++
	case kindWatch:
		c.stats.Watches++
	case kindGrant:
		c.stats.Grants++
	case kindRenew:
		c.stats.Renewals++
	}
}

// add counts a call at the time.
func (m *meter) add(now time.Time) {
	if now.Unix() != m.second {
		m.second = now.Unix()
		m.count = 0
	}
	m.count++
	m.most = max(m.most, m.count)
}
