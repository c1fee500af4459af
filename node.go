package egret

import "net/netip"

// NodeState is what is known of a proxy's health.
type NodeState string

// The states of a proxy.
const (
	// NodeAlive answers its peers.
	NodeAlive NodeState = "alive"

	// NodeSuspect has missed heartbeats. It still counts as live.
	NodeSuspect NodeState = "suspect"

	// NodeLeaving shuts down gracefully. It takes no new lanes.
	NodeLeaving NodeState = "leaving"

	// NodeDead is gone.
	NodeDead NodeState = "dead"
)

// Node is a proxy as its peers see it.
type Node struct {
	// ID is unique for each run of a process.
	ID string

	// Address is where the proxy serves its peers.
	Address netip.AddrPort

	// Region is the proxy's region.
	Region string

	// Domain is the proxy's failure domain.
	Domain string

	// Incarnation is raised by the node itself, to refute a suspicion. For one incarnation a
	// state moves only from alive to suspect, to leaving, to dead.
	Incarnation uint64

	// State is the node's health.
	State NodeState
}

// Peers is the view of the other proxies.
type Peers interface {
	// Self returns this proxy.
	Self() Node

	// Live returns the proxies that may hold lanes, this one included while it isn't leaving. The
	// order is that of IDs.
	Live() []Node

	// Primary returns the newest fact about the group.
	Primary(group string) (GroupFact, bool)

	// Announce spreads a fact. An older one changes nothing.
	Announce(f GroupFact)

	// TablesNow returns the tables in force, or nil if there are none yet.
	TablesNow() *Tables
}
