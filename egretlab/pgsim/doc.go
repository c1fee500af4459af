// Package pgsim simulates a database member for the test bench. It speaks the PostgreSQL protocol, stores
// one table of orders, and replicates its log to other members of its group.
//
//	s := pgsim.Server{
//		Member:         &core.Member{...},
//		Slots:          2,
//		MaxConnections: 16,
//	}
//	if err := s.Open(); err != nil {
//		return err
//	}
//	err := s.Run(ctx, listener)
//
// Package core holds the member's state, walog its log, and repl replicates the log. Package sess runs
// a client's session: scan and parse turn SQL text into the statements of query, exec runs them, and
// plat implements the platform's SQL functions. The packages auth, codec, locks, slots, stats and vars
// support these.
package pgsim
