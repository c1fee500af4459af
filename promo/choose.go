package promo

import (
	"net/netip"
	"time"

	"egretlane.example/egret"
)

// minMembers is the least number of members of a group in which a member can be promoted.
const minMembers = 3

// majority returns how many members of the group make a majority.
func majority(g egret.Group) int {
	return len(g.Members)/2 + 1
}

// NextTerm returns the term for a promotion, above the highest term that is known to be granted. Watchers of different
// ranks choose different terms, so that the members rarely refuse the term of one of two that act at the same time.
func NextTerm(highest uint64, rank int) uint64 {
	return highest + 1 + uint64(rank)
}

// Choose returns the member to promote among the fenced ones, or false if they are no majority.
//
// Every acknowledged write is on a majority of the members, such as two of three, so that any majority has it in the log
// that ends at the highest position. A member to avoid is left out if the others alone are a majority. Otherwise it is
// chosen only if its log ends at a higher position than those of the others. On a tie, the member that comes first in
// the tables is chosen.
func Choose(g egret.Group, fenced []egret.MemberState, avoid func(member string) bool) (egret.MemberState, bool) {
	if len(fenced) < majority(g) {
		return egret.MemberState{}, false
	}
	candidates := []egret.MemberState{}
	for _, s := range fenced {
		if !avoid(s.Member) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) < majority(g) {
		candidates = fenced
	}
	best := candidates[0]
	for _, s := range candidates[1:] {
		if betterCandidate(g, s, best, avoid) {
			best = s
		}
	}
	return best, true
}

// betterCandidate reports whether a is a better member to promote than b.
func betterCandidate(g egret.Group, a, b egret.MemberState, avoid func(member string) bool) bool {
	if c := a.Received.Compare(b.Received); c != 0 {
		return c > 0
	}
	if avoid(a.Member) != avoid(b.Member) {
		return avoid(b.Member)
	}
	return memberIndex(g, a.Member) < memberIndex(g, b.Member)
}

func memberIndex(g egret.Group, member string) int {
	for i, m := range g.Members {
		if m.Name == member {
			return i
		}
	}
	return len(g.Members)
}

// Assessment is what the states of the members say about a group.
type Assessment struct {
	// Newest is the group's primary with the highest term: the known one, or a later one that a member's state shows.
	Newest egret.GroupPrimary

	// Known says that Newest is set. Otherwise no primary is known.
	Known bool

	// PrimaryActive says that the member named in Newest answered as the primary of that term.
	PrimaryActive bool

	// HighestTerm is the highest term that a member has granted.
	HighestTerm uint64

	// NeedsPrimary says that a majority answered and that the group has no active primary, so that it needs a promotion.
	NeedsPrimary bool

	// NonFollowers names the members that don't follow the primary and have to be told to.
	NonFollowers []string
}

// Assess compares the states of the members that answered with the known primary, and with each other.
func Assess(g egret.Group, current egret.GroupPrimary, known bool, states []egret.MemberState) Assessment {
	a := Assessment{
		Newest:      current,
		Known:       known,
		HighestTerm: current.Term,
	}
	for _, s := range states {
		a.HighestTerm = max(a.HighestTerm, s.GrantedTerm)
		if s.Role == egret.RolePrimary && (!a.Known || s.GrantedTerm > a.Newest.Term) {
			a.Known = true
			a.Newest = egret.GroupPrimary{
				Group:   g.Name,
				Term:    s.GrantedTerm,
				Primary: s.Member,
			}
		}
	}
	if s, ok := stateOf(states, a.Newest.Primary); a.Known && ok {
		a.PrimaryActive = s.Role == egret.RolePrimary && s.GrantedTerm == a.Newest.Term
	}
	a.NeedsPrimary = needsPrimary(g, a, states)
	if a.PrimaryActive {
		a.NonFollowers = nonFollowers(g, a, states)
	}
	return a
}

// needsPrimary reports whether the group needs a promotion although its members answer: the last known primary answers
// and isn't primary any more, or it is no member any more, or none was ever known, or a member has granted a higher
// term.
func needsPrimary(g egret.Group, a Assessment, states []egret.MemberState) bool {
	if len(states) < majority(g) {
		return false
	}
	if a.HighestTerm > a.Newest.Term || !a.Known || g.Member(a.Newest.Primary) == nil {
		return true
	}
	_, answered := stateOf(states, a.Newest.Primary)
	return answered && !a.PrimaryActive
}

// nonFollowers returns the names of the members that don't follow the primary: superseded primaries, fenced members and
// replicas of another member. Members that have granted a higher term are left out.
func nonFollowers(g egret.Group, a Assessment, states []egret.MemberState) []string {
	primary := g.Member(a.Newest.Primary)
	if primary == nil {
		return nil
	}
	names := []string{}
	for _, s := range states {
		if s.Member == primary.Name || s.GrantedTerm > a.Newest.Term {
			continue
		}
		if s.Role != egret.RoleReplica || s.GrantedTerm < a.Newest.Term || s.Upstream != primary.Address {
			names = append(names, s.Member)
		}
	}
	return names
}

func stateOf(states []egret.MemberState, member string) (egret.MemberState, bool) {
	for _, s := range states {
		if s.Member == member {
			return s, true
		}
	}
	return egret.MemberState{}, false
}

// Progress records whether the replicas receive what the primary's log holds.
type Progress struct {
	// StalledSince is since when no replica has received anything while the primary was ahead. It is zero if the
	// replicas make progress or have all that the primary has.
	StalledSince time.Time

	// UsualInterval is the longest recent time between two receipts while the primary was ahead: it rises at once and
	// falls slowly.
	UsualInterval time.Duration

	// furthestReceived is the highest position at which a replica's log ends.
	furthestReceived egret.Position
}

// Observe takes in the state of the primary and those of the members that answered. Replicas that lag but make progress
// are not stalled.
func (p *Progress) Observe(primary egret.MemberState, states []egret.MemberState, now time.Time) {
	furthest := egret.Position{}
	for _, s := range states {
		if s.Member != primary.Member && s.Received.Compare(furthest) > 0 {
			furthest = s.Received
		}
	}
	advanced := furthest.Compare(p.furthestReceived) > 0
	p.furthestReceived = furthest
	if advanced && !p.StalledSince.IsZero() {
		p.UsualInterval = max(now.Sub(p.StalledSince), p.UsualInterval-p.UsualInterval/64)
	}
	switch {
	case advanced || primary.Received.Compare(furthest) <= 0:
		p.StalledSince = time.Time{}
	case p.StalledSince.IsZero():
		p.StalledSince = now
	}
}

// addressOf returns the address of a member, or an invalid one if the group has no such member.
func addressOf(g egret.Group, member string) netip.AddrPort {
	if m := g.Member(member); m != nil {
		return m.Address
	}
	return netip.AddrPort{}
}
