// Package place assigns the lanes of members and the monitoring of primaries to proxies, without a consensus protocol.
//
// Each proxy computes the assignment from its own view of the live proxies, by rendezvous hashing: the owner of a
// name is the proxy whose hash with the name is the highest. When a proxy joins or leaves, only the names that it
// gains or loses move. Proxies with different views may compute different owners for a while, so correctness must
// not depend on the assignment alone.
//
//	owner, ok := place.LaneHolder(peers.Live(), m)
package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"egretlane.example/egret"
)

// maxWatchers is how many proxies monitor a group's primary. The second and the third act only if those before them
// don't.
const maxWatchers = 3

// LaneHolder returns the proxy that is to hold the lane of the member: one in the member's failure domain if there is
// any, else one in its region, else any other. Leaving proxies are chosen only if there are no others. It returns false
// if there are no nodes.
func LaneHolder(nodes []egret.Node, m egret.Member) (egret.Node, bool) {
	best := egret.Node{}
	bestRank := rank{}
	found := false
	for _, n := range nodes {
		r := rank{
			preference: preference(n, m),
			weight:     weight(n.ID, m.Name),
		}
		if !found || r.outranks(bestRank) {
			best = n
			bestRank = r
			found = true
		}
	}
	return best, found
}

// Watchers returns the proxies that monitor the group's primary, in the order in which they act. They are in different
// failure domains as far as the nodes allow.
func Watchers(nodes []egret.Node, group string) []egret.Node {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b egret.Node) int {
		return cmp.Compare(weight(b.ID, group), weight(a.ID, group))
	})
	watchers := appendDistinct(nil, sorted, func(n egret.Node, w egret.Node) bool {
		return n.Domain == w.Domain
	})
	return appendDistinct(watchers, sorted, func(n egret.Node, w egret.Node) bool {
		return n.ID == w.ID
	})
}

// Pick returns the name whose hash with the key is the highest, or "" if there are no names.
func Pick(names []string, key string) string {
	best := ""
	for _, n := range names {
		if best == "" || weight(n, key) > weight(best, key) {
			best = n
		}
	}
	return best
}

// ShortHash returns the hash of a proxy's ID that forms the upper half of the process numbers of its sessions. Two
// proxies may have the same.
func ShortHash(id string) uint16 {
	return uint16(xxhash.Sum64String(id))
}

// rank orders proxies as holders of a member's lane.
type rank struct {
	// preference is compared first.
	preference int

	// weight is the rendezvous hash, which decides between equal preferences.
	weight uint64
}

// outranks reports whether r comes before o.
func (r rank) outranks(o rank) bool {
	if r.preference != o.preference {
		return r.preference > o.preference
	}
	return r.weight > o.weight
}

// preference returns a higher number for a node that is nearer to the member, and the lowest for a leaving one.
func preference(n egret.Node, m egret.Member) int {
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

// weight returns the rendezvous hash of a candidate's ID with a name.
func weight(id string, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(id)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// appendDistinct appends nodes to the watchers, up to maxWatchers, and skips those that conflict with a watcher.
func appendDistinct(watchers []egret.Node, nodes []egret.Node, conflict func(n egret.Node, w egret.Node) bool) []egret.Node {
	for _, n := range nodes {
		if len(watchers) == maxWatchers {
			return watchers
		}
		conflicts := slices.ContainsFunc(watchers, func(w egret.Node) bool {
			return conflict(n, w)
		})
		if !conflicts {
			watchers = append(watchers, n)
		}
	}
	return watchers
}
