package promo

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// Timeouts of a promotion's steps.
const (
	catchUpTimeout = time.Second

	// promoteTries is how often a member is asked to lead. The call is idempotent.
	promoteTries = 2
)

// Steps at which a promotion may be given up.
const (
	stepLook    = "look"
	stepFence   = "fence"
	stepPromote = "promote"
)

// promotion is one attempt to give a group a new primary.
type promotion struct {
	watcher *Watcher
	group   egret.Group
	rank    int
	cause   Cause

	// old is the fact that the promotion ends.
	old egret.GroupFact

	// known is the highest term known to be granted. Refusals raise it.
	known uint64

	// timeout bounds a call to a member.
	timeout time.Duration

	// noticed is how long the cause had held.
	noticed time.Duration
}

// run looks, fences, promotes and tells. It returns false if it was given up, which leaves the
// group to the next attempt.
func (p *promotion) run(ctx context.Context) bool {
	w := p.watcher
	if !p.look(ctx) {
		w.counts.failed.WithLabelValues(stepLook).Inc()
		return false
	}
	term := NextTerm(p.known, p.rank)
	start := time.Now()
	fenced := p.fence(ctx, term)
	chosen, ok := Choose(p.group, fenced, p.avoids)
	if !ok {
		w.counts.failed.WithLabelValues(stepFence).Inc()
		return false
	}
	fencedAt := time.Now()
	if !p.promote(ctx, chosen.Member, term) {
		w.counts.failed.WithLabelValues(stepPromote).Inc()
		return false
	}
	promotedAt := time.Now()
	lead := egret.GroupFact{
		Group:   p.group.Name,
		Term:    term,
		Primary: chosen.Member,
	}
	w.Peers.Announce(lead)
	w.note(lead)
	w.counts.promotions.WithLabelValues(string(p.cause)).Inc()
	w.Log.Warn().Str("group", p.group.Name).Str("member", chosen.Member).Uint64("term", term).
		Str("cause", string(p.cause)).Msg("promoted")
	w.follow(ctx, p.group, lead, p.others(chosen.Member), p.timeout, nil)
	w.counts.took(partNotice, p.noticed)
	w.counts.took(partFence, fencedAt.Sub(start))
	w.counts.took(partPromote, promotedAt.Sub(fencedAt))
	w.counts.took(partTell, time.Since(promotedAt))
	return true
}

// look asks all members before any is fenced. Without a majority nothing is fenced, since fenced
// members would only stop to follow. A primary that answers now isn't silent.
func (p *promotion) look(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, p.timeout+catchUpTimeout)
	defer cancel()
	calls := []func() (egret.MemberState, error){}
	for _, m := range p.group.Members {
		calls = append(calls, func() (egret.MemberState, error) {
			return p.watcher.Control.Status(ctx, m)
		})
	}
	states := collect(calls, majority(p.group), lookGrace, nil)
	if len(states) < majority(p.group) {
		return false
	}
	f := Examine(p.group, p.old, p.old.Term > 0, states)
	p.known = max(p.known, f.Highest)
	if f.Leads && f.Lead.Term > p.old.Term {
		p.watcher.Peers.Announce(f.Lead)
		return false
	}
	alive := f.Leads && p.known == f.Lead.Term
	switch p.cause {
	case CauseSilent, CauseOrphan:
		return !alive
	case CauseLeaving:
		return !alive || p.hasHeir(ctx, states)
	default:
		return true
	}
}

// hasHeir reports whether another member is about as far as a leaving primary, so that the group is
// without a primary for a moment only.
func (p *promotion) hasHeir(ctx context.Context, states []egret.MemberState) bool {
	last, answered := stateOf(states, p.old.Primary)
	if !answered {
		return false
	}
	heirs := []egret.Member{}
	for _, m := range p.rest(p.old.Primary) {
		s, ok := stateOf(states, m.Name)
		if ok && !s.Leaving && !p.watcher.isLeaving(m) {
			heirs = append(heirs, m)
		}
	}
	return p.catchUp(ctx, heirs, last.Received)
}

