// Package dbsim stands in for the database groups of the platform: members that speak the line
// protocol, with slots, a bound on connections, a log that replicas receive and apply later, terms,
// promotions, pauses and drains. All members of a group run in one process, so that a witness can judge
// what they do against the whole.
//
//	g := &dbsim.Group{
//		Service: "orders",
//		Members: members,
//		Witness: w,
//	}
//	err := g.Open(ctx)
//	go g.Run(ctx)
package dbsim
