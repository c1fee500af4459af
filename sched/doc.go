// Package sched decides who waits, who is refused and where work goes among the members of one
// service. It does no I/O and starts no goroutines.
//
//	q := sched.Queue{}
//	if refused := q.Push(now, &item, members); refused {
//		return busy
//	}
//	for {
//		it, m := q.Next(now, members)
//		if it == nil {
//			break
//		}
//		start(it, m)
//	}
package sched
