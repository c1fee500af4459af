package group

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/sched"
)

const (
	// statusTimeout bounds a member's answer about its state, which waits for a slot.
	statusTimeout = 700 * time.Millisecond

	// firstPatience is how long the lane waits for a primary to show up before it promotes a
	// replica of a service whose primary it has never seen.
	firstPatience = time.Second

	// lostChecks is how many checks in a row the primary fails before it is replaced.
	lostChecks = 2

	// demoteTimeout bounds the demotion of a former primary.
	demoteTimeout = 500 * time.Millisecond
)

// report is what a member said when it was asked for its state.
type report struct {
	member *member
	id     string
	status egret.BackendStatus
	err    error
}

// lead looks after the primary: finds it, replaces it, and demotes former ones. Only Run calls it.
func (l *Lane) lead(ctx context.Context) {
	l.demoteSuperseded(ctx)
	l.mu.Lock()
	led, primary := l.led, l.members[l.primary]
	now := clock.Now()
	leaving, lost := false, false
	if primary != nil {
		leaving = primary.backend.Draining || primary.missing != 0 && now.Sub(primary.missing) > goneAfter
		lost = primary.down && primary.downs >= lostChecks
	}
	l.mu.Unlock()
	switch {
	case !led:
		l.find(ctx)
	case primary == nil || lost:
		l.replace(ctx, "the primary can't be reached")
	case leaving:
		l.hand(ctx)
	}
}

// find looks for the primary after the service was taken over.
func (l *Lane) find(ctx context.Context) {
	began := clock.Now()
	recorded := l.Holding.Primary()
	for ctx.Err() == nil && l.Holding.Valid() {
		reports := l.ask(ctx)
		best := -1
		for i, r := range reports {
			if r.err != nil || r.status.Role != egret.RolePrimary || recorded != "" && r.id != recorded {
				continue
			}
			if best < 0 || r.status.Term > reports[best].status.Term {
				best = i
			}
		}
		if best >= 0 {
			l.adopt(reports[best], began, "found")
			return
		}
		if len(reports) > 0 && l.hopeless(reports, recorded, clock.Since(began)) {
			l.replace(ctx, "no primary was found")
			return
		}
		l.pause(ctx, leadInterval/2)
	}
}

// hopeless reports whether no primary is going to show up by itself.
func (l *Lane) hopeless(reports []report, recorded string, waited time.Duration) bool {
	for _, r := range reports {
		if recorded != "" && r.id == recorded {
			// It answers and is no primary, so its promotion was never carried out; or it can't be
			// reached, which a second check confirms.
			return r.err == nil || waited > firstPatience/2
		}
	}
	return waited > firstPatience
}

// ask asks all members for their state, each on a connection that it keeps.
func (l *Lane) ask(ctx context.Context) []report {
	l.mu.Lock()
	members := []*member{}
	for _, m := range l.members {
		members = append(members, m)
	}
	l.mu.Unlock()
	reports := make([]report, len(members))
	wg := sync.WaitGroup{}
	for i, m := range members {
		wg.Go(func() {
			reports[i] = l.askMember(ctx, m)
		})
	}
	wg.Wait()
	return reports
}

func (l *Lane) askMember(ctx context.Context, m *member) report {
	l.mu.Lock()
	m.reserved++
	r := report{
		member: m,
		id:     m.backend.ID,
	}
	l.mu.Unlock()
	c, err := l.take(ctx, m, sched.NeedMember, nil)
	if err != nil {
		r.err = err
		l.unconnected(m, err)
		return r
	}
	asked := clock.Now()
	r.status, r.err = c.backend.Status(time.Now().Add(statusTimeout))
	if r.err != nil {
		l.discard(c)
		refused := &egret.RefusedError{}
		if !errors.As(r.err, &refused) {
			l.mu.Lock()
			m.unheard(asked)
			l.check(m)
			l.mu.Unlock()
		}
		return r
	}
	l.answered(m, egret.Position{})
	l.give(c)
	return r
}

// adopt takes a member for the primary, from its answer on.
func (l *Lane) adopt(r report, began clock.Time, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history.Reset(r.status.Term, r.status.Received)
	l.primary = r.id
	l.known = true
	l.led = true
	r.member.view.Position = r.status.Received
	delete(l.superseded, r.id)
	l.Trail.Event("primary-adopted").Str("service", l.Service).Str("member", r.id).Str("how", how).
		Uint64("term", r.status.Term).Str("position", r.status.Received.String()).Uint64("token", l.Holding.Token()).
		Dur("elapsed", clock.Since(began)).Msg("the service has a primary")
	l.dispatch()
}

// demoted acts on a member that refuses writes though it was taken for the primary.
func (l *Lane) demoted(m *member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.led && l.primary == m.backend.ID {
		l.led = false
		l.Trail.Event("primary-refused").Str("service", l.Service).Str("member", m.backend.ID).Msg("the primary takes no writes")
		l.wake()
	}
}

// demoteSuperseded tells former primaries that can be reached to become replicas.
func (l *Lane) demoteSuperseded(ctx context.Context) {
	l.mu.Lock()
	targets := []*member{}
	term := l.history.Term()
	for id := range l.superseded {
		m := l.members[id]
		if m == nil {
			delete(l.superseded, id)
			continue
		}
		if !m.down && l.led {
			targets = append(targets, m)
		}
	}
	l.mu.Unlock()
	for _, m := range targets {
		l.demote(ctx, m, term)
	}
}

func (l *Lane) demote(ctx context.Context, m *member, term uint64) {
	l.mu.Lock()
	m.reserved++
	id := m.backend.ID
	l.mu.Unlock()
	c, err := l.take(ctx, m, sched.NeedMember, nil)
	if err != nil {
		l.unconnected(m, err)
		return
	}
	answers, err := c.backend.Exchange(time.Now().Add(demoteTimeout), []egret.Command{{
		Kind: egret.CommandDemote,
		Term: term,
	}})
	if err != nil {
		l.discard(c)
		return
	}
	l.give(c)
	if answers[0].Fault.Kind != egret.FaultNone {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.superseded, id)
	m.view.Position = egret.Position{}
	l.Trail.Event("member-demoted").Str("service", l.Service).Str("member", id).Uint64("term", term).Msg("the former primary follows")
	l.dispatch()
}

func (l *Lane) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-l.done:
	case <-time.After(d):
	}
}
