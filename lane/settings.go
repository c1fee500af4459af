package lane

import (
	"time"

	"egretlane.example/egret"
)

// settings are the entries of the tables that concern one member.
type settings struct {
	member egret.Member
	group  egret.Group
	pool   egret.Pool
}

// connectionLimit returns how many connections the lane may use for transactions.
func (s *settings) connectionLimit() int {
	return max(1, s.pool.Connections-s.pool.ReservedConnections)
}

// otherMembers returns the other members of the group.
func (s *settings) otherMembers() []egret.Member {
	others := []egret.Member{}
	for _, m := range s.group.Members {
		if m.Name != s.member.Name {
			others = append(others, m)
		}
	}
	return others
}

// allSettings returns the settings of all members of the tables.
func allSettings(t *egret.Tables) []settings {
	all := []settings{}
	for _, p := range t.Pools {
		for _, g := range p.Groups {
			for _, m := range g.Members {
				all = append(all, settings{
					member: m,
					group:  g,
					pool:   p,
				})
			}
		}
	}
	return all
}

// settingsOf returns the settings of a member. The tables may be nil.
func settingsOf(t *egret.Tables, name string) (settings, bool) {
	if t == nil {
		return settings{}, false
	}
	for _, s := range allSettings(t) {
		if s.member.Name == name {
			return s, true
		}
	}
	return settings{}, false
}

// Status is the state of a lane for operators.
type Status struct {
	// Member names the member.
	Member string

	// Group names the member's group.
	Group string

	// Load is the lane's view of the member and its queue.
	Load egret.Load

	// Slots is how many slot locks the lane holds.
	Slots int

	// Connections is how many connections for statements are open.
	Connections int

	// Running is how many statements run or may still run on the member.
	Running int

	// Queued is how many requests wait for a slot.
	Queued int

	// Reachable says that the member answered the last heartbeat.
	Reachable bool

	// HandoverAge is how long the handover has been in progress. It is zero while this proxy owns the
	// lane.
	HandoverAge time.Duration
}
