package main

import (
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"egretlane.example/egret"
	"egretlane.example/egret/caller"
	"egretlane.example/egret/entry"
	"egretlane.example/egret/internal/peerpb"
	"egretlane.example/egret/lane"
	"egretlane.example/egret/leave"
	"egretlane.example/egret/member"
	"egretlane.example/egret/oper"
	"egretlane.example/egret/peer"
	"egretlane.example/egret/place"
	"egretlane.example/egret/promo"
	"egretlane.example/egret/store"
	"egretlane.example/egret/table"
)

// storeWatch names the choice of the proxies that watch the store, a few in each region.
const storeWatch = "store-watch"

// assemble ties the parts together that need each other.
func assemble(
	c *Config,
	l *log.Logger,
	s *store.Client,
	k *table.Keeper,
	m *peer.Mesh,
	control *member.Control,
	board *leave.Board,
	scout *leave.Scout,
	h *lane.Holder,
	w *promo.Watcher,
	d *entry.Desk,
	callers *caller.Server,
	peers *grpc.Server,
	o *oper.Server,
	leaving *atomic.Bool,
) *Proxy {
	k.Watches = func() bool {
		return watchesStore(m)
	}
	k.PeerHeard = func() bool {
		return len(m.Live()) > 1
	}
	m.OnCancel = func(process uint32, secret []byte) bool {
		return cancelHere(d, process, secret)
	}
	m.OnWitness = w.Witness
	m.OnNotice = func(name string, leaving bool) {
		board.Note(name, leaving, time.Now())
	}
	m.Sessions = d.Sessions
	m.Lanes = func() []*peerpb.LaneStatus {
		return laneStatus(h.Status())
	}
	return &Proxy{
		config:  c,
		logger:  l,
		store:   s,
		keeper:  k,
		mesh:    m,
		control: control,
		scout:   scout,
		holder:  h,
		watcher: w,
		desk:    d,
		callers: callers,
		peers:   peers,
		oper:    o,
		leaving: leaving,
	}
}

// watchesStore reports whether this proxy is one of the few of its region that watch the store.
func watchesStore(m *peer.Mesh) bool {
	self := m.Self()
	var near []egret.Node
	for _, n := range m.Live() {
		if n.Region == self.Region {
			near = append(near, n)
		}
	}
	for _, n := range place.Watchers(near, storeWatch) {
		if n.ID == self.ID {
			return true
		}
	}
	return false
}

func cancelHere(d *entry.Desk, process uint32, secret []byte) bool {
	k := caller.CancelKey{
		Process: process,
	}
	if len(secret) != len(k.Secret) {
		return false
	}
	k.Secret = [4]byte(secret)
	return d.CancelHere(k)
}

func laneStatus(states []lane.Status) []*peerpb.LaneStatus {
	out := make([]*peerpb.LaneStatus, 0, len(states))
	for _, s := range states {
		m := s.Load.State
		out = append(out, &peerpb.LaneStatus{
			Member:         s.Member,
			Group:          s.Group,
			Role:           string(m.Role),
			Granted:        m.Granted,
			ReceivedTerm:   m.Received.Term,
			ReceivedOffset: m.Received.Offset,
			AppliedTerm:    m.Applied.Term,
			AppliedOffset:  m.Applied.Offset,
			LagMicros:      s.Load.Lag.Microseconds(),
			Connections:    uint32(s.Connections),
			Running:        uint32(s.Running),
			Queued:         uint32(s.Queued),
			Reached:        s.Reached,
		})
	}
	return out
}
