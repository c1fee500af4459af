// Package dial holds the connections between proxies and counts what goes over them.
//
// A Pool has at most one connection for each address in use. It is made at the first call, dropped
// when it isn't used, and replaced by Renew when it has gone silent:
//
//	p := dial.Pool{Idle: 10 * time.Minute}
//	cc := p.Conn(address)
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

// Times and sizes of connections.
const (
	// keepaliveTime is the shortest that grpc allows.
	keepaliveTime = 10 * time.Second

	// keepaliveTimeout bounds, as the TCP user timeout, how long sent bytes may stay unacknowledged.
	keepaliveTimeout = 2 * time.Second

	connectTimeout  = time.Second
	redialBase      = 100 * time.Millisecond
	redialMaximum   = 2 * time.Second
	drainTime       = 30 * time.Second
	sweepInterval   = 30 * time.Second
	streamWindow    = 256 << 10
	connWindow      = 1 << 20
	connBuffer      = 8 << 10
	defaultIdleTime = 10 * time.Minute
)

// ExchangeMethod is the full name of the heartbeat's method. Heartbeats have no spans.
const ExchangeMethod = "/egretlane.peer.Peer/Exchange"

// Pool holds the connections to the other proxies.
type Pool struct {
	// Map replaces addresses before they are dialled.
	Map egret.AddressMap

	// Credentials secures connections. Nil leaves them in plain text.
	Credentials credentials.TransportCredentials

	// Dialer opens connections. Nil opens TCP connections.
	Dialer Dialer

	// Tracer makes the spans. Nil takes the process's own.
	Tracer trace.TracerProvider

	// Idle is how long a connection without calls is kept. Zero keeps it for ten minutes.
	Idle time.Duration

	// Meter counts bytes. It may be nil.
	Meter *Meter

	mu    sync.Mutex
	links map[netip.AddrPort]*link
}

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// link is one connection and its use.
type link struct {
	open Dialer
	cc   *grpc.ClientConn

	// refused is set while the newest attempt to connect was refused by the host.
	refused atomic.Bool

	// Guarded by the pool's mu.
	active int
	used   time.Time
}

// Conn returns a connection to the proxy at the address. It dials when a call needs it, and stays
// valid while the pool replaces what is below it.
func (p *Pool) Conn(a netip.AddrPort) (grpc.ClientConnInterface, error) {
	if !a.IsValid() {
		return nil, errors.NotValidf("address %q of a proxy", a)
	}
	return &conn{
		pool:    p,
		address: a,
	}, nil
}

// Renew makes the next calls to the address use a new connection. Calls that run on the old one
// may end there.
func (p *Pool) Renew(a netip.AddrPort) {
	p.mu.Lock()
	l := p.links[a]
	delete(p.links, a)
	p.mu.Unlock()
	if l != nil {
		p.drain(l)
	}
}

// Run drops idle connections until the context ends, and then all.
func (p *Pool) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	defer p.close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			p.sweep(now)
		}
	}
}

// Refused reports whether the host of the address refused the newest attempt to connect.
func (p *Pool) Refused(a netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[a]
	return ok && l.refused.Load()
}

// Links returns how many connections the pool holds.
func (p *Pool) Links() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, l := range p.links {
		_ = l.cc.Close()
		delete(p.links, a)
	}
}

func (p *Pool) sweep(now time.Time) {
	idle := p.Idle
	if idle == 0 {
		idle = defaultIdleTime
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, l := range p.links {
		if l.active == 0 && now.Sub(l.used) > idle {
			_ = l.cc.Close()
			delete(p.links, a)
		}
	}
}

// drain closes a replaced connection when its calls have ended, or after drainTime.
func (p *Pool) drain(l *link) {
	p.mu.Lock()
	idle := l.active == 0
	p.mu.Unlock()
	if idle {
		_ = l.cc.Close()
		return
	}
	time.AfterFunc(drainTime, func() {
		_ = l.cc.Close()
	})
}

// take returns the link to the address and counts a call on it.
func (p *Pool) take(a netip.AddrPort) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[a]
	if !ok {
		l = &link{
			open: p.Dialer,
		}
		if l.open == nil {
			l.open = dialTCP
		}
		cc, err := p.dial(a, l)
		if err != nil {
			return nil, err
		}
		l.cc = cc
		if p.links == nil {
			p.links = map[netip.AddrPort]*link{}
		}
		p.links[a] = l
	}
	l.active++
	l.used = time.Now()
	return l, nil
}

func (p *Pool) release(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.active--
	l.used = time.Now()
}

func (p *Pool) dial(a netip.AddrPort, l *link) (*grpc.ClientConn, error) {
	secure := p.Credentials
	if secure == nil {
		secure = insecure.NewCredentials()
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(secure),
		grpc.WithContextDialer(l.connect),
		grpc.WithConnectParams(connectParams()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    keepaliveTime,
			Timeout: keepaliveTimeout,
		}),
		grpc.WithStaticStreamWindowSize(streamWindow),
		grpc.WithStaticConnWindowSize(connWindow),
		grpc.WithReadBufferSize(connBuffer),
		grpc.WithWriteBufferSize(connBuffer),
		grpc.WithDisableServiceConfig(),
		grpc.WithStatsHandler(p.traces()),
	}
	if p.Meter != nil {
		options = append(options, grpc.WithStatsHandler(p.Meter.Client(a)))
	}
	cc, err := grpc.NewClient("passthrough:///"+p.Map.Resolve(a).String(), options...)
	if err != nil {
		return nil, errors.Annotatef(err, "proxy at %s", a)
	}
	return cc, nil
}

// traces makes spans for all calls but the heartbeats.
func (p *Pool) traces() stats.Handler {
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

// connect opens a connection and notes whether the host refused it.
func (l *link) connect(ctx context.Context, address string) (net.Conn, error) {
	c, err := l.open(ctx, address)
	l.refused.Store(errors.Is(err, syscall.ECONNREFUSED))
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
			BaseDelay:  redialBase,
			Multiplier: 1.6,
			Jitter:     0.2,
			MaxDelay:   redialMaximum,
		},
		MinConnectTimeout: connectTimeout,
	}
}

// conn is a connection whose link may be replaced between calls.
type conn struct {
	pool    *Pool
	address netip.AddrPort
}

// Invoke runs a unary call.
func (c *conn) Invoke(ctx context.Context, method string, args any, reply any, opts ...grpc.CallOption) error {
	l, err := c.pool.take(c.address)
	if err != nil {
		return err
	}
	defer c.pool.release(l)
	return l.cc.Invoke(ctx, method, args, reply, opts...)
}

// NewStream opens a stream.
func (c *conn) NewStream(ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	l, err := c.pool.take(c.address)
	if err != nil {
		return nil, err
	}
	// OnFinish runs for streams that end and for those that can't be opened.
	release := sync.OnceFunc(func() {
		c.pool.release(l)
	})
	opts = append(opts, grpc.OnFinish(func(error) {
		release()
	}))
	return l.cc.NewStream(ctx, desc, method, opts...)
}
