package codec

import (
	"fmt"
	"slices"

	"egretlane.example/egret"
)

// minPromotionMembers is the smallest number of members of which a majority remains after the loss of the primary.
const minPromotionMembers = 3

// maxWeight is the maximum weight of a caller in a lane.
const maxWeight = 1000

func (c *checker) pools(t *egret.Tables) {
	pools := make(map[string]bool)
	groups := make(map[string]bool)
	for i := range t.Pools {
		p := &t.Pools[i]
		path := fmt.Sprintf("pools[%d]", i)
		c.name(path+".name", "pool", p.Name)
		if pools[p.Name] {
			c.fault(path+".name", "duplicate pool name %q", p.Name)
		}
		pools[p.Name] = true
		c.limits(path, p)
		c.weights(path, p)
		c.groups(path, p, groups)
	}
}

func (c *checker) limits(path string, p *egret.Pool) {
	if p.Slots < 1 {
		c.fault(path+".slots", "pool %q: slots must be at least 1, got %d", p.Name, p.Slots)
	}
	if p.Connections < 1 {
		c.fault(path+".connections", "pool %q: connections must be at least 1, got %d", p.Name, p.Connections)
	}
	if p.ReservedConnections < 0 {
		c.fault(path+".reserve", "pool %q: reserve must not be negative, got %d", p.Name, p.ReservedConnections)
	}
	if p.ReservedConnections >= p.Connections && p.Connections > 0 {
		c.fault(path+".reserve", "pool %q: reserve must be less than connections (%d), got %d", p.Name, p.Connections, p.ReservedConnections)
	}
	if usable := p.Connections - p.ReservedConnections; usable > 0 && usable < p.Slots {
		c.warn(path+".slots", "pool %q: %d slots cannot all be used with %d connections that are not reserved", p.Name, p.Slots, usable)
	}
	if p.QueueLimit < 1 {
		c.fault(path+".queue", "pool %q: queue must be at least 1, got %d", p.Name, p.QueueLimit)
	}
	if p.OrderSharePercent < 0 || p.OrderSharePercent > 100 {
		c.fault(path+".order-share", "pool %q: order-share must be a percentage from 0 to 100, got %d", p.Name, p.OrderSharePercent)
	}
	if p.OrderSharePercent == 100 {
		c.warn(path+".order-share", "pool %q: order-share of 100 allows class order to starve all other classes", p.Name)
	}
}

func (c *checker) weights(path string, p *egret.Pool) {
	seen := make(map[string]bool)
	for i, w := range p.Weights {
		weight := fmt.Sprintf("%s.weights[%d]", path, i)
		if w.Caller == "" || w.Caller == "*" {
			c.fault(weight+".caller", "pool %q: invalid caller %q in weights: must be a caller's name, not empty or \"*\"", p.Name, w.Caller)
		}
		if seen[w.Caller] {
			c.fault(weight+".caller", "pool %q: duplicate weight for caller %q", p.Name, w.Caller)
		}
		seen[w.Caller] = true
		if w.Weight < 1 || w.Weight > maxWeight {
			c.fault(weight+".weight", "pool %q: weight of caller %q must be from 1 to %d, got %d", p.Name, w.Caller, maxWeight, w.Weight)
		}
	}
}

func (c *checker) groups(path string, p *egret.Pool, names map[string]bool) {
	if len(p.Groups) == 0 {
		c.fault(path+".groups", "pool %q has no groups", p.Name)
	}
	for i := range p.Groups {
		g := &p.Groups[i]
		group := fmt.Sprintf("%s.groups[%d]", path, i)
		c.name(group+".name", "group", g.Name)
		if names[g.Name] {
			c.fault(group+".name", "duplicate group name %q", g.Name)
		}
		names[g.Name] = true
		c.group(group+".members", g)
	}
}

func (c *checker) group(path string, g *egret.Group) {
	for i, m := range g.Members {
		c.member(fmt.Sprintf("%s[%d]", path, i), g.Name, m)
	}
	n := len(g.Members)
	switch {
	case n == 0:
		c.fault(path, "group %q has no members", g.Name)
		return
	case n < minPromotionMembers:
		c.warn(path, "group %q: promotion and the confirmation of writes require at least %d members, got %d", g.Name, minPromotionMembers, n)
	case n%2 == 0:
		c.warn(path, "group %q has %d members: an even number tolerates no more failures than %d members do", g.Name, n, n-1)
	}
	c.availability(path, g)
}

// availability warns about groups that a single event can make unavailable: all members are leaving, or all are in
// the same failure domain.
func (c *checker) availability(path string, g *egret.Group) {
	staying := slices.ContainsFunc(g.Members, func(m egret.Member) bool {
		return !m.Leaving
	})
	if !staying {
		c.warn(path, "group %q: all members are leaving", g.Name)
	}
	first := g.Members[0]
	separated := slices.ContainsFunc(g.Members, func(m egret.Member) bool {
		return m.Domain != first.Domain || m.Region != first.Region
	})
	if !separated && len(g.Members) > 1 {
		c.warn(path, "group %q: all members are in failure domain %q", g.Name, first.Domain)
	}
}

func (c *checker) member(path string, group string, m egret.Member) {
	c.name(path+".name", "member", m.Name)
	if other, found := c.members[m.Name]; found {
		c.fault(path+".name", "duplicate member name %q: already used in group %q", m.Name, other)
	} else {
		c.members[m.Name] = group
	}
	if !m.Address.IsValid() || m.Address.Port() == 0 || m.Address.Addr().IsUnspecified() {
		c.fault(path+".address", "member %q: address must have a port other than 0 and an IP other than 0.0.0.0 and ::, got %v", m.Name, m.Address)
	} else if other, found := c.addresses[m.Address]; found {
		c.fault(path+".address", "member %q: address %v is already used by member %q", m.Name, m.Address, other)
	} else {
		c.addresses[m.Address] = m.Name
	}
	if m.Region == "" {
		c.fault(path+".region", "member %q: region must not be empty", m.Name)
	}
	if m.Domain == "" {
		c.fault(path+".failure-domain", "member %q: failure-domain must not be empty", m.Name)
	}
}
