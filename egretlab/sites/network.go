package sites

import (
	"net/netip"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/links"
)

// CallerEndpoint returns the name of the endpoint of a region's callers in the links.
func CallerEndpoint(region string) string {
	return "callers-" + region
}

// Links returns the simulated network between the processes: a link from each endpoint to each process that
// it dials in another failure domain. Processes of one failure domain connect directly, and a flat set has
// no links.
func (s *Set) Links() links.Plan {
	p := links.Plan{
		RegionBitsPerSecond: s.Deployment.RegionBitsPerSecond,
	}
	if s.Flat {
		return p
	}
	for _, d := range s.Deployment.Domains {
		s.addProxyLinks(&p, d)
	}
	for _, m := range s.Members() {
		s.addReplicationLinks(&p, m)
	}
	for _, r := range s.Regions() {
		s.addCallerLinks(&p, r)
	}
	for i := range p.Links {
		p.Links[i].Listen = loopback(firstLinkPort + uint16(i))
	}
	return p
}

// Rules returns the rules by which a process at an endpoint dials the links in place of the real addresses.
// The endpoint is a failure domain for proxies, a member, or the callers of a region.
func (s *Set) Rules(endpoint string) egret.AddressMap {
	m := egret.AddressMap{}
	for _, l := range s.Links().Links {
		if l.From.Name != endpoint {
			continue
		}
		m.Rules = append(m.Rules, egret.AddressRule{
			From: l.Dial,
			To:   l.Listen,
		})
	}
	return m
}

// addProxyLinks adds the links from a failure domain's proxies to members, proxies and the platform.
func (s *Set) addProxyLinks(p *links.Plan, d Domain) {
	from := links.Endpoint{
		Name:   d.Name,
		Domain: d.Name,
		Region: d.Region,
	}
	for _, m := range s.Members() {
		s.addLink(p, from, m.endpoint(), m.Address, links.CauseMember)
	}
	for _, x := range s.Proxies() {
		s.addLink(p, from, x.endpoint(), x.Peers, links.CauseProxy)
	}
	home := s.Deployment.Domains[0]
	platform := links.Endpoint{
		Name:   "store",
		Domain: "platform",
		Region: home.Region,
	}
	s.addLink(p, from, platform, loopback(storePort), links.CauseStore)
	platform.Name = "vms"
	s.addLink(p, from, platform, loopback(vmListPort), links.CauseStore)
}

// addReplicationLinks adds the links from a member to the other members of its group.
func (s *Set) addReplicationLinks(p *links.Plan, m Member) {
	for _, o := range s.Members() {
		if o.Group == m.Group && o.Name != m.Name {
			s.addLink(p, m.endpoint(), o.endpoint(), o.Address, links.CauseReplication)
		}
	}
}

// addCallerLinks adds the links from a region's callers to the proxies and, for callers that go without a
// proxy, to the members.
func (s *Set) addCallerLinks(p *links.Plan, region string) {
	from := links.Endpoint{
		Name:   CallerEndpoint(region),
		Domain: CallerEndpoint(region),
		Region: region,
	}
	for _, x := range s.Proxies() {
		s.addLink(p, from, x.endpoint(), x.Callers, links.CauseCaller)
	}
	for _, m := range s.Members() {
		s.addLink(p, from, m.endpoint(), m.Address, links.CauseCaller)
	}
}

// addLink adds a link unless both ends are in one failure domain.
func (s *Set) addLink(p *links.Plan, from, to links.Endpoint, address netip.AddrPort, c links.Cause) {
	if from.Domain == to.Domain {
		return
	}
	p.Links = append(p.Links, links.Link{
		From:    from,
		To:      to,
		Dial:    address,
		Latency: s.latency(from, to, c),
		Cause:   c,
	})
}

// latency returns the one-way latency of a link.
func (s *Set) latency(from, to links.Endpoint, c links.Cause) time.Duration {
	d := s.Deployment
	latency := time.Duration(0)
	if c == links.CauseCaller {
		latency += d.CallerLatency
	}
	switch {
	case from.Region != to.Region:
		latency += d.RegionLatency
	case c != links.CauseCaller:
		latency += d.DomainLatency
	}
	return latency
}

func (m *Member) endpoint() links.Endpoint {
	return links.Endpoint{
		Name:   m.Name,
		Domain: m.Domain.Name,
		Region: m.Domain.Region,
	}
}

func (p *Proxy) endpoint() links.Endpoint {
	return links.Endpoint{
		Name:   p.Name,
		Domain: p.Domain.Name,
		Region: p.Domain.Region,
	}
}
