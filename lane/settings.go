package lane

import (
	"time"

	"egretlane.example/egret"
)

// settings is what the tables say of a member.
type settings struct {
	member egret.Member
	group  egret.Group
	pool   egret.Pool
}

// limit is how many connections the lane uses for transactions.
func (s *settings) limit() int {
	return max(1, s.pool.Connections-s.pool.Reserve)
}

// others returns the other members of the group.
func (s *settings) others() []egret.Member {
	others := []egret.Member{}
	for _, m := range s.group.Members {
		if m.Name != s.member.Name {
			others = append(others, m)
		}
	}
	return others
}

// allSettings lists all members of the tables.
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

// settingsOf finds a member in the tables, which may be nil.
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

// Status is a lane as operators see it.
type Status struct {
	// Member names the member.
	Member string

	// Group names the member's group.
	Group string

	// Load is the lane's view of the member.
	Load egret.Load

	// Slots is how many slot locks the lane holds.
	Slots int

	// Connections is how many connections for statements are open.
	Connections int

	// Running is how many statements run.
	Running int

	// Queued is how many requests wait.
	Queued int

	// Reached says that the member answered the last heartbeat.
	Reached bool

	// Handover is how long the lane has been handing over, or zero.
	Handover time.Duration
}
