package main

import (
	"context"
	"net/netip"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/claim"
	"egretlane.example/egret/platform"
)

// The methods below implement link.Host: the node uses them to answer other proxies.

// Incarnation is unique for each run of the process.
func (n *node) Incarnation() string { return n.fleet.Incarnation() }

// Node names the process.
func (n *node) Node() string { return n.fleet.Node() }

// Leaving reports whether the process is shutting down.
func (n *node) Leaving() bool { return n.shuttingDown.Load() }

// GivenUp returns the revisions at which this process took services that it has since released.
func (n *node) GivenUp() []uint64 { return n.fleet.GivenUp() }

// Stream returns a stream for statements from another proxy. passOn allows it to forward them to the holder of the
// service.
func (n *node) Stream(passOn bool) egret.Stream { return n.fleet.Stream(passOn) }

// Promise grants the holder of a service a promise to acknowledge no successor for a time, or reports false.
func (n *node) Promise(service string, q claim.Promise) bool { return n.fleet.Grant(service, q) }

// Clear refuses further promises to holders before the revision. It returns how long an earlier promise is still
// in force.
func (n *node) Clear(service string, revision uint64) (time.Duration, claim.Intent) {
	return n.fleet.Bar(service, revision)
}

// Hear asks the proxy at the address for its incarnation.
func (n *node) Hear(ctx context.Context, a netip.AddrPort) (string, error) {
	return n.fleet.Hear(ctx, a)
}

// Changes returns the changes of the store after the revision that this process has seen. It reports false if the
// process does not know.
func (n *node) Changes(prefix string, after uint64) ([]egret.Item, uint64, bool) {
	if prefix == platform.OperatorPrefix {
		return n.cache.operatorWatch.ChangesAfter(after)
	}
	return n.fleet.Changes(prefix, after)
}
