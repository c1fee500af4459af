package promo

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/place"
)

// answer is what a heartbeat brought.
type answer struct {
	state egret.MemberState
	err   error
}

// sights are what other proxies say.
type sights struct {
	holder    glance
	witnesses []Sight
}

// glance is what another proxy says, and the state of the primary if it reaches it.
type glance struct {
	sight Sight
	state egret.MemberState
}

// beat sends a heartbeat to the primary. If the answer takes long, others are asked meanwhile.
func (w *Watcher) beat(ctx context.Context, v *watched, g egret.Group, fact egret.GroupFact) {
	start := time.Now()
	primary := *g.Member(fact.Primary)
	ctx, cancel := context.WithTimeout(ctx, w.timeout(v))
	defer cancel()
	answers := make(chan answer, 1)
	go func() {
		ctx, cancel := patient(ctx, w.timeout(v))
		defer cancel()
		s, err := w.Control.Status(ctx, primary)
		answers <- answer{
			state: s,
			err:   err,
		}
	}()
	asked := make(chan sights, 1)
	ask := func() {
		go func() {
			asked <- w.ask(ctx, g, fact)
		}()
	}
	delay := time.NewTimer(askDelay)
	defer delay.Stop()
	a := answer{}
	late := false
	select {
	case a = <-answers:
	case <-delay.C:
		late = true
		ask()
		a = <-answers
	}
	if living(a.err) {
		w.answered(v, g, fact, a, time.Since(start))
		return
	}
	if !late {
		ask()
	}
	s := <-asked
	if ctx.Err() == context.Canceled {
		return
	}
	v.missed(start, ctx.Err() != nil, s)
	w.counts.misses.Inc()
}

// timeout returns the time that the members have to answer: many times what the primary usually takes.
func (w *Watcher) timeout(v *watched) time.Duration {
	return min(max(w.Timing.Timeout, slowFactor*v.latency), maxTimeout)
}

// living reports whether the error, or its absence, comes from a member that runs. One that refuses
// with an SQLSTATE of the classes for shutting down and starting doesn't serve.
func living(err error) bool {
	if err == nil {
		return true
	}
	var refusal interface {
		SQLState() string
	}
	if !errors.As(err, &refusal) {
		return false
	}
	return !strings.HasPrefix(refusal.SQLState(), "57")
}

// answered ends a suspicion.
func (w *Watcher) answered(v *watched, g egret.Group, fact egret.GroupFact, a answer, took time.Duration) {
	if v.misses > 0 {
		w.Log.Info().Str("group", g.Name).Str("member", fact.Primary).Msg("primary answers again")
	}
	v.misses = 0
	v.timedOut = false
	v.silentSince = time.Time{}
	v.witnesses = nil
	v.holder = SightNone
	v.latency = max(took, v.latency-v.latency/64)
	if a.err != nil {
		return
	}
	v.highest = max(v.highest, a.state.Granted)
	if a.state.Role == egret.RolePrimary && a.state.Granted > fact.Term {
		w.Peers.Announce(egret.GroupFact{
			Group:   g.Name,
			Term:    a.state.Granted,
			Primary: fact.Primary,
		})
	}
	if a.state.Role != egret.RolePrimary || a.state.Granted != fact.Term {
		v.nextMend = time.Time{}
		since(&v.orphanSince, true)
	}
	since(&v.leavingSince, a.state.Leaving || w.isLeaving(*g.Member(fact.Primary)))
}

func (v *watched) missed(start time.Time, timedOut bool, s sights) {
	if v.misses == 0 {
		v.silentSince = start
	}
	v.misses++
	v.timedOut = v.timedOut || timedOut
	v.holder = s.holder.sight
	v.told(s.holder)
	v.witnesses = s.witnesses
	v.laneSince = time.Time{}
}

// since sets a time when its reason begins and clears it when it ends.
func since(t *time.Time, holds bool) {
	switch {
	case !holds:
		*t = time.Time{}
	case t.IsZero():
		*t = time.Now()
	}
}

func (w *Watcher) isLeaving(m egret.Member) bool {
	return m.Leaving || w.Leaving != nil && w.Leaving(m.Name)
}

// ask asks the holder of the primary's lane and witnesses of other failure domains at once.
func (w *Watcher) ask(ctx context.Context, g egret.Group, fact egret.GroupFact) sights {
	live := w.Peers.Live()
	self := w.Peers.Self()
	holder, held := place.Lane(live, memberOf(g, fact.Primary))
	others := witnesses(live, self, holder, g.Name)
	s := sights{
		witnesses: make([]Sight, len(others)),
	}
	wg := sync.WaitGroup{}
	if held && holder.ID != self.ID {
		wg.Go(func() {
			s.holder = w.askOne(ctx, holder, fact)
		})
	}
	for i, n := range others {
		wg.Go(func() {
			s.witnesses[i] = w.askOne(ctx, n, fact).sight
		})
	}
	wg.Wait()
	return s
}

// witnesses returns up to two proxies of other failure domains, other watchers of the group first.
func witnesses(live []egret.Node, self, holder egret.Node, group string) []egret.Node {
	found := []egret.Node{}
	taken := map[string]bool{}
	add := func(nodes []egret.Node) {
		for _, n := range nodes {
			fits := n.Domain != self.Domain && n.ID != holder.ID && !taken[n.ID]
			if fits && len(found) < 2 {
				taken[n.ID] = true
				found = append(found, n)
			}
		}
	}
	add(place.Watchers(live, group))
	add(live)
	return found
}

func (w *Watcher) askOne(ctx context.Context, n egret.Node, fact egret.GroupFact) glance {
	if w.Ask == nil {
		return glance{}
	}
	state, err := w.Ask(ctx, n, fact.Group, fact.Primary)
	return glance{
		sight: sightOf(state, err, fact.Term),
		state: state,
	}
}

// told keeps the state of a primary that the holder of its lane reaches.
func (v *watched) told(g glance) {
	if g.sight == SightSeen {
		v.primary = g.state
	}
}

// askHolder looks at a primary that answers here through the holder of its lane, since callers
// reach it through that one only. The answer counts when it is there.
func (w *Watcher) askHolder(ctx context.Context, v *watched, g egret.Group, fact egret.GroupFact) {
	now := time.Now()
	if s, ok := v.holderLook.poll(); ok {
		v.heardHolder(s)
	}
	holder, held := place.Lane(w.Peers.Live(), memberOf(g, fact.Primary))
	if !held || holder.ID == w.Peers.Self().ID {
		v.laneSince = time.Time{}
		return
	}
	if v.misses > 0 || now.Before(v.nextHolder) || now.Before(v.laneAfter) {
		return
	}
	v.nextHolder = now.Add(holderInterval)
	timeout := w.timeout(v)
	if v.holderLook.idle() {
		v.asked = now
	}
	v.holderLook.start(func() glance {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return w.askOne(ctx, holder, fact)
	})
}

func (v *watched) heardHolder(g glance) {
	v.told(g)
	switch g.sight {
	case SightSeen:
		v.laneSince = time.Time{}
	case SightUnseen:
		if v.laneSince.IsZero() {
			v.laneSince = v.asked
		}
	}
}
