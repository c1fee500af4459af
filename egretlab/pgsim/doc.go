// Package pgsim is a database member for the laboratory. It speaks the PostgreSQL protocol, keeps
// one table of orders, and replicates its log.
//
//	s := pgsim.Server{
//		Member:      &core.Member{...},
//		Slots:       2,
//		Connections: 16,
//	}
//	err := s.Run(ctx, listener)
//
// Below it, core is the member's state, walog its log, repl the replication, query the language,
// sess a client's session; codec, locks, slots and stats serve sess.
package pgsim
