package member

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// Control implements egret.Control on kept connections.
//
// Each member has at most one for each use, and for moments a second one: a connection that gives no
// answer in time is replaced while it is still awaited. A call that ends with its context leaves its
// question to run on, so that a caller in a hurry doesn't cost the others their connection.
type Control struct {
	// Dialer opens the connections.
	Dialer *Dialer

	// mu guards the fields below.
	mu sync.Mutex

	// ctx ends all questions. It is nil before the first.
	ctx context.Context

	// stop ends ctx.
	stop context.CancelFunc

	// links has one link for each key in use.
	links map[linkKey]*link
}

var _ egret.Control = (*Control)(nil)

// linkKey tells links apart.
type linkKey struct {
	address netip.AddrPort
	use     use
}

// use says what a link is for. Questions that the member may wait with don't hold up the others.
type use int

const (
	// useState is for questions that are answered at once.
	useState use = iota

	// useAwait is for waits for the member's log.
	useAwait

	// useRequire is for waits for what the member's reads see.
	useRequire
)

// Status implements egret.Control. Calls that come while the member is being asked share the next
// question.
func (c *Control) Status(ctx context.Context, m egret.Member) (egret.MemberState, error) {
	return c.call(ctx, m, request{
		query:      StatusQuery,
		use:        useState,
		idempotent: true,
		shared:     true,
	})
}

// Fence implements egret.Control. Once the member is asked, it may grant the term although the call
// fails.
func (c *Control) Fence(ctx context.Context, m egret.Member, term uint64) (egret.MemberState, error) {
	return c.call(ctx, m, request{
		query: fmt.Sprintf("SELECT * FROM platform.fence(%d)", term),
		use:   useState,
	})
}

// Promote implements egret.Control.
func (c *Control) Promote(ctx context.Context, m egret.Member, term uint64) (egret.MemberState, error) {
	return c.call(ctx, m, request{
		query:      fmt.Sprintf("SELECT * FROM platform.promote(%d)", term),
		use:        useState,
		idempotent: true,
	})
}

// Follow implements egret.Control.
func (c *Control) Follow(ctx context.Context, m egret.Member, term uint64, primary netip.AddrPort) (egret.MemberState, error) {
	return c.call(ctx, m, request{
		query:      fmt.Sprintf("SELECT * FROM platform.follow(%d, '%s')", term, primary),
		use:        useState,
		idempotent: true,
	})
}

// Await implements egret.Control.
func (c *Control) Await(ctx context.Context, m egret.Member, p egret.Position, wait time.Duration) (egret.MemberState, error) {
	return c.call(ctx, m, request{
		query:      fmt.Sprintf("SELECT * FROM platform.await(%d, %d, %d)", p.Term, p.Offset, wait.Milliseconds()),
		use:        useAwait,
		wait:       wait,
		idempotent: true,
	})
}

// Require returns the member's state when its reads see the position, or fails with CodeFloor after
// wait.
func (c *Control) Require(ctx context.Context, m egret.Member, p egret.Position, wait time.Duration) (egret.MemberState, error) {
	query := fmt.Sprintf("SELECT * FROM platform.require(%d, %d, %d); %s", p.Term, p.Offset, wait.Milliseconds(), StatusQuery)
	return c.call(ctx, m, request{
		query:      query,
		use:        useRequire,
		wait:       wait,
		idempotent: true,
	})
}

// Close closes all connections. Calls that run fail.
func (c *Control) Close() {
	c.mu.Lock()
	links := c.links
	c.links = nil
	if c.stop != nil {
		c.stop()
	}
	c.mu.Unlock()
	for _, l := range links {
		l.lock <- struct{}{}
		l.replace(nil)
		<-l.lock
	}
}

// request is one call of a platform function.
type request struct {
	query string

	// use is the kind of link.
	use use

	// wait is how long the member may take with the answer.
	wait time.Duration

	// idempotent allows to ask again on a new connection.
	idempotent bool

	// shared lets calls share the question.
	shared bool
}

func (c *Control) call(ctx context.Context, m egret.Member, r request) (egret.MemberState, error) {
	l := c.link(linkKey{
		address: m.Address,
		use:     r.use,
	})
	q := l.join(ctx, m, r)
	select {
	case <-q.done:
		return q.state, errors.Annotatef(termError(m, q.err), "member %s", m.Name)
	case <-ctx.Done():
		return egret.MemberState{}, errors.Annotatef(ctx.Err(), "member %s: no answer", m.Name)
	}
}

func (c *Control) link(k linkKey) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, found := c.links[k]
	if found {
		return l
	}
	if c.links == nil {
		c.links = map[linkKey]*link{}
		c.ctx, c.stop = context.WithCancel(context.Background())
	}
	l = &link{
		ctx:    c.ctx,
		dialer: c.Dialer,
		lock:   make(chan struct{}, 1),
	}
	l.idle = time.AfterFunc(linkIdle, l.dropIdle)
	c.links[k] = l
	return l
}
