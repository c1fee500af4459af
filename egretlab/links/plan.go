// Package links simulates the network between the processes of a deployment: a TCP relay with latency, a bandwidth
// limit shared between two regions, byte counts by cause, and network cuts.
//
// A link is a listener for one dialling endpoint and one process that it connects to. Each direction of a connection is
// a queue of chunks with due times, so that all chunks have the same latency and the latency doesn't limit the
// throughput:
//
//	r := &links.Relay{
//		Plan: plan,
//	}
//	err := r.Run(ctx)
package links

import (
	"net/netip"
	"time"
)

// Cause says what a link's traffic is for.
type Cause string

// The causes of traffic.
const (
	// CauseCaller is traffic between callers and the proxies or members that they connect to.
	CauseCaller Cause = "caller"

	// CauseProxy is traffic between proxies: lanes and the exchange of state.
	CauseProxy Cause = "proxy"

	// CauseMember is traffic between proxies and members.
	CauseMember Cause = "member"

	// CauseReplication is traffic between members.
	CauseReplication Cause = "replication"

	// CauseStore is traffic between proxies and the platform's store and VM list.
	CauseStore Cause = "store"
)

// Plan describes a network.
type Plan struct {
	// RegionBitsPerSecond is the bandwidth between each two regions in each direction, in bits per second, shared by
	// all links between them. Zero means no limit.
	RegionBitsPerSecond int `yaml:"region-bits-per-second"`

	// Links are the links. Their listen addresses must be unique.
	Links []Link `yaml:"links"`
}

// Endpoint is an end of a link.
type Endpoint struct {
	// Name is the name of a process, or of a group of processes that dial.
	Name string `yaml:"name"`

	// Domain is the name of the failure domain, or of what takes its place.
	Domain string `yaml:"failure-domain"`

	// Region is the name of the region.
	Region string `yaml:"region"`
}

// Link is a relayed connection path from an endpoint to a process.
type Link struct {
	// From is the endpoint that dials.
	From Endpoint `yaml:"from"`

	// To is the process that the link connects to.
	To Endpoint `yaml:"to"`

	// Listen is the address on which the relay accepts connections.
	Listen netip.AddrPort `yaml:"listen"`

	// Dial is the address of the process.
	Dial netip.AddrPort `yaml:"dial"`

	// Latency is the one-way latency.
	Latency time.Duration `yaml:"latency"`

	// Cause is what the traffic is for.
	Cause Cause `yaml:"cause"`
}

// wildcard matches every endpoint in a cut.
const wildcard = "*"

// matches reports whether a name in a cut matches the endpoint.
func (e Endpoint) matches(name string) bool {
	return name == wildcard || name == e.Name || name == e.Domain || name == e.Region
}
