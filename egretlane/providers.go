package main

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"google.golang.org/grpc"

	"egretlane.example/egret/admin"
	"egretlane.example/egret/alloc"
	"egretlane.example/egret/caller"
	"egretlane.example/egret/entry"
	"egretlane.example/egret/internal/lanepb"
	"egretlane.example/egret/lane"
	"egretlane.example/egret/member"
	"egretlane.example/egret/notice"
	"egretlane.example/egret/peer"
	"egretlane.example/egret/promo"
	"egretlane.example/egret/relay"
	"egretlane.example/egret/retry"
	"egretlane.example/egret/store"
	"egretlane.example/egret/table"
	"egretlane.example/egret/token"
	"egretlane.example/egret/vmlist"
)

// promotionKeyPrefix is the prefix of the keys in the store under which promotions are recorded.
const promotionKeyPrefix = "egretlane/primary/"

// Backoff and budget of retries. retryBurst is the capacity of the retry budget, which is full at the start.
const (
	retryBackoffBase = 10 * time.Millisecond
	retryBackoffCap  = 250 * time.Millisecond
	retryBurst       = 50
)

func newLogger(c *Config) *log.Logger {
	return &log.Logger{
		Level: c.LogLevel,
		Writer: &log.IOWriter{
			Writer: os.Stderr,
		},
	}
}

func newRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

func newShutdownFlag() *atomic.Bool {
	return &atomic.Bool{}
}

func newSigner(c *Config) (*token.Signer, error) {
	keys, err := token.ReadKeys(c.TokenKeyFile)
	if err != nil {
		return nil, err
	}
	return &token.Signer{
		Keys: keys,
	}, nil
}

func newStore(c *Config) *store.Client {
	return &store.Client{
		Address: c.AddressMap.Resolve(c.StoreAddress),
	}
}

func newTables(c *Config, s *store.Client, l *log.Logger, r *prometheus.Registry) *table.Cache {
	cache := &table.Cache{
		Store: s,
		Key:   c.TablesKey,
		Log:   l,
	}
	r.MustRegister(cache, s)
	return cache
}

func newMesh(c *Config, tables *table.Cache, l *log.Logger, r *prometheus.Registry) (*peer.Mesh, error) {
	credentials, err := c.PeerTLS.peerTLS()
	if err != nil {
		return nil, err
	}
	m := &peer.Mesh{
		Node:          c.Self,
		Seeds:         c.SeedPeers,
		AddressMap:    c.AddressMap,
		Credentials:   credentials,
		CurrentTables: tables.Current,
		EncodedTables: tables.Encoded,
		OfferTables:   tables.OfferEncoded,
		Registry:      r,
		Log:           l,
	}
	if c.VMList != "" {
		m.VMs = &vmlist.Client{
			URL: c.VMList,
		}
	}
	return m, nil
}

func newDialer(c *Config) (*member.Dialer, error) {
	config, err := c.MemberTLS.memberTLS()
	if err != nil {
		return nil, err
	}
	password, err := readPassword(c.MemberPasswordFile)
	if err != nil {
		return nil, err
	}
	return &member.Dialer{
		NodeID:    c.Self.ID,
		User:      c.MemberUser,
		Password:  password,
		Database:  c.MemberDatabase,
		TLS:       config,
		Addresses: &c.AddressMap,
	}, nil
}

func newControl(d *member.Dialer) *member.Control {
	return &member.Control{
		Dialer: d,
	}
}

// newLeavingMembers returns the record of the members that are leaving according to the platform's list of VMs.
func newLeavingMembers() *notice.Set {
	return &notice.Set{}
}

// newVMListPoller returns nil if there is no list of VMs.
func newVMListPoller(c *Config, m *peer.Mesh, leavingMembers *notice.Set) *notice.Poller {
	if c.VMList == "" {
		return nil
	}
	return &notice.Poller{
		List: &vmlist.Client{
			URL: c.VMList,
		},
		Peers: m,
		Active: func() bool {
			return watchesStore(m)
		},
		Notify:  m.NotifyMemberLeaving,
		Notices: leavingMembers,
	}
}

func newLaneManager(m *peer.Mesh, c *member.Control, d *member.Dialer, leavingMembers *notice.Set, r *prometheus.Registry, l *log.Logger) *lane.Manager {
	manager := &lane.Manager{
		Peers:   m,
		Control: c,
		Dialer:  d,
		Leaving: leavingFunc(leavingMembers),
		Metrics: lane.NewMetrics(r),
		Log:     l,
	}
	r.MustRegister(&memberGauges{
		status: manager.Status,
	})
	return manager
}

// leavingFunc returns a function that reports whether a member is leaving now.
func leavingFunc(leavingMembers *notice.Set) func(member string) bool {
	return func(member string) bool {
		return leavingMembers.Leaving(member, time.Now())
	}
}

