package link

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"

	"egretlane.example/egret"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/internal/linkpb"
	"egretlane.example/egret/lease"
	"egretlane.example/egret/netopt"
	"egretlane.example/egret/quota"
	"egretlane.example/egret/watch"
)

const (
	// connectTimeout is the timeout for opening a connection to a proxy.
	connectTimeout = 500 * time.Millisecond

	// redialMinDelay and redialMaxDelay bound the backoff between attempts to connect.
	redialMinDelay = 50 * time.Millisecond
	redialMaxDelay = 300 * time.Millisecond

	// pingTimeout is the timeout for the answer to a ping. It covers several round trips between
	// regions, and the time that a busy VM takes to handle the ping.
	pingTimeout = 300 * time.Millisecond

	// changesTimeout is the timeout for an answer with changes of the store, which may be as large as a
	// configuration. A configuration has to be in force within seconds.
	changesTimeout = 1200 * time.Millisecond

	// lendTimeout is the timeout for an answer with tokens.
	lendTimeout = 300 * time.Millisecond

	// minCheckInterval is the least time between two pings of a proxy because of slow calls.
	minCheckInterval = 300 * time.Millisecond

	// maxMessageBytes is the largest size of a message between proxies: that of the largest answer of a
	// member.
	maxMessageBytes = 16 << 20

	// flowWindowBytes is the size of the flow control window of connections and streams.
	flowWindowBytes = 256 << 10
)

// errConnReplaced is returned if the connection was closed between its lookup and its use.
const errConnReplaced = errors.ConstError("the connection is being replaced")

