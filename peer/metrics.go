package peer

import (
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	"egretlane.example/egret/peer/dial"
)

// metrics are the metrics of a mesh.
type metrics struct {
	rounds      prometheus.Counter
	floods      prometheus.Counter
	misses      prometheus.Counter
	suspicions  prometheus.Counter
	refutations prometheus.Counter
	deaths      prometheus.Counter
	pulls       *prometheus.CounterVec
	nodes       prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		rounds:      counter("rounds", "Exchanges with partners that were started."),
		floods:      counter("floods", "Exchanges with all partners because of urgent news."),
		misses:      counter("misses", "Exchanges that a partner didn't answer in time."),
		suspicions:  counter("suspicions", "Proxies that this one found silent, also through others."),
		refutations: counter("refutations", "Claims about this proxy that it refuted."),
		deaths:      counter("deaths", "Proxies that didn't refute a suspicion in time."),
		pulls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretlane_peer_pulls_total",
			Help: "Pulls of state from another proxy, by what was pulled.",
		}, []string{"what"}),
		nodes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "egretlane_peer_live_nodes",
			Help: "Proxies that may hold lanes.",
		}),
	}
	if r != nil {
		r.MustRegister(m.rounds, m.floods, m.misses, m.suspicions, m.refutations, m.deaths, m.pulls, m.nodes)
	}
	return m
}

// counter returns a counter whose name has the prefix of this package and ends in "_total". The test in egretlane that
// compares the metrics with docs/OPERATIONS.md finds the names by calls of counter.
func counter(name string, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name: "egretlane_peer_" + name + "_total",
		Help: help,
	})
}

// newMeter returns the meter for the bytes sent and received. Its registration fails only if its metrics are
// already registered.
func (m *Mesh) newMeter() *dial.Meter {
	meter := &dial.Meter{
		Region:   m.Node.Region,
		RegionOf: m.regionOf,
	}
	if err := meter.Register(m.Registry); err != nil {
		m.Log.Error().Err(err).Msg("cannot register byte counters of calls between proxies")
	}
	return meter
}

// regionOf returns the region of the live proxy at the address, or "".
func (m *Mesh) regionOf(a netip.AddrPort) string {
	return (*m.regions.Load())[a]
}

// Keepalive times, window sizes and buffer sizes of the server's connections. Windows and buffers are in bytes.
const (
	serverKeepaliveTime    = 20 * time.Second
	serverKeepaliveTimeout = 2 * time.Second
	serverMinPingInterval  = 2 * time.Second
	serverStreamWindow     = 256 << 10
	serverConnWindow       = 1 << 20
	serverBufferSize       = 8 << 10
)

// ServerOptions returns the options for the server that is passed to Register: byte counting, spans, keepalive,
// window and buffer sizes. Credentials aren't included.
func (m *Mesh) ServerOptions() []grpc.ServerOption {
	m.init()
	return []grpc.ServerOption{
		grpc.StatsHandler(m.pool.Meter.Server()),
		grpc.StatsHandler(serverTraceHandler(m.Tracer)),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:    serverKeepaliveTime,
			Timeout: serverKeepaliveTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             serverMinPingInterval,
			PermitWithoutStream: true,
		}),
		grpc.StaticStreamWindowSize(serverStreamWindow),
		grpc.StaticConnWindowSize(serverConnWindow),
		grpc.ReadBufferSize(serverBufferSize),
		grpc.WriteBufferSize(serverBufferSize),
	}
}

// serverTraceHandler returns a handler that creates spans for all calls except heartbeats.
func serverTraceHandler(t trace.TracerProvider) stats.Handler {
	options := []otelgrpc.Option{
		otelgrpc.WithFilter(func(info *stats.RPCTagInfo) bool {
			return info.FullMethodName != dial.ExchangeMethod
		}),
	}
	if t != nil {
		options = append(options, otelgrpc.WithTracerProvider(t))
	}
	return otelgrpc.NewServerHandler(options...)
}
