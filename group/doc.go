// Package group schedules the statements of one service over its group of backend servers, a primary and its
// replicas, and fails over to a replica when the primary is lost. It runs in the holder of the service.
//
// A Lane is the queue and the connection pools of one service. Every connection to the group belongs to it, so it
// knows every acknowledged commit, the load of each member, and which connection belongs to which transaction:
//
//	l := group.Lane{
//		Service: "catalogo-db",
//		Dialer:  dialer,
//		Lease:   serviceLease,
//	}
//	l.Init()
//	go l.Run(ctx)
//	s := l.Stream()
//	answer := s.Do(ctx, request)
package group
