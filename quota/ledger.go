package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
)

const (
	// demandSpan is the time constant of the average of a workspace's operations at a service.
	demandSpan = 2 * time.Second

	// forgetDelay is how long the bucket of a removed workspace is kept, so that a workspace that returns doesn't get a
	// full bucket within the window in which it has emptied one.
	forgetDelay = 30 * time.Second

	// priorities is how many priorities of routes are told apart. Lower ones count as the last.
	priorities = 4

	// keptSpan is the time of the demand of more urgent operations for which tokens are kept.
	keptSpan = time.Second

	// maxHeldBack is how many operations of a priority are refused one after the other to keep tokens for more urgent ones.
	maxHeldBack = 8

	// tolerance absorbs rounding errors of token counts.
	tolerance = 1e-9
)

// Opening says how the buckets of a service begin at a new holder.
type Opening struct {
	// At is when the holder's lease became valid.
	At clock.Time

	// Full says that no process has ever held the service, so that nothing was spent. Otherwise buckets begin empty, as
	// the former holder may have spent its own within the window.
	Full bool

	// RefillFrom is when the buckets begin to fill. It is At, earlier if no process has used the service for some time, or
	// later for a service that was added to a fleet of which some processes still divide the quotas by fewer services. Zero
	// stands for At.
	RefillFrom clock.Time
}

// Configuration is what the buckets of a service depend on.
type Configuration struct {
	// Settings relate quotas to the bound.
	Settings Settings

	// Services is the number of services that share the quotas, at least one.
	Services int

	// Workspaces are all workspaces, also those without a quota.
	Workspaces []egret.Workspace

	// Required is set if operations of other workspaces are refused.
	Required bool
}

// Ledger has the buckets of one service at its holder. It must not be used concurrently.
type Ledger struct {
	opening  Opening
	required bool

	// buckets has the workspaces by name, also those without a limit and those that were removed lately.
	buckets map[string]*bucket

	borrower borrower
}

// bucket has the tokens of one workspace at one service.
type bucket struct {
	share   share
	limited bool

	// level and pending are the tokens in the bucket and those that were asked for. Their sum never exceeds share.depth.
	level, pending float64

	// filledAt is when level was computed last.
	filledAt clock.Time

	// demand is the average number of operations per second at demandAt, with those that were refused.
	demand   float64
	demandAt clock.Time

	// urgency has the part of demand of each priority.
	urgency [priorities]float64

	// heldBack counts the operations of each priority that were refused one after the other to keep tokens for more urgent
	// ones.
	heldBack [priorities]int

	// refused says that an operation was refused since the bucket asked for tokens last. Its caller may repeat it.
	refused bool

	// removedAt is when the workspace was removed from the configuration, or zero.
	removedAt clock.Time

	// askFrom is when the bucket may ask for tokens again, askDelay the current back-off.
	askFrom  clock.Time
	askDelay time.Duration
}

// NewLedger returns the ledger of a service that this process holds from now on.
func NewLedger(o Opening) *Ledger {
	return &Ledger{
		opening: o,
		buckets: map[string]*bucket{},
	}
}

// Configure applies a configuration. A bucket above its new depth is cut to it.
func (l *Ledger) Configure(now clock.Time, c Configuration) {
	l.required = c.Required
	present := map[string]bool{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		present[w.Name] = true
		s := c.Settings.share(w.Quota, c.Services)
		b := l.buckets[w.Name]
		if b == nil || w.Quota.Limited && !b.limited && b.removedAt == 0 {
			b = l.newBucket(s)
			l.buckets[w.Name] = b
		}
		b.fill(now)
		b.share, b.limited, b.removedAt = s, w.Quota.Limited, 0
		b.level = max(0, min(b.level, s.depth-b.pending))
	}
	for name, b := range l.buckets {
		switch {
		case present[name]:
		case b.removedAt == 0:
			b.fill(now)
			b.share.rate, b.removedAt = 0, now
		case now.Sub(b.removedAt) > forgetDelay:
			delete(l.buckets, name)
		}
	}
}

// newBucket returns a bucket as if the workspace had been known since the opening, without operations.
func (l *Ledger) newBucket(s share) *bucket {
	b := &bucket{
		share:    s,
		filledAt: cmp.Or(l.opening.RefillFrom, l.opening.At),
		demand:   s.rate,
		demandAt: l.opening.At,
	}
	if l.opening.Full {
		b.level = s.depth
	}
	return b
}

