// Package sess runs the session of one client of a database member: the simple and the extended
// protocol, transactions, settings and the platform's functions.
//
// A Session starts where authentication has ended:
//
//	s := sess.Session{
//		Host:     host,
//		Conn:     conn,
//		Backend:  backend,
//		Process:  process,
//		Settings: settings,
//	}
//	s.Run(ctx)
//
// One goroutine reads messages, so that the end of the connection ends whatever the session waits
// for. Another runs them in order and is the only one that writes.
package sess
