// Package store speaks to the platform's key-value service.
//
// Each call has a timeout. One that gets no answer at all closes its connection, so that a
// connection that has gone silent costs one call only:
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

// The bounds of a Client that sets none.
const (
	// DefaultTimeout bounds a call. It leaves a slow store time to answer.
	DefaultTimeout = 5 * time.Second

	// DefaultWatchWait is how long the store holds a watch back.
	DefaultWatchWait = 10 * time.Second
)

// The bounds of a connection.
const (
	// reconnectDelay is the first pause between two attempts to connect.
	reconnectDelay = 100 * time.Millisecond

	// maxReconnectDelay is the longest pause between two attempts to connect.
	maxReconnectDelay = 3 * time.Second

	// connectTimeout bounds an attempt to connect.
	connectTimeout = 2 * time.Second

	// keepaliveInterval is the silence after which an idle connection is checked.
	keepaliveInterval = 10 * time.Second

	// keepaliveTimeout is how long the answer to a check may take.
	keepaliveTimeout = 3 * time.Second

	// maxMessageBytes is above the largest value that the store holds.
	maxMessageBytes = 8 << 20
)

// Client implements egret.Store. Its exported fields are set before the first call.
type Client struct {
	// Address is where the store is reached.
	Address netip.AddrPort

	// Timeout bounds each call. Zero means DefaultTimeout.
	Timeout time.Duration

	// WatchWait is how long the store holds back a watch of a key that doesn't change. Zero means
	// DefaultWatchWait.
	WatchWait time.Duration

	// Options are added to those of the connection.
	Options []grpc.DialOption

	counts counts

	// mu guards the fields below.
	mu sync.Mutex

	// conn carries the calls. It is nil before the first and after Close.
	conn *grpc.ClientConn
}

var _ egret.Store = (*Client)(nil)

// Close ends the connection. A later call opens a new one.
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

// connection returns the connection for a call.
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

// drop closes a connection that gave no answer.
func (c *Client) drop(conn *grpc.ClientConn) {
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
				BaseDelay:  reconnectDelay,
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

// call runs one remote call within its timeout.
func (c *Client) call(ctx context.Context, k kind, timeout time.Duration, run func(ctx context.Context, s storpb.StoreClient) error) error {
	conn, err := c.connection()
	if err != nil {
		return errors.Trace(err)
	}
	bound, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = run(bound, storpb.NewStoreClient(conn))
	if err != nil && bound.Err() != nil && ctx.Err() == nil {
		c.drop(conn)
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

func (c *Client) watchWait() time.Duration {
	if c.WatchWait > 0 {
		return c.WatchWait
	}
	return DefaultWatchWait
}
