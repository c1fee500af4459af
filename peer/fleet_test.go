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

// network carries the connections between the proxies of a test. It counts bytes and can be cut.
type network struct {
	bytes atomic.Int64

	mu sync.Mutex
	// cut reports whether nothing passes between two addresses.
	cut func(from, to string) bool
}

// part makes what passes depend on cut, for open connections, too.
func (n *network) part(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *network) passes(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut == nil || !n.cut(from, to)
}

// dialer opens connections of the proxy at an address.
func (n *network) dialer(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if !n.passes(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		d := net.Dialer{}
		c, err := d.DialContext(ctx, "tcp", to)
		return &wireConn{
			Conn:    c,
			network: n,
			from:    from,
			to:      to,
		}, err
	}
}

// wireConn loses what is written or read while the network is cut.
type wireConn struct {
	net.Conn
	network *network
	from    string
	to      string
}

func (c *wireConn) Write(b []byte) (int, error) {
	if !c.network.passes(c.from, c.to) {
		return len(b), nil
	}
	c.network.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func (c *wireConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.network.bytes.Add(int64(n))
		if err != nil || c.network.passes(c.from, c.to) {
			return n, err
		}
	}
}

// proxy is a mesh with its server.
type proxy struct {
	*Mesh
	stop   context.CancelFunc
	server *grpc.Server
	tables *tables
	done   chan struct{}
}

// tables stands for the package that keeps the tables. The encoded tables are their revision.
type tables struct {
	now atomic.Pointer[egret.Tables]
}

func (t *tables) bytes() (uint64, []byte) {
	if v := t.now.Load(); v != nil {
		return v.Revision, []byte("tables")
	}
	return 0, nil
}

func (t *tables) offer(revision uint64, _ []byte) error {
	t.now.Store(&egret.Tables{
		Revision: revision,
	})
	return nil
}

// fleet is the proxies of a test, in two regions of two failure domains each.
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
		tables: &tables{},
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
		Dialer:        f.network.dialer(address.String()),
		CurrentTables: p.tables.now.Load,
		TablesBytes:   p.tables.bytes,
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

// kill ends a proxy as a killed process does: its connections are closed.
func (p *proxy) kill() {
	p.stop()
	p.server.Stop()
	<-p.done
}

// newFleet starts proxies that join by the first, and waits until all know all.
func newFleet(tb testing.TB, size int) *fleet {
	tb.Helper()
	f := &fleet{
		network: &network{},
	}
	first := f.add(tb)
	for range size - 1 {
		f.add(tb, first.Node.Address)
	}
	f.wait(tb, "all know all", func() bool {
		return f.agree(size)
	})
	return f
}

// agree reports whether each proxy that runs counts so many live ones.
func (f *fleet) agree(live int) bool {
	for _, p := range f.running() {
		if len(p.Live()) != live {
			return false
		}
	}
	return true
}

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

// wait fails the test if the condition doesn't come true within a bound that no run comes near.
func (f *fleet) wait(tb testing.TB, what string, condition func() bool) time.Duration {
	tb.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > 30*time.Second {
			for _, p := range f.running() {
				tb.Logf("%s counts %d live", p.Node.ID, len(p.Live()))
			}
			tb.Fatalf("not within 30 s: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
	took := time.Since(start)
	tb.Logf("%s after %v", what, took.Round(time.Millisecond))
	return took
}
