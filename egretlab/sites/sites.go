// Package sites holds the sizes of the deployments that egretlane is measured at, and lays out a set
// of local processes for one of them.
//
// A set has the platform's stand-ins, three groups of members, eight proxies and a relay that stands
// in for the network. Each process has ports of its own on 127.0.0.1:
//
//	d, err := sites.Find("bregonzi")
//	if err != nil {
//		return err
//	}
//	s := sites.Set{
//		Deployment: d,
//		Folder:     ".run/measure",
//	}
//	for _, p := range s.Processes() {
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

	// Region is the region that the domain is in.
	Region string

	// Proxies is how many proxies run in the domain.
	Proxies int
}

// Deployment is the sizes of one user's system. It is read-only.
type Deployment struct {
	// Name is the deployment's name.
	Name string

	// Database is the name that callers ask for.
	Database string

	// Pool is the name of the pool, and the start of its groups' names.
	Pool string

	// Domains has the failure domains. The store runs in the region of the first.
	Domains []Domain

	// DomainLatency is the one-way latency between failure domains of a region.
	DomainLatency time.Duration

	// RegionLatency is the one-way latency between regions.
	RegionLatency time.Duration

	// CallerLatency is the one-way latency between callers and their region's proxies.
	CallerLatency time.Duration

	// RegionBits is the rate that the regions share each way, in bits a second.
	RegionBits int

	// Groups is the number of groups. Each has a member in every domain.
	Groups int

	// Slots is how many statements a member runs at once.
	Slots int

	// Connections is how many connections a member takes.
	Connections int

	// ConnectCost is the time that a new connection takes at the member.
	ConnectCost time.Duration

	// StatementCost is the time that a statement holds its slot.
	StatementCost time.Duration

	// Mix is what callers ask for.
	Mix Mix
}

// Mix is the parts of the requests, in percent. They add up to 100.
type Mix struct {
	// Certificates are look-ups without a stated age.
	Certificates int

	// Stock are look-ups of a stated age.
	Stock int

	// StockAge is the age that stock look-ups accept.
	StockAge time.Duration

	// Orders are placements of new orders.
	Orders int

	// Schedules are changes of a session's own orders.
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
		DomainLatency: time.Millisecond,
		RegionLatency: 8 * time.Millisecond,
		CallerLatency: 3 * time.Millisecond,
		RegionBits:    30_000_000,
		Groups:        3,
		Slots:         2,
		Connections:   16,
		ConnectCost:   12 * time.Millisecond,
		StatementCost: time.Millisecond,
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
		DomainLatency: 500 * time.Microsecond,
		RegionLatency: 8 * time.Millisecond,
		CallerLatency: 3 * time.Millisecond,
		RegionBits:    30_000_000,
		Groups:        3,
		Slots:         5,
		Connections:   55,
		ConnectCost:   12 * time.Millisecond,
		StatementCost: time.Millisecond,
		Mix: Mix{
			Certificates: 10,
			Stock:        35,
			StockAge:     5 * time.Second,
			Orders:       40,
			Schedules:    15,
		},
	}
}