func newWatcher(m *peer.Mesh, c *member.Control, s *store.Client, leavingMembers *notice.Set, r *prometheus.Registry, l *log.Logger) *promo.Watcher {
	return &promo.Watcher{
		Peers:       m,
		Control:     c,
		StatusVia:   m.Witness,
		Store:       s,
		StorePrefix: promotionKeyPrefix,
		Leaving:     leavingFunc(leavingMembers),
		Registry:    r,
		Log:         l,
	}
}

func newLanes(m *peer.Mesh, manager *lane.Manager, r *prometheus.Registry) *relay.Lanes {
	return &relay.Lanes{
		Peers:     m,
		Local:     manager,
		Positions: manager,
		Conn:      m.Conn,
		Metrics:   relay.NewMetrics(r),
	}
}

func newSessionHandler(c *Config, m *peer.Mesh, l *relay.Lanes, s *token.Signer, r *prometheus.Registry) *entry.Handler {
	return &entry.Handler{
		Peers:     m,
		Lanes:     l,
		Positions: l,
		Signer:    s,
		Backoff: retry.Backoff{
			Base: retryBackoffBase,
			Cap:  retryBackoffCap,
		},
		Throttle: &retry.Throttle{
			RetriesPerRequest: c.RetryRatio,
			Burst:             retryBurst,
		},
		ReplicaWaitTimeout:     c.ReplicaWaitTimeout,
		TransactionIdleTimeout: c.TransactionIdleTimeout,
		ForwardCancel: func(ctx context.Context, k caller.CancelKey) {
			m.ForwardCancel(ctx, k.ProcessID, k.Secret[:])
		},
		Metrics: entry.NewMetrics(r),
	}
}

func newCallerServer(c *Config, h *entry.Handler, r *prometheus.Registry) (*caller.Server, error) {
	config, err := c.CallerTLS.callerTLS()
	if err != nil {
		return nil, err
	}
	s := &caller.Server{
		ListenAddress: c.CallerListen,
		TLS:           config,
		RequireTLS:    c.RequireCallerTLS,
		MaxBatchBytes: c.StatementLimit,
		SessionLimit:  c.SessionLimit,
		Handler:       h,
		Metrics:       caller.NewMetrics(r),
	}
	limitCallers(s, c)
	if c.CallerCredentialsFile != "" {
		s.Credentials, err = caller.ReadCredentials(c.CallerCredentialsFile)
	}
	return s, err
}

// limitCallers sets the limits of memory, connections and times of callers.
func limitCallers(s *caller.Server, c *Config) {
	s.HandshakeLimit = c.HandshakeLimit
	s.AddressLimit = c.AddressLimit
	s.BatchTimeout = c.MessageTimeout
	s.WriteTimeout = c.AnswerTimeout
	s.Memory = alloc.New(int64(c.MessageMemoryMB)<<20, int64(c.MemoryMB)<<20/100*memoryLimitPercent)
	if s.Memory != nil {
		s.UnreadLimit = c.UnreadLimit
		s.SocketBufferBytes = c.SocketBufferKB << 10
		closed := s.Metrics.Closed
		s.Memory.OnClose = func(int64) { closed.WithLabelValues("memory").Inc() }
	}
	if sessions := c.Descriptors - c.ReservedDescriptors; c.Descriptors > 0 {
		s.SessionLimit = min(s.SessionLimit, sessions)
		if s.HandshakeLimit == 0 {
			s.HandshakeLimit = min(max(minOpening, sessions/openingDivisor), c.ReservedDescriptors/openingDivisor)
		}
	}
}

func newPeerServer(m *peer.Mesh, manager *lane.Manager) *grpc.Server {
	options := m.ServerOptions()
	if m.Credentials != nil {
		options = append(options, grpc.Creds(m.Credentials))
	}
	s := grpc.NewServer(options...)
	m.Register(s)
	lanepb.RegisterLaneServer(s, &relay.Server{
		Lanes:     manager,
		Positions: manager,
	})
	return s
}

func newReadiness(m *peer.Mesh, tables *table.Cache, manager *lane.Manager, shuttingDown *atomic.Bool) *readiness {
	return &readiness{
		mesh:         m,
		tables:       tables,
		laneManager:  manager,
		shuttingDown: shuttingDown,
		start:        time.Now(),
	}
}

func newOperatorServer(c *Config, m *peer.Mesh, ready *readiness, r *prometheus.Registry) *admin.Server {
	return &admin.Server{
		ListenAddress: c.OperatorListen,
		Ready:         ready.ready,
		Gatherer:      r,
		Status:        m.State,
		ServeProfiles: c.ServeProfiles,
	}
}
