// Package lane runs callers' transactions on the members whose connections this proxy holds.
//
// Each member has one lane. The lane's owner is the proxy that place.LaneHolder chooses for the
// member. The lane holds the member's connections, a fair queue of transactions that wait for a
// statement slot, and the member's latest state. A transaction uses one connection from its first
// batch to its end, and occupies a slot only while a batch runs.
//
// A slot is an advisory lock on the member. Two proxies that both believe that they own the lane
// therefore never run more statements together than the member has slots. The reply to a write is
// delivered only when a majority of the group has confirmed it. A connection is reused only if all
// its replies were as expected.
//
//	m := &lane.Manager{
//		Peers:   peers,
//		Control: control,
//		Dialer:  dialer,
//		Metrics: lane.NewMetrics(registry),
//	}
//	go m.Run(ctx)
//	t, err := m.Begin(ctx, options)
//
// Locks are acquired in this order: Manager.mu, lane.mu, confirmer.mu, positionWatcher.mu,
// pendingWrite.mu. The locks of transactions and replicas are acquired alone or last.
package lane
