package main

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"egretlane.example/egret"
	"egretlane.example/egret/spans"
)

// environmentPrefix starts the names of the environment variables.
const environmentPrefix = "EGRETLANE_"

// Settings are the flags as the operator wrote them.
type Settings struct {
	nodeID, region, domain                      string
	callerListen, peerListen, operatorListen    string
	peerAddress                                 string
	store, tablesKey, vmList                    string
	seedPeers, addressMap                       []string
	tokenKeyFile, callerCredentials             string
	memberUser, memberPasswordFile              string
	memberDatabase                              string
	callerTLSCert, callerTLSKey, callerTLSCA    string
	peerTLSCert, peerTLSKey, peerTLSCA          string
	memberTLSCA                                 string
	trace, logLevel                             string
	traceRatio                                  float64
	statementLimit, sessionLimit                int
	replicaWait, transactionIdle, shutdownGrace time.Duration
	readyDelay                                  time.Duration
	requireCallerTLS, enableProfile             bool
	retryPart                                   float64
}

// Config is what the settings mean. It holds only values that were checked.
type Config struct {
	// Self is this proxy, alive, in its first incarnation.
	Self egret.Node

	// Callers, Peers and Operators are where the proxy listens.
	Callers, Peers, Operators netip.AddrPort

	// Store is the platform's store.
	Store netip.AddrPort

	// TablesKey is the store's key of the tables.
	TablesKey string

	// VMList is the URL of the list of VMs. It may be empty.
	VMList string

	// SeedPeers are the peers to ask first.
	SeedPeers []netip.AddrPort

	// Addresses replaces addresses before they are dialled.
	Addresses egret.AddressMap

	// TokenKeyFile has the keys of tokens.
	TokenKeyFile string

	// CallerCredentials has the verifiers of callers. If empty, callers are taken at their word.
	CallerCredentials string

	// MemberUser and MemberPasswordFile are how the proxy logs in at members.
	MemberUser, MemberPasswordFile string

	// MemberDatabase is the database at members.
	MemberDatabase string

	// CallerTLS, PeerTLS and MemberTLS name the files for encryption.
	CallerTLS, PeerTLS, MemberTLS TLSFiles

	// RequireCallerTLS refuses callers that don't encrypt.
	RequireCallerTLS bool

	// Trace says where spans go.
	Trace spans.Export

	// TraceRatio is the part of traces recorded that no caller has asked for.
	TraceRatio float64

	// LogLevel is the lowest level that is logged.
	LogLevel log.Level

	// StatementLimit is the size of the largest batch, in bytes.
	StatementLimit int

	// SessionLimit is the highest number of callers' connections.
	SessionLimit int

	// ReplicaWait is how long a replica may take to reach a floor.
	ReplicaWait time.Duration

	// TransactionIdle is how long a transaction may stay open without a request.
	TransactionIdle time.Duration

	// ShutdownGrace is how long a shutdown waits for transactions.
	ShutdownGrace time.Duration

	// ReadyDelay is how long a shutdown waits, unready, for the balancer to notice.
	ReadyDelay time.Duration

	// RetryPart is how many tries again a first try earns.
	RetryPart float64

	// Profile adds profiles to the operators' port.
	Profile bool
}

// TLSFiles names the files of one kind of connection. All may be empty.
type TLSFiles struct {
	// Cert and Key are this proxy's certificate.
	Cert, Key string

	// CA has the authorities that the other side is checked by.
	CA string
}

// flags returns the flags in the order of the page of settings.
func (s *Settings) flags() []cli.Flag {
	f := s.addressFlags()
	f = append(f, s.platformFlags()...)
	f = append(f, s.securityFlags()...)
	return append(f, s.limitFlags()...)
}

func (s *Settings) addressFlags() []cli.Flag {
	return []cli.Flag{
		text("node-id", "name of this proxy, unique among proxies; a restarted proxy may keep it", "", &s.nodeID),
		text("region", "region of this VM", "", &s.region),
		text("failure-domain", "failure domain of this VM", "", &s.domain),
		text("caller-listen", "IP:port for callers (PostgreSQL protocol)", "", &s.callerListen),
		text("peer-listen", "IP:port for other proxies (gRPC)", "", &s.peerListen),
		text("peer-address", "IP:port that other proxies reach this one at; that of peer-listen if empty", "", &s.peerAddress),
		text("operator-listen", "IP:port for operators (HTTP): /live, /ready, /metrics, /status", "", &s.operatorListen),
		&cli.StringSliceFlag{
			Name:        "seed-peer",
			Usage:       "IP:port of a proxy to ask at the start; repeatable",
			Sources:     source("seed-peer"),
			Destination: &s.seedPeers,
		},
		&cli.StringSliceFlag{
			Name:        "address-map",
			Usage:       "FROM=TO, each IP:port: dial TO where FROM is meant; repeatable",
			Sources:     source("address-map"),
			Destination: &s.addressMap,
		},
	}
}

