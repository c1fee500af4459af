package promo

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// Limits of a promotion's steps.
const (
	// catchUpTimeout is how long a member may take to receive the end of the previous primary's log.
	catchUpTimeout = time.Second

	// promoteAttempts is how often a member is asked to become primary. The call is idempotent.
	promoteAttempts = 2
)

// Steps at which a promotion may be abandoned, as label values.
const (
	stepPrecheck = "look"
	stepFence    = "fence"
	stepPromote  = "promote"
)

// promotion is one attempt to give a group a new primary.
type promotion struct {
	watcher *Watcher
	group   egret.Group
	rank    int
	cause   Cause

	// previous is the primary that the promotion supersedes.
	previous egret.GroupPrimary

	// highestTerm is the highest term that a member is known to have granted. Refusals raise it.
	highestTerm uint64

	// timeout is the timeout of a call to a member.
	timeout time.Duration

	// detectionTime is how long the cause had held when the promotion began.
	detectionTime time.Duration
}

// run checks the members, fences them, promotes one and announces it. It returns false if the promotion was abandoned,
// which leaves the group to the next attempt.
func (p *promotion) run(ctx context.Context) bool {
	w := p.watcher
	if !p.precheck(ctx) {
		w.metrics.abandoned.WithLabelValues(stepPrecheck).Inc()
		return false
	}
	term := NextTerm(p.highestTerm, p.rank)
	start := time.Now()
	fenced := p.fence(ctx, term)
	chosen, ok := Choose(p.group, fenced, p.shouldAvoid)
	if !ok {
		w.metrics.abandoned.WithLabelValues(stepFence).Inc()
		return false
	}
	fencedAt := time.Now()
	if !p.promote(ctx, chosen.Member, term) {
		w.metrics.abandoned.WithLabelValues(stepPromote).Inc()
		return false
	}
	promotedAt := time.Now()
	current := egret.GroupPrimary{
		Group:   p.group.Name,
		Term:    term,
		Primary: chosen.Member,
	}
	w.Peers.AnnouncePrimary(current)
	w.recordPromotion(current)
	w.metrics.promotions.WithLabelValues(string(p.cause)).Inc()
	w.Log.Warn().Str("group", p.group.Name).Str("member", chosen.Member).Uint64("term", term).
		Str("cause", string(p.cause)).Msg("promoted")
	w.follow(ctx, p.group, current, p.otherNames(chosen.Member), p.timeout, nil)
	w.metrics.observePhase(phaseDetect, p.detectionTime)
	w.metrics.observePhase(phaseFence, fencedAt.Sub(start))
	w.metrics.observePhase(phasePromote, promotedAt.Sub(fencedAt))
	w.metrics.observePhase(phaseNotify, time.Since(promotedAt))
	return true
}

// precheck asks all members for their state before any is fenced, and reports whether to go on. Without a majority
// nothing is fenced, since fenced members would stop following without a new primary. A primary that answers now isn't
// silent.
func (p *promotion) precheck(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, p.timeout+catchUpTimeout)
	defer cancel()
	calls := []func() (egret.MemberState, error){}
	for _, m := range p.group.Members {
		calls = append(calls, func() (egret.MemberState, error) {
			return p.watcher.Control.Status(ctx, m)
		})
	}
	states := collect(calls, majority(p.group), precheckGrace, nil)
	if len(states) < majority(p.group) {
		return false
	}
	a := Assess(p.group, p.previous, p.previous.Term > 0, states)
	p.highestTerm = max(p.highestTerm, a.HighestTerm)
	if a.PrimaryActive && a.Newest.Term > p.previous.Term {
		p.watcher.Peers.AnnouncePrimary(a.Newest)
		return false
	}
	alive := a.PrimaryActive && p.highestTerm == a.Newest.Term
	switch p.cause {
	case CauseSilent, CauseNoPrimary:
		return !alive
	case CauseLeaving:
		return !alive || p.hasSuccessor(ctx, states)
	default:
		return true
	}
}

// hasSuccessor reports whether another member receives the leaving primary's log up to its present end within
// catchUpTimeout, so that the group is without a primary for a moment only.
func (p *promotion) hasSuccessor(ctx context.Context, states []egret.MemberState) bool {
	last, answered := stateOf(states, p.previous.Primary)
	if !answered {
		return false
	}
	successors := []egret.Member{}
	for _, m := range p.otherMembers(p.previous.Primary) {
		s, ok := stateOf(states, m.Name)
		if ok && !s.Leaving && !p.watcher.isLeaving(m) {
			successors = append(successors, m)
		}
	}
	return p.catchUp(ctx, successors, last.Received)
}

