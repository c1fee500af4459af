// Package fair decides who gets the next statement slot of a lane.
//
// Requests wait by class and, within a class, by caller. Callers take turns by surplus round robin:
// a caller may start while it has credit, a started request costs the mean service time, and the
// difference to the time that it really took is settled afterwards. Credit is given in rounds, by
// weight. So callers share the time of the slots by weight, however many connections they have and
// through whichever entry they come.
//
// Class order goes ahead of the others up to a share of the time while others wait. Class defer
// runs when nobody else could, or when three quarters of its time have passed.
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
//	q.Return(item)
//
// The package is plain code on values. The time comes in with the calls.
package fair
