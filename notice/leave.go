// Package notice distributes notices that a backend server is leaving, as the platform's list of VMs says.
//
// The list lags, and each read of it is a call to the platform. So only a few proxies poll it, and
// they notify those that act on it: the proxy that holds the member's lane, and the proxies that
// watch the member's group. A notice is repeated with each poll while the member is leaving, and
// otherwise expires, so that the delivery of a single notice doesn't matter:
//
//	b := &leave.Board{}
//	s := &leave.Scout{
//		List:   list,
//		Peers:  mesh,
//		Active: watchesStore,
//		Tell:   mesh.TellLeaving,
//		Board:  b,
//	}
//	go s.Run(ctx)
package notice

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/place"
)

const (
	// noticeTTL is how long a notice is valid after it was last repeated.
	noticeTTL = 30 * time.Second

	// defaultPollInterval is the mean interval between two reads of the list.
	defaultPollInterval = time.Second

	// notifyTimeout is the timeout of a call to another proxy.
	notifyTimeout = 500 * time.Millisecond
)

// Set holds the notices that concern this proxy. It is safe for concurrent use.
type Set struct {
	mu sync.Mutex

	// expiresAt is the expiration time of each notice, by the name of its member.
	expiresAt map[string]time.Time
}

// Update records a notice that the member is leaving, or withdraws it if leaving is false.
func (b *Set) Update(member string, leaving bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !leaving {
		delete(b.expiresAt, member)
		return
	}
	if b.expiresAt == nil {
		b.expiresAt = make(map[string]time.Time)
	}
	b.expiresAt[member] = now.Add(noticeTTL)
}

// Leaving reports whether there is a valid notice for the member. It removes one that has expired.
func (b *Set) Leaving(member string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	expiresAt, found := b.expiresAt[member]
	if found && now.After(expiresAt) {
		delete(b.expiresAt, member)
		return false
	}
	return found
}

// Poller polls the platform's list of VMs and notifies the proxies that act on leaving members.
type Poller struct {
	// List is the platform's list of VMs.
	List egret.VMList

	// Peers provides the tables in force and the live proxies.
	Peers egret.Peers

	// Active reports whether this proxy is one of the few that poll the list.
	Active func() bool

	// Notify notifies another proxy that a member is leaving, or no longer is.
	Notify func(ctx context.Context, n egret.Node, member string, leaving bool) error

	// Notices receives the notices that concern this proxy.
	Notices *Set

	// Interval is the mean interval between two reads of the list. Zero means a second.
	Interval time.Duration

	// leavingMembers has the names that the list reported as leaving when it was last read. It stays in
	// use while the list can't be read.
	leavingMembers map[string]struct{}
}

// Run polls the list until the context is canceled. It must not be called concurrently.
func (s *Poller) Run(ctx context.Context) error {
	interval := s.Interval
	if interval == 0 {
		interval = defaultPollInterval
	}
	for {
		// Jitter keeps the polling proxies from reading the list at the same time.
		t := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
		if s.Active() {
			s.poll(ctx)
		}
	}
}

// poll reads the list once, and sends the notices of all members that are leaving or have stopped leaving.
func (s *Poller) poll(ctx context.Context) {
	t := s.Peers.TablesInForce()
	if t == nil {
		return
	}
	noLongerLeaving := s.readList(ctx)
	for i := range t.Pools {
		for j := range t.Pools[i].Groups {
			g := &t.Pools[i].Groups[j]
			for _, m := range g.Members {
				s.notify(ctx, g.Name, m, noLongerLeaving)
			}
		}
	}
}

// readList updates leavingMembers from the list, and returns the names that are no longer leaving. If the
// list can't be read, leavingMembers stays as it is.
func (s *Poller) readList(ctx context.Context) map[string]struct{} {
	vms, err := s.List.List(ctx)
	if err != nil {
		// The result of the last read stays in use.
		return nil
	}
	leaving := make(map[string]struct{})
	for _, v := range vms {
		if v.Leaving {
			leaving[v.Name] = struct{}{}
		}
	}
	noLongerLeaving := make(map[string]struct{})
	for name := range s.leavingMembers {
		if _, still := leaving[name]; !still {
			noLongerLeaving[name] = struct{}{}
		}
	}
	s.leavingMembers = leaving
	return noLongerLeaving
}

// notify notifies the proxies that act on the member, if the member is leaving or no longer is.
func (s *Poller) notify(ctx context.Context, group string, m egret.Member, noLongerLeaving map[string]struct{}) {
	_, leaving := s.leavingMembers[m.Name]
	_, withdrawn := noLongerLeaving[m.Name]
	if !leaving && !withdrawn {
		return
	}
	live := s.Peers.Live()
	recipients := place.Watchers(live, group)
	if n, ok := place.LaneHolder(live, m); ok {
		recipients = append(recipients, n)
	}
	self := s.Peers.Self().ID
	for _, n := range recipients {
		if n.ID == self {
			s.Notices.Update(m.Name, leaving, time.Now())
			continue
		}
		notifyCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
		// A notice that fails is sent again with the next poll. A failed withdrawal isn't: the notice expires.
		_ = s.Notify(notifyCtx, n, m.Name, leaving)
		cancel()
	}
}
