package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"egretlane.example/egret"
)

// network opens the connections between the proxies of a test. It counts bytes and can simulate a partition.
type network struct {
	bytes atomic.Int64

	mu sync.Mutex
	// blocked reports whether traffic between two addresses is dropped.
	blocked func(from, to string) bool
}

// partition drops the traffic for which blocked returns true, also on open connections. Nil ends the partition.
func (n *network) partition(blocked func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
}

func (n *network) passes(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked == nil || !n.blocked(from, to)
}

// dialerFrom returns a dialer for the proxy at the address from.
func (n *network) dialerFrom(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if !n.passes(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		d := net.Dialer{}
		c, err := d.DialContext(ctx, "tcp", to)
		return &droppingConn{
			Conn:    c,
			network: n,
			from:    from,
			to:      to,
		}, err
	}
}

// droppingConn drops the bytes that are written or read while the network is partitioned.
type droppingConn struct {
	net.Conn
	network *network
	from    string
	to      string
}

func (c *droppingConn) Write(b []byte) (int, error) {
	if !c.network.passes(c.from, c.to) {
		return len(b), nil
	}
	c.network.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func (c *droppingConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.network.bytes.Add(int64(n))
		if err != nil || c.network.passes(c.from, c.to) {
			return n, err
		}
	}
}

// proxy is a running mesh with its gRPC server.
type proxy struct {
	*Mesh
	stop   context.CancelFunc
	server *grpc.Server
	tables *fakeTables
	done   chan struct{}
}

// fakeTables stands in for the package that stores the tables. It doesn't decode tables: only their revision counts.
type fakeTables struct {
	now atomic.Pointer[egret.Tables]
}

func (t *fakeTables) bytes() (uint64, []byte) {
	if v := t.now.Load(); v != nil {
		return v.Revision, []byte("tables")
	}
	return 0, nil
}

func (t *fakeTables) offer(revision uint64, _ []byte) error {
	t.now.Store(&egret.Tables{
		Revision: revision,
	})
	return nil
}

// fleet is the set of proxies of a test, in two regions of two failure domains each.
type fleet struct {
	network *network
	proxies []*proxy
	timing  Timing
}

func (f *fleet) add(tb testing.TB, seeds ...netip.AddrPort) *proxy {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	i := len(f.proxies)
	p := &proxy{
		tables: &fakeTables{},
		done:   make(chan struct{}),
	}
	address := l.Addr().(*net.TCPAddr).AddrPort()
	p.Mesh = &Mesh{
		Node: egret.Node{
			ID:      fmt.Sprintf("proxy-%d", i+1),
			Address: address,
			Region:  fmt.Sprintf("region-%d", i%2),
			Domain:  fmt.Sprintf("domain-%d", i%4),
		},
		Seeds:         seeds,
		Timing:        f.timing,
		Dialer:        f.network.dialerFrom(address.String()),
		CurrentTables: p.tables.now.Load,
		EncodedTables: p.tables.bytes,
		OfferTables:   p.tables.offer,
	}
	p.server = grpc.NewServer(p.ServerOptions()...)
	p.Register(p.server)
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go p.server.Serve(l)
	go func() {
		defer close(p.done)
		p.Run(ctx)
	}()
	f.proxies = append(f.proxies, p)
	tb.Cleanup(p.kill)
	return p
}

// kill stops a proxy without a graceful leave. Its connections are closed, as for a killed process.
func (p *proxy) kill() {
	p.stop()
	p.server.Stop()
	<-p.done
}

// newFleet starts proxies that join through the first one, and waits until each counts all of them as live.
func newFleet(tb testing.TB, size int) *fleet {
	tb.Helper()
	f := &fleet{
		network: &network{},
	}
	first := f.add(tb)
	for range size - 1 {
		f.add(tb, first.Node.Address)
	}
	f.waitFor(tb, "all proxies are live for all", func() bool {
		return f.allCountLive(size)
	})
	return f
}

// allCountLive reports whether each running proxy counts the given number of live ones.
func (f *fleet) allCountLive(live int) bool {
	for _, p := range f.running() {
		if len(p.Live()) != live {
			return false
		}
	}
	return true
}

// running returns the proxies that haven't been stopped.
func (f *fleet) running() []*proxy {
	running := []*proxy{}
	for _, p := range f.proxies {
		select {
		case <-p.done:
		default:
			running = append(running, p)
		}
	}
	return running
}

// waitFor waits for the condition and returns how long that took. It fails the test after 30 s, far longer than any
// run takes.
func (f *fleet) waitFor(tb testing.TB, what string, condition func() bool) time.Duration {
	tb.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > 30*time.Second {
			for _, p := range f.running() {
				tb.Logf("%s counts %d live", p.Node.ID, len(p.Live()))
			}
			tb.Fatalf("condition not met within 30 s: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
	took := time.Since(start)
	tb.Logf("%s after %v", what, took.Round(time.Millisecond))
	return took
}
