package lane

import (
	"context"
	"sync"
	"time"

	"egretlane.example/egret"
)

const (
	// heartbeatInterval is the interval between heartbeats of a member that is in use or doesn't
	// answer.
	heartbeatInterval = 250 * time.Millisecond

	// idleHeartbeatInterval is the interval between heartbeats of other members.
	idleHeartbeatInterval = time.Second

	// inUsePeriod is how long a member counts as in use after a transaction has begun, even if the
	// transaction ends earlier.
	inUsePeriod = 2 * time.Second

	// replyStateMaxAge is the age up to which a state that came with a statement's reply replaces a
	// heartbeat.
	replyStateMaxAge = 200 * time.Millisecond

	// heartbeatTimeout bounds the requests of one heartbeat, and other requests for a member's
	// state.
	heartbeatTimeout = 600 * time.Millisecond

	// primaryStateMaxAge is the maximum age of a known state that may show that the member is
	// primary, before a write. If the state is older, the member is asked again.
	primaryStateMaxAge = 2 * time.Second
)

// runHeartbeats requests the state of the member, and of the primary if that is another member, at
// intervals until the lane is stopped.
func (l *lane) runHeartbeats() {
	for l.ctx.Err() == nil {
		began := time.Now()
		l.sendHeartbeats()
		select {
		case <-time.After(l.heartbeatPeriod() - time.Since(began)):
		case <-l.heartbeatWake:
		case <-l.ctx.Done():
		}
	}
}

// markUsed records that a transaction begins. If the member wasn't in use, the next heartbeat is
// sent at once. The caller holds mu.
func (l *lane) markUsed(now time.Time) {
	if !l.inUse(now) {
		select {
		case l.heartbeatWake <- struct{}{}:
		default:
		}
	}
	l.lastBegin = now
}

// heartbeatPeriod returns the current interval between heartbeats.
func (l *lane) heartbeatPeriod() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inUse(time.Now()) || l.missedHeartbeats > 0 {
		return heartbeatInterval
	}
	return idleHeartbeatInterval
}

// inUse reports whether transactions run or have begun within inUsePeriod. The caller holds mu.
func (l *lane) inUse(now time.Time) bool {
	return l.runningStatements > 0 || l.queue.HeldConns() > 0 || now.Sub(l.lastBegin) < inUsePeriod
}

func (l *lane) sendHeartbeats() {
	ctx, cancel := context.WithTimeout(l.ctx, heartbeatTimeout)
	defer cancel()
	requests := sync.WaitGroup{}
	if p := l.otherPrimary(); p != nil {
		requests.Go(func() {
			l.samplePrimary(ctx, *p)
		})
	}
	l.sampleMember(ctx)
	requests.Wait()
	l.cleanUp(time.Now())
}

// cleanUp closes connections that were idle for too long, and refuses queued transactions if the
// lane takes no new ones.
func (l *lane) cleanUp(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeIdle(now.Add(-idleTimeout), closedIdle)
	if f := l.refusal(now); f != nil {
		l.refuse(l.queue.DrainInitial(), f)
	}
	l.updateGauges()
}

// otherPrimary returns the group's primary, or nil if it is this member or unknown.
func (l *lane) otherPrimary() *egret.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.Role == egret.RolePrimary {
		return nil
	}
	current, found := l.manager.Peers.Primary(l.settings.group.Name)
	if !found || current.Primary == l.name {
		return nil
	}
	return l.settings.group.Member(current.Primary)
}

// samplePrimary records the primary's position for estimates of this member's lag.
func (l *lane) samplePrimary(ctx context.Context, m egret.Member) {
	requestedAt := time.Now()
	state, err := l.manager.Control.Status(ctx, m)
	if err != nil || state.Role != egret.RolePrimary {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ages.add(sample{
		requestedAt: requestedAt,
		position:    state.Received,
	})
}

// sampleMember sends the heartbeat to the member, unless a fresh state is known.
func (l *lane) sampleMember(ctx context.Context) {
	requestedAt := time.Now()
	if l.hasFreshState(requestedAt) {
		return
	}
	state, err := l.manager.Control.Status(ctx, l.member())
	if err == nil {
		l.updateState(state)
		l.closeUnansweredReads(state, requestedAt)
		return
	}
	if l.ctx.Err() == nil && l.recordMiss() {
		l.closeUnansweredReads(egret.MemberState{}, requestedAt)
	}
}

// recordMiss counts a heartbeat without an answer, and reports whether the member counts as
// unreachable.
func (l *lane) recordMiss() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missedHeartbeats++
	if l.missedHeartbeats == missedHeartbeatLimit {
		l.manager.logChange(l.name, "member gives no answer")
	}
	return l.unreachable()
}

// recordAnswer resets the count of missed heartbeats.
func (l *lane) recordAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable() {
		l.manager.logChange(l.name, "member answers again")
	}
	l.missedHeartbeats = 0
}

// hasFreshState reports whether a state came with a reply recently enough to skip the heartbeat.
// While a statement's reply is outstanding for long, the heartbeat is needed to find out why.
func (l *lane) hasFreshState(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.active {
		if c.replyTimer.elapsed(now) > lostReplyTimeout/2 {
			return false
		}
	}
	return now.Sub(l.state.SampledAt) < replyStateMaxAge
}

// updateState stores a state of the member, unless a later one is known.
func (l *lane) updateState(state egret.MemberState) {
	l.recordAnswer()
	l.mu.Lock()
	defer l.mu.Unlock()
	if state.SampledAt.After(l.state.SampledAt) {
		l.state = state
	}
}

// primaryTerm returns the term in which the member is primary. If the known state is too old or is
// not that of a primary, the member is asked again, so that a new primary takes writes as soon as
// it is promoted.
func (l *lane) primaryTerm(ctx context.Context) (uint64, *egret.Failure) {
	l.mu.Lock()
	state := l.state
	l.mu.Unlock()
	if state.Role != egret.RolePrimary || time.Since(state.SampledAt) > primaryStateMaxAge {
		ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		current, err := l.manager.Control.Status(ctx, l.member())
		if err != nil {
			return 0, notRun(egret.ReasonMemberUnreachable, "member %s gives no answer: %v", l.name, err)
		}
		l.updateState(current)
		state = current
	}
	if state.Role != egret.RolePrimary {
		return 0, notRun(egret.ReasonNotPrimary, "member %s is not primary", l.name)
	}
	return state.GrantedTerm, nil
}

// staleReadFailure refuses a read if the member's data may be older than the read accepts. The
// primary's data has no age.
func (l *lane) staleReadFailure(o egret.TransactionOptions, begun bool) *egret.Failure {
	if o.MaxAge <= 0 || begun {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.Role == egret.RolePrimary {
		return nil
	}
	age := l.ages.maxAge(l.state, time.Now())
	if age < 0 || age > o.MaxAge {
		return notRun(egret.ReasonFloor, "member %s: data may be older than %s", l.name, o.MaxAge)
	}
	return nil
}
