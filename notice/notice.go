// Package notice distributes notices that a member, which is a backend server of a database group, is leaving. The
// platform's list of VMs says so.
//
// The list lags, and each read of it is a call to the platform. So only a few proxies poll it, and
// they notify those that act on it: the proxy that holds the member's lane, and the proxies that
// watch the member's group. A notice is repeated with each poll while the member is leaving, and
// otherwise expires, so that the delivery of a single notice doesn't matter:
//
//	notices := &notice.Set{}
//	p := &notice.Poller{
//		List:    list,
//		Peers:   mesh,
//		Active:  watchesStore,
//		Notify:  mesh.NotifyMemberLeaving,
//		Notices: notices,
//	}
//	go p.Run(ctx)
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
func (s *Set) Update(member string, leaving bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !leaving {
		delete(s.expiresAt, member)
		return
	}
	if s.expiresAt == nil {
		s.expiresAt = make(map[string]time.Time)
	}
	s.expiresAt[member] = now.Add(noticeTTL)
}

// Leaving reports whether there is a valid notice for the member. It removes one that has expired.
func (s *Set) Leaving(member string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	expiresAt, found := s.expiresAt[member]
	if found && now.After(expiresAt) {
		delete(s.expiresAt, member)
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
func (p *Poller) Run(ctx context.Context) error {
	interval := p.Interval
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
		if p.Active() {
			p.poll(ctx)
		}
	}
}

// poll reads the list once, and sends the notices of all members that are leaving or have stopped leaving.
func (p *Poller) poll(ctx context.Context) {
	t := p.Peers.TablesInForce()
	if t == nil {
		return
	}
	noLongerLeaving := p.readList(ctx)
	for i := range t.Pools {
		for j := range t.Pools[i].Groups {
			g := &t.Pools[i].Groups[j]
			for _, m := range g.Members {
				p.notify(ctx, g.Name, m, noLongerLeaving)
			}
		}
	}
}

// readList updates leavingMembers from the list, and returns the names that are no longer leaving. If the
// list can't be read, leavingMembers stays as it is.
func (p *Poller) readList(ctx context.Context) map[string]struct{} {
	vms, err := p.List.List(ctx)
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
	for name := range p.leavingMembers {
		if _, still := leaving[name]; !still {
			noLongerLeaving[name] = struct{}{}
		}
	}
	p.leavingMembers = leaving
	return noLongerLeaving
}

// notify notifies the proxies that act on the member, if the member is leaving or no longer is.
func (p *Poller) notify(ctx context.Context, group string, m egret.Member, noLongerLeaving map[string]struct{}) {
	_, leaving := p.leavingMembers[m.Name]
	_, withdrawn := noLongerLeaving[m.Name]
	if !leaving && !withdrawn {
		return
	}
	live := p.Peers.Live()
	recipients := place.Watchers(live, group)
	if n, ok := place.LaneHolder(live, m); ok {
		recipients = append(recipients, n)
	}
	self := p.Peers.Self().ID
	for _, n := range recipients {
		if n.ID == self {
			p.Notices.Update(m.Name, leaving, time.Now())
			continue
		}
		notifyCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
		// A notice that fails is sent again with the next poll. A failed withdrawal isn't: the notice expires.
		_ = p.Notify(notifyCtx, n, m.Name, leaving)
		cancel()
	}
}
