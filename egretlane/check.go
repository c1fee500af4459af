package main

import (
	"net/netip"
	"net/url"
	"strings"

	"github.com/phuslu/log"

	"egretlane.example/egret"
	"egretlane.example/egret/spans"
)

// config checks the flags and returns the configuration. The error lists every invalid flag.
func (s *flagValues) config() (*Config, error) {
	v := &validator{}
	s.checkNames(v)
	s.checkFiles(v)
	s.checkLimits(v)
	config := &Config{
		CallerListen:          v.parseAddress("caller-listen", s.callerListen),
		PeerListen:            v.parseAddress("peer-listen", s.peerListen),
		OperatorListen:        v.parseAddress("operator-listen", s.operatorListen),
		StoreAddress:          v.parseAddress("store", s.store),
		TablesKey:             s.tablesKey,
		VMList:                s.vmList,
		SeedPeers:             s.parseSeedPeers(v),
		AddressMap:            s.parseAddressMap(v),
		TokenKeyFile:          s.tokenKeyFile,
		CallerCredentialsFile: s.callerCredentialsFile,
		MemberUser:            s.memberUser,
		MemberPasswordFile:    s.memberPasswordFile,
		MemberDatabase:        s.memberDatabase,
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
		RequireCallerTLS:       s.requireCallerTLS,
		TraceExport:            spans.Export(s.trace),
		TraceRatio:             s.traceRatio,
		LogLevel:               log.ParseLevel(s.logLevel),
		StatementLimit:         s.statementLimit,
		SessionLimit:           s.sessionLimit,
		MemoryMB:               s.memoryMB,
		MessageMemoryMB:        s.messageMemoryMB,
		Descriptors:            s.descriptors,
		ReservedDescriptors:    s.reservedDescriptors,
		HandshakeLimit:         s.handshakeLimit,
		AddressLimit:           s.addressLimit,
		UnreadLimit:            s.unreadLimit,
		SocketBufferKB:         s.socketBufferKB,
		MessageTimeout:         s.messageTimeout,
		AnswerTimeout:          s.answerTimeout,
		ReplicaWaitTimeout:     s.replicaWaitTimeout,
		TransactionIdleTimeout: s.transactionIdleTimeout,
		ShutdownGrace:          s.shutdownGrace,
		UnreadyDelay:           s.unreadyDelay,
		RetryRatio:             s.retryRatio,
		ServeProfiles:          s.serveProfiles,
	}
	config.Self = s.self(v, config.PeerListen)
	return config, v.err()
}

