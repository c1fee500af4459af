package main

import (
	"net/netip"
	"net/url"
	"strings"

	"github.com/phuslu/log"

	"egretlane.example/egret"
	"egretlane.example/egret/spans"
)

// config checks the settings. The error lists all faults.
func (s *Settings) config() (*Config, error) {
	c := &checker{}
	s.checkNames(c)
	s.checkFiles(c)
	s.checkLimits(c)
	g := &Config{
		Callers:            c.address("caller-listen", s.callerListen),
		Peers:              c.address("peer-listen", s.peerListen),
		Operators:          c.address("operator-listen", s.operatorListen),
		Store:              c.address("store", s.store),
		TablesKey:          s.tablesKey,
		VMList:             s.vmList,
		SeedPeers:          s.seeds(c),
		Addresses:          s.addresses(c),
		TokenKeyFile:       s.tokenKeyFile,
		CallerCredentials:  s.callerCredentials,
		MemberUser:         s.memberUser,
		MemberPasswordFile: s.memberPasswordFile,
		MemberDatabase:     s.memberDatabase,
		CallerTLS: TLSFiles{
			Cert: s.callerTLSCert,
			Key:  s.callerTLSKey,
			CA:   s.callerTLSCA,
		},
		PeerTLS: TLSFiles{
			Cert: s.peerTLSCert,
			Key:  s.peerTLSKey,
			CA:   s.peerTLSCA,
		},
		MemberTLS: TLSFiles{
			CA: s.memberTLSCA,
		},
		RequireCallerTLS: s.requireCallerTLS,
		Trace:            spans.Export(s.trace),
		TraceRatio:       s.traceRatio,
		LogLevel:         log.ParseLevel(s.logLevel),
		StatementLimit:   s.statementLimit,
		SessionLimit:     s.sessionLimit,
		ReplicaWait:      s.replicaWait,
		TransactionIdle:  s.transactionIdle,
		ShutdownGrace:    s.shutdownGrace,
		ReadyDelay:       s.readyDelay,
		RetryPart:        s.retryPart,
		Profile:          s.enableProfile,
	}
	g.Self = s.node(c, g.Peers)
	return g, c.err()
}

func (s *Settings) node(c *checker, listen netip.AddrPort) egret.Node {
	address := listen
	if s.peerAddress != "" {
		address = c.address("peer-address", s.peerAddress)
	}
	if address.IsValid() && address.Addr().IsUnspecified() {
		c.addf("--peer-address is missing: peers can't reach %v", address)
	}
	return egret.Node{
		ID:          s.nodeID,
		Address:     address,
		Region:      s.region,
		Domain:      s.domain,
		Incarnation: 1,
		State:       egret.NodeAlive,
	}
}

func (s *Settings) checkNames(c *checker) {
	c.need("node-id", s.nodeID)
	c.need("region", s.region)
	c.need("failure-domain", s.domain)
	c.need("tables-key", s.tablesKey)
	c.need("token-key-file", s.tokenKeyFile)
	c.need("member-user", s.memberUser)
	c.need("member-database", s.memberDatabase)
	if strings.Contains(s.nodeID, "/") {
		c.addf("--node-id: %q has a slash", s.nodeID)
	}
	if s.vmList != "" {
		u, err := url.Parse(s.vmList)
		if err != nil || u.Host == "" {
			c.addf("--vm-list: %q is no URL", s.vmList)
		}
	}
	switch spans.Export(s.trace) {
	case spans.ExportOff, spans.ExportStdout, spans.ExportOTLP:
	default:
		c.addf("--trace: %q is none of off, stdout, otlp", s.trace)
	}
	switch s.logLevel {
	case "debug", "info", "warn", "error":
	default:
		c.addf("--log-level: %q is none of debug, info, warn, error", s.logLevel)
	}
}

func (s *Settings) checkFiles(c *checker) {
	c.file("token-key-file", s.tokenKeyFile)
	c.file("caller-credentials-file", s.callerCredentials)
	c.file("member-password-file", s.memberPasswordFile)
	c.file("caller-tls-cert", s.callerTLSCert)
	c.file("caller-tls-key", s.callerTLSKey)
	c.file("caller-tls-ca", s.callerTLSCA)
	c.file("peer-tls-cert", s.peerTLSCert)
	c.file("peer-tls-key", s.peerTLSKey)
	c.file("peer-tls-ca", s.peerTLSCA)
	c.file("member-tls-ca", s.memberTLSCA)
	c.together("caller-tls-cert", "caller-tls-key", s.callerTLSCert, s.callerTLSKey)
	c.together("peer-tls-cert", "peer-tls-key", s.peerTLSCert, s.peerTLSKey)
	c.together("peer-tls-cert", "peer-tls-ca", s.peerTLSCert, s.peerTLSCA)
	if s.requireCallerTLS && s.callerTLSCert == "" {
		c.addf("--require-caller-tls needs --caller-tls-cert")
	}
}

func (s *Settings) checkLimits(c *checker) {
	const maxStatement = 64 << 20
	const maxSessions = 65000
	c.between("statement-limit", float64(s.statementLimit), 1024, maxStatement)
	c.between("session-limit", float64(s.sessionLimit), 1, maxSessions)
	c.between("retry-part", s.retryPart, 0, 0.2)
	c.between("trace-ratio", s.traceRatio, 0, 1)
	if s.replicaWait < 0 || s.transactionIdle <= 0 || s.shutdownGrace < 0 || s.readyDelay < 0 {
		c.addf("--replica-wait, --transaction-idle, --shutdown-grace and --ready-delay must not be negative, nor transaction-idle zero")
	}
}

func (s *Settings) seeds(c *checker) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, p := range s.seedPeers {
		seeds = append(seeds, c.address("seed-peer", p))
	}
	return seeds
}

func (s *Settings) addresses(c *checker) egret.AddressMap {
	m := egret.AddressMap{}
	for _, a := range s.addressMap {
		r, err := egret.ParseAddressRule(a)
		if err != nil {
			c.addf("--address-map: %v", err)
			continue
		}
		m.Rules = append(m.Rules, r)
	}
	return m
}
