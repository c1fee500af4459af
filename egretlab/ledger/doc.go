// Package ledger checks the consistency guarantees of the proxies from outside. Callers report each statement before
// they send it and each answer to it, and simulated members report what they execute. It needs no network.
//
//	l := &ledger.Ledger{
//		Now: time.Now,
//	}
//	l.Sending(session, id, "READ a", time.Time{}, "")
//	l.Answered(id, rows, signature, "")
//	violations := l.Violations()
package ledger
