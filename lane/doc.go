// Package lane runs callers' transactions on the members whose connections this proxy holds.
//
// Each member has one lane. The lane holds the member's connections, a fair queue of transactions
// that wait for a statement slot, and the member's latest state. A transaction uses one connection
// from its first batch to its end, and occupies a slot only while a batch runs.
//
// Slots are advisory locks on the member, so that two proxies that both believe to own the lane
// never run more statements than the member has slots. The reply to a write is delivered only when
// a majority of the group has confirmed it. A connection is reused only if all its replies were as
// expected.
//
//	h := &lane.Holder{
//		Peers:   peers,
//		Control: control,
//		Dialer:  dialer,
//		Metrics: lane.NewMetrics(registry),
//	}
//	go h.Run(ctx)
//	t, err := h.Begin(ctx, opening)
//
// Locks are acquired in this order: Holder.mu, lane.mu, confirmer.mu, positionWatcher.mu,
// pendingWrite.mu. The locks of transactions and replicas are acquired alone or last.
package lane
