package entry

import (
	"context"
	"sync"
	"time"

	"egretlane.example/egret"
)

// staleLoad is the age after which a lane's view is not used to cut a replica.
const staleLoad = 2 * time.Second

// refreshInterval is how often a lane is asked for its view of a member at most.
const refreshInterval = 250 * time.Millisecond

// loads keeps what the lanes last said of their members.
type loads struct {
	mu sync.Mutex

	// byMember has the newest view of each member that was used.
	byMember map[string]seenLoad
}

// seenLoad is a lane's view and how far away the lane is.
type seenLoad struct {
	// load is the view.
	load egret.Load

	// distance is the smoothed time to the lane and back, without the queue.
	distance time.Duration

	// at is when the view arrived.
	at time.Time

	// asked is when the lane was last asked for its view.
	asked time.Time
}

// note keeps a view. A took below zero says that the distance was not measured.
func (l *loads) note(member string, load egret.Load, took time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byMember == nil {
		l.byMember = make(map[string]seenLoad)
	}
	seen := l.byMember[member]
	if took >= 0 {
		seen.distance = smooth(seen.distance, took)
	}
	seen.load = load
	seen.at = now
	l.byMember[member] = seen
}

// of returns the view of a member. It is zero if there is none of late, so that an old view never
// keeps a member from being tried again.
func (l *loads) of(member string, now time.Time) seenLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.byMember[member]
	if now.Sub(seen.at) > staleLoad {
		seen.load = egret.Load{}
	}
	return seen
}

// ask notes that a member's lane is asked for its view. It returns false if it was asked of late.
func (l *loads) ask(member string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.byMember[member]
	if now.Sub(seen.asked) < refreshInterval {
		return false
	}
	seen.asked = now
	if l.byMember == nil {
		l.byMember = make(map[string]seenLoad)
	}
	l.byMember[member] = seen
	return true
}

// refresh asks a member's lane for its view, in the background and not more often than at
// refreshInterval. Without it, nothing would be known of a replica that only failed of late.
func (d *Desk) refresh(member string) {
	if !d.loads.ask(member, time.Now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), staleLoad)
		defer cancel()
		l, err := d.Lanes.Load(ctx, member)
		if err == nil {
			d.loads.note(member, l, -1, time.Now())
		}
	}()
}

// smooth is an exponentially weighted mean with a weight of one eighth, as TCP has it.
func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/8
}

// findPrimary asks the lanes of a group's members which one leads, and tells the peers. It returns
// false if none says so.
func (d *Desk) findPrimary(ctx context.Context, g *egret.Group) (egret.GroupFact, bool) {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	answers := make(chan egret.MemberState, len(g.Members))
	for i := range g.Members {
		name := g.Members[i].Name
		go func() {
			l, err := d.Lanes.Load(ctx, name)
			if err != nil {
				answers <- egret.MemberState{}
				return
			}
			d.loads.note(name, l, -1, time.Now())
			answers <- l.State
		}()
	}
	best := egret.GroupFact{
		Group: g.Name,
	}
	for range g.Members {
		s := <-answers
		if s.Role == egret.RolePrimary && s.Granted > best.Term {
			best.Term = s.Granted
			best.Primary = s.Member
		}
	}
	if best.Primary == "" {
		return best, false
	}
	d.Peers.Announce(best)
	return best, true
}