// Pool holds the connections to the other proxies. The zero Pool is ready to use.
type Pool struct {
	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// peer is the state of the connection to a proxy. Its fields are guarded by the pool's mu.
type peer struct {
	// conn is nil after the connection was closed and before it is opened again.
	conn   *grpc.ClientConn
	client linkpb.LinkClient

	// lastAnswer is the time of the proxy's last answer, or zero if it has never answered.
	lastAnswer clock.Time

	// unansweredSince is the time of the first request by callPeer since the last answer, or zero if there
	// is none. Statements and Changes don't set it: if their answers are late, the proxy is pinged.
	unansweredSince clock.Time

	// lastCall is the time of the last call by callPeer.
	lastCall clock.Time

	// lastCheck is the time of the last ping by pingIfDue.
	lastCheck clock.Time
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, e := range p.peers {
		closeConn(e.conn)
		delete(p.peers, a)
	}
}

// Liveness returns the time of the proxy's last answer, and the time of the first request that it has left
// unanswered since. Each is zero if there is none.
func (p *Pool) Liveness(a netip.AddrPort) (lastAnswer, unansweredSince clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.peers[a]; e != nil {
		return e.lastAnswer, e.unansweredSince
	}
	return 0, 0
}

// Silent reports whether the proxy has left a request unanswered for the given time, and was called lately.
func (p *Pool) Silent(a netip.AddrPort, unanswered, lately time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.peers[a]
	return e != nil && e.unansweredSince != 0 && clock.Since(e.unansweredSince) > unanswered && clock.Since(e.lastCall) < lately
}

// peerFor returns the peer at the address. If it has no connection, it gets one, which the first call opens.
func (p *Pool) peerFor(a netip.AddrPort) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.peers[a]; e != nil && e.conn != nil {
		return e, nil
	}
	d := netopt.Dialer{
		ConnectTimeout: connectTimeout,
	}
	conn, err := grpc.NewClient("passthrough:///"+a.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
			return d.Dial(ctx, a)
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  redialMinDelay,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   redialMaxDelay,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithInitialWindowSize(flowWindowBytes),
		grpc.WithInitialConnWindowSize(flowWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, err
	}
	e := p.peers[a]
	if e == nil {
		e = &peer{}
		if p.peers == nil {
			p.peers = map[netip.AddrPort]*peer{}
		}
		p.peers[a] = e
	}
	e.conn = conn
	e.client = linkpb.NewLinkClient(conn)
	return e, nil
}

// dropConn closes a connection on which a call has timed out, so that the next call opens another. It does
// nothing if the peer has another connection by now.
func (p *Pool) dropConn(e *peer, conn *grpc.ClientConn) {
	p.mu.Lock()
	current := e.conn == conn
	if current {
		e.conn = nil
	}
	p.mu.Unlock()
	if current {
		closeConn(conn)
	}
}

// closeConn closes a connection that may be nil. The only possible error is that it was closed before.
func closeConn(conn *grpc.ClientConn) {
	if conn != nil {
		_ = conn.Close()
	}
}

// Prune removes proxies that have left a request unanswered for longer than the age, and closes the
// connections to them. It returns how many it removed.
func (p *Pool) Prune(age time.Duration) int {
	p.mu.Lock()
	gone := []*grpc.ClientConn{}
	for a, e := range p.peers {
		if e.unansweredSince != 0 && clock.Since(e.unansweredSince) > age {
			gone = append(gone, e.conn)
			delete(p.peers, a)
		}
	}
	p.mu.Unlock()
	for _, conn := range gone {
		closeConn(conn)
	}
	return len(gone)
}

// recordAnswer records that the proxy has answered.
func (p *Pool) recordAnswer(e *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.lastAnswer = clock.Now()
	e.unansweredSince = 0
}

// callPeer calls a method of the proxy and records whether it answers. After a timeout, the connection is
// closed, so that the next call opens another.
func callPeer[Q, R any](ctx context.Context, p *Pool, a netip.AddrPort, timeout time.Duration, q Q,
	call func(linkpb.LinkClient, context.Context, Q, ...grpc.CallOption) (R, error)) (R, error) {
	var zero R
	e, err := p.peerFor(a)
	if err != nil {
		return zero, err
	}
	p.mu.Lock()
	conn, client := e.conn, e.client
	e.lastCall = clock.Now()
	if e.unansweredSince == 0 {
		e.unansweredSince = e.lastCall
	}
	p.mu.Unlock()
	if conn == nil {
		return zero, errConnReplaced
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := call(client, callCtx, q)
	if err == nil {
		p.recordAnswer(e)
		return r, nil
	}
	if callCtx.Err() != nil && ctx.Err() == nil {
		p.dropConn(e, conn)
	}
	return r, err
}

// PingReply is a proxy's answer to a ping.
type PingReply struct {
	// Node and Incarnation identify the process that answered.
	Node, Incarnation string

	// Leaving says that the process is shutting down.
	Leaving bool

	// GivenUp are the revisions of the leases of the process that have ended.
	GivenUp []egret.Revision
}

// Ping returns which process answers at the address, whether it is leaving, and which leases it has given up.
func (p *Pool) Ping(ctx context.Context, a netip.AddrPort) (PingReply, error) {
	r, err := callPeer(ctx, p, a, pingTimeout, &linkpb.PingRequest{}, linkpb.LinkClient.Ping)
	if err != nil {
		return PingReply{}, err
	}
	reply := PingReply{
		Node:        r.GetNode(),
		Incarnation: r.GetIncarnation(),
		Leaving:     r.GetLeaving(),
	}
	for i, number := range r.GetGivenUp() {
		era := uint64(0)
		if i < len(r.GetGivenUpEras()) {
			era = r.GetGivenUpEras()[i]
		}
		reply.GivenUp = append(reply.GivenUp, revisionFromWire(era, number))
	}
	return reply, nil
}

// PingFreshConn is like Ping, but replaces the connection first unless the proxy has answered within the time
// and has left no request unanswered. The old connection may be in a backoff, or broken without an error.
func (p *Pool) PingFreshConn(ctx context.Context, a netip.AddrPort, within time.Duration) (PingReply, error) {
	p.mu.Lock()
	e := p.peers[a]
	stale := e != nil && (e.unansweredSince != 0 || clock.Since(e.lastAnswer) > within)
	conn := (*grpc.ClientConn)(nil)
	if stale {
		conn, e.conn = e.conn, nil
	}
	p.mu.Unlock()
	closeConn(conn)
	return p.Ping(ctx, a)
}

// RequestPromise asks the proxy to promise that it acknowledges no successor of a holder for a time. It
// reports whether the proxy has promised.
func (p *Pool) RequestPromise(ctx context.Context, a netip.AddrPort, service string, q lease.Promise) (bool, error) {
	r, err := callPeer(ctx, p, a, pingTimeout, &linkpb.PromiseRequest{
		Service:    service,
		Revision:   q.Revision.Number,
		Era:        q.Revision.Era,
		DurationNs: int64(q.Duration),
		Primary:    q.Intent.Primary,
		Order:      q.Intent.Order,
	}, linkpb.LinkClient.Promise)
	return r.GetGranted(), err
}

// RequestFence passes a fence of a service's former holders to the proxy.
func (p *Pool) RequestFence(ctx context.Context, a netip.AddrPort, service string, q lease.Fence) (lease.FenceReply, error) {
	r, err := callPeer(ctx, p, a, pingTimeout, &linkpb.ClearRequest{
		Service:  service,
		Revision: q.Revision.Number,
		Era:      q.Revision.Era,
		Since:    q.Since.Number,
		SinceEra: q.Since.Era,
	}, linkpb.LinkClient.Clear)
	return lease.FenceReply{
		Remaining: time.Duration(r.GetLeftNs()),
		Intent: lease.Intent{
			Primary: r.GetPrimary(),
			Order:   r.GetOrder(),
		},
		Complete: r.GetComplete(),
	}, err
}

// Lend asks the proxy for tokens of the service, which it holds. The tokens of an answer that is late or lost are lost. As a
// late answer may come over a busy link, it closes no connection.
func (p *Pool) Lend(ctx context.Context, a netip.AddrPort, service string, wanted []quota.Amount) ([]quota.Amount, error) {
	e, err := p.peerFor(a)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	client := e.client
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	r, err := client.Lend(ctx, &linkpb.LendRequest{
		Service: service,
		Wanted:  amountsToWire(wanted),
	})
	if err != nil {
		return nil, err
	}
	p.recordAnswer(e)
	return amountsFromWire(r.GetLent()), nil
}

// PingVia asks the proxy at via to ping the one at the address. It returns whether that answered, and the
// incarnation that did.
func (p *Pool) PingVia(ctx context.Context, via, a netip.AddrPort) (bool, string, error) {
	r, err := callPeer(ctx, p, via, 2*pingTimeout, &linkpb.HearRequest{
		Address: a.String(),
	}, linkpb.LinkClient.Hear)
	return r.GetHeard(), r.GetIncarnation(), err
}

// Changes asks the proxy for the changes in the store that it has seen below the prefix after the revision. It
// reports false if the proxy can't tell or doesn't answer.
func (p *Pool) Changes(ctx context.Context, a netip.AddrPort, prefix string, after egret.Revision) (watch.Changes, bool) {
	e, err := p.peerFor(a)
	if err != nil {
		return watch.Changes{}, false
	}
	p.mu.Lock()
	client := e.client
	p.mu.Unlock()
	// After a timeout, the connection isn't closed as in callPeer: statements may be running on it. A late
	// answer may only mean that many such answers share a link of low bandwidth.
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	r, err := client.Changes(ctx, &linkpb.ChangesRequest{
		Prefix: prefix,
		After:  after.Number,
		Era:    after.Era,
	}, grpc.UseCompressor(gzip.Name))
	if err != nil {
		p.pingIfDue(a)
		return watch.Changes{}, false
	}
	p.recordAnswer(e)
	if !r.GetFresh() {
		return watch.Changes{}, false
	}
	c := watch.Changes{
		Items: []egret.Item{},
		At:    revisionFromWire(r.GetEra(), r.GetAt()),
		All:   r.GetAll(),
	}
	for _, m := range r.GetItems() {
		c.Items = append(c.Items, egret.Item{
			Key:      m.GetKey(),
			Data:     m.GetData(),
			Revision: revisionFromWire(r.GetEra(), m.GetRevision()),
			Removed:  m.GetRemoved(),
		})
	}
	return c, true
}

// pingIfDue pings the proxy, unless it has done so within minCheckInterval. If the ping times out, the
// connection is closed, so that the next call opens another.
func (p *Pool) pingIfDue(a netip.AddrPort) {
	p.mu.Lock()
	e := p.peers[a]
	due := e != nil && clock.Since(e.lastCheck) > minCheckInterval
	if due {
		e.lastCheck = clock.Now()
	}
	p.mu.Unlock()
	if due {
		// Ping records the outcome in the peer.
		_, _ = p.Ping(context.Background(), a)
	}
}
