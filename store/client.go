// Package store is a client of the platform's key-value service.
//
// Each call has a timeout. A call that times out closes its connection, so that a connection that has silently
// failed delays only the calls that are using it:
//
//	c := &store.Client{
//		Address: netip.MustParseAddrPort("127.0.0.1:6400"),
//	}
//	defer c.Close()
//	v, err := c.Get(ctx, "egretlane/tables")
package store

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/storpb"
)

// Defaults of the fields of Client.
const (
	// DefaultTimeout is the default timeout of a call. It allows for a slow store.
	DefaultTimeout = 5 * time.Second

	// DefaultLongPollTimeout is the default of Client.LongPollTimeout.
	DefaultLongPollTimeout = 10 * time.Second
)

// Parameters of a connection.
const (
	// minReconnectDelay is the first delay between two attempts to connect.
	minReconnectDelay = 100 * time.Millisecond

	// maxReconnectDelay is the longest delay between two attempts to connect.
	maxReconnectDelay = 3 * time.Second

	// connectTimeout is the timeout of an attempt to connect.
	connectTimeout = 2 * time.Second

	// keepaliveInterval is the time without traffic after which a keepalive ping is sent.
	keepaliveInterval = 10 * time.Second

	// keepaliveTimeout is the timeout of the reply to a keepalive ping.
	keepaliveTimeout = 3 * time.Second

	// maxMessageBytes is the maximum size of a response. It is above the size of the largest value in the store.
	maxMessageBytes = 8 << 20
)

// Client implements egret.Store. Its exported fields must be set before the first call.
type Client struct {
	// Address is the address of the store.
	Address netip.AddrPort

	// Timeout is the timeout of each call. Zero means DefaultTimeout. Watch adds it to LongPollTimeout.
	Timeout time.Duration

	// LongPollTimeout is how long the store waits for a change of the key before it answers a watch request. Zero
	// means DefaultLongPollTimeout.
	LongPollTimeout time.Duration

	// Options are appended to the client's own dial options.
	Options []grpc.DialOption

	counts callCounts

	// mu guards the fields below.
	mu sync.Mutex

	// conn is shared by all calls. It is nil before the first call, after Close and after a timeout.
	conn *grpc.ClientConn
}

var _ egret.Store = (*Client)(nil)

// Close closes the connection. A later call opens a new one.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return nil
	}
	err := c.conn.Close()
	c.conn = nil
	return errors.Annotate(err, "closing the connection to the store")
}

// connection returns the shared connection, which it creates if there is none.
func (c *Client) connection() (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+c.Address.String(), c.options()...)
	if err != nil {
		return nil, errors.Annotatef(err, "store %s", c.Address)
	}
	c.conn = conn
	return conn, nil
}

// discard closes a connection on which a call has timed out.
func (c *Client) discard(conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	_ = conn.Close()
}

func (c *Client) options() []grpc.DialOption {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  minReconnectDelay,
				Multiplier: backoff.DefaultConfig.Multiplier,
				Jitter:     backoff.DefaultConfig.Jitter,
				MaxDelay:   maxReconnectDelay,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    keepaliveInterval,
			Timeout: keepaliveTimeout,
		}),
	}
	return append(options, c.Options...)
}

// call runs one remote call with a timeout and counts its result. It discards the connection on a timeout, but not
// if the caller's context ended.
func (c *Client) call(ctx context.Context, k callKind, timeout time.Duration, run func(ctx context.Context, s storpb.StoreClient) error) error {
	conn, err := c.connection()
	if err != nil {
		return errors.Trace(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = run(callCtx, storpb.NewStoreClient(conn))
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		c.discard(conn)
	}
	err = classify(k, err)
	c.counts.add(k, err)
	return errors.Annotatef(err, "store %s: %s", c.Address, k)
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

func (c *Client) longPollTimeout() time.Duration {
	if c.LongPollTimeout > 0 {
		return c.LongPollTimeout
	}
	return DefaultLongPollTimeout
}
