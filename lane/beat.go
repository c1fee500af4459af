package lane

import (
	"context"
	"sync"
	"time"

	"egretlane.example/egret"
)

const (
	// beatInterval is the time between two heartbeats of a member that is in use or gives no answer.
	beatInterval = 250 * time.Millisecond

	// idleBeat is the time between two heartbeats of other members.
	idleBeat = time.Second

	// idleAfter is the time after which a member without transactions isn't in use.
	idleAfter = 2 * time.Second

	// replyFresh is the age up to which a state that came with an answer spares a heartbeat.
	replyFresh = 200 * time.Millisecond

	// beatWait bounds a heartbeat.
	beatWait = 600 * time.Millisecond

	// freshState is how old a state may be that writes rely on to find the primary.
	freshState = 2 * time.Second
)

// beat asks the member, and the primary if that is another one, for their states until the lane is
// stopped.
func (l *lane) beat() {
	for l.ctx.Err() == nil {
		began := time.Now()
		l.beatOnce()
		select {
		case <-time.After(l.beatEvery() - time.Since(began)):
		case <-l.stirred:
		case <-l.ctx.Done():
		}
	}
}

// stir notes that a transaction begins. The heartbeats of a member that wasn't in use speed up at
// once. The caller has mu.
func (l *lane) stir(now time.Time) {
	if !l.inUse(now) {
		select {
		case l.stirred <- struct{}{}:
		default:
		}
	}
	l.used = now
}

// beatEvery returns the time between two heartbeats.
func (l *lane) beatEvery() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inUse(time.Now()) || l.missed > 0 {
		return beatInterval
	}
	return idleBeat
}

// inUse reports whether transactions run or have begun of late. The caller has mu.
func (l *lane) inUse(now time.Time) bool {
	return l.running > 0 || l.queue.Lent() > 0 || now.Sub(l.used) < idleAfter
}

func (l *lane) beatOnce() {
	ctx, cancel := context.WithTimeout(l.ctx, beatWait)
	defer cancel()
	asks := sync.WaitGroup{}
	if p := l.primary(); p != nil {
		asks.Go(func() {
			l.samplePrimary(ctx, *p)
		})
	}
	l.sampleMember(ctx)
	asks.Wait()
	l.tend(time.Now())
}

// tend drops connections that are unused for long, and refuses what waits in vain.
func (l *lane) tend(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropIdle(now.Add(-idleLimit), closedIdle)
	if f := l.refusal(now); f != nil {
		l.refuse(l.queue.Fresh(), f)
	}
	l.gauge()
}

// primary returns the group's primary if that is another member.
func (l *lane) primary() *egret.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.Role == egret.RolePrimary {
		return nil
	}
	fact, found := l.holder.Peers.Primary(l.settings.group.Name)
	if !found || fact.Primary == l.name {
		return nil
	}
	return l.settings.group.Member(fact.Primary)
}

// samplePrimary takes a sample of the primary's position.
func (l *lane) samplePrimary(ctx context.Context, m egret.Member) {
	asked := time.Now()
	state, err := l.holder.Control.Status(ctx, m)
	if err != nil || state.Role != egret.RolePrimary {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ages.add(sample{
		asked:    asked,
		position: state.Received,
	})
}

// sampleMember takes the member's heartbeat.
func (l *lane) sampleMember(ctx context.Context) {
	asked := time.Now()
	if l.sparesBeat(asked) {
		return
	}
	state, err := l.holder.Control.Status(ctx, l.member())
	if err == nil {
		l.note(state)
		l.cutSilentReads(state, asked)
		return
	}
	if l.ctx.Err() == nil && l.miss() {
		l.cutSilentReads(egret.MemberState{}, asked)
	}
}

// miss counts a heartbeat without an answer, and reports whether there were too many.
func (l *lane) miss() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missed++
	if l.missed == missedBeats {
		l.holder.note(l.name, "member gives no answer")
	}
	return l.unreachable()
}

// answered notes that the member answers.
func (l *lane) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable() {
		l.holder.note(l.name, "member answers again")
	}
	l.missed = 0
}

// sparesBeat reports whether a state came with an answer just now. If an answer is missing, the
// heartbeat is needed to find out why.
func (l *lane) sparesBeat(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.active {
		if c.silence.at(now) > silentWait/2 {
			return false
		}
	}
	return now.Sub(l.state.Sampled) < replyFresh
}

// note takes over a state of the member, unless a later one is known.
func (l *lane) note(state egret.MemberState) {
	l.answered()
	l.mu.Lock()
	defer l.mu.Unlock()
	if state.Sampled.After(l.state.Sampled) {
		l.state = state
	}
}

// primaryTerm returns the term in which the member is primary. A state that is old or says
// otherwise is asked for anew, so that a primary takes writes as soon as it was promoted.
func (l *lane) primaryTerm(ctx context.Context) (uint64, *egret.Failure) {
	l.mu.Lock()
	state := l.state
	l.mu.Unlock()
	if state.Role != egret.RolePrimary || time.Since(state.Sampled) > freshState {
		ctx, cancel := context.WithTimeout(ctx, beatWait)
		defer cancel()
		asked, err := l.holder.Control.Status(ctx, l.member())
		if err != nil {
			return 0, notRun(egret.ReasonMember, "member %s gives no answer: %v", l.name, err)
		}
		l.note(asked)
		state = asked
	}
	if state.Role != egret.RolePrimary {
		return 0, notRun(egret.ReasonNotPrimary, "member %s is not primary", l.name)
	}
	return state.Granted, nil
}

// tooOld refuses a read whose data may be older than it accepts. The primary's data has no age.
func (l *lane) tooOld(o egret.Opening, begun bool) *egret.Failure {
	if o.MaxAge <= 0 || begun {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.Role == egret.RolePrimary {
		return nil
	}
	age := l.ages.bound(l.state, time.Now())
	if age < 0 || age > o.MaxAge {
		return notRun(egret.ReasonFloor, "member %s: data may be older than %s", l.name, o.MaxAge)
	}
	return nil
}
