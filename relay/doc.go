// Package relay carries transactions between an entry and the lane of a member in another proxy.
//
// Lanes finds the proxy that holds a member's lane. If it is this one, it goes to the local Holder,
// else it opens a stream to the other proxy's Server:
//
//	lanes := &relay.Lanes{
//		Peers:     peers,
//		Local:     holder,
//		Positions: holder,
//		Conn:      pool.Conn,
//		Metrics:   relay.NewMetrics(registry),
//	}
//	lanepb.RegisterLaneServer(grpcServer, &relay.Server{
//		Lanes:     holder,
//		Positions: holder,
//	})
//
// A stream carries one transaction. The lane bounds each batch by what is left of its time, and its
// answer is sent on in chunks, so that a slow caller slows down its member's connection and nothing
// piles up between them.
package relay
