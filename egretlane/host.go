package main

import (
	"context"
	"net/netip"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/claim"
	"egretlane.example/egret/platform"
)

// With the methods below the node answers other proxies.

// Incarnation is unique for each run of the process.
func (n *node) Incarnation() string { return n.fleet.Incarnation() }

// Node names the process.
func (n *node) Node() string { return n.fleet.Node() }

// Leaving reports whether the process shuts down.
func (n *node) Leaving() bool { return n.leaving.Load() }

// GivenUp returns the revisions of the holdings that the process had and has ended.
func (n *node) GivenUp() []uint64 { return n.fleet.GivenUp() }

// Stream returns a stream for statements from another proxy.
func (n *node) Stream(passOn bool) egret.Stream { return n.fleet.Stream(passOn) }

// Promise gives the holder of a service a promise, or reports false.
func (n *node) Promise(service string, q claim.Promise) bool { return n.fleet.Grant(service, q) }

// Clear bars promises to holders before the revision.
func (n *node) Clear(service string, revision uint64) (time.Duration, claim.Intent) {
	return n.fleet.Bar(service, revision)
}

// Hear asks the proxy at the address for its incarnation.
func (n *node) Hear(ctx context.Context, a netip.AddrPort) (string, error) {
	return n.fleet.Hear(ctx, a)
}

// Changes returns what the process has seen in the store after the revision.
func (n *node) Changes(prefix string, after uint64) ([]egret.Item, uint64, bool) {
	if prefix == platform.OperatorPrefix {
		return n.directory.operatorKeys.Changes(after)
	}
	return n.fleet.Changes(prefix, after)
}
