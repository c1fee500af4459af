// Package ledger checks the consistency guarantees of the proxies from outside. Callers report each statement before
// they send it and each answer to it, and simulated members report what they execute. It needs no network.
//
//	l := &ledger.Ledger{
//		Now: time.Now,
//	}
//	l.RecordSent(session, id, "READ a", time.Time{}, "")
//	l.RecordAnswer(id, rows, signature, "")
//	violations := l.Violations()
package ledger
