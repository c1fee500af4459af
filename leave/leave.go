// Package leave spreads the platform's word that a backend server is leaving.
//
// The platform's list of VMs lags, and reading it costs the platform a call. So only a few proxies
// read it, and they tell those that act on it: the proxy that holds the member's lane and the
// proxies that watch its group. A note is repeated while it holds and ends by itself, so that no
// proxy has to be told twice of anything:
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
package leave

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/place"
)

const (
	// noteLife is how long a note holds without being repeated.
	noteLife = 30 * time.Second

	// defaultInterval is how often a scout reads the list.
	defaultInterval = time.Second

	// tellTimeout bounds a call to another proxy.
	tellTimeout = 500 * time.Millisecond
)

// Board holds the notes that this proxy was told. It is safe for concurrent use.
type Board struct {
	mu sync.Mutex

	// ends has the end of each note, by member.
	ends map[string]time.Time
}

// Note takes a note that the member leaves, or withdraws it.
func (b *Board) Note(member string, leaving bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !leaving {
		delete(b.ends, member)
		return
	}
	if b.ends == nil {
		b.ends = make(map[string]time.Time)
	}
	b.ends[member] = now.Add(noteLife)
}

// Leaving reports whether a note for the member holds.
func (b *Board) Leaving(member string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	end, found := b.ends[member]
	if found && now.After(end) {
		delete(b.ends, member)
		return false
	}
	return found
}

// Scout reads the list of VMs and tells the proxies concerned.
type Scout struct {
	// List is the platform's list.
	List egret.VMList

	// Peers gives the tables and the live proxies.
	Peers egret.Peers

	// Active reports whether this proxy is one of the few that read the list.
	Active func() bool

	// Tell tells another proxy.
	Tell func(ctx context.Context, n egret.Node, member string, leaving bool) error

	// Board takes the notes that concern this proxy.
	Board *Board

	// Interval is how often the list is read. Zero means a second.
	Interval time.Duration

	// known has the members that the list last said are leaving. While the list is down it holds.
	known map[string]struct{}
}

// Run reads the list until the context ends. It is meant for one goroutine.
func (s *Scout) Run(ctx context.Context) error {
	interval := s.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	for {
		// Jitter keeps the scouts from reading all at once.
		t := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
		if s.Active() {
			s.look(ctx)
		}
	}
}

// look reads the list once and repeats all notes.
func (s *Scout) look(ctx context.Context) {
	t := s.Peers.TablesNow()
	if t == nil {
		return
	}
	withdrawn := s.read(ctx)
	for i := range t.Pools {
		for j := range t.Pools[i].Groups {
			g := &t.Pools[i].Groups[j]
			for _, m := range g.Members {
				s.spread(ctx, g.Name, m, withdrawn)
			}
		}
	}
}

// read takes in the list and returns the members that no longer leave.
func (s *Scout) read(ctx context.Context) map[string]struct{} {
	vms, err := s.List.List(ctx)
	if err != nil {
		// The last word holds.
		return nil
	}
	leaving := make(map[string]struct{})
	for _, v := range vms {
		if v.Leaving {
			leaving[v.Name] = struct{}{}
		}
	}
	withdrawn := make(map[string]struct{})
	for name := range s.known {
		if _, still := leaving[name]; !still {
			withdrawn[name] = struct{}{}
		}
	}
	s.known = leaving
	return withdrawn
}

// spread tells those that act on the member, if there is anything to tell.
func (s *Scout) spread(ctx context.Context, group string, m egret.Member, withdrawn map[string]struct{}) {
	_, leaving := s.known[m.Name]
	_, ended := withdrawn[m.Name]
	if !leaving && !ended {
		return
	}
	live := s.Peers.Live()
	concerned := place.Watchers(live, group)
	if n, ok := place.Lane(live, m); ok {
		concerned = append(concerned, n)
	}
	self := s.Peers.Self().ID
	for _, n := range concerned {
		if n.ID == self {
			s.Board.Note(m.Name, leaving, time.Now())
			continue
		}
		told, cancel := context.WithTimeout(ctx, tellTimeout)
		// A proxy that can't be told now is told in the next round.
		_ = s.Tell(told, n, m.Name, leaving)
		cancel()
	}
}
