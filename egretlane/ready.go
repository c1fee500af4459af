package main

import (
	"sync/atomic"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/lane"
	"egretlane.example/egret/peer"
	"egretlane.example/egret/place"
	"egretlane.example/egret/table"
)

// laneOpenTimeout bounds the wait for lanes at startup. A backend server that is down must not prevent the proxy
// from serving the others.
const laneOpenTimeout = 3 * time.Second

// readiness determines whether the load balancer should send callers to this proxy.
type readiness struct {
	// mesh, tables and laneManager are checked for readiness.
	mesh        *peer.Mesh
	tables      *table.Cache
	laneManager *lane.Manager

	// shuttingDown is true while the proxy shuts down.
	shuttingDown *atomic.Bool

	// start is when the process started.
	start time.Time

	// lanesOpened is true once the first lanes are open or laneOpenTimeout is over. It never becomes false again.
	lanesOpened atomic.Bool
}

// ready reports whether tables are known, the first lanes are open and the proxy is not shutting down.
func (r *readiness) ready() bool {
	if r.shuttingDown.Load() || !r.mesh.Ready() || r.tables.Current() == nil {
		return false
	}
	if !r.lanesOpened.Load() {
		r.lanesOpened.Store(time.Since(r.start) > laneOpenTimeout || r.lanesOpen())
	}
	return r.lanesOpened.Load()
}

// lanesOpen reports whether each lane assigned to this proxy has reached its member and may run statements.
func (r *readiness) lanesOpen() bool {
	open := make(map[string]struct{})
	for _, s := range r.laneManager.Status() {
		if s.Reachable && s.Slots > 0 {
			open[s.Member] = struct{}{}
		}
	}
	for _, m := range r.assignedMembers() {
		if _, ok := open[m.Name]; !ok {
			return false
		}
	}
	return true
}

// assignedMembers returns the members whose lanes are assigned to this proxy.
func (r *readiness) assignedMembers() []egret.Member {
	var assigned []egret.Member
	live := r.mesh.Live()
	t := r.tables.Current()
	for i := range t.Pools {
		for j := range t.Pools[i].Groups {
			for _, m := range t.Pools[i].Groups[j].Members {
				if n, ok := place.LaneHolder(live, m); ok && n.ID == r.mesh.Self().ID {
					assigned = append(assigned, m)
				}
			}
		}
	}
	return assigned
}
