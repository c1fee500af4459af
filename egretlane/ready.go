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

// openWait bounds the wait for lanes at the start. A backend server that is down must not keep the
// proxy from serving the others.
const openWait = 3 * time.Second

// readiness says whether the balancer should send callers here.
type readiness struct {
	// mesh, keeper and holder are the parts that have to be ready.
	mesh   *peer.Mesh
	keeper *table.Keeper
	holder *lane.Holder

	// leaving says that the proxy shuts down.
	leaving *atomic.Bool

	// start is when the process started.
	start time.Time

	// opened says that the first lanes are open. It never becomes false again.
	opened atomic.Bool
}

// ready reports whether tables are known, the first lanes are open and the proxy stays.
func (r *readiness) ready() bool {
	if r.leaving.Load() || !r.mesh.Ready() || r.keeper.Now() == nil {
		return false
	}
	if !r.opened.Load() {
		r.opened.Store(time.Since(r.start) > openWait || r.lanesOpen())
	}
	return r.opened.Load()
}

// lanesOpen reports whether each lane that falls to this proxy has reached its member and may run
// statements.
func (r *readiness) lanesOpen() bool {
	open := make(map[string]struct{})
	for _, s := range r.holder.Status() {
		if s.Reached && s.Slots > 0 {
			open[s.Member] = struct{}{}
		}
	}
	for _, m := range r.owned() {
		if _, ok := open[m.Name]; !ok {
			return false
		}
	}
	return true
}

// owned returns the members whose lanes fall to this proxy.
func (r *readiness) owned() []egret.Member {
	var owned []egret.Member
	live := r.mesh.Live()
	t := r.keeper.Now()
	for i := range t.Pools {
		for j := range t.Pools[i].Groups {
			for _, m := range t.Pools[i].Groups[j].Members {
				if n, ok := place.Lane(live, m); ok && n.ID == r.mesh.Self().ID {
					owned = append(owned, m)
				}
			}
		}
	}
	return owned
}