// fill adds the tokens since the last call. A clock that was set back adds none until it has caught up.
func (b *bucket) fill(now clock.Time) {
	if now <= b.filledAt {
		return
	}
	room := max(0, b.share.depth-b.pending-b.level)
	b.level += min(room, b.share.rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
}

// recentDemand returns the average number of operations per second.
func (b *bucket) recentDemand(now clock.Time) float64 {
	age := max(0, now.Sub(b.demandAt))
	return b.demand * math.Exp(-age.Seconds()/demandSpan.Seconds())
}

// Verdict is the outcome of Take.
type Verdict struct {
	// Admitted says that the operation may run.
	Admitted bool

	// Unknown says that the workspace is not in the configuration.
	Unknown bool

	// Wait is the time until a token is expected if nothing else takes it. It is negative if none is.
	Wait time.Duration
}

// Take takes a token for an operation of the workspace on a route of the priority; 0 is the highest. A workspace that asks for
// more than its quota leaves tokens to its more urgent operations.
func (l *Ledger) Take(now clock.Time, workspace string, priority int) Verdict {
	b := l.buckets[workspace]
	if b == nil || b.removedAt != 0 {
		return Verdict{
			Admitted: !l.required,
			Unknown:  true,
			Wait:     -1,
		}
	}
	if !b.limited {
		return Verdict{
			Admitted: true,
		}
	}
	b.fill(now)
	priority = min(max(0, priority), priorities-1)
	b.countDemand(now, priority)
	kept := b.kept(priority)
	if b.level < 1+kept-tolerance {
		b.refused = true
		if b.level >= 1-tolerance {
			b.heldBack[priority]++
		}
		return Verdict{
			Wait: b.untilToken(now),
		}
	}
	b.heldBack[priority] = 0
	b.level = max(0, b.level-1)
	return Verdict{
		Admitted: true,
	}
}

// countDemand adds an operation of the priority to the recent demand.
func (b *bucket) countDemand(now clock.Time, priority int) {
	age := max(0, now.Sub(b.demandAt))
	decay := math.Exp(-age.Seconds() / demandSpan.Seconds())
	for i := range b.urgency {
		b.urgency[i] *= decay
	}
	b.urgency[priority] += 1 / demandSpan.Seconds()
	b.demand = b.demand*decay + 1/demandSpan.Seconds()
	b.demandAt = max(b.demandAt, now)
}

// kept returns how many tokens an operation of the priority leaves to more urgent ones: their demand within keptSpan, and at
// most half of the bucket. It is zero unless the workspace asks for more than its share, and for the operation after
// maxHeldBack refused ones, so that each route keeps a part of the quota.
func (b *bucket) kept(priority int) float64 {
	if b.demand <= b.share.rate || b.heldBack[priority] >= maxHeldBack {
		return 0
	}
	urgent := 0.0
	for _, d := range b.urgency[:priority] {
		urgent += d
	}
	return min(urgent*keptSpan.Seconds(), max(0, b.share.depth-1)/2)
}

// Return gives back the token of an operation that was taken at the given time or later, and that is not run. What the bucket
// has been refilled with since is subtracted: while the token was out, it made the room for that. A token that is given back
// after a long wait would otherwise come on top of a full bucket.
func (l *Ledger) Return(now clock.Time, workspace string, since clock.Time) {
	b := l.buckets[workspace]
	if b == nil || !b.limited || b.removedAt != 0 {
		return
	}
	b.fill(now)
	left := 1 - b.share.rate*max(0, b.filledAt.Sub(since)).Seconds()
	room := b.share.depth - b.pending - b.level
	b.level += max(0, min(left, room))
}

// untilToken returns the time until the bucket has a token, or a negative value if it never has.
func (b *bucket) untilToken(now clock.Time) time.Duration {
	if b.share.depth < 1-tolerance || b.share.rate <= 0 {
		return -1
	}
	wait := time.Duration((1 - b.level) / b.share.rate * float64(time.Second))
	return wait + max(0, b.filledAt.Sub(now))
}

// State is the state of a workspace's bucket.
type State struct {
	// Workspace names the workspace.
	Workspace string

	// Level is the number of tokens in the bucket, Depth the most that it holds and Rate the tokens that it gets per
	// second.
	Level, Depth, Rate float64
}

// States returns the buckets of limited workspaces, ordered by name.
func (l *Ledger) States(now clock.Time) []State {
	states := []State{}
	for _, name := range l.names() {
		b := l.buckets[name]
		b.fill(now)
		states = append(states, State{
			Workspace: name,
			Level:     b.level,
			Depth:     b.share.depth,
			Rate:      b.share.rate,
		})
	}
	return states
}

// names returns the limited workspaces in the configuration, sorted.
func (l *Ledger) names() []string {
	names := []string{}
	for name, b := range l.buckets {
		if b.limited && b.removedAt == 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
