// Package dbsim simulates the platform's database groups. Members speak the line protocol, run a limited
// number of statements at once (slots), limit their connections, and have a log that replicas receive and
// apply with a delay. Members can be promoted, paused and drained; each promotion starts a term. All
// members of a group run in one process, so that an observer can check what each does against the state of
// the whole group.
//
//	g := &dbsim.Group{
//		Service:  "orders",
//		Members:  members,
//		Observer: o,
//	}
//	err := g.Open(ctx)
//	go g.Run(ctx)
package dbsim
