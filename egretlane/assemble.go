package main

import (
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"egretlane.example/egret"
	"egretlane.example/egret/admin"
	"egretlane.example/egret/caller"
	"egretlane.example/egret/entry"
	"egretlane.example/egret/internal/peerpb"
	"egretlane.example/egret/lane"
	"egretlane.example/egret/member"
	"egretlane.example/egret/notice"
	"egretlane.example/egret/peer"
	"egretlane.example/egret/place"
	"egretlane.example/egret/promo"
	"egretlane.example/egret/store"
	"egretlane.example/egret/table"
)

// storeWatchKey is the hash key that selects the proxies that watch the store, a few in each region.
const storeWatchKey = "store-watch"

// assemble sets the callbacks between components that depend on each other and returns the proxy.
func assemble(
	c *Config,
	l *log.Logger,
	s *store.Client,
	tables *table.Cache,
	m *peer.Mesh,
	control *member.Control,
	leavingMembers *notice.Set,
	vmListPoller *notice.Poller,
	laneManager *lane.Manager,
	w *promo.Watcher,
	sessionHandler *entry.Handler,
	callers *caller.Server,
	peers *grpc.Server,
	operatorServer *admin.Server,
	shuttingDown *atomic.Bool,
) *Proxy {
	tables.WatchesStore = func() bool {
		return watchesStore(m)
	}
	tables.HasLivePeer = func() bool {
		return len(m.Live()) > 1
	}
	m.OnCancel = func(process uint32, secret []byte) bool {
		return cancelLocal(sessionHandler, process, secret)
	}
	m.OnWitness = w.MemberStatus
	m.OnMemberLeaving = func(name string, leaving bool) {
		leavingMembers.Update(name, leaving, time.Now())
	}
	m.Sessions = sessionHandler.SessionCount
	m.Lanes = func() []*peerpb.LaneStatus {
		return laneStatus(laneManager.Status())
	}
	return &Proxy{
		config:         c,
		logger:         l,
		store:          s,
		tables:         tables,
		mesh:           m,
		control:        control,
		vmListPoller:   vmListPoller,
		laneManager:    laneManager,
		watcher:        w,
		sessionHandler: sessionHandler,
		callerServer:   callers,
		peerServer:     peers,
		operatorServer: operatorServer,
		shuttingDown:   shuttingDown,
	}
}

// watchesStore reports whether this proxy is one of the few in its region that watch the store.
func watchesStore(m *peer.Mesh) bool {
	self := m.Self()
	var sameRegion []egret.Node
	for _, n := range m.Live() {
		if n.Region == self.Region {
			sameRegion = append(sameRegion, n)
		}
	}
	for _, n := range place.Watchers(sameRegion, storeWatchKey) {
		if n.ID == self.ID {
			return true
		}
	}
	return false
}

// cancelLocal cancels the request of a session of this proxy. It returns false if the secret matches no session.
func cancelLocal(h *entry.Handler, process uint32, secret []byte) bool {
	k := caller.CancelKey{
		ProcessID: process,
	}
	if len(secret) != len(k.Secret) {
		return false
	}
	k.Secret = [4]byte(secret)
	return h.CancelLocal(k)
}

func laneStatus(states []lane.Status) []*peerpb.LaneStatus {
	out := make([]*peerpb.LaneStatus, 0, len(states))
	for _, s := range states {
		m := s.Load.State
		out = append(out, &peerpb.LaneStatus{
			Member:         s.Member,
			Group:          s.Group,
			Role:           string(m.Role),
			Granted:        m.GrantedTerm,
			ReceivedTerm:   m.Received.Term,
			ReceivedOffset: m.Received.Offset,
			AppliedTerm:    m.Applied.Term,
			AppliedOffset:  m.Applied.Offset,
			LagMicros:      s.Load.Lag.Microseconds(),
			Connections:    uint32(s.Connections),
			Running:        uint32(s.Running),
			Queued:         uint32(s.Queued),
			Reached:        s.Reachable,
		})
	}
	return out
}
