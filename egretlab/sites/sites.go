// Package sites has the sizes of the deployments that egretlane is measured with, and plans a set of local
// processes for each of them.
//
// A set has the simulated platform, three groups of members, eight proxies and a relay that simulates the
// network. Each process has ports of its own on 127.0.0.1:
//
//	d, err := sites.Find("bregonzi")
//	if err != nil {
//		return err
//	}
//	s := sites.Set{
//		Deployment: d,
//		Folder:     ".run/measure",
//	}
//	for _, p := range s.PlatformProcesses() {
//		fmt.Println(p)
//	}
package sites

import (
	"time"

	"github.com/juju/errors"
)

// Domain is a failure domain.
type Domain struct {
	// Name is unique in its deployment.
	Name string

	// Region is the name of the region that the domain is in.
	Region string

	// Proxies is the number of proxies in the domain.
	Proxies int
}

// Deployment has the sizes of one user's system. It must not be changed.
type Deployment struct {
	// Name is the name that Find takes.
	Name string

	// Database is the name of the database that callers connect to.
	Database string

	// Pool is the name of the pool, and the prefix of its groups' names.
	Pool string

	// Domains has the failure domains. The store runs in the region of the first.
	Domains []Domain

	// DomainLatency is the one-way latency between failure domains of a region.
	DomainLatency time.Duration

	// RegionLatency is the one-way latency between regions.
	RegionLatency time.Duration

	// CallerLatency is the one-way latency between callers and their region's proxies.
	CallerLatency time.Duration

	// RegionBitsPerSecond is the bandwidth that the links between two regions share in each direction, in bits per
	// second.
	RegionBitsPerSecond int

	// Groups is the number of groups. Each has a member in every domain.
	Groups int

	// Slots is the number of statements that a member runs at once.
	Slots int

	// Connections is the number of connections that a member accepts.
	Connections int

	// ConnectCost is how long a member takes to set up a new connection.
	ConnectCost time.Duration

	// StatementCost is how long a statement occupies its slot.
	StatementCost time.Duration

	// Mix has the shares of the kinds of requests.
	Mix Mix
}

// Mix has the share of each kind of request, in percent. The shares add up to 100.
type Mix struct {
	// Certificates is the share of look-ups that state no maximum age.
	Certificates int

	// Stock is the share of look-ups that state a maximum age.
	Stock int

	// StockAge is the maximum age that stock look-ups accept.
	StockAge time.Duration

	// Orders is the share of requests that place a new order.
	Orders int

	// Schedules is the share of requests that change an order of the same session.
	Schedules int
}

// Find returns the deployment with the name.
func Find(name string) (Deployment, error) {
	for _, d := range []Deployment{bregonzi(), tapis()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, errors.NotFoundf("deployment %q (bregonzi, tapis)", name)
}

func bregonzi() Deployment {
	return Deployment{
		Name:     "bregonzi",
		Database: "catalogo-db",
		Pool:     "catalogo",
		Domains: []Domain{
			{
				Name:    "lecco-a",
				Region:  "lombardia",
				Proxies: 3,
			},
			{
				Name:    "lecco-b",
				Region:  "lombardia",
				Proxies: 3,
			},
			{
				Name:    "padova-a",
				Region:  "veneto",
				Proxies: 2,
			},
		},
		DomainLatency:       time.Millisecond,
		RegionLatency:       8 * time.Millisecond,
		CallerLatency:       3 * time.Millisecond,
		RegionBitsPerSecond: 30_000_000,
		Groups:              3,
		Slots:               2,
		Connections:         16,
		ConnectCost:         12 * time.Millisecond,
		StatementCost:       time.Millisecond,
		Mix: Mix{
			Certificates: 50,
			Stock:        35,
			StockAge:     2 * time.Second,
			Orders:       12,
			Schedules:    3,
		},
	}
}

func tapis() Deployment {
	return Deployment{
		Name:     "tapis",
		Database: "orders-db",
		Pool:     "orders",
		Domains: []Domain{
			{
				Name:    "bzh-rennes",
				Region:  "bretagne",
				Proxies: 3,
			},
			{
				Name:    "bzh-brest",
				Region:  "bretagne",
				Proxies: 3,
			},
			{
				Name:    "pdl-nantes",
				Region:  "pays-de-la-loire",
				Proxies: 2,
			},
		},
		DomainLatency:       500 * time.Microsecond,
		RegionLatency:       8 * time.Millisecond,
		CallerLatency:       3 * time.Millisecond,
		RegionBitsPerSecond: 30_000_000,
		Groups:              3,
		Slots:               5,
		Connections:         55,
		ConnectCost:         12 * time.Millisecond,
		StatementCost:       time.Millisecond,
		Mix: Mix{
			Certificates: 10,
			Stock:        35,
			StockAge:     5 * time.Second,
			Orders:       40,
			Schedules:    15,
		},
	}
}
