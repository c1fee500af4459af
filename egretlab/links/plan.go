// Package links stands in for the network between the processes of a set: a TCP relay with latency,
// a shared rate between regions, counts of bytes by cause, and cuts.
//
// A link is a listener for one place that dials and one process that it reaches. Each direction of a
// connection is a queue of chunks with due times, so that the latency is the same for all chunks and
// doesn't bound the rate:
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
	// CauseCaller is between callers and what they connect to.
	CauseCaller Cause = "caller"

	// CauseProxy is between proxies: lanes and the exchange of news.
	CauseProxy Cause = "proxy"

	// CauseMember is between proxies and members.
	CauseMember Cause = "member"

	// CauseReplication is between members.
	CauseReplication Cause = "replication"

	// CauseStore is between proxies and the platform's store and list.
	CauseStore Cause = "store"
)

// Plan is a network.
type Plan struct {
	// RegionBits is the rate that each two regions share each way, in bits a second. Zero sets no
	// bound.
	RegionBits int `yaml:"region-bits-per-second"`

	// Links are the links. Listen addresses are unique.
	Links []Link `yaml:"links"`
}

// Place is an end of a link.
type Place struct {
	// Name is a process, or the place of several that dial.
	Name string `yaml:"name"`

	// Domain is the failure domain, or what stands for one.
	Domain string `yaml:"failure-domain"`

	// Region is the region.
	Region string `yaml:"region"`
}

// Link leads from a place to a process.
type Link struct {
	// From is the place that dials.
	From Place `yaml:"from"`

	// To is the process that is reached.
	To Place `yaml:"to"`

	// Listen is where the relay takes connections.
	Listen netip.AddrPort `yaml:"listen"`

	// Dial is the address of the process.
	Dial netip.AddrPort `yaml:"dial"`

	// Latency is the time of one direction.
	Latency time.Duration `yaml:"latency"`

	// Cause is what the traffic is for.
	Cause Cause `yaml:"cause"`
}

// anyPlace stands for every place in a cut.
const anyPlace = "*"

// is reports whether a name in a cut means the place.
func (p Place) is(name string) bool {
	return name == anyPlace || name == p.Name || name == p.Domain || name == p.Region
}
