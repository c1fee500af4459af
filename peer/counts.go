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

// counts are the metrics of a mesh.
type counts struct {
	rounds      prometheus.Counter
	floods      prometheus.Counter
	misses      prometheus.Counter
	suspicions  prometheus.Counter
	refutations prometheus.Counter
	deaths      prometheus.Counter
	pulls       *prometheus.CounterVec
	nodes       prometheus.Gauge
}

func newCounts(r prometheus.Registerer) *counts {
	c := &counts{
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
		r.MustRegister(c.rounds, c.floods, c.misses, c.suspicions, c.refutations, c.deaths, c.pulls, c.nodes)
	}
	return c
}

func counter(name string, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name: "egretlane_peer_" + name + "_total",
		Help: help,
	})
}

// meter returns the meter of bytes. Its registration fails only if the registry holds one already.
func (m *Mesh) meter() *dial.Meter {
	meter := &dial.Meter{
		Region:   m.Node.Region,
		RegionOf: m.regionOf,
	}
	if err := meter.Register(m.Registry); err != nil {
		m.Log.Error().Err(err).Msg("bytes between proxies are not counted")
	}
	return meter
}

// regionOf returns the region of the live proxy at the address, or "".
func (m *Mesh) regionOf(a netip.AddrPort) string {
	return (*m.regions.Load())[a]
}

// Limits of the server's connections.
const (
	serverKeepaliveTime    = 20 * time.Second
	serverKeepaliveTimeout = 2 * time.Second
	serverKeepaliveLeast   = 2 * time.Second
	serverStreamWindow     = 256 << 10
	serverConnWindow       = 1 << 20
	serverBuffer           = 8 << 10
)

// ServerOptions returns the options of the server that Register is used on: counting of bytes,
// spans, keepalive and buffer sizes. The server's credentials aren't among them.
func (m *Mesh) ServerOptions() []grpc.ServerOption {
	m.open()
	return []grpc.ServerOption{
		grpc.StatsHandler(m.pool.Meter.Server()),
		grpc.StatsHandler(serverTraces(m.Tracer)),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:    serverKeepaliveTime,
			Timeout: serverKeepaliveTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             serverKeepaliveLeast,
			PermitWithoutStream: true,
		}),
		grpc.StaticStreamWindowSize(serverStreamWindow),
		grpc.StaticConnWindowSize(serverConnWindow),
		grpc.ReadBufferSize(serverBuffer),
		grpc.WriteBufferSize(serverBuffer),
	}
}

func serverTraces(t trace.TracerProvider) stats.Handler {
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
