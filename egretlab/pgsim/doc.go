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
// Below it, core is the member's state, walog its log and repl the replication. A client's session
// is in sess: scan and parse read the statements of query, exec runs them, plat has the platform's
// functions. The packages codec, locks, slots, stats and vars serve these.
package pgsim
