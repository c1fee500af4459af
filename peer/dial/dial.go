// Package dial pools the gRPC connections between proxies and counts the bytes sent and received over them.
//
// A Pool holds at most one connection per address. It is created by the first call and closed when idle. Replace
// makes the next calls use a new one, for example when the current one gets no answers:
//
//	p := dial.Pool{IdleTimeout: 10 * time.Minute}
//	cc, err := p.Conn(address)
//	reply, err := peerpb.NewPeerClient(cc).Status(ctx, request)
package dial

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	"egretlane.example/egret"
)

// Timeouts, intervals and sizes of connections. Windows and buffers are in bytes.
const (
	// keepaliveTime is the shortest time that gRPC allows for clients.
	keepaliveTime = 10 * time.Second

	// keepaliveTimeout is also set as the TCP user timeout, and so bounds how long sent bytes may stay
	// unacknowledged.
	keepaliveTimeout = 2 * time.Second

	connectTimeout     = time.Second
	minRedialDelay     = 100 * time.Millisecond
	maxRedialDelay     = 2 * time.Second
	drainTimeout       = 30 * time.Second
	idleCheckInterval  = 30 * time.Second
	streamWindow       = 256 << 10
	connWindow         = 1 << 20
	connBufferSize     = 8 << 10
	defaultIdleTimeout = 10 * time.Minute
)

// ExchangeMethod is the full name of the heartbeat's RPC method. No spans are created for heartbeats.
const ExchangeMethod = "/egretlane.peer.Peer/Exchange"

// Pool holds the connections to the other proxies. Its methods are safe for concurrent use.
type Pool struct {
	// AddressMap translates addresses before they are dialled.
	AddressMap egret.AddressMap

	// Credentials secures connections. If nil, connections are in plain text.
	Credentials credentials.TransportCredentials

	// Dialer opens connections. If nil, TCP connections are opened.
	Dialer Dialer

	// Tracer creates the spans. If nil, the process's global provider is used.
	Tracer trace.TracerProvider

	// IdleTimeout is how long a connection without calls is kept. Zero means ten minutes.
	IdleTimeout time.Duration

	// Meter counts the bytes of calls. It may be nil.
	Meter *Meter

	mu    sync.Mutex
	conns map[netip.AddrPort]*pooledConn
}

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// pooledConn is a connection of the pool with its usage.
type pooledConn struct {
	dialer Dialer
	cc     *grpc.ClientConn

	// refused is set if the host refused the latest attempt to connect.
	refused atomic.Bool

	// The pool's mu guards the fields below.
	activeCalls int
	lastUsed    time.Time
}

// Conn returns a connection to the proxy at the address. It dials when a call needs it, and stays valid when the pool
// closes or replaces the underlying connection.
func (p *Pool) Conn(a netip.AddrPort) (grpc.ClientConnInterface, error) {
	if !a.IsValid() {
		return nil, errors.NotValidf("address %q of a proxy", a)
	}
	return &sharedConn{
		pool:    p,
		address: a,
	}, nil
}

// Replace makes the next calls to the address use a new connection. Calls in flight on the old one have drainTimeout
// to finish.
func (p *Pool) Replace(a netip.AddrPort) {
	p.mu.Lock()
	pc := p.conns[a]
	delete(p.conns, a)
	p.mu.Unlock()
	if pc != nil {
		p.closeReplaced(pc)
	}
}

// Run closes idle connections until the context ends, and then closes all connections.
func (p *Pool) Run(ctx context.Context) error {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	defer p.closeAll()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			p.closeIdle(now)
		}
	}
}

// Refused reports whether the host of the address refused the latest attempt to connect.
func (p *Pool) Refused(a netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pc, ok := p.conns[a]
	return ok && pc.refused.Load()
}

// Conns returns the number of connections in the pool.
func (p *Pool) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func (p *Pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, pc := range p.conns {
		_ = pc.cc.Close()
		delete(p.conns, a)
	}
}

