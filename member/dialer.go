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

// Purpose says what a connection is for.
type Purpose string

// The purposes of connections.
const (
	// PurposeControl is for the state of the member and for promotions.
	PurposeControl Purpose = "control"

	// PurposeLane is for callers' statements.
	PurposeLane Purpose = "lane"

	// PurposeSlots holds the slot locks of a lane.
	PurposeSlots Purpose = "slots"
)

// application is the first part of the application name of all connections.
const application = "egretlane"

const (
	// defaultSilence is the time after which unanswered data ends a connection.
	defaultSilence = 4 * time.Second

	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer opens connections to members.
//
// It is ready once its fields are set, and is safe for concurrent use.
type Dialer struct {
	// NodeID is this proxy's ID. It has no slash.
	NodeID string

	// User is the name that the proxy has on members.
	User string

	// Password proves User. It may be empty.
	Password string

	// Database is the database on the members.
	Database string

	// TLS is used on all connections, or nil for none.
	TLS *tls.Config

	// Addresses replaces members' addresses, or is nil.
	Addresses *egret.AddressMap

	// Silence is the time after which unanswered data ends a connection. Zero is 4 s.
	Silence time.Duration
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

// config takes nothing from the process's environment that the fields don't set.
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

// tls returns the configuration for a member, whose certificate has to name the address of the tables,
// whatever address is dialled in its place.
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

// dial sets the limits by which the kernel finds silent connections.
func (d *Dialer) dial(ctx context.Context, network string, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: d.limitSilence,
	}
	return dialer.DialContext(ctx, network, address)
}

func (d *Dialer) limitSilence(_ string, _ string, c syscall.RawConn) error {
	silence := d.Silence
	if silence == 0 {
		silence = defaultSilence
	}
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if controlErr != nil {
		return errors.Trace(controlErr)
	}
	return errors.Trace(err)
}

// ApplicationName returns the application name of a proxy's connections.
func ApplicationName(nodeID string, p Purpose) string {
	return fmt.Sprintf("%s/%s/%s", application, nodeID, p)
}

// ParseApplicationName returns the node and the purpose of an application name. It returns false
// for connections of others.
func ParseApplicationName(name string) (string, Purpose, bool) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 || parts[0] != application {
		return "", "", false
	}
	return parts[1], Purpose(parts[2]), true
}
