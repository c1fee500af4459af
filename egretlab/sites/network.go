package sites

import (
	"net/netip"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/links"
)

// Callers returns the place of the callers of a region, as the links name it.
func Callers(region string) string {
	return "callers-" + region
}

// Links returns the network between the processes: a link for each place that dials and each process
// that it reaches through the network. Processes of one failure domain reach each other directly.
func (s *Set) Links() links.Plan {
	p := links.Plan{
		RegionBits: s.Deployment.RegionBits,
	}
	if s.Flat {
		return p
	}
	for _, d := range s.Deployment.Domains {
		s.linkProxies(&p, d)
	}
	for _, m := range s.Members() {
		s.linkReplication(&p, m)
	}
	for _, r := range s.Regions() {
		s.linkCallers(&p, r)
	}
	for i := range p.Links {
		p.Links[i].Listen = local(linkPort + uint16(i))
	}
	return p
}

// Rules returns the address rules of a process at a place: a failure domain, a member or callers.
func (s *Set) Rules(place string) egret.AddressMap {
	m := egret.AddressMap{}
	for _, l := range s.Links().Links {
		if l.From.Name != place {
			continue
		}
		m.Rules = append(m.Rules, egret.AddressRule{
			From: l.Dial,
			To:   l.Listen,
		})
	}
	return m
}

func (s *Set) linkProxies(p *links.Plan, d Domain) {
	from := links.Place{
		Name:   d.Name,
		Domain: d.Name,
		Region: d.Region,
	}
	for _, m := range s.Members() {
		s.link(p, from, m.place(), m.Address, links.CauseMember)
	}
	for _, x := range s.Proxies() {
		s.link(p, from, x.place(), x.Peers, links.CauseProxy)
	}
	home := s.Deployment.Domains[0]
	platform := links.Place{
		Name:   "store",
		Domain: "platform",
		Region: home.Region,
	}
	s.link(p, from, platform, local(storePort), links.CauseStore)
	platform.Name = "vms"
	s.link(p, from, platform, local(listPort), links.CauseStore)
}

func (s *Set) linkReplication(p *links.Plan, m Member) {
	for _, o := range s.Members() {
		if o.Group == m.Group && o.Name != m.Name {
			s.link(p, m.place(), o.place(), o.Address, links.CauseReplication)
		}
	}
}

func (s *Set) linkCallers(p *links.Plan, region string) {
	from := links.Place{
		Name:   Callers(region),
		Domain: Callers(region),
		Region: region,
	}
	for _, x := range s.Proxies() {
		s.link(p, from, x.place(), x.Callers, links.CauseCaller)
	}
	for _, m := range s.Members() {
		s.link(p, from, m.place(), m.Address, links.CauseCaller)
	}
}

// link adds a link unless both ends are in one failure domain.
func (s *Set) link(p *links.Plan, from, to links.Place, address netip.AddrPort, c links.Cause) {
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

func (s *Set) latency(from, to links.Place, c links.Cause) time.Duration {
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

func (m *Member) place() links.Place {
	return links.Place{
		Name:   m.Name,
		Domain: m.Domain.Name,
		Region: m.Domain.Region,
	}
}

func (p *Proxy) place() links.Place {
	return links.Place{
		Name:   p.Name,
		Domain: p.Domain.Name,
		Region: p.Domain.Region,
	}
}
