package lane

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// positionWait bounds a look-up of a group's position.
const positionWait = time.Second

// positions looks up where groups' logs end. Calls for a group share look-ups: those that come
// while one is under way get the next one, since theirs must begin after they came.
type positions struct {
	// mu guards groups.
	mu sync.Mutex

	// groups has the look-ups of each group.
	groups map[string]*lookups
}

// lookups are the look-ups of one group.
type lookups struct {
	// next is the look-up that new calls join. It is nil if none is waiting to begin.
	next *lookup

	// busy says that a look-up is under way.
	busy bool
}

// lookup is one look-up.
type lookup struct {
	// done is closed when position and err are set.
	done chan struct{}

	position egret.Position
	err      error
}

// Confirm implements egret.Positions.
func (h *Holder) Confirm(ctx context.Context, group string) (egret.Position, error) {
	l := h.positions.join(group, func() (egret.Position, error) {
		return h.lookUp(group)
	})
	select {
	case <-l.done:
		return l.position, l.err
	case <-ctx.Done():
		return egret.Position{}, notRun(egret.ReasonMember, "group %s: time ran out looking up its position", group)
	}
}

// join returns the look-up that begins next.
func (p *positions) join(group string, look func() (egret.Position, error)) *lookup {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.groups == nil {
		p.groups = map[string]*lookups{}
	}
	g, found := p.groups[group]
	if !found {
		g = &lookups{}
		p.groups[group] = g
	}
	if g.next == nil {
		g.next = &lookup{
			done: make(chan struct{}),
		}
	}
	joined := g.next
	if !g.busy {
		g.busy = true
		go p.serve(g, look)
	}
	return joined
}

// serve runs look-ups until no call waits for one.
func (p *positions) serve(g *lookups, look func() (egret.Position, error)) {
	for {
		p.mu.Lock()
		l := g.next
		g.next = nil
		g.busy = l != nil
		p.mu.Unlock()
		if l == nil {
			return
		}
		l.position, l.err = look()
		close(l.done)
	}
}

// lookUp asks the primary for the end of its log, and as many other members as make up a majority
// whether they have granted a later term. If they have not, then no later primary had been promoted
// when the look-up began.
func (h *Holder) lookUp(group string) (egret.Position, error) {
	fact, found := h.Peers.Primary(group)
	g := groupOf(h.Peers.TablesNow(), group)
	if !found || g == nil || g.Member(fact.Primary) == nil {
		return egret.Position{}, notRun(egret.ReasonNotPrimary, "the primary of group %s is not known", group)
	}
	states := h.askAll(g)
	lacking := len(g.Members)/2 + 1
	position := egret.Position{}
	led := false
	for s := range states {
		switch {
		case s.err != nil:
			continue
		case s.state.Granted > fact.Term:
			return egret.Position{}, notRun(egret.ReasonNotPrimary, "group %s has a later term than %d", group, fact.Term)
		case s.member == fact.Primary && s.state.Role != egret.RolePrimary:
			return egret.Position{}, notRun(egret.ReasonNotPrimary, "member %s is not primary", s.member)
		case s.member == fact.Primary:
			position = s.state.Received
			led = true
		}
		lacking--
		if lacking <= 0 && led {
			return position, nil
		}
	}
	return egret.Position{}, notRun(egret.ReasonMember, "no majority of group %s has confirmed its position", group)
}

// answer is a member's answer, or none.
type answer struct {
	member string
	state  egret.MemberState
	err    error
}

// askAll asks all members of a group at once. The channel is closed after the last answer.
func (h *Holder) askAll(g *egret.Group) <-chan answer {
	ctx, cancel := context.WithTimeout(context.Background(), positionWait)
	answers := make(chan answer, len(g.Members))
	asks := sync.WaitGroup{}
	for _, m := range g.Members {
		asks.Go(func() {
			state, err := h.Control.Status(ctx, m)
			answers <- answer{
				member: m.Name,
				state:  state,
				err:    errors.Trace(err),
			}
		})
	}
	go func() {
		asks.Wait()
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
