package sites

import (
	"fmt"
	"net/netip"
	"path/filepath"
)

// The ports of a set on 127.0.0.1. Members, proxies and links count up from their first.
const (
	storePort         = 7000
	storeOperatorPort = 7001
	listPort          = 7002
	linksOperatorPort = 7003
	memberPort        = 7101
	memberOperator    = 7201
	proxyCallerPort   = 7301
	proxyPeerPort     = 7401
	proxyOperator     = 7501
	linkPort          = 7601
)

// spareConnections is how many connections a member of a set takes beyond its size, so that the
// policies that are compared don't take connections from each other. Each keeps to the size itself.
const spareConnections = 64

// Set is a set of local processes for a deployment.
type Set struct {
	// Deployment is the sizes.
	Deployment Deployment

	// Folder is where the set keeps its files.
	Folder string

	// Flat leaves the network's latencies out, and with them the relay, and the time of statements.
	// What is left is the processes' own time.
	Flat bool
}

// Member is a backend server of a set.
type Member struct {
	// Name is unique in the set.
	Name string

	// Group is the name of its group.
	Group string

	// Domain is where it runs.
	Domain Domain

	// Address is for clients and replicas, Operator for the switches.
	Address, Operator netip.AddrPort

	// First says that the member starts as primary.
	First bool
}

// Proxy is a proxy of a set.
type Proxy struct {
	// Name is the proxy's ID.
	Name string

	// Domain is where it runs.
	Domain Domain

	// Callers, Peers and Operator are its ports.
	Callers, Peers, Operator netip.AddrPort
}

// Members returns the members, group by group. Each group starts with its first primary, and the
// primaries are spread over the domains.
func (s *Set) Members() []Member {
	d := s.Deployment
	members := make([]Member, 0, d.Groups*len(d.Domains))
	for g := range d.Groups {
		for j := range d.Domains {
			n := uint16(len(members))
			members = append(members, Member{
				Name:     fmt.Sprintf("member-%d", n+1),
				Group:    s.Group(g),
				Domain:   d.Domains[(g+j)%len(d.Domains)],
				Address:  local(memberPort + n),
				Operator: local(memberOperator + n),
				First:    j == 0,
			})
		}
	}
	return members
}

// Group returns the name of a group, counted from zero.
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
				Callers:  local(proxyCallerPort + n),
				Peers:    local(proxyPeerPort + n),
				Operator: local(proxyOperator + n),
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

// StoreOperator returns the address of the store's switches.
func (s *Set) StoreOperator() netip.AddrPort {
	return local(storeOperatorPort)
}

// LinksOperator returns the address of the relay's switches.
func (s *Set) LinksOperator() netip.AddrPort {
	return local(linksOperatorPort)
}

// PIDFile returns the file with the process number of a process of the set.
func (s *Set) PIDFile(name string) string {
	return filepath.Join(s.Folder, name+".pid")
}

func local(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}
