package promo

import (
	"net/netip"
	"time"

	"egretlane.example/egret"
)

// leastMembers is the size of a group from which on it can be promoted in.
const leastMembers = 3

// majority returns how many of the members of a group are a majority.
func majority(g egret.Group) int {
	return len(g.Members)/2 + 1
}

// NextTerm returns the term for a promotion. Watchers of different ranks choose different ones, so
// that two that act at once rarely refuse each other.
func NextTerm(known uint64, rank int) uint64 {
	return known + 1 + uint64(rank)
}

// Choose returns the member to promote among those fenced, or false if they are no majority.
//
// Every acknowledged write is on two of three members, so that it is in the furthest log of any
// majority. A member to avoid is left out if the others alone are a majority, and else is taken only
// if its log is the furthest. On a tie, the earlier in the table goes first.
func Choose(g egret.Group, fenced []egret.MemberState, avoid func(member string) bool) (egret.MemberState, bool) {
	if len(fenced) < majority(g) {
		return egret.MemberState{}, false
	}
	kept := []egret.MemberState{}
	for _, s := range fenced {
		if !avoid(s.Member) {
			kept = append(kept, s)
		}
	}
	if len(kept) < majority(g) {
		kept = fenced
	}
	best := kept[0]
	for _, s := range kept[1:] {
		if preferred(g, s, best, avoid) {
			best = s
		}
	}
	return best, true
}

// preferred reports whether a is the better member to promote.
func preferred(g egret.Group, a, b egret.MemberState, avoid func(member string) bool) bool {
	if c := a.Received.Compare(b.Received); c != 0 {
		return c > 0
	}
	if avoid(a.Member) != avoid(b.Member) {
		return avoid(b.Member)
	}
	return index(g, a.Member) < index(g, b.Member)
}

func index(g egret.Group, member string) int {
	for i, m := range g.Members {
		if m.Name == member {
			return i
		}
	}
	return len(g.Members)
}

// Finding is what a look at all members says.
type Finding struct {
	// Lead is the newest fact about the group, with what the members themselves say.
	Lead egret.GroupFact

	// Known says that Lead is one.
	Known bool

	// Leads says that the primary of Lead answered as such.
	Leads bool

	// Highest is the highest term that a member has granted.
	Highest uint64

	// Orphan says that a majority answered and that the group needs a promotion.
	Orphan bool

	// Follow names the members that have to be told to follow the primary.
	Follow []string
}

// Examine judges the members that answered.
func Examine(g egret.Group, fact egret.GroupFact, known bool, states []egret.MemberState) Finding {
	f := Finding{
		Lead:    fact,
		Known:   known,
		Highest: fact.Term,
	}
	for _, s := range states {
		f.Highest = max(f.Highest, s.Granted)
		if s.Role == egret.RolePrimary && (!f.Known || s.Granted > f.Lead.Term) {
			f.Known = true
			f.Lead = egret.GroupFact{
				Group:   g.Name,
				Term:    s.Granted,
				Primary: s.Member,
			}
		}
	}
	if s, ok := stateOf(states, f.Lead.Primary); f.Known && ok {
		f.Leads = s.Role == egret.RolePrimary && s.Granted == f.Lead.Term
	}
	f.Orphan = orphan(g, f, states)
	if f.Leads {
		f.Follow = strays(g, f, states)
	}
	return f
}

// orphan reports whether the group needs a promotion although its members answer: the one that led
// answers and leads no more, was never known or is no member any more, or a member has granted a
// higher term.
func orphan(g egret.Group, f Finding, states []egret.MemberState) bool {
	if len(states) < majority(g) {
		return false
	}
	if f.Highest > f.Lead.Term || !f.Known || g.Member(f.Lead.Primary) == nil {
		return true
	}
	_, answered := stateOf(states, f.Lead.Primary)
	return answered && !f.Leads
}

// strays returns the members that don't follow the primary: superseded primaries, fenced members
// and replicas of another one.
func strays(g egret.Group, f Finding, states []egret.MemberState) []string {
	primary := g.Member(f.Lead.Primary)
	if primary == nil {
		return nil
	}
	strays := []string{}
	for _, s := range states {
		if s.Member == primary.Name || s.Granted > f.Lead.Term {
			continue
		}
		if s.Role != egret.RoleReplica || s.Granted < f.Lead.Term || s.Upstream != primary.Address {
			strays = append(strays, s.Member)
		}
	}
	return strays
}

func stateOf(states []egret.MemberState, member string) (egret.MemberState, bool) {
	for _, s := range states {
		if s.Member == member {
			return s, true
		}
	}
	return egret.MemberState{}, false
}

// Progress tells whether replicas receive what the primary has.
type Progress struct {
	// Since is since when no replica received anything while the primary was ahead. It is zero
	// if that isn't so.
	Since time.Time

	// Usual is the longest recent time between two receipts while the primary was ahead.
	Usual time.Duration

	// furthest is the end of the furthest replica's log.
	furthest egret.Position
}

// Observe takes in the state of the primary and those of the members that answered. Replicas that are
// behind but move are not stalled.
func (p *Progress) Observe(primary egret.MemberState, states []egret.MemberState, now time.Time) {
	furthest := egret.Position{}
	for _, s := range states {
		if s.Member != primary.Member && s.Received.Compare(furthest) > 0 {
			furthest = s.Received
		}
	}
	moved := furthest.Compare(p.furthest) > 0
	p.furthest = furthest
	if moved && !p.Since.IsZero() {
		p.Usual = max(now.Sub(p.Since), p.Usual-p.Usual/64)
	}
	switch {
	case moved || primary.Received.Compare(furthest) <= 0:
		p.Since = time.Time{}
	case p.Since.IsZero():
		p.Since = now
	}
}

// addressOf returns the address of a member.
func addressOf(g egret.Group, member string) netip.AddrPort {
	if m := g.Member(member); m != nil {
		return m.Address
	}
	return netip.AddrPort{}
}
