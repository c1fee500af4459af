package main

import (
	"context"
	"net/netip"
	"time"

	"egretlane.example/egret"
)

// With the methods below the node answers other proxies.

// Incarnation is unique for each run of the process.
func (n *node) Incarnation() string { return n.fleet.Incarnation() }

// Node names the process.
func (n *node) Node() string { return n.fleet.Node() }

// Leaving reports whether the process shuts down.
func (n *node) Leaving() bool { return n.leaving.Load() }

// Stream returns a stream for statements from another proxy.
func (n *node) Stream(passOn bool) egret.Stream { return n.fleet.Stream(passOn) }

// Promise keeps the process from taking the service over for a time.
func (n *node) Promise(service string, revision uint64, d time.Duration, primary string) bool {
	return n.fleet.Grant(service, revision, d, primary)
}

// Hear asks the proxy at the address for its incarnation.
func (n *node) Hear(ctx context.Context, a netip.AddrPort) (string, error) {
	return n.fleet.Hear(ctx, a)
}

// Raise takes a commit of a predecessor.
func (n *node) Raise(string, uint64, egret.Position, bool) bool { return false }

// Reach reports whether the process can connect to the member.
func (n *node) Reach(ctx context.Context, member string) bool {
	b, found := n.directory.member(member)
	return found && n.dialer.Reachable(ctx, b) == nil
}

// TablesAbove returns the configuration in force if its version is higher.
func (n *node) TablesAbove(version uint64) (uint64, []byte) {
	return n.directory.above(version)
}
