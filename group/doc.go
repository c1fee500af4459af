// Package group runs the statements of one service on its members, for the process that holds the
// service.
//
// A Lane has all connections to the primary and the replicas, so it knows every acknowledged commit,
// how busy each member is, and which connection belongs to which transaction:
//
//	l := group.Lane{
//		Service: "catalogo-db",
//		Dialer:  dialer,
//		Holding: holding,
//	}
//	go l.Run(ctx)
//	s := l.Stream()
//	answer := s.Do(ctx, work)
package group
