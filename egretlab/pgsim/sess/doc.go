// Package sess runs the session of one client of a database member: the simple and the extended query
// protocol, transactions, settings and the platform's functions.
//
// A Session starts after authentication:
//
//	s := sess.Session{
//		Shared:   shared,
//		Conn:     conn,
//		Backend:  backend,
//		Process:  process,
//		Settings: settings,
//	}
//	s.Run(ctx)
//
// One goroutine reads messages, so that the end of the connection is noticed and cancels the running
// statement. Another goroutine runs the messages in order and is the only one that writes.
package sess
