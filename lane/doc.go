// Package lane runs callers' transactions on the members whose connections this proxy holds.
//
// Each member has one lane. The lane holds the member's connections, a fair queue of transactions
// that wait for a statement slot, and the member's latest state. A transaction has one connection
// from its first batch to its end, and a slot only while a batch runs.
//
// Slots are locks on the member, so two proxies that both think they hold the lane never run more
// statements than the member has slots. A write is answered only when a second member has
// confirmed it. A connection is lent again only if all its answers came as expected.
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
// Locks are taken in this order: Holder.mu, lane.mu, confirmer.mu, watch.mu, write.mu. The
// locks of transactions and replicas are taken alone or last.
package lane
