package kvsim

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// rpc is the name of a method of the store's gRPC service.
type rpc string

// The methods of the service.
const (
	rpcGet   rpc = "Get"
	rpcSwap  rpc = "CompareAndSwap"
	rpcWatch rpc = "Watch"
	rpcGrant rpc = "Grant"
	rpcRenew rpc = "Renew"
)

// isWrite reports whether the method changes the store.
func (r rpc) isWrite() bool {
	return r == rpcSwap || r == rpcGrant || r == rpcRenew
}

// Stats has the counts of calls since the start.
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

	// Limited counts the calls that were refused by a rate limit.
	Limited uint64 `json:"limited"`

	// WaitingWatches is the number of watches that wait now.
	WaitingWatches int `json:"waiting-watches"`

	// MostReadsPerSecond is the highest number of reads within one second of the wall clock.
	MostReadsPerSecond uint64 `json:"most-reads-per-second"`

	// MostWritesPerSecond is the highest number of writes within one second of the wall clock.
	MostWritesPerSecond uint64 `json:"most-writes-per-second"`
}

// calls counts the calls and limits their rate.
type calls struct {
	// mu guards the fields below.
	mu sync.Mutex

	// stats holds the counts. Its highest rates are not set; reads and writes have them.
	stats Stats

	// reads and writes measure and limit the rates.
	reads  rateMeter
	writes rateMeter
}

// rateMeter measures the highest rate of calls and limits the rate.
type rateMeter struct {
	// limiter limits the rate.
	limiter *rate.Limiter

	// second is the second that count is of, in seconds since 1970.
	second int64

	// count is the number of calls within second.
	count uint64

	// peak is the highest count so far.
	peak uint64
}

// Stats returns the counts of calls so far.
func (s *Server) Stats() Stats {
	c := &s.calls
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.stats
	stats.MostReadsPerSecond = c.reads.peak
	stats.MostWritesPerSecond = c.writes.peak
	return stats
}

// begin counts a call. It returns an error if the call exceeds a rate limit, and otherwise a function that
// must be called when the call ends.
func (c *calls) begin(method rpc, now time.Time) (func(), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(method)
	m := &c.reads
	if method.isWrite() {
		m = &c.writes
	}
	m.add(now)
	if !m.limiter.AllowN(now, 1) {
		c.stats.Limited++
		return nil, status.Error(codes.ResourceExhausted, "over the store's rate limit")
	}
	if method != rpcWatch {
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

// count adds a call to the count of its method. The caller holds mu.
func (c *calls) count(method rpc) {
	switch method {
	case rpcGet:
		c.stats.Gets++
	case rpcSwap:
		c.stats.Swaps++
	case rpcWatch:
		c.stats.Watches++
	case rpcGrant:
		c.stats.Grants++
	case rpcRenew:
		c.stats.Renewals++
	}
}

// add counts a call at the given time.
func (m *rateMeter) add(now time.Time) {
	if now.Unix() != m.second {
		m.second = now.Unix()
		m.count = 0
	}
	m.count++
	m.peak = max(m.peak, m.count)
}