func (p *Pool) closeIdle(now time.Time) {
	idle := p.IdleTimeout
	if idle == 0 {
		idle = defaultIdleTimeout
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, pc := range p.conns {
		if pc.activeCalls == 0 && now.Sub(pc.lastUsed) > idle {
			_ = pc.cc.Close()
			delete(p.conns, a)
		}
	}
}

// closeReplaced closes a replaced connection at once if it has no calls in flight, and after drainTimeout otherwise.
func (p *Pool) closeReplaced(pc *pooledConn) {
	p.mu.Lock()
	idle := pc.activeCalls == 0
	p.mu.Unlock()
	if idle {
		_ = pc.cc.Close()
		return
	}
	time.AfterFunc(drainTimeout, func() {
		_ = pc.cc.Close()
	})
}

// acquire returns the connection to the address, creating it if there is none, and counts a call on it.
func (p *Pool) acquire(a netip.AddrPort) (*pooledConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pc, ok := p.conns[a]
	if !ok {
		pc = &pooledConn{
			dialer: p.Dialer,
		}
		if pc.dialer == nil {
			pc.dialer = dialTCP
		}
		cc, err := p.newClient(a, pc)
		if err != nil {
			return nil, err
		}
		pc.cc = cc
		if p.conns == nil {
			p.conns = map[netip.AddrPort]*pooledConn{}
		}
		p.conns[a] = pc
	}
	pc.activeCalls++
	pc.lastUsed = time.Now()
	return pc, nil
}

// release ends a call that acquire counted.
func (p *Pool) release(pc *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pc.activeCalls--
	pc.lastUsed = time.Now()
}

// newClient returns a gRPC client for the address. It connects when the first call is made.
func (p *Pool) newClient(a netip.AddrPort, pc *pooledConn) (*grpc.ClientConn, error) {
	secure := p.Credentials
	if secure == nil {
		secure = insecure.NewCredentials()
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(secure),
		grpc.WithContextDialer(pc.dial),
		grpc.WithConnectParams(connectParams()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    keepaliveTime,
			Timeout: keepaliveTimeout,
		}),
		grpc.WithStaticStreamWindowSize(streamWindow),
		grpc.WithStaticConnWindowSize(connWindow),
		grpc.WithReadBufferSize(connBufferSize),
		grpc.WithWriteBufferSize(connBufferSize),
		grpc.WithDisableServiceConfig(),
		grpc.WithStatsHandler(p.traceHandler()),
	}
	if p.Meter != nil {
		options = append(options, grpc.WithStatsHandler(p.Meter.Client(a)))
	}
	cc, err := grpc.NewClient("passthrough:///"+p.AddressMap.Resolve(a).String(), options...)
	if err != nil {
		return nil, errors.Annotatef(err, "proxy at %s", a)
	}
	return cc, nil
}

// traceHandler returns a handler that creates spans for all calls except heartbeats.
func (p *Pool) traceHandler() stats.Handler {
	options := []otelgrpc.Option{
		otelgrpc.WithFilter(func(info *stats.RPCTagInfo) bool {
			return info.FullMethodName != ExchangeMethod
		}),
	}
	if p.Tracer != nil {
		options = append(options, otelgrpc.WithTracerProvider(p.Tracer))
	}
	return otelgrpc.NewClientHandler(options...)
}

// dial opens a connection and records whether the host refused it.
func (pc *pooledConn) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := pc.dialer(ctx, address)
	pc.refused.Store(errors.Is(err, syscall.ECONNREFUSED))
	return c, err
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: connectTimeout,
	}
	return d.DialContext(ctx, "tcp", address)
}

func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay:  minRedialDelay,
			Multiplier: 1.6,
			Jitter:     0.2,
			MaxDelay:   maxRedialDelay,
		},
		MinConnectTimeout: connectTimeout,
	}
}

// sharedConn implements grpc.ClientConnInterface. Each call uses the pool's current connection to the address.
type sharedConn struct {
	pool    *Pool
	address netip.AddrPort
}

// Invoke makes a unary call.
func (c *sharedConn) Invoke(ctx context.Context, method string, args any, reply any, opts ...grpc.CallOption) error {
	pc, err := c.pool.acquire(c.address)
	if err != nil {
		return err
	}
	defer c.pool.release(pc)
	return pc.cc.Invoke(ctx, method, args, reply, opts...)
}

// NewStream opens a stream.
func (c *sharedConn) NewStream(ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	pc, err := c.pool.acquire(c.address)
	if err != nil {
		return nil, err
	}
	// OnFinish is called both for streams that end and for those that can't be opened.
	release := sync.OnceFunc(func() {
		c.pool.release(pc)
	})
	opts = append(opts, grpc.OnFinish(func(error) {
		release()
	}))
	return pc.cc.NewStream(ctx, desc, method, opts...)
}
