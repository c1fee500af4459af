// Package fair implements the fair queue in which requests wait for a statement slot of a lane.
//
// Requests are queued by class and, within a class, by caller. The callers of a class are served by surplus round
// robin: a caller's requests may start while it has credit, a started request is charged the mean service time, and
// the difference to its actual service time is settled when it ends. Credit is granted in rounds, by weight. So
// callers share the slots' time by weight, however many connections they have and through whichever proxy they come.
//
// While other classes wait, class order precedes them up to a share of the slots' time. A request of class defer
// starts when none of another class can, or when three quarters of its time have passed.
//
//	q := fair.Queue{
//		Slots:       2,
//		Connections: 12,
//		Limit:       100,
//		OrderShare:  80,
//	}
//	refused := q.Push(now, item)
//	item, ok := q.Pop(now)
//	...
//	q.Done(now, item, elapsed)
//	q.ReleaseConn(item)
//
// The package does no I/O, starts no goroutines and reads no clock. The current time is an argument of the calls.
package fair
