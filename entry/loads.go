package entry

import (
	"context"
	"sync"
	"time"

	"egretlane.example/egret"
)

// maxLoadAge is the age from which a reported load no longer excludes a replica from a read.
const maxLoadAge = 2 * time.Second

// minRefreshInterval is the shortest interval between two refreshes of a member's load.
const minRefreshInterval = 250 * time.Millisecond

// loadCache has the loads that lanes have reported for their members. It is safe for concurrent use.
type loadCache struct {
	mu sync.Mutex

	// byMember has an entry for each member that was used or whose load was requested.
	byMember map[string]memberLoad
}

// memberLoad is the last reported load of a member and its response time.
type memberLoad struct {
	load egret.Load

	// responseTime is the moving average of the time that attempts on the member took, from the begin of the
	// transaction to the end of its first batch.
	responseTime time.Duration

	// receivedAt is when load arrived.
	receivedAt time.Time

	// requestedAt is when a refresh last asked the lane for the load.
	requestedAt time.Time
}

// update stores a reported load. A responseTime below zero means that it was not measured.
func (l *loadCache) update(member string, load egret.Load, responseTime time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byMember == nil {
		l.byMember = make(map[string]memberLoad)
	}
	cached := l.byMember[member]
	if responseTime >= 0 {
		cached.responseTime = movingAverage(cached.responseTime, responseTime)
	}
	cached.load = load
	cached.receivedAt = now
	l.byMember[member] = cached
}

// get returns the cached entry of a member. Its load is zero if the last report is older than maxLoadAge, so
// that an outdated load never keeps requests away from a member.
func (l *loadCache) get(member string, now time.Time) memberLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	cached := l.byMember[member]
	if now.Sub(cached.receivedAt) > maxLoadAge {
		cached.load = egret.Load{}
	}
	return cached
}

// beginRefresh records that a member's load is requested now. It returns false if the last request is less than
// minRefreshInterval ago.
func (l *loadCache) beginRefresh(member string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	cached := l.byMember[member]
	if now.Sub(cached.requestedAt) < minRefreshInterval {
		return false
	}
	cached.requestedAt = now
	if l.byMember == nil {
		l.byMember = make(map[string]memberLoad)
	}
	l.byMember[member] = cached
	return true
}

// refreshLoad requests a member's load from its lane in the background, at most once per minRefreshInterval.
// Otherwise no load would be known of a replica whose recent requests have all failed.
func (h *Handler) refreshLoad(member string) {
	if !h.loads.beginRefresh(member, time.Now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), maxLoadAge)
		defer cancel()
		load, err := h.Lanes.Load(ctx, member)
		if err == nil {
			h.loads.update(member, load, -1, time.Now())
		}
	}()
}

// movingAverage returns the exponentially weighted moving average after a sample. The sample's weight is 1/8, as
// in the smoothed round-trip time of TCP.
func movingAverage(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/8
}

// findPrimary requests the state of all members of a group from their lanes and announces the primary with the
// highest granted term to the peers. It returns false if no member reports that it is the primary.
func (h *Handler) findPrimary(ctx context.Context, g *egret.Group) (egret.GroupPrimary, bool) {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	states := make(chan egret.MemberState, len(g.Members))
	for i := range g.Members {
		name := g.Members[i].Name
		go func() {
			load, err := h.Lanes.Load(ctx, name)
			if err != nil {
				states <- egret.MemberState{}
				return
			}
			h.loads.update(name, load, -1, time.Now())
			states <- load.State
		}()
	}
	best := egret.GroupPrimary{
		Group: g.Name,
	}
	for range g.Members {
		s := <-states
		if s.Role == egret.RolePrimary && s.GrantedTerm > best.Term {
			best.Term = s.GrantedTerm
			best.Primary = s.Member
		}
	}
	if best.Primary == "" {
		return best, false
	}
	h.Peers.AnnouncePrimary(best)
	return best, true
}
