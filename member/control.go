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

// Control implements egret.MemberControl on persistent connections.
//
// It keeps at most one connection to each member for each use. If the answer to an idempotent request is late, the
// request is also sent on a second connection, and the one that answers first is kept. A request that has been sent
// goes on when the context of its call ends, so that a short deadline of one caller doesn't close the connection that
// the other callers use.
type Control struct {
	// Dialer opens the connections.
	Dialer *Dialer

	// mu guards the fields below.
	mu sync.Mutex

	// ctx ends all requests. It is nil before the first.
	ctx context.Context

	// stop ends ctx.
	stop context.CancelFunc

	// links has one link for each key in use.
	links map[linkKey]*controlLink
}

var _ egret.MemberControl = (*Control)(nil)

// linkKey identifies a link.
type linkKey struct {
	address netip.AddrPort
	use     connUse
}

// connUse is the kind of request that a link is for. Requests that the member may answer late have links of their own,
// so that they don't delay the others.
type connUse int

const (
	// useImmediate is for requests that the member answers at once.
	useImmediate connUse = iota

	// useAwait is for platform.await, which waits for the member's log.
	useAwait

	// useRequire is for platform.require, which waits for what the member's reads see.
	useRequire
)

// Status implements egret.MemberControl. Calls that come while a request to the member runs share the next request.
func (c *Control) Status(ctx context.Context, m egret.Member) (egret.MemberState, error) {
	return c.call(ctx, m, request{
		query:      StatusQuery,
		use:        useImmediate,
		idempotent: true,
		shared:     true,
	})
}

// Fence implements egret.MemberControl. Once the request is sent, the member may grant the term although
// the call fails.
func (c *Control) Fence(ctx context.Context, m egret.Member, term uint64) (egret.MemberState, error) {
	return c.call(ctx, m, request{
		query: fmt.Sprintf("SELECT * FROM platform.fence(%d)", term),
		use:   useImmediate,
	})
}

// Promote implements egret.MemberControl.
func (c *Control) Promote(ctx context.Context, m egret.Member, term uint64) (egret.MemberState, error) {
	return c.call(ctx, m, request{
		query:      fmt.Sprintf("SELECT * FROM platform.promote(%d)", term),
		use:        useImmediate,
		idempotent: true,
	})
}

// Follow implements egret.MemberControl.
func (c *Control) Follow(ctx context.Context, m egret.Member, term uint64, primary netip.AddrPort) (egret.MemberState, error) {
	return c.call(ctx, m, request{
		query:      fmt.Sprintf("SELECT * FROM platform.follow(%d, '%s')", term, primary),
		use:        useImmediate,
		idempotent: true,
	})
}

// AwaitPosition implements egret.MemberControl.
func (c *Control) AwaitPosition(ctx context.Context, m egret.Member, p egret.Position, wait time.Duration) (egret.MemberState, error) {
	return c.call(ctx, m, request{
		query:      fmt.Sprintf("SELECT * FROM platform.await(%d, %d, %d)", p.Term, p.Offset, wait.Milliseconds()),
		use:        useAwait,
		memberWait: wait,
		idempotent: true,
	})
}

// Require returns the member's state when its reads see the position, or fails with CodeFloorTimeout after wait.
func (c *Control) Require(ctx context.Context, m egret.Member, p egret.Position, wait time.Duration) (egret.MemberState, error) {
	query := fmt.Sprintf("SELECT * FROM platform.require(%d, %d, %d); %s", p.Term, p.Offset, wait.Milliseconds(), StatusQuery)
	return c.call(ctx, m, request{
		query:      query,
		use:        useRequire,
		memberWait: wait,
		idempotent: true,
	})
}

// Close closes all connections. Calls in progress fail.
func (c *Control) Close() {
	c.mu.Lock()
	links := c.links
	c.links = nil
	if c.stop != nil {
		c.stop()
	}
	c.mu.Unlock()
	for _, l := range links {
		l.sem <- struct{}{}
		l.replaceConn(nil)
		<-l.sem
	}
}

// request is a call of a platform function.
type request struct {
	query string

	// use selects the link.
	use connUse

	// memberWait is how long the member itself may wait before it answers.
	memberWait time.Duration

	// idempotent reports whether the request may be sent again on a new connection.
	idempotent bool

	// shared lets calls share one request. The statement of a shared request is prepared when a connection sends it
	// for the second time.
	shared bool
}

func (c *Control) call(ctx context.Context, m egret.Member, r request) (egret.MemberState, error) {
	l := c.link(linkKey{
		address: m.Address,
		use:     r.use,
	})
	p := l.submit(ctx, m, r)
	select {
	case <-p.done:
		return p.state, errors.Annotatef(termError(m, p.err), "member %s", m.Name)
	case <-ctx.Done():
		return egret.MemberState{}, errors.Annotatef(ctx.Err(), "member %s: no answer", m.Name)
	}
}

func (c *Control) link(k linkKey) *controlLink {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, found := c.links[k]
	if found {
		return l
	}
	if c.links == nil {
		c.links = map[linkKey]*controlLink{}
		c.ctx, c.stop = context.WithCancel(context.Background())
	}
	l = &controlLink{
		ctx:    c.ctx,
		dialer: c.Dialer,
		sem:    make(chan struct{}, 1),
	}
	l.idleTimer = time.AfterFunc(idleTimeout, l.closeIdle)
	c.links[k] = l
	return l
}
