package egret

import "net/netip"

// NodeState is the health of a proxy.
type NodeState string

// States of a proxy.
const (
	// NodeAlive responds to its peers.
	NodeAlive NodeState = "alive"

	// NodeSuspect has missed heartbeats. It still counts as live.
	NodeSuspect NodeState = "suspect"

	// NodeLeaving is shutting down gracefully. It takes no new lanes.
	NodeLeaving NodeState = "leaving"

	// NodeDead has failed or has left.
	NodeDead NodeState = "dead"
)

// Node describes a proxy to its peers.
type Node struct {
	// ID is unique for each run of a process.
	ID string

	// Address is where the proxy accepts connections of its peers.
	Address netip.AddrPort

	// Region is the proxy's region.
	Region string

	// Domain is the proxy's failure domain.
	Domain string

	// Incarnation is increased only by the node itself, to refute a suspicion. Within one incarnation
	// the state changes only in the order alive, suspect, leaving, dead.
	Incarnation uint64

	// State is the node's health.
	State NodeState
}

// Peers is a proxy's view of all proxies.
type Peers interface {
	// Self returns this proxy.
	Self() Node

	// Live returns the proxies that may hold lanes, ordered by ID. It includes this proxy unless it
	// is leaving.
	Live() []Node

	// Primary returns the record with the highest known term for the group, and false if there is
	// none.
	Primary(group string) (GroupPrimary, bool)

	// AnnouncePrimary broadcasts the primary of a group to the peers. A record that is older than the known
	// one is ignored.
	AnnouncePrimary(p GroupPrimary)

	// TablesInForce returns the tables in force, or nil if none have been received yet.
	TablesInForce() *Tables
}
