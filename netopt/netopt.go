// Package netopt opens TCP connections that notice a silent peer.
//
// A link may go silent without a reset. Unacknowledged bytes end a connection after the user
// timeout, and an idle one is probed:
//
//	d := netopt.Dialer{Connect: time.Second}
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
	// userTimeout is how long sent bytes may stay unacknowledged. It is several round trips
	// between regions with retransmissions, and below the time that callers wait for an answer.
	userTimeout = 1500 * time.Millisecond

	// probeIdle and probeInterval are the shortest times that the kernel takes for keep-alive.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Dialer opens connections.
type Dialer struct {
	// Connect bounds the opening of a connection.
	Connect time.Duration
}

// Dial opens a connection to the address.
func (d *Dialer) Dial(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	n := net.Dialer{
		Timeout:         d.Connect,
		KeepAliveConfig: KeepAlive(),
		Control:         control,
	}
	return n.DialContext(ctx, "tcp4", a.String())
}

// KeepAlive returns the probes of idle connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     probeIdle,
		Interval: probeInterval,
		Count:    probeCount,
	}
}

// Listen opens a listener whose connections notice a silent peer.
func Listen(ctx context.Context, a netip.AddrPort) (net.Listener, error) {
	l := net.ListenConfig{
		KeepAliveConfig: KeepAlive(),
		Control:         control,
	}
	return l.Listen(ctx, "tcp4", a.String())
}

// control sets the user timeout, which accepted connections inherit from their listener.
func control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
