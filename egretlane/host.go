package main

import (
	"context"
	"net/netip"

	"egretlane.example/egret"
	"egretlane.example/egret/lease"
	"egretlane.example/egret/platform"
	"egretlane.example/egret/watch"
)

// The methods below implement link.Host: the node uses them to answer other proxies.

// Incarnation is unique for each run of the process.
func (n *node) Incarnation() string { return n.fleet.Incarnation() }

// NodeID names the process.
func (n *node) NodeID() string { return n.fleet.NodeID() }

// Leaving reports whether the process is shutting down.
func (n *node) Leaving() bool { return n.shuttingDown.Load() }

// GivenUpRevisions returns the revisions at which this process took services that it has since released.
func (n *node) GivenUpRevisions() []egret.Revision { return n.fleet.GivenUpRevisions() }

// PeerStream returns a stream for statements from another proxy. mayForward allows it to forward them to the holder of
// the service.
func (n *node) PeerStream(mayForward bool) egret.Stream { return n.fleet.PeerStream(mayForward) }

// GrantPromise grants the holder of a service a promise to acknowledge no successor for a time, or reports false.
func (n *node) GrantPromise(service string, q lease.Promise) bool {
	return n.fleet.GrantPromise(service, q)
}

// Fence refuses further promises to former holders of a service, and returns what this process knows of them.
func (n *node) Fence(service string, q lease.Fence) lease.FenceReply {
	return n.fleet.Fence(service, q)
}

// PingPeer asks the proxy at the address for its incarnation.
func (n *node) PingPeer(ctx context.Context, a netip.AddrPort) (string, error) {
	return n.fleet.PingPeer(ctx, a)
}

// Changes returns the changes of the store after the revision that this process has seen. It reports false if the
// process does not know.
func (n *node) Changes(prefix string, after egret.Revision) (watch.Changes, bool) {
	switch prefix {
	case platform.OperatorPrefix:
		return n.mirror.Operator.ChangesAfter(after)
	case platform.MembersPrefix:
		return n.mirror.Members.ChangesAfter(after)
	default:
		return n.fleet.Changes(prefix, after)
	}
}
