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

// environmentPrefix is the prefix of the environment variables that set flags.
const environmentPrefix = "EGRETLANE_"

// flagValues holds the values of the command-line flags before they are checked.
type flagValues struct {
	nodeID, region, domain                                    string
	callerListen, peerListen, operatorListen                  string
	peerAddress                                               string
	store, tablesKey, vmList                                  string
	seedPeers, addressMap                                     []string
	tokenKeyFile, callerCredentialsFile                       string
	memberUser, memberPasswordFile                            string
	memberDatabase                                            string
	callerTLSCert, callerTLSKey, callerTLSCA                  string
	peerTLSCert, peerTLSKey, peerTLSCA                        string
	memberTLSCA                                               string
	trace, logLevel                                           string
	traceRatio                                                float64
	statementLimit, sessionLimit                              int
	memoryMB, messageMemoryMB                                 int
	descriptors, reservedDescriptors                          int
	handshakeLimit, addressLimit, unreadLimit                 int
	socketBufferKB                                            int
	messageTimeout, answerTimeout                             time.Duration
	replicaWaitTimeout, transactionIdleTimeout, shutdownGrace time.Duration
	unreadyDelay                                              time.Duration
	requireCallerTLS, serveProfiles                           bool
	retryRatio                                                float64
}

// Config is the configuration of a proxy. It holds only values that were checked.
type Config struct {
	// Self is this proxy, with the state alive. The mesh replaces its incarnation at the start.
	Self egret.Node

	// CallerListen, PeerListen and OperatorListen are the addresses that the proxy listens on.
	CallerListen, PeerListen, OperatorListen netip.AddrPort

	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort

	// TablesKey is the key of the tables in the store.
	TablesKey string

	// VMList is the URL of the list of VMs. It may be empty.
	VMList string

	// SeedPeers are the addresses of peers to join through. They need not be reachable.
	SeedPeers []netip.AddrPort

	// AddressMap rewrites addresses before they are dialed.
	AddressMap egret.AddressMap

	// TokenKeyFile is the file with the keys of session tokens.
	TokenKeyFile string

	// CallerCredentialsFile is the file with the SCRAM verifiers of callers. If empty, callers are trusted
	// without a password.
	CallerCredentialsFile string

	// MemberUser and MemberPasswordFile are the user name and the password file for logging in to members.
	MemberUser, MemberPasswordFile string

	// MemberDatabase is the database on members, for pools that name none.
	MemberDatabase string

	// CallerTLS, PeerTLS and MemberTLS name the TLS files for each kind of connection.
	CallerTLS, PeerTLS, MemberTLS TLSFiles

	// RequireCallerTLS makes the proxy refuse callers that don't use TLS.
	RequireCallerTLS bool

	// TraceExport is the destination of spans.
	TraceExport spans.Export

	// TraceRatio is the fraction of traces that are sampled although no caller requested them, from 0 to 1.
	TraceRatio float64

	// LogLevel is the lowest level that is logged.
	LogLevel log.Level

	// StatementLimit is the maximum size of a batch of messages, in bytes.
	StatementLimit int

	// SessionLimit is the maximum number of caller connections.
	SessionLimit int

	// MemoryMB is the memory of the VM and MessageMemoryMB that for long messages and answers, in megabytes. Zero means no limit,
	// and a part of MemoryMB.
	MemoryMB, MessageMemoryMB int

	// Descriptors is the maximum number of files and sockets, or zero for no limit. ReservedDescriptors is how many of them are
	// not for callers.
	Descriptors, ReservedDescriptors int

	// HandshakeLimit, AddressLimit and UnreadLimit are the fields of caller.Server. With Descriptors, a HandshakeLimit of zero
	// means a default.
	HandshakeLimit, AddressLimit, UnreadLimit int

	// SocketBufferKB is the size of each of the system's two buffers of a caller's connection, in kilobytes. It applies where
	// there is a limit of memory.
	SocketBufferKB int

	// MessageTimeout and AnswerTimeout limit the time for a batch and for each write of an answer.
	MessageTimeout, AnswerTimeout time.Duration

	// ReplicaWaitTimeout is how long a replica may take to reach a session's floor: the log position that the
	// session requires.
	ReplicaWaitTimeout time.Duration

	// TransactionIdleTimeout is how long a transaction may stay open without a request.
	TransactionIdleTimeout time.Duration

	// ShutdownGrace is how long a shutdown waits for open transactions.
	ShutdownGrace time.Duration

	// UnreadyDelay is how long a shutdown reports the proxy as not ready before it closes the caller listener, so that
	// the load balancer notices.
	UnreadyDelay time.Duration

	// RetryRatio is how many retries each request adds to the retry budget that all requests share.
	RetryRatio float64

	// ServeProfiles makes the operators' listener serve profiles.
	ServeProfiles bool
}

