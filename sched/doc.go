// Package sched queues the statements of one service: it decides which are refused, in which order the
// others start, and on which member each runs. It does no I/O and starts no goroutines.
//
//	q := sched.Queue{}
//	if accepted := q.Push(now, &item, members); !accepted {
//		return errBusy
//	}
//	for {
//		it, m := q.Next(now, members)
//		if it == nil {
//			break
//		}
//		start(it, m)
//	}
package sched
