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

// pinDuration is how long a session reads from the primary after a write, under PolicyPin.
const pinDuration = 2 * time.Second

// pool has the connections of all direct sessions to one member. It limits their number.
type pool struct {
	// target has the addresses.
	target *Target

	// member is the member that the connections go to.
	member sites.Member

	// inUse is a semaphore of the connections in use. Its capacity is the limit.
	inUse chan struct{}

	mu sync.Mutex

	// idle has the open connections that are not in use, with the most recently used last.
	idle []pooledConn

	// openCount counts the connections that are idle or in use. It never exceeds the capacity of inUse.
	openCount int
}

// pooledConn is a connection and the region that it was opened from.
type pooledConn struct {
	conn   *pgconn.PgConn
	region string
}

// run runs a query on a connection that was opened from the region.
func (p *pool) run(ctx context.Context, region string, query string) (Answer, error) {
	select {
	case p.inUse <- struct{}{}:
	case <-ctx.Done():
		return Answer{}, notRunFailure(ctx.Err())
	}
	defer func() {
		<-p.inUse
	}()
	c, err := p.take(ctx, region)
	if err != nil {
		return Answer{}, notRunFailure(err)
	}
	answer, err := exec(ctx, c.conn, query)
	answer.Member = p.member.Name
	p.put(c)
	return answer, err
}

// take returns an idle connection of the region, or a new one. An idle connection of another region is closed if the
// limit is reached.
func (p *pool) take(ctx context.Context, region string) (pooledConn, error) {
	if c, ok := p.takeIdle(region); ok {
		return c, nil
	}
	rules := p.target.Set.Rules(sites.CallerEndpoint(region))
	conn, err := connect(ctx, rules.Resolve(p.member.Address), "postgres", nil)
	if err != nil {
		p.mu.Lock()
		p.openCount--
		p.mu.Unlock()
		return pooledConn{}, errors.Trace(err)
	}
	return pooledConn{
		conn:   conn,
		region: region,
	}, nil
}

// takeIdle returns an idle connection of the region. If there is none, it counts a connection that the caller opens,
// closes an idle one of another region at the limit, and returns false.
func (p *pool) takeIdle(region string) (pooledConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.region == region {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return c, true
		}
	}
	if p.openCount == cap(p.inUse) {
		go closeConn(p.idle[0].conn)
		p.idle = p.idle[1:]
		p.openCount--
	}
	p.openCount++
	return pooledConn{}, false
}

func (p *pool) put(c pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.conn.IsClosed() {
		p.openCount--
		return
	}
	p.idle = append(p.idle, c)
}

// pools has the members and their connections for the direct policies.
type pools struct {
	// byMember has the pool of each member.
	byMember map[string]*pool

	// primaries has the primary of each group. Primaries don't change while the pools are used.
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
			inUse:  make(chan struct{}, t.Set.Deployment.Connections),
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

// pickReplica returns the name of a random replica of the group, in the region if there is one.
func (p *pools) pickReplica(group, region string, r *rand.Rand) string {
	local, all := []string{}, []string{}
	for name, x := range p.byMember {
		if x.member.Group != group || name == p.primaries[group].Name {
			continue
		}
		all = append(all, name)
		if x.member.Domain.Region == region {
			local = append(local, name)
		}
	}
	if len(local) > 0 {
		all = local
	}
	return all[r.IntN(len(all))]
}

// directClient is a session that connects to the members without a proxy.
type directClient struct {
	// pools are shared by all sessions.
	pools *pools

	// region is the caller's region.
	region string

	// random picks the replicas.
	random *rand.Rand

	// pinsAfterWrite is true if reads go to replicas once the last write is pinDuration ago. If false, they always go
	// to the primary.
	pinsAfterWrite bool

	// lastWrite is the time of the session's last write.
	lastWrite time.Time
}

func (d *directClient) Run(ctx context.Context, s Statement) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	member := d.pools.primaries[s.Group].Name
	if !s.Write && d.pinsAfterWrite && time.Since(d.lastWrite) > pinDuration {
		member = d.pools.pickReplica(s.Group, d.region, d.random)
	}
	answer, err := d.pools.byMember[member].run(ctx, d.region, s.Query)
	if s.Write {
		d.lastWrite = time.Now()
	}
	return answer, err
}

func (d *directClient) SwitchProxy(bool) {}

func (d *directClient) Close() {}