func (s *flagValues) self(v *validator, listen netip.AddrPort) egret.Node {
	address := listen
	if s.peerAddress != "" {
		address = v.parseAddress("peer-address", s.peerAddress)
	}
	if address.IsValid() && address.Addr().IsUnspecified() {
		v.addf("--peer-address is missing: other proxies cannot connect to the unspecified address %v", address)
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

func (s *flagValues) checkNames(v *validator) {
	v.require("node-id", s.nodeID)
	v.require("region", s.region)
	v.require("failure-domain", s.domain)
	v.require("tables-key", s.tablesKey)
	v.require("token-key-file", s.tokenKeyFile)
	v.require("member-user", s.memberUser)
	v.require("member-database", s.memberDatabase)
	if strings.Contains(s.nodeID, "/") {
		v.addf("--node-id: %q contains a slash", s.nodeID)
	}
	if s.vmList != "" {
		u, err := url.Parse(s.vmList)
		if err != nil || u.Host == "" {
			v.addf("--vm-list: %q is not a URL", s.vmList)
		}
	}
	switch spans.Export(s.trace) {
	case spans.ExportOff, spans.ExportStdout, spans.ExportOTLP:
	default:
		v.addf("--trace: %q is not one of off, stdout, otlp", s.trace)
	}
	switch s.logLevel {
	case "debug", "info", "warn", "error":
	default:
		v.addf("--log-level: %q is not one of debug, info, warn, error", s.logLevel)
	}
}

func (s *flagValues) checkFiles(v *validator) {
	v.checkReadable("token-key-file", s.tokenKeyFile)
	v.checkReadable("caller-credentials-file", s.callerCredentialsFile)
	v.checkReadable("member-password-file", s.memberPasswordFile)
	v.checkReadable("caller-tls-cert", s.callerTLSCert)
	v.checkReadable("caller-tls-key", s.callerTLSKey)
	v.checkReadable("caller-tls-ca", s.callerTLSCA)
	v.checkReadable("peer-tls-cert", s.peerTLSCert)
	v.checkReadable("peer-tls-key", s.peerTLSKey)
	v.checkReadable("peer-tls-ca", s.peerTLSCA)
	v.checkReadable("member-tls-ca", s.memberTLSCA)
	v.requireBoth("caller-tls-cert", "caller-tls-key", s.callerTLSCert, s.callerTLSKey)
	v.requireBoth("peer-tls-cert", "peer-tls-key", s.peerTLSCert, s.peerTLSKey)
	v.requireBoth("peer-tls-cert", "peer-tls-ca", s.peerTLSCert, s.peerTLSCA)
	if s.requireCallerTLS && s.callerTLSCert == "" {
		v.addf("--require-caller-tls requires --caller-tls-cert")
	}
}

func (s *flagValues) checkLimits(v *validator) {
	const maxStatement = 64 << 20
	const maxSessions = 65000
	v.checkRange("statement-limit", float64(s.statementLimit), 1024, maxStatement)
	v.checkRange("session-limit", float64(s.sessionLimit), 1, maxSessions)
	s.checkCallerLimits(v)
	v.checkRange("retry-part", s.retryRatio, 0, 0.2)
	v.checkRange("trace-ratio", s.traceRatio, 0, 1)
	if s.replicaWaitTimeout < 0 || s.transactionIdleTimeout <= 0 || s.shutdownGrace < 0 || s.unreadyDelay < 0 {
		v.addf("--replica-wait, --shutdown-grace and --ready-delay must not be negative, and --transaction-idle must be positive")
	}
}

// checkCallerLimits checks the limits of memory, descriptors and connections.
func (s *flagValues) checkCallerLimits(v *validator) {
	const maxMegabytes = 1 << 20
	const maxDescriptors = 1 << 24
	const minMessageMemoryMB = 8
	const maxSocketBufferKB = 64 << 10
	v.checkRange("memory-mb", float64(s.memoryMB), 0, maxMegabytes)
	v.checkRange("message-memory-mb", float64(s.messageMemoryMB), 0, maxMegabytes)
	if s.messageMemoryMB > 0 && s.messageMemoryMB < minMessageMemoryMB {
		v.addf("--message-memory-mb: %d is neither 0 nor at least %d", s.messageMemoryMB, minMessageMemoryMB)
	}
	if s.memoryMB > 0 && s.messageMemoryMB > s.memoryMB {
		v.addf("--message-memory-mb: %d is above --memory-mb", s.messageMemoryMB)
	}
	v.checkRange("descriptors", float64(s.descriptors), 0, maxDescriptors)
	v.checkRange("reserved-descriptors", float64(s.reservedDescriptors), 0, maxDescriptors)
	if s.descriptors > 0 && s.descriptors <= s.reservedDescriptors {
		v.addf("--descriptors: %d leaves none for callers beside --reserved-descriptors", s.descriptors)
	}
	v.checkRange("handshake-limit", float64(s.handshakeLimit), 0, maxDescriptors)
	v.checkRange("address-limit", float64(s.addressLimit), 0, maxDescriptors)
	v.checkRange("unread-limit", float64(s.unreadLimit), 0, maxDescriptors)
	v.checkRange("socket-buffer-kb", float64(s.socketBufferKB), 0, maxSocketBufferKB)
	if s.messageTimeout <= 0 || s.answerTimeout <= 0 {
		v.addf("--message-timeout and --answer-timeout must be positive")
	}
}

func (s *flagValues) parseSeedPeers(v *validator) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, p := range s.seedPeers {
		seeds = append(seeds, v.parseAddress("seed-peer", p))
	}
	return seeds
}

func (s *flagValues) parseAddressMap(v *validator) egret.AddressMap {
	m := egret.AddressMap{}
	for _, a := range s.addressMap {
		r, err := egret.ParseAddressRule(a)
		if err != nil {
			v.addf("--address-map: %v", err)
			continue
		}
		m.Rules = append(m.Rules, r)
	}
	return m
}
