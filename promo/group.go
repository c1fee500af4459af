package promo

import (
	"context"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/place"
)

// Limits of the watch.
const (
	// askDelay is how long a heartbeat runs before others are asked about the primary.
	askDelay = 400 * time.Millisecond

	// missBeat is the interval of heartbeats after one that failed.
	missBeat = 100 * time.Millisecond

	// maxTimeout bounds the timeout of a heartbeat of a slow primary.
	maxTimeout = 5 * time.Second

	// slowFactor is how many times the usual time to answer a heartbeat is waited for.
	slowFactor = 6

	// holderInterval is the interval of looks through the holder of the lane.
	holderInterval = time.Second

	// retryBase and retryMaximum bound the pause after a promotion that was given up.
	retryBase    = 200 * time.Millisecond
	retryMaximum = 3 * time.Second

	// laneHold is the least time between two promotions because of a blind holder of a lane, which
	// may be blind for all members.
	laneHold = 30 * time.Second
)

// watched is what the watcher of a group remembers. Its goroutine alone uses it.
type watched struct {
	name string
	duty *duty

	// term is that of the fact that the rest is about.
	term uint64

	silentSince  time.Time
	misses       int
	timedOut     bool
	holder       Sight
	witnesses    []Sight
	laneSince    time.Time
	orphanSince  time.Time
	leavingSince time.Time
	progress     Progress

	// primary is the primary's state as another proxy told it last.
	primary egret.MemberState

	// latency is the primary's usual time to answer: it rises at once and falls slowly.
	latency time.Duration

	// highest is the highest term seen as granted.
	highest uint64

	// members and holderLook run while heartbeats go on.
	members    look[[]egret.MemberState]
	holderLook look[glance]
	nextMend   time.Time
	nextHolder time.Time

	// asked is when holderLook was started.
	asked time.Time

	// laneAfter is when a blind holder of the lane counts again after a promotion because of one.
	laneAfter time.Time

	// failures counts promotions given up in a row, notBefore is when the next may begin.
	failures  int
	notBefore time.Time
}

// watch keeps a group in order until the context ends.
func (w *Watcher) watch(ctx context.Context, name string, d *duty) {
	v := &watched{
		name: name,
		duty: d,
	}
	for {
		g, ok := findGroup(w.Peers.TablesNow(), name)
		rank := w.rank(w.Peers.Live(), name)
		if ok && rank >= 0 {
			w.step(ctx, v, g, rank)
		}
		if !w.rest(ctx, v, rank) {
			return
		}
	}
}

// rest waits for the next heartbeat or for evidence of a failure.
func (w *Watcher) rest(ctx context.Context, v *watched, rank int) bool {
	interval := w.Timing.Beat
	switch {
	case v.misses > 0:
		interval = missBeat
	case rank > 0:
		interval *= 2
	}
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-v.duty.wake:
		return true
	case <-t.C:
		return true
	}
}

// step looks at the group once and acts.
func (w *Watcher) step(ctx context.Context, v *watched, g egret.Group, rank int) {
	fact, known := w.Peers.Primary(g.Name)
	if fact.Term != v.term {
		v.reset(fact.Term)
	}
	if known && g.Member(fact.Primary) != nil {
		w.beat(ctx, v, g, fact)
		w.askHolder(ctx, v, g, fact)
	}
	lead := rank == 0 || !known || !v.orphanSince.IsZero()
	if lead {
		w.mend(ctx, v, g, fact, known)
	}
	w.act(ctx, v, g, rank, fact)
}

// reset forgets what belonged to an earlier term.
func (v *watched) reset(term uint64) {
	*v = watched{
		name:      v.name,
		duty:      v.duty,
		term:      term,
		highest:   max(v.highest, term),
		laneAfter: v.laneAfter,
		latency:   v.latency,
	}
}

// act promotes if there is a cause.
func (w *Watcher) act(ctx context.Context, v *watched, g egret.Group, rank int, fact egret.GroupFact) {
	now := time.Now()
	view := v.view(now, rank, w.Timing.Step)
	holder, _ := place.Lane(w.Peers.Live(), memberOf(g, fact.Primary))
	view.HolderSelf = holder.ID == w.Peers.Self().ID
	cause := Decide(view)
	if cause == CauseNone || now.Before(v.notBefore) {
		if v.misses > 0 && cause == CauseNone {
			w.counts.held.Inc()
		}
		return
	}
	p := &promotion{
		watcher: w,
		group:   g,
		rank:    rank,
		cause:   cause,
		old:     fact,
		known:   max(v.highest, fact.Term),
		timeout: w.timeout(v),
		noticed: now.Sub(v.since(cause, now)),
	}
	if p.run(ctx) {
		v.failures = 0
		if cause == CauseLane {
			v.laneAfter = time.Now().Add(laneHold)
		}
		return
	}
	v.highest = max(v.highest, p.known)
	v.failures++
	wait := min(retryBase<<min(v.failures, 6), retryMaximum)
	v.notBefore = time.Now().Add(w.jitter(wait))
}

func (v *watched) view(now time.Time, rank int, step time.Duration) View {
	return View{
		Now:          now,
		Rank:         rank,
		Step:         step,
		SilentSince:  v.silentSince,
		Misses:       v.misses,
		TimedOut:     v.timedOut,
		Holder:       v.holder,
		Witnesses:    v.witnesses,
		LaneSince:    v.laneSince,
		OrphanSince:  v.orphanSince,
		Unknown:      v.term == 0,
		StalledSince: v.progress.Since,
		UsualStall:   v.progress.Usual,
		LeavingSince: v.leavingSince,
	}
}

// since returns when the cause began.
func (v *watched) since(c Cause, now time.Time) time.Time {
	switch c {
	case CauseSilent:
		return v.silentSince
	case CauseLane:
		return v.laneSince
	case CauseOrphan:
		return v.orphanSince
	case CauseStalled:
		return v.progress.Since
	case CauseLeaving:
		return v.leavingSince
	default:
		return now
	}
}

func memberOf(g egret.Group, name string) egret.Member {
	if m := g.Member(name); m != nil {
		return *m
	}
	return egret.Member{}
}