func (s *Settings) platformFlags() []cli.Flag {
	return []cli.Flag{
		text("store", "IP:port of the platform's store", "", &s.store),
		text("tables-key", "key of the tables in the store", "egretlane/tables", &s.tablesKey),
		text("vm-list", "URL of the platform's list of VMs; none if empty", "", &s.vmList),
		text("member-user", "user name at backend servers", "egretlane", &s.memberUser),
		text("member-database", "database at backend servers, for pools that name none", "postgres", &s.memberDatabase),
		text("member-password-file", "file with the password at backend servers; none if empty", "", &s.memberPasswordFile),
	}
}

func (s *Settings) securityFlags() []cli.Flag {
	return []cli.Flag{
		text("token-key-file", "file with the keys of session tokens, one a line, the newest first; the same on every proxy", "", &s.tokenKeyFile),
		text("caller-credentials-file", "file with NAME:VERIFIER for SCRAM-SHA-256; callers are taken at their word if empty", "", &s.callerCredentials),
		text("caller-tls-cert", "certificate shown to callers", "", &s.callerTLSCert),
		text("caller-tls-key", "key of caller-tls-cert", "", &s.callerTLSKey),
		text("caller-tls-ca", "authorities of callers' certificates, whose common name is the caller", "", &s.callerTLSCA),
		flag("require-caller-tls", "refuse callers that don't encrypt", &s.requireCallerTLS),
		text("peer-tls-cert", "certificate shown to peers; with it, peers must show one too", "", &s.peerTLSCert),
		text("peer-tls-key", "key of peer-tls-cert", "", &s.peerTLSKey),
		text("peer-tls-ca", "authorities of peers' certificates", "", &s.peerTLSCA),
		text("member-tls-ca", "authorities of backend servers' certificates; no encryption if empty", "", &s.memberTLSCA),
	}
}

func (s *Settings) limitFlags() []cli.Flag {
	return []cli.Flag{
		number("statement-limit", "size of the largest batch of messages, in bytes", 1<<20, &s.statementLimit),
		number("session-limit", "highest number of callers' connections", 20000, &s.sessionLimit),
		duration("replica-wait", "how long a replica may take to reach a session's floor", 50*time.Millisecond, &s.replicaWait),
		duration("transaction-idle", "how long a transaction may stay open without a request", 30*time.Second, &s.transactionIdle),
		duration("shutdown-grace", "how long a shutdown waits for open transactions", 30*time.Second, &s.shutdownGrace),
		duration("ready-delay", "how long a shutdown waits, unready, for the balancer to notice", 0, &s.readyDelay),
		share("retry-part", "how many tries again each request earns, over all requests", 0.1, &s.retryPart),
		text("trace", "where spans go: off, stdout or otlp", "off", &s.trace),
		share("trace-ratio", "part of traces recorded that no caller has asked for", 0.01, &s.traceRatio),
		text("log-level", "lowest level that is logged: debug, info, warn or error", "info", &s.logLevel),
		flag("profile", "serve profiles on the operators' port", &s.enableProfile),
	}
}

func source(name string) cli.ValueSourceChain {
	return cli.EnvVars(environmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

func text(name, usage, value string, to *string) cli.Flag {
	return &cli.StringFlag{
		Name:        name,
		Usage:       usage,
		Value:       value,
		Sources:     source(name),
		Destination: to,
	}
}

func flag(name, usage string, to *bool) cli.Flag {
	return &cli.BoolFlag{
		Name:        name,
		Usage:       usage,
		Sources:     source(name),
		Destination: to,
	}
}

func number(name, usage string, value int, to *int) cli.Flag {
	return &cli.IntFlag{
		Name:        name,
		Usage:       usage,
		Value:       value,
		Sources:     source(name),
		Destination: to,
	}
}

func share(name, usage string, value float64, to *float64) cli.Flag {
	return &cli.FloatFlag{
		Name:        name,
		Usage:       usage,
		Value:       value,
		Sources:     source(name),
		Destination: to,
	}
}

func duration(name, usage string, value time.Duration, to *time.Duration) cli.Flag {
	return &cli.DurationFlag{
		Name:        name,
		Usage:       usage,
		Value:       value,
		Sources:     source(name),
		Destination: to,
	}
}

// checker collects the faults of settings.
type checker struct {
	faults []string
}

func (c *checker) addf(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return errors.NotValidf("settings: %d faults:\n  %s\nthe settings are", len(c.faults), strings.Join(c.faults, "\n  "))
}

func (c *checker) need(name, value string) {
	if value == "" {
		c.addf("--%s is missing", name)
	}
}

// address parses an address that must be given.
func (c *checker) address(name, value string) netip.AddrPort {
	c.need(name, value)
	if value == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.addf("--%s: %v", name, err)
	}
	return a
}

func (c *checker) file(name, path string) {
	if path == "" {
		return
	}
	f, err := os.Open(path)
	if err != nil {
		c.addf("--%s: %v", name, err)
		return
	}
	_ = f.Close()
}

func (c *checker) together(a, b string, left, right string) {
	if (left == "") != (right == "") {
		c.addf("--%s and --%s go together", a, b)
	}
}

func (c *checker) between(name string, value, low, high float64) {
	if value < low || value > high {
		c.addf("--%s: %v is not between %v and %v", name, value, low, high)
	}
}