// TLSFiles names the files of one kind of connection. All may be empty.
type TLSFiles struct {
	// Cert and Key are the certificate of this proxy and its private key.
	Cert, Key string

	// CA has the certificate authorities that verify the other side's certificate.
	CA string
}

// flags returns the flags in the order of the settings page.
func (s *flagValues) flags() []cli.Flag {
	f := s.addressFlags()
	f = append(f, s.platformFlags()...)
	f = append(f, s.securityFlags()...)
	return append(f, s.limitFlags()...)
}

func (s *flagValues) addressFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("node-id", "unique name of this proxy; may stay the same across restarts", "", &s.nodeID),
		stringFlag("region", "region of this VM", "", &s.region),
		stringFlag("failure-domain", "failure domain of this VM", "", &s.domain),
		stringFlag("caller-listen", "IP:port to listen on for callers (PostgreSQL protocol)", "", &s.callerListen),
		stringFlag("peer-listen", "IP:port to listen on for other proxies (gRPC)", "", &s.peerListen),
		stringFlag("peer-address", "IP:port at which other proxies connect to this one; defaults to --peer-listen", "", &s.peerAddress),
		stringFlag("operator-listen", "IP:port to listen on for operators (HTTP): /live, /ready, /metrics, /status", "", &s.operatorListen),
		&cli.StringSliceFlag{
			Local:       true,
			Name:        "seed-peer",
			Usage:       "IP:port of another proxy to join through; repeatable",
			Sources:     envSource("seed-peer"),
			Destination: &s.seedPeers,
		},
		&cli.StringSliceFlag{
			Local:       true,
			Name:        "address-map",
			Usage:       "`FROM=TO`, each an IP:port: connect to TO instead of FROM; repeatable",
			Sources:     envSource("address-map"),
			Destination: &s.addressMap,
		},
	}
}

func (s *flagValues) platformFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("store", "IP:port of the platform's key-value store", "", &s.store),
		stringFlag("tables-key", "key under which the store holds the tables of routes and pools", "egretlane/tables", &s.tablesKey),
		stringFlag("vm-list", "URL of the platform's list of VMs; not used if empty", "", &s.vmList),
		stringFlag("member-user", "user name for logging in to backend servers", "egretlane", &s.memberUser),
		stringFlag("member-database", "database on backend servers for pools that do not name one", "postgres", &s.memberDatabase),
		stringFlag("member-password-file", "file with the password for logging in to backend servers; no password if empty", "", &s.memberPasswordFile),
	}
}

func (s *flagValues) securityFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("token-key-file", "file with the keys that sign session tokens, one per line, newest first; must be the same on all proxies", "", &s.tokenKeyFile),
		stringFlag("caller-credentials-file", "file with the SCRAM-SHA-256 verifiers of callers, one NAME:VERIFIER per line; if empty, callers are not authenticated", "", &s.callerCredentialsFile),
		stringFlag("caller-tls-cert", "certificate file (PEM) to present to callers; TLS is disabled if empty", "", &s.callerTLSCert),
		stringFlag("caller-tls-key", "private key file (PEM) for --caller-tls-cert", "", &s.callerTLSKey),
		stringFlag("caller-tls-ca", "CA file (PEM) to verify callers' certificates; a certificate whose common name is the caller's name replaces the password", "", &s.callerTLSCA),
		boolFlag("require-caller-tls", "refuse callers that do not use TLS", &s.requireCallerTLS),
		stringFlag("peer-tls-cert", "certificate file (PEM) to present to other proxies; enables mutual TLS between proxies", "", &s.peerTLSCert),
		stringFlag("peer-tls-key", "private key file (PEM) for --peer-tls-cert", "", &s.peerTLSKey),
		stringFlag("peer-tls-ca", "CA file (PEM) to verify other proxies' certificates", "", &s.peerTLSCA),
		stringFlag("member-tls-ca", "CA file (PEM) to verify backend servers' certificates; TLS is disabled if empty", "", &s.memberTLSCA),
	}
}

