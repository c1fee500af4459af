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
	"egretlane.example/egret/claim"
	"egretlane.example/egret/clock"
	"egretlane.example/egret/internal/linkpb"
	"egretlane.example/egret/netopt"
)

const (
	// connectTimeout bounds the opening of a connection to a proxy.
	connectTimeout = 500 * time.Millisecond

	// redialBase and redialMaximum bound the pauses between attempts to connect.
	redialBase    = 50 * time.Millisecond
	redialMaximum = 300 * time.Millisecond

	// PingTimeout bounds the answer to a ping: several round trips between regions, and the time
	// that a busy VM takes to get to it.
	PingTimeout = 300 * time.Millisecond

	// changesTimeout bounds an answer with what a proxy has seen in the store, which may be as large as a
	// configuration. A configuration has to be in force within seconds.
	changesTimeout = 1200 * time.Millisecond

	// checkInterval is the least time between two checks of a connection by slow statements.
	checkInterval = 300 * time.Millisecond

	// maxMessage bounds a message between proxies, in bytes: the largest answer of a member.
	maxMessage = 16 << 20

	// window is the flow control window of connections and streams, in bytes.
	window = 256 << 10
)

// errReplaced says that a connection was closed just as it was to be used.
const errReplaced = errors.ConstError("the connection is being replaced")