// fence makes the members grant the term, and returns the states of those that did. A primary that hands over is fenced
// first, and the others have catchUpTimeout to receive the end of its log, so that not even unconfirmed writes are
// lost.
func (p *promotion) fence(ctx context.Context, term uint64) []egret.MemberState {
	ctx, cancel := context.WithTimeout(ctx, p.timeout+catchUpTimeout)
	defer cancel()
	members := p.group.Members
	fenced := []egret.MemberState{}
	switch p.cause {
	case CauseSilent:
		// A primary that doesn't answer isn't waited for.
		members = p.otherMembers(p.previous.Primary)
		go p.fencePrevious(context.WithoutCancel(ctx), term)
	case CauseLeaving, CauseLane:
		last, err := p.watcher.Control.Fence(ctx, memberOf(p.group, p.previous.Primary), term)
		if err != nil {
			p.recordRefusal(err)
			return nil
		}
		fenced = append(fenced, last)
		members = p.otherMembers(p.previous.Primary)
		p.catchUp(ctx, members, last.Received)
	}
	calls := []func() (egret.MemberState, error){}
	for _, m := range members {
		calls = append(calls, func() (egret.MemberState, error) {
			return p.watcher.Control.Fence(ctx, m, term)
		})
	}
	enough := majority(p.group) - len(fenced)
	return append(fenced, collect(calls, enough, fenceGrace, p.recordRefusal)...)
}

// fencePrevious fences the previous primary if it answers after all, so that it takes no more writes, which no other
// member would confirm.
func (p *promotion) fencePrevious(ctx context.Context, term uint64) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	_, _ = p.watcher.Control.Fence(ctx, memberOf(p.group, p.previous.Primary), term)
}

// recordRefusal takes in the granted term if the error is a refusal of a term.
func (p *promotion) recordRefusal(err error) {
	var refusal *egret.TermError
	if errors.As(err, &refusal) {
		p.watcher.metrics.refusals.Inc()
		p.highestTerm = max(p.highestTerm, refusal.Granted)
	}
}

// catchUp waits until one of the members has received the log up to the position. It returns false if none has within
// catchUpTimeout.
func (p *promotion) catchUp(ctx context.Context, members []egret.Member, end egret.Position) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	calls := []func() (egret.MemberState, error){}
	for _, m := range members {
		calls = append(calls, func() (egret.MemberState, error) {
			s, err := p.watcher.Control.AwaitPosition(ctx, m, end, catchUpTimeout)
			if err == nil && !s.Received.Reaches(end) {
				err = errors.Timeoutf("member %s: receipt of position %s", m.Name, end)
			}
			return s, err
		})
	}
	return len(collect(calls, 1, 0, nil)) > 0
}

// promote makes the member primary in the term. If its answer is lost, no other member may become primary in this term.
func (p *promotion) promote(ctx context.Context, member string, term uint64) bool {
	for range promoteAttempts {
		if p.promoteOnce(ctx, member, term) {
			return true
		}
	}
	return false
}

func (p *promotion) promoteOnce(ctx context.Context, member string, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	p.highestTerm = max(p.highestTerm, term)
	s, err := p.watcher.Control.Promote(ctx, memberOf(p.group, member), term)
	if err != nil {
		p.recordRefusal(err)
		return false
	}
	return s.Role == egret.RolePrimary && s.GrantedTerm == term
}

// shouldAvoid reports whether a member should not become primary: it is leaving, or it is the previous primary and the
// cause is one for which it is replaced even if it answers.
func (p *promotion) shouldAvoid(member string) bool {
	if (p.cause == CauseLeaving || p.cause == CauseLane || p.cause == CauseStalled) && member == p.previous.Primary {
		return true
	}
	return p.watcher.isLeaving(memberOf(p.group, member))
}

func (p *promotion) otherMembers(member string) []egret.Member {
	others := []egret.Member{}
	for _, m := range p.group.Members {
		if m.Name != member {
			others = append(others, m)
		}
	}
	return others
}

func (p *promotion) otherNames(member string) []string {
	names := []string{}
	for _, m := range p.otherMembers(member) {
		names = append(names, m.Name)
	}
	return names
}