func (s *flagValues) limitFlags() []cli.Flag {
	return []cli.Flag{
		intFlag("statement-limit", "maximum size of a batch of messages from a caller, in bytes", 1<<20, &s.statementLimit),
		intFlag("session-limit", "maximum number of caller connections", 20000, &s.sessionLimit),
		intFlag("memory-mb", "memory of the VM in megabytes; 0: no limit", 0, &s.memoryMB),
		intFlag("message-memory-mb", "memory for long messages and answers in megabytes, at least 8; 0: 17.5% of --memory-mb and at least 8, or no limit without it", 0, &s.messageMemoryMB),
		intFlag("descriptors", "maximum number of open files and sockets; 0: no limit besides --session-limit", 0, &s.descriptors),
		intFlag("reserved-descriptors", "how many of --descriptors are for files, members, other proxies and the store, not for callers", 700, &s.reservedDescriptors),
		intFlag("handshake-limit", "maximum number of connections in their handshake, at which the oldest is closed; 0: half of the sessions that --descriptors allow, or the session limit without it", 0, &s.handshakeLimit),
		intFlag("address-limit", "maximum number of connections from one client address; 0: no limit", 0, &s.addressLimit),
		intFlag("unread-limit", "maximum number of answers that callers may read slowly at once; above it, connections are closed on which a write takes 0.25 s and a second for each MiB, if memory is limited; 0: no limit", 4, &s.unreadLimit),
		intFlag("socket-buffer-kb", "kilobytes of each of the two system buffers of a caller's connection, if memory is limited; 0: the system decides", 32, &s.socketBufferKB),
		durationFlag("message-timeout", "maximum time from the first byte of a batch to its last", 30*time.Second, &s.messageTimeout),
		durationFlag("answer-timeout", "maximum time for each write of an answer to a caller that doesn't read", 10*time.Second, &s.answerTimeout),
		durationFlag("replica-wait", "maximum time to wait for a replica to reach the log position that a session requires", 50*time.Millisecond, &s.replicaWaitTimeout),
		durationFlag("transaction-idle", "how long a transaction may stay open without a request", 30*time.Second, &s.transactionIdleTimeout),
		durationFlag("shutdown-grace", "how long a shutdown waits for open transactions", 30*time.Second, &s.shutdownGrace),
		durationFlag("ready-delay", "how long a shutdown keeps accepting callers while /ready fails, so that the load balancer can react", 0, &s.unreadyDelay),
		floatFlag("retry-part", "number of retries that each request adds to the retry budget shared by all requests, from 0 to 0.2", 0.1, &s.retryRatio),
		stringFlag("trace", "destination of trace spans: off, stdout or otlp", "off", &s.trace),
		floatFlag("trace-ratio", "fraction of traces to sample that no caller requested, from 0 to 1", 0.01, &s.traceRatio),
		stringFlag("log-level", "minimum level of log messages: debug, info, warn or error", "info", &s.logLevel),
		boolFlag("profile", "serve /debug/pprof/ profiles on the operators' port", &s.serveProfiles),
	}
}

func envSource(name string) cli.ValueSourceChain {
	return cli.EnvVars(environmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

func stringFlag(name, usage, value string, destination *string) cli.Flag {
	return &cli.StringFlag{
		Local:       true,
		Name:        name,
		Usage:       usage,
		Value:       value,
		Sources:     envSource(name),
		Destination: destination,
	}
}

func boolFlag(name, usage string, destination *bool) cli.Flag {
	return &cli.BoolFlag{
		Local:       true,
		Name:        name,
		Usage:       usage,
		Sources:     envSource(name),
		Destination: destination,
	}
}

func intFlag(name, usage string, value int, destination *int) cli.Flag {
	return &cli.IntFlag{
		Local:       true,
		Name:        name,
		Usage:       usage,
		Value:       value,
		Sources:     envSource(name),
		Destination: destination,
	}
}

func floatFlag(name, usage string, value float64, destination *float64) cli.Flag {
	return &cli.FloatFlag{
		Local:       true,
		Name:        name,
		Usage:       usage,
		Value:       value,
		Sources:     envSource(name),
		Destination: destination,
	}
}

func durationFlag(name, usage string, value time.Duration, destination *time.Duration) cli.Flag {
	return &cli.DurationFlag{
		Local:       true,
		Name:        name,
		Usage:       usage,
		Value:       value,
		Sources:     envSource(name),
		Destination: destination,
	}
}

// validator collects the errors found in the flags.
type validator struct {
	problems []string
}

func (v *validator) addf(format string, args ...any) {
	v.problems = append(v.problems, fmt.Sprintf(format, args...))
}

func (v *validator) err() error {
	if len(v.problems) == 0 {
		return nil
	}
	return errors.NewNotValid(nil, fmt.Sprintf("invalid settings (%d errors):\n  %s", len(v.problems), strings.Join(v.problems, "\n  ")))
}

func (v *validator) require(name, value string) {
	if value == "" {
		v.addf("--%s is missing", name)
	}
}

// parseAddress parses a required address.
func (v *validator) parseAddress(name, value string) netip.AddrPort {
	v.require(name, value)
	if value == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		v.addf("--%s: %v", name, err)
	}
	return a
}

// checkReadable reports an error if the file can't be opened. An empty path is valid.
func (v *validator) checkReadable(name, path string) {
	if path == "" {
		return
	}
	f, err := os.Open(path)
	if err != nil {
		v.addf("--%s: %v", name, err)
		return
	}
	_ = f.Close()
}

// requireBoth reports an error if only one of the flags a and b is set.
func (v *validator) requireBoth(a, b string, valueA, valueB string) {
	if (valueA == "") != (valueB == "") {
		v.addf("--%s and --%s must be set together", a, b)
	}
}

func (v *validator) checkRange(name string, value, minimum, maximum float64) {
	if value < minimum || value > maximum {
		v.addf("--%s: %v is not between %v and %v", name, value, minimum, maximum)
	}
}