// fence makes the members grant the term. A primary that is to hand over goes first, and the others
// get the time to receive the end of its log, so that not even unconfirmed writes are lost.
func (p *promotion) fence(ctx context.Context, term uint64) []egret.MemberState {
	ctx, cancel := context.WithTimeout(ctx, p.timeout+catchUpTimeout)
	defer cancel()
	members := p.group.Members
	fenced := []egret.MemberState{}
	switch p.cause {
	case CauseSilent:
		// A silent primary isn't waited for.
		members = p.rest(p.old.Primary)
		go p.fenceSilent(context.WithoutCancel(ctx), term)
	case CauseLeaving, CauseLane:
		last, err := p.watcher.Control.Fence(ctx, memberOf(p.group, p.old.Primary), term)
		if err != nil {
			p.refused(err)
			return nil
		}
		fenced = append(fenced, last)
		members = p.rest(p.old.Primary)
		p.catchUp(ctx, members, last.Received)
	}
	calls := []func() (egret.MemberState, error){}
	for _, m := range members {
		calls = append(calls, func() (egret.MemberState, error) {
			return p.watcher.Control.Fence(ctx, m, term)
		})
	}
	enough := majority(p.group) - len(fenced)
	return append(fenced, collect(calls, enough, fenceGrace, p.refused)...)
}

// fenceSilent fences the primary if it answers after all, so that it stops to take writes that
// nobody will confirm.
func (p *promotion) fenceSilent(ctx context.Context, term uint64) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	_, _ = p.watcher.Control.Fence(ctx, memberOf(p.group, p.old.Primary), term)
}

// refused learns the term from a refusal.
func (p *promotion) refused(err error) {
	var refusal *egret.TermError
	if errors.As(err, &refusal) {
		p.watcher.counts.refusals.Inc()
		p.known = max(p.known, refusal.Granted)
	}
}

// catchUp waits until one of the members has received the position. It returns false if none has in
// time.
func (p *promotion) catchUp(ctx context.Context, members []egret.Member, end egret.Position) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	calls := []func() (egret.MemberState, error){}
	for _, m := range members {
		calls = append(calls, func() (egret.MemberState, error) {
			s, err := p.watcher.Control.Await(ctx, m, end, catchUpTimeout)
			if err == nil && !s.Received.Reaches(end) {
				err = errors.Timeoutf("member %s at %s", m.Name, end)
			}
			return s, err
		})
	}
	return len(collect(calls, 1, 0, nil)) > 0
}

// promote makes the member lead. If its answer is lost, nobody else may lead in this term.
func (p *promotion) promote(ctx context.Context, member string, term uint64) bool {
	for range promoteTries {
		if p.promoteOnce(ctx, member, term) {
			return true
		}
	}
	return false
}

func (p *promotion) promoteOnce(ctx context.Context, member string, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	p.known = max(p.known, term)
	s, err := p.watcher.Control.Promote(ctx, memberOf(p.group, member), term)
	if err != nil {
		p.refused(err)
		return false
	}
	return s.Role == egret.RolePrimary && s.Granted == term
}

// avoids reports whether a member should not lead: it leaves, or it is to hand over.
func (p *promotion) avoids(member string) bool {
	if (p.cause == CauseLeaving || p.cause == CauseLane || p.cause == CauseStalled) && member == p.old.Primary {
		return true
	}
	return p.watcher.isLeaving(memberOf(p.group, member))
}

func (p *promotion) rest(member string) []egret.Member {
	rest := []egret.Member{}
	for _, m := range p.group.Members {
		if m.Name != member {
			rest = append(rest, m)
		}
	}
	return rest
}

func (p *promotion) others(member string) []string {
	names := []string{}
	for _, m := range p.rest(member) {
		names = append(names, m.Name)
	}
	return names
}
