// Package relay forwards transactions to the proxy that holds the lane of a member: the connections to the member and
// the queue for them.
//
// Lanes finds the proxy that holds a member's lane. If it is this proxy, a transaction begins on its own lanes.
// Otherwise it runs over a gRPC stream to the Server of the other proxy:
//
//	lanes := &relay.Lanes{
//		Peers:     peers,
//		Local:     localLanes,
//		Positions: localLanes,
//		Conn:      pool.Conn,
//		Metrics:   relay.NewMetrics(registry),
//	}
//	lanepb.RegisterLaneServer(grpcServer, &relay.Server{
//		Lanes:     localLanes,
//		Positions: localLanes,
//	})
//
// A stream carries one transaction. The lane bounds each batch by what is left of its time budget. Answers are
// forwarded in chunks as they arrive, so that a slow caller slows down the member's connection (flow control)
// instead of filling buffers between them.
package relay
