package sites

import (
	"fmt"
	"net/netip"
	"path/filepath"
)

// The ports of a set on 127.0.0.1. Members, proxies and links have consecutive ports from their first on.
const (
	storePort               = 7000
	storeOperatorPort       = 7001
	vmListPort              = 7002
	linksOperatorPort       = 7003
	firstMemberPort         = 7101
	firstMemberOperatorPort = 7201
	firstProxyCallerPort    = 7301
	firstProxyPeerPort      = 7401
	firstProxyOperatorPort  = 7501
	firstLinkPort           = 7601
)

// spareConnections is the number of connections that a member accepts beyond Deployment.Connections, so
// that the policies that are compared don't take connections from each other. Each policy keeps to
// Deployment.Connections itself.
const spareConnections = 64

// Set is a set of local processes for a deployment.
type Set struct {
	// Deployment has the sizes.
	Deployment Deployment

	// Folder is the folder of the set's files.
	Folder string

	// Flat leaves out the simulated network with its latencies, and the simulated time of statements, so
	// that only the processing time of the processes remains.
	Flat bool
}

// Member is a backend server of a set.
type Member struct {
	// Name is unique in the set.
	Name string

	// Group is the name of the member's group.
	Group string

	// Domain is the failure domain that the member runs in.
	Domain Domain

	// Address is the address for clients and replicas, Operator the one for operators.
	Address, Operator netip.AddrPort

	// StartsAsPrimary says that the member starts as primary.
	StartsAsPrimary bool
}

// Proxy is a proxy of a set.
type Proxy struct {
	// Name is the proxy's ID.
	Name string

	// Domain is the failure domain that the proxy runs in.
	Domain Domain

	// Callers, Peers and Operator are the addresses for callers, other proxies and operators.
	Callers, Peers, Operator netip.AddrPort
}

// Members returns the members, group by group. The first of each group starts as primary. The groups'
// primaries start in different domains, one after the other.
func (s *Set) Members() []Member {
	d := s.Deployment
	members := make([]Member, 0, d.Groups*len(d.Domains))
	for g := range d.Groups {
		for j := range d.Domains {
			n := uint16(len(members))
			members = append(members, Member{
				Name:            fmt.Sprintf("member-%d", n+1),
				Group:           s.Group(g),
				Domain:          d.Domains[(g+j)%len(d.Domains)],
				Address:         loopback(firstMemberPort + n),
				Operator:        loopback(firstMemberOperatorPort + n),
				StartsAsPrimary: j == 0,
			})
		}
	}
	return members
}

// Group returns the name of the group with the index, counted from 0.
func (s *Set) Group(g int) string {
	return fmt.Sprintf("%s-%d", s.Deployment.Pool, g+1)
}

// Proxies returns the proxies, domain by domain.
func (s *Set) Proxies() []Proxy {
	proxies := []Proxy{}
	for _, d := range s.Deployment.Domains {
		for range d.Proxies {
			n := uint16(len(proxies))
			proxies = append(proxies, Proxy{
				Name:     fmt.Sprintf("proxy-%d", n+1),
				Domain:   d,
				Callers:  loopback(firstProxyCallerPort + n),
				Peers:    loopback(firstProxyPeerPort + n),
				Operator: loopback(firstProxyOperatorPort + n),
			})
		}
	}
	return proxies
}

// Regions returns the regions in the order of their first domains.
func (s *Set) Regions() []string {
	regions := []string{}
	for _, d := range s.Deployment.Domains {
		if len(regions) == 0 || regions[len(regions)-1] != d.Region {
			regions = append(regions, d.Region)
		}
	}
	return regions
}

// StoreOperator returns the address for operators of the store.
func (s *Set) StoreOperator() netip.AddrPort {
	return loopback(storeOperatorPort)
}

// LinksOperator returns the address for operators of the process that simulates the network.
func (s *Set) LinksOperator() netip.AddrPort {
	return loopback(linksOperatorPort)
}

// PIDFile returns the path of the file with the process ID of the named process.
func (s *Set) PIDFile(name string) string {
	return filepath.Join(s.Folder, name+".pid")
}

// loopback returns 127.0.0.1 with the port.
func loopback(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}
