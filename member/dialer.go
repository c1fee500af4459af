package member

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"egretlane.example/egret"
)

// Purpose is what a connection is for. It is part of the connection's application name.
type Purpose string

// The purposes of connections.
const (
	// PurposeControl is for the member's state and for promotions.
	PurposeControl Purpose = "control"

	// PurposeLane is for callers' statements.
	PurposeLane Purpose = "lane"

	// PurposeSlots holds the slot locks of a lane.
	PurposeSlots Purpose = "slots"
)

// applicationPrefix is the first part of the application name of every connection.
const applicationPrefix = "egretlane"

const (
	// defaultTCPUserTimeout is the time after which unacknowledged data closes a connection.
	defaultTCPUserTimeout = 4 * time.Second

	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer opens connections to members.
//
// It is ready for use once its fields are set, and safe for concurrent use.
type Dialer struct {
	// NodeID is this proxy's ID. It must not contain a slash.
	NodeID string

	// User is the proxy's user name on the members.
	User string

	// Password is the password of User. It may be empty.
	Password string

	// Database is the database on the members.
	Database string

	// TLS is the configuration for all connections, or nil for connections without TLS.
	TLS *tls.Config

	// Addresses replaces members' addresses before they are dialled. It may be nil.
	Addresses *egret.AddressMap

	// TCPUserTimeout is the time after which unacknowledged data closes a connection. Zero stands for 4 s.
	TCPUserTimeout time.Duration
}

// Connect opens a connection for the purpose.
func (d *Dialer) Connect(ctx context.Context, m egret.Member, p Purpose) (*pgconn.PgConn, error) {
	config, err := d.config(m, p)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, errors.Annotatef(err, "member %s", m.Name)
	}
	return conn, nil
}

// config returns a configuration in which the fields replace all that pgconn takes from the process's environment.
func (d *Dialer) config(m egret.Member, p Purpose) (*pgconn.Config, error) {
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.Trace(err)
	}
	address := d.resolve(m.Address)
	config.Host = address.Addr().String()
	config.Port = address.Port()
	config.User = d.User
	config.Password = d.Password
	config.Database = d.Database
	config.TLSConfig = d.tls(m)
	config.ConnectTimeout = 0
	config.Fallbacks = nil
	config.ValidateConnect = nil
	config.DialFunc = d.dial
	config.RuntimeParams = map[string]string{
		"application_name": ApplicationName(d.NodeID, p),
	}
	return config, nil
}

// tls returns the TLS configuration for a member. The member's certificate has to name its address in the tables, even
// if another address is dialled in its place.
func (d *Dialer) tls(m egret.Member) *tls.Config {
	if d.TLS == nil {
		return nil
	}
	c := d.TLS.Clone()
	c.ServerName = m.Address.Addr().String()
	return c
}

func (d *Dialer) resolve(a netip.AddrPort) netip.AddrPort {
	if d.Addresses == nil {
		return a
	}
	return d.Addresses.Resolve(a)
}

// dial opens a TCP connection with the limits by which the kernel detects a peer that doesn't respond.
func (d *Dialer) dial(ctx context.Context, network string, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: d.setTCPUserTimeout,
	}
	return dialer.DialContext(ctx, network, address)
}

func (d *Dialer) setTCPUserTimeout(_ string, _ string, c syscall.RawConn) error {
	timeout := d.TCPUserTimeout
	if timeout == 0 {
		timeout = defaultTCPUserTimeout
	}
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if controlErr != nil {
		return errors.Trace(controlErr)
	}
	return errors.Trace(err)
}

// ApplicationName returns the application name of a proxy's connections.
func ApplicationName(nodeID string, p Purpose) string {
	return fmt.Sprintf("%s/%s/%s", applicationPrefix, nodeID, p)
}

// ParseApplicationName returns the node ID and the purpose in an application name. It returns false if the name isn't
// that of an egretlane connection.
func ParseApplicationName(name string) (string, Purpose, bool) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 || parts[0] != applicationPrefix {
		return "", "", false
	}
	return parts[1], Purpose(parts[2]), true
}