// Pool holds the connections to the other proxies. The zero Pool is ready to use.
type Pool struct {
	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// peer is a connection to a proxy.
type peer struct {
	conn   *grpc.ClientConn
	client linkpb.LinkClient

	// heard is when the proxy answered last. The pool's mu guards it and what follows.
	heard clock.Time

	// asked is when the oldest question without an answer was sent, or zero.
	asked clock.Time

	// checked is when the connection was checked last.
	checked clock.Time
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

// Heard returns when the proxy answered last, and since when it has left a question open. Both are
// zero if there was none.
func (p *Pool) Heard(a netip.AddrPort) (heard, asked clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.peers[a]; e != nil {
		return e.heard, e.asked
	}
	return 0, 0
}

// get returns the connection to the proxy.
func (p *Pool) get(a netip.AddrPort) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.peers[a]; e != nil && e.conn != nil {
		return e, nil
	}
	d := netopt.Dialer{
		Connect: connectTimeout,
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
				BaseDelay:  redialBase,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   redialMaximum,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithInitialWindowSize(window),
		grpc.WithInitialConnWindowSize(window),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
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

// drop closes a connection that has gone silent, so that the next call opens another.
func (p *Pool) drop(e *peer, conn *grpc.ClientConn) {
	p.mu.Lock()
	same := e.conn == conn
	if same {
		e.conn = nil
	}
	p.mu.Unlock()
	if same {
		closeConn(conn)
	}
}

// closeConn closes a connection. Its only error is that it was closed before.
func closeConn(conn *grpc.ClientConn) {
	if conn != nil {
		_ = conn.Close()
	}
}

// Prune forgets proxies that have left a question open for longer than the age, and closes the
// connections to them. It returns how many there were.
func (p *Pool) Prune(age time.Duration) int {
	p.mu.Lock()
	gone := []*grpc.ClientConn{}
	for a, e := range p.peers {
		if e.asked != 0 && clock.Since(e.asked) > age {
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

// answered notes an answer of the proxy.
func (p *Pool) answered(e *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.heard = clock.Now()
	e.asked = 0
}

// ask makes a call and notes whether the proxy answers.
func ask[Q, R any](ctx context.Context, p *Pool, a netip.AddrPort, timeout time.Duration, q Q,
	call func(linkpb.LinkClient, context.Context, Q, ...grpc.CallOption) (R, error)) (R, error) {
	var none R
	e, err := p.get(a)
	if err != nil {
		return none, err
	}
	p.mu.Lock()
	conn, client := e.conn, e.client
	if e.asked == 0 {
		e.asked = clock.Now()
	}
	p.mu.Unlock()
	if conn == nil {
		return none, errReplaced
	}
	timed, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := call(client, timed, q)
	if err == nil {
		p.answered(e)
		return r, nil
	}
	if timed.Err() != nil && ctx.Err() == nil {
		p.drop(e, conn)
	}
	return r, err
}

// Ping asks which process answers at the address.
func (p *Pool) Ping(ctx context.Context, a netip.AddrPort) (*linkpb.PingReply, error) {
	return ask(ctx, p, a, PingTimeout, &linkpb.PingRequest{}, linkpb.LinkClient.Ping)
}

// Probe is a Ping on a new connection, unless the proxy has answered within the time. The old one may
// wait to connect again, or have gone silent.
func (p *Pool) Probe(ctx context.Context, a netip.AddrPort, within time.Duration) (*linkpb.PingReply, error) {
	p.mu.Lock()
	e := p.peers[a]
	stale := e != nil && (e.asked != 0 || clock.Since(e.heard) > within)
	conn := (*grpc.ClientConn)(nil)
	if stale {
		conn, e.conn = e.conn, nil
	}
	p.mu.Unlock()
	closeConn(conn)
	return p.Ping(ctx, a)
}

// Promise asks the proxy to acknowledge no successor of a holder for a time.
func (p *Pool) Promise(ctx context.Context, a netip.AddrPort, service string, q claim.Promise) (bool, error) {
	r, err := ask(ctx, p, a, PingTimeout, &linkpb.PromiseRequest{
		Service:    service,
		Revision:   q.Revision,
		DurationNs: int64(q.Time),
		Primary:    q.Intent.Primary,
		Order:      q.Intent.Order,
	}, linkpb.LinkClient.Promise)
	return r.GetGranted(), err
}

// Clear asks the proxy to give the holders before the revision no promises any more. It returns how
// long one is still in force.
func (p *Pool) Clear(ctx context.Context, a netip.AddrPort, service string, revision uint64) (time.Duration, claim.Intent, error) {
	r, err := ask(ctx, p, a, PingTimeout, &linkpb.ClearRequest{
		Service:  service,
		Revision: revision,
	}, linkpb.LinkClient.Clear)
	return time.Duration(r.GetLeftNs()), claim.Intent{
		Primary: r.GetPrimary(),
		Order:   r.GetOrder(),
	}, err
}

// Hear asks the proxy at via whether it gets an answer from the one at the address, and of which
// incarnation.
func (p *Pool) Hear(ctx context.Context, via, a netip.AddrPort) (bool, string, error) {
	r, err := ask(ctx, p, via, 2*PingTimeout, &linkpb.HearRequest{
		Address: a.String(),
	}, linkpb.LinkClient.Hear)
	return r.GetHeard(), r.GetIncarnation(), err
}

// Changes asks the proxy for what it has seen in the store after the revision. It reports false if the
// proxy doesn't know.
func (p *Pool) Changes(ctx context.Context, a netip.AddrPort, prefix string, after uint64) ([]egret.Item, uint64, bool) {
	e, err := p.get(a)
	if err != nil {
		return nil, 0, false
	}
	p.mu.Lock()
	client := e.client
	p.mu.Unlock()
	// A late answer is one of many that share a thin link, not a sign of a silent connection, on which
	// statements may be under way.
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	r, err := client.Changes(ctx, &linkpb.ChangesRequest{
		Prefix: prefix,
		After:  after,
	}, grpc.UseCompressor(gzip.Name))
	if err != nil {
		p.check(a)
		return nil, 0, false
	}
	p.answered(e)
	if !r.GetFresh() {
		return nil, 0, false
	}
	items := []egret.Item{}
	for _, m := range r.GetItems() {
		items = append(items, egret.Item{
			Key:      m.GetKey(),
			Data:     m.GetData(),
			Revision: m.GetRevision(),
			Removed:  m.GetRemoved(),
		})
	}
	return items, r.GetAt(), true
}

// check pings the proxy, unless that was done just now. A connection without an answer is replaced.
func (p *Pool) check(a netip.AddrPort) {
	p.mu.Lock()
	e := p.peers[a]
	due := e != nil && clock.Since(e.checked) > checkInterval
	if due {
		e.checked = clock.Now()
	}
	p.mu.Unlock()
	if due {
		// The outcome is noted in the peer.
		_, _ = p.Ping(context.Background(), a)
	}
}
