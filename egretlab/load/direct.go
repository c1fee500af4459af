package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"egretlane.example/egret/egretlab/sites"
)

// pinTime is how long a session reads from the primary after a write under PolicyPin.
const pinTime = 2 * time.Second

// pool holds the connections of all direct sessions to one member.
type pool struct {
	// target has the addresses.
	target *Target

	// member is the member.
	member sites.Member

	// lent has a place for each connection that may be in use.
	lent chan struct{}

	mu sync.Mutex

	// idle has the connections that are open and not lent, the newest last.
	idle []pooled

	// open counts idle and lent connections. It never passes the capacity of lent.
	open int
}

// pooled is a connection and the region that it was opened from.
type pooled struct {
	conn   *pgconn.PgConn
	region string
}

// run runs a query on a connection from the region.
func (p *pool) run(ctx context.Context, region string, query string) (Answer, error) {
	select {
	case p.lent <- struct{}{}:
	case <-ctx.Done():
		return Answer{}, notRun(ctx.Err())
	}
	defer func() {
		<-p.lent
	}()
	c, err := p.take(ctx, region)
	if err != nil {
		return Answer{}, notRun(err)
	}
	answer, err := exec(ctx, c.conn, query)
	answer.Member = p.member.Name
	p.put(c)
	return answer, err
}

// take returns an idle connection of the region, or a new one. One of another region is closed if
// there is no room.
func (p *pool) take(ctx context.Context, region string) (pooled, error) {
	if c, ok := p.takeIdle(region); ok {
		return c, nil
	}
	rules := p.target.Set.Rules(sites.Callers(region))
	conn, err := connect(ctx, rules.Resolve(p.member.Address), "postgres", nil)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return pooled{}, errors.Trace(err)
	}
	return pooled{
		conn:   conn,
		region: region,
	}, nil
}

// takeIdle returns an idle connection, or counts a new one and returns false.
func (p *pool) takeIdle(region string) (pooled, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.region == region {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return c, true
		}
	}
	if p.open == cap(p.lent) {
		go closeConn(p.idle[0].conn)
		p.idle = p.idle[1:]
		p.open--
	}
	p.open++
	return pooled{}, false
}

func (p *pool) put(c pooled) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.conn.IsClosed() {
		p.open--
		return
	}
	p.idle = append(p.idle, c)
}

// pools is the members as a direct policy knows them.
type pools struct {
	// byMember has the pool of each member.
	byMember map[string]*pool

	// primaries has the primary of each group. Nothing changes them while the pools are used.
	primaries map[string]sites.Member
}

func newPools(ctx context.Context, t *Target) (*pools, error) {
	p := &pools{
		byMember:  map[string]*pool{},
		primaries: map[string]sites.Member{},
	}
	for _, m := range t.Set.Members() {
		p.byMember[m.Name] = &pool{
			target: t,
			member: m,
			lent:   make(chan struct{}, t.Set.Deployment.Connections),
		}
	}
	for _, g := range t.groups() {
		m, err := t.Primary(ctx, g)
		if err != nil {
			return nil, errors.Trace(err)
		}
		p.primaries[g] = m
	}
	return p, nil
}

func (p *pools) close() {
	for _, x := range p.byMember {
		for _, c := range x.idle {
			closeConn(c.conn)
		}
	}
}

// replica picks a replica of the group, in the region if there is one.
func (p *pools) replica(group, region string, r *rand.Rand) string {
	near, all := []string{}, []string{}
	for name, x := range p.byMember {
		if x.member.Group != group || name == p.primaries[group].Name {
			continue
		}
		all = append(all, name)
		if x.member.Domain.Region == region {
			near = append(near, name)
		}
	}
	if len(near) > 0 {
		all = near
	}
	return all[r.IntN(len(all))]
}

// direct is a session that speaks to the members.
type direct struct {
	// pools are shared by all sessions.
	pools *pools

	// region is the caller's.
	region string

	// random chooses replicas.
	random *rand.Rand

	// pin says that reads go to replicas when the last write is long enough ago.
	pin bool

	// written is when the session wrote last.
	written time.Time
}

func (d *direct) Run(ctx context.Context, a Ask) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	member := d.pools.primaries[a.Group].Name
	if !a.Write && d.pin && time.Since(d.written) > pinTime {
		member = d.pools.replica(a.Group, d.region, d.random)
	}
	answer, err := d.pools.byMember[member].run(ctx, d.region, a.Query)
	if a.Write {
		d.written = time.Now()
	}
	return answer, err
}

func (d *direct) Roam(bool) {}

func (d *direct) Close() {}
