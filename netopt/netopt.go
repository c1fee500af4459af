// Package netopt opens TCP connections that detect an unreachable peer within seconds.
//
// A network link may fail without a reset of its connections. A connection with unacknowledged data is closed after
// the TCP user timeout, and an idle connection is checked with keep-alive probes:
//
//	d := netopt.Dialer{ConnectTimeout: time.Second}
//	c, err := d.Dial(ctx, address)
package netopt

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent data may remain unacknowledged. It allows for several round trips between
	// regions with retransmissions, and it is shorter than the time that callers wait for a response.
	userTimeout = 1500 * time.Millisecond

	// keepAliveIdle and keepAliveInterval are the shortest times that the kernel accepts for keep-alive probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer opens connections.
type Dialer struct {
	// ConnectTimeout is the timeout for opening a connection.
	ConnectTimeout time.Duration
}

// Dial opens a connection to the address, which must be an IPv4 address.
func (d *Dialer) Dial(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	n := net.Dialer{
		Timeout:         d.ConnectTimeout,
		KeepAliveConfig: KeepAliveConfig(),
		Control:         setUserTimeout,
	}
	return n.DialContext(ctx, "tcp4", a.String())
}

// KeepAliveConfig returns the configuration of the probes on idle connections.
func KeepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
}

// Listen opens a listener whose connections detect an unreachable peer in the same way.
func Listen(ctx context.Context, a netip.AddrPort) (net.Listener, error) {
	l := net.ListenConfig{
		KeepAliveConfig: KeepAliveConfig(),
		Control:         setUserTimeout,
	}
	return l.Listen(ctx, "tcp4", a.String())
}

// setUserTimeout sets the TCP user timeout of a socket. Accepted connections inherit it from their listener.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
