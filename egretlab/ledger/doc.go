// Package ledger checks the promises of the proxies from outside: callers tell it of each statement before
// they send it and of each answer, and it witnesses what members do. It needs no network.
//
//	l := &ledger.Ledger{
//		Now: time.Now,
//	}
//	l.Sending(session, id, "READ a", time.Time{}, "")
//	l.Answered(id, rows, signature, "")
//	broken := l.Violations()
package ledger
