// Package limit learns how many statements a member runs at once before it slows down. It does no I/O, starts no
// goroutines and reads no clock.
//
// A long service time alone doesn't show that fewer statements at once would be faster: the member may be slow at any
// load. The package therefore alternates between two bounds for a few statements, and keeps the lower one only if the
// higher one has about the same throughput or less.
//
//	l := limit.Limit{Slots: 6}
//	if running < l.Bound() {
//		start(statement)
//	}
//	...
//	if ratio, known := baseline.Ratio(route, elapsed); known {
//		l.Answered(now, limit.Sample{Ratio: ratio, Load: load, Waiting: queued > 0})
//	}
package limit
