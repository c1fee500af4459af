// Package place decides which proxy does what, without any agreement.
//
// Each proxy computes the same answer from its own view of the live proxies, by rendezvous hashing:
// the owner of a name is the proxy whose hash with the name is the highest. When a proxy comes or
// goes, only the names that it wins or loses move. Two proxies with different views may give
// different answers for a moment, so nothing that must hold rests on the answer alone.
//
//	owner, ok := place.Lane(peers.Live(), m)
package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"egretlane.example/egret"
)

// maxWatchers is how many proxies watch a group. The second and third act when those before them
// don't.
const maxWatchers = 3

// Lane returns the proxy that holds the lane of the member: one of the member's failure domain if
// there is any, else one of its region, else any. Leaving proxies are passed over while others are
// live. It returns false if there are no nodes.
func Lane(nodes []egret.Node, m egret.Member) (egret.Node, bool) {
	best := egret.Node{}
	bestRank := rank{}
	found := false
	for _, n := range nodes {
		r := rank{
			nearness: nearness(n, m),
			weight:   weight(n.ID, m.Name),
		}
		if !found || r.above(bestRank) {
			best = n
			bestRank = r
			found = true
		}
	}
	return best, found
}

// Watchers returns the proxies that watch the group's primary, the one that acts first in front.
// They are of different failure domains as far as the nodes allow.
func Watchers(nodes []egret.Node, group string) []egret.Node {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b egret.Node) int {
		return cmp.Compare(weight(b.ID, group), weight(a.ID, group))
	})
	watchers := pick(nil, sorted, func(n egret.Node, w egret.Node) bool {
		return n.Domain == w.Domain
	})
	return pick(watchers, sorted, func(n egret.Node, w egret.Node) bool {
		return n.ID == w.ID
	})
}

// Pick returns the name that wins the key among the names, or "" if there are none.
func Pick(names []string, key string) string {
	best := ""
	for _, n := range names {
		if best == "" || weight(n, key) > weight(best, key) {
			best = n
		}
	}
	return best
}

// ShortHash is the part of a session's process number that names its proxy, in the upper half of the
// number. Two proxies may share it.
func ShortHash(id string) uint16 {
	return uint16(xxhash.Sum64String(id))
}

// rank orders proxies for a member's lane.
type rank struct {
	// nearness goes before weight.
	nearness int

	// weight is the rendezvous hash.
	weight uint64
}

func (r rank) above(o rank) bool {
	if r.nearness != o.nearness {
		return r.nearness > o.nearness
	}
	return r.weight > o.weight
}

func nearness(n egret.Node, m egret.Member) int {
	switch {
	case n.State == egret.NodeLeaving:
		return 0
	case n.Domain == m.Domain:
		return 3
	case n.Region == m.Region:
		return 2
	default:
		return 1
	}
}

// weight hashes a proxy's ID with a name.
func weight(id string, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(id)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// pick adds nodes up to maxWatchers, leaving out those that clash with one already there.
func pick(watchers []egret.Node, nodes []egret.Node, clash func(n egret.Node, w egret.Node) bool) []egret.Node {
	for _, n := range nodes {
		if len(watchers) == maxWatchers {
			return watchers
		}
		clashes := slices.ContainsFunc(watchers, func(w egret.Node) bool {
			return clash(n, w)
		})
		if !clashes {
			watchers = append(watchers, n)
		}
	}
	return watchers
}
