package member

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"egretlane.example/egret"
)

// linkIdle is how long an unused control connection is kept.
const linkIdle = 30 * time.Second

// Control implements egret.Control on kept connections.
//
// Each member has at most one for each use. A connection that gave no answer in time is closed, and
// the next call opens a new one. Lock order: a link's lock is taken without mu.
type Control struct {
	// Dialer opens the connections.
	Dialer *Dialer

	// mu guards links.
	mu sync.Mutex

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

// link is a kept connection.
type link struct {
	// lock has one element while the link is in use. It guards the fields below.
	lock chan struct{}

	// conn is nil while there is no connection.
	conn *pgconn.PgConn

	// idle closes conn when the link was unused for long.
	idle *time.Timer
}

// Status implements egret.Control. A kept connection that gives no answer in half of the time is
// replaced, and the new one is asked at once.
func (c *Control) Status(ctx context.Context, m egret.Member) (egret.MemberState, error) {
	return c.call(ctx, m, request{
		query:      StatusQuery,
		use:        useState,
		idempotent: true,
	})
}

// Fence implements egret.Control.
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
		query: fmt.Sprintf("SELECT * FROM platform.await(%d, %d, %d)", p.Term, p.Offset, wait.Milliseconds()),
		use:   useAwait,
	})
}

// Require returns the member's state when its reads see the position, or fails with CodeFloor after
// wait.
func (c *Control) Require(ctx context.Context, m egret.Member, p egret.Position, wait time.Duration) (egret.MemberState, error) {
	query := fmt.Sprintf("SELECT * FROM platform.require(%d, %d, %d); %s", p.Term, p.Offset, wait.Milliseconds(), StatusQuery)
	return c.call(ctx, m, request{
		query: query,
		use:   useRequire,
	})
}

// Close closes all connections. Calls that run fail.
func (c *Control) Close() {
	c.mu.Lock()
	links := c.links
	c.links = nil
	c.mu.Unlock()
	for _, l := range links {
		l.lock <- struct{}{}
		l.drop()
		<-l.lock
	}
}

// request is one call of a platform function.
type request struct {
	query string

	// idempotent allows a second try on a new connection.
	idempotent bool

	// use is the kind of link.
	use use
}

func (c *Control) call(ctx context.Context, m egret.Member, r request) (egret.MemberState, error) {
	l := c.link(linkKey{
		address: m.Address,
		use:     r.use,
	})
	select {
	case l.lock <- struct{}{}:
	case <-ctx.Done():
		return egret.MemberState{}, errors.Annotatef(ctx.Err(), "member %s: control connection in use", m.Name)
	}
	defer l.release()
	state, err := c.ask(ctx, l, m, r)
	return state, errors.Annotatef(termError(m, err), "member %s", m.Name)
}

// ask tries the kept connection if there is one, and a new one if the kept one failed.
func (c *Control) ask(ctx context.Context, l *link, m egret.Member, r request) (egret.MemberState, error) {
	if l.conn != nil && !l.conn.IsClosed() {
		state, err := l.askKept(ctx, r)
		if err == nil || !r.mayRepeat(err) || ctx.Err() != nil {
			return state, err
		}
	}
	l.drop()
	conn, err := c.Dialer.Connect(ctx, m, PurposeControl)
	if err != nil {
		return egret.MemberState{}, err
	}
	l.conn = conn
	return l.query(ctx, r.query)
}

// mayRepeat reports whether the request may be sent again on a new connection.
func (r *request) mayRepeat(err error) bool {
	var refusal *pgconn.PgError
	if errors.As(err, &refusal) && refusal.Severity != "FATAL" {
		return false
	}
	return r.idempotent || pgconn.SafeToRetry(err)
}

// askKept leaves an idempotent request half of its time for a new connection.
func (l *link) askKept(ctx context.Context, r request) (egret.MemberState, error) {
	deadline, bounded := ctx.Deadline()
	if !r.idempotent || !bounded {
		return l.query(ctx, r.query)
	}
	half, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
	defer cancel()
	return l.query(half, r.query)
}

func (l *link) query(ctx context.Context, query string) (egret.MemberState, error) {
	results, err := l.conn.Exec(ctx, query).ReadAll()
	if err != nil {
		return egret.MemberState{}, err
	}
	if len(results) == 0 || len(results[len(results)-1].Rows) != 1 {
		return egret.MemberState{}, errors.NotValidf("answer to %q", query)
	}
	return ParseState(results[len(results)-1].Rows[0], time.Now())
}

// drop closes the connection. The caller has the link's lock.
func (l *link) drop() {
	if l.conn == nil {
		return
	}
	_ = l.conn.Conn().Close()
	l.conn = nil
}

// release unlocks the link and starts the time that it may stay unused.
func (l *link) release() {
	l.idle.Reset(linkIdle)
	<-l.lock
}

// dropIdle closes the connection unless a call uses it.
func (l *link) dropIdle() {
	select {
	case l.lock <- struct{}{}:
		l.drop()
		<-l.lock
	default:
	}
}

func (c *Control) link(k linkKey) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, found := c.links[k]
	if found {
		return l
	}
	l = &link{
		lock: make(chan struct{}, 1),
	}
	l.idle = time.AfterFunc(linkIdle, l.dropIdle)
	if c.links == nil {
		c.links = map[linkKey]*link{}
	}
	c.links[k] = l
	return l
}
