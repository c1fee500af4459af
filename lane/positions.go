package lane

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// positionTimeout bounds the requests of one look-up.
const positionTimeout = time.Second

// positionLookups looks up the ends of groups' logs. Concurrent calls for a group share look-ups:
// calls that arrive while a look-up is in progress share the next one, since their look-up must
// begin after they arrived.
type positionLookups struct {
	// mu guards groups.
	mu sync.Mutex

	// groups has the look-ups by group.
	groups map[string]*groupLookups
}

// groupLookups are the look-ups of one group.
type groupLookups struct {
	// next is the look-up that new calls share. It is nil if none is pending.
	next *lookup

	// running says that a goroutine runs look-ups of the group.
	running bool
}

type lookup struct {
	// done is closed when position and err are set.
	done chan struct{}

	position egret.Position
	err      error
}

// ConfirmedPosition implements egret.Positions.
func (m *Manager) ConfirmedPosition(ctx context.Context, group string) (egret.Position, error) {
	l := m.lookups.join(group, func() (egret.Position, error) {
		return m.groupPosition(group)
	})
	select {
	case <-l.done:
		return l.position, l.err
	case <-ctx.Done():
		return egret.Position{}, notRun(egret.ReasonMemberUnreachable, "group %s: time ran out looking up its position", group)
	}
}

// join returns the next look-up of the group, and starts it if none is in progress.
func (p *positionLookups) join(group string, lookUp func() (egret.Position, error)) *lookup {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.groups == nil {
		p.groups = map[string]*groupLookups{}
	}
	g, found := p.groups[group]
	if !found {
		g = &groupLookups{}
		p.groups[group] = g
	}
	if g.next == nil {
		g.next = &lookup{
			done: make(chan struct{}),
		}
	}
	joined := g.next
	if !g.running {
		g.running = true
		go p.run(g, lookUp)
	}
	return joined
}

// run runs look-ups until none is pending.
func (p *positionLookups) run(g *groupLookups, lookUp func() (egret.Position, error)) {
	for {
		p.mu.Lock()
		l := g.next
		g.next = nil
		g.running = l != nil
		p.mu.Unlock()
		if l == nil {
			return
		}
		l.position, l.err = lookUp()
		close(l.done)
	}
}

// groupPosition asks all members of a group for their states, and returns the end of the primary's
// log once the primary and enough others to make up a majority have answered. If none of them has
// granted a later term, no later primary had been promoted when the look-up began.
func (m *Manager) groupPosition(group string) (egret.Position, error) {
	current, found := m.Peers.Primary(group)
	g := groupOf(m.Peers.TablesInForce(), group)
	if !found || g == nil || g.Member(current.Primary) == nil {
		return egret.Position{}, notRun(egret.ReasonNotPrimary, "the primary of group %s is not known", group)
	}
	states := m.askMembers(g)
	needed := len(g.Members)/2 + 1
	position := egret.Position{}
	primaryAnswered := false
	for s := range states {
		switch {
		case s.err != nil:
			continue
		case s.state.GrantedTerm > current.Term:
			return egret.Position{}, notRun(egret.ReasonNotPrimary, "group %s has a later term than %d", group, current.Term)
		case s.member == current.Primary && s.state.Role != egret.RolePrimary:
			return egret.Position{}, notRun(egret.ReasonNotPrimary, "member %s is not primary", s.member)
		case s.member == current.Primary:
			position = s.state.Received
			primaryAnswered = true
		}
		needed--
		if needed <= 0 && primaryAnswered {
			return position, nil
		}
	}
	return egret.Position{}, notRun(egret.ReasonMemberUnreachable, "no majority of group %s has confirmed its position", group)
}

// memberAnswer is a member's state or the error of the request for it.
type memberAnswer struct {
	member string
	state  egret.MemberState
	err    error
}

// askMembers requests the states of all members of a group concurrently. The channel is closed
// after the last answer.
func (m *Manager) askMembers(g *egret.Group) <-chan memberAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), positionTimeout)
	answers := make(chan memberAnswer, len(g.Members))
	requests := sync.WaitGroup{}
	for _, target := range g.Members {
		requests.Go(func() {
			state, err := m.Control.Status(ctx, target)
			answers <- memberAnswer{
				member: target.Name,
				state:  state,
				err:    errors.Trace(err),
			}
		})
	}
	go func() {
		requests.Wait()
		cancel()
		close(answers)
	}()
	return answers
}

func groupOf(t *egret.Tables, name string) *egret.Group {
	if t == nil {
		return nil
	}
	for _, p := range t.Pools {
		for i := range p.Groups {
			if p.Groups[i].Name == name {
				return &p.Groups[i]
			}
		}
	}
	return nil
}
