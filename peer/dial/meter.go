package dial

import (
	"context"
	"net/netip"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc/stats"
)

// controlMethodPrefix is the prefix of the full method names of all control calls.
const controlMethodPrefix = "/egretlane.peer.Peer/"

// Meter counts the bytes of calls by purpose. It counts messages with their framing and received headers, but not
// the overhead of TCP and IP.
type Meter struct {
	// Region is this proxy's region.
	Region string

	// RegionOf returns the region of the proxy at an address, or "" if it is unknown.
	RegionOf func(a netip.AddrPort) string

	control     *prometheus.CounterVec
	crossRegion *prometheus.CounterVec
}

// Register creates the counters and registers them. If the registry is nil, they are only created.
func (m *Meter) Register(r prometheus.Registerer) error {
	m.control = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "egretlane_control_bytes_total",
		Help: "Bytes of calls between proxies that carry no caller's data.",
	}, []string{"direction", "purpose"})
	m.crossRegion = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "egretlane_cross_region_bytes_total",
		Help: "Bytes of calls that this proxy made to proxies of other regions.",
	}, []string{"direction", "cause"})
	if r == nil {
		return nil
	}
	if err := r.Register(m.control); err != nil {
		return err
	}
	return r.Register(m.crossRegion)
}

// Client returns a stats handler for the connection to an address.
func (m *Meter) Client(a netip.AddrPort) stats.Handler {
	return &byteCounter{
		meter:  m,
		remote: a,
	}
}

// Server returns a stats handler for the calls that this proxy answers.
func (m *Meter) Server() stats.Handler {
	return &byteCounter{
		meter: m,
	}
}

// byteCounter is a stats handler that counts the bytes of one connection or of a server.
type byteCounter struct {
	meter *Meter

	// remote is the address of the connection's other end. It is invalid on a server: bytes between regions are
	// counted only where the call is made, so that the sum over all proxies counts each byte once.
	remote netip.AddrPort
}

// callCountersKey is the context key of a call's counters.
type callCountersKey struct{}

// callCounters are the counters of one call. A counter that doesn't apply to the call is nil.
type callCounters struct {
	controlIn  prometheus.Counter
	controlOut prometheus.Counter
	crossIn    prometheus.Counter
	crossOut   prometheus.Counter
}

func (b *byteCounter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	purpose := kebabCase(info.FullMethodName[strings.LastIndexByte(info.FullMethodName, '/')+1:])
	c := &callCounters{}
	if strings.HasPrefix(info.FullMethodName, controlMethodPrefix) {
		c.controlIn = b.meter.control.WithLabelValues("in", purpose)
		c.controlOut = b.meter.control.WithLabelValues("out", purpose)
	}
	if b.crossesRegion() {
		c.crossIn = b.meter.crossRegion.WithLabelValues("in", purpose)
		c.crossOut = b.meter.crossRegion.WithLabelValues("out", purpose)
	}
	return context.WithValue(ctx, callCountersKey{}, c)
}

func (b *byteCounter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, ok := ctx.Value(callCountersKey{}).(*callCounters)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.InPayload:
		add(c.controlIn, s.WireLength)
		add(c.crossIn, s.WireLength)
	case *stats.InHeader:
		add(c.controlIn, s.WireLength)
		add(c.crossIn, s.WireLength)
	case *stats.OutPayload:
		add(c.controlOut, s.WireLength)
		add(c.crossOut, s.WireLength)
	}
}

func (b *byteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

func (b *byteCounter) HandleConn(context.Context, stats.ConnStats) {}

// crossesRegion reports whether the connection is to a proxy that is known to be in another region.
func (b *byteCounter) crossesRegion() bool {
	if !b.remote.IsValid() || b.meter.RegionOf == nil {
		return false
	}
	region := b.meter.RegionOf(b.remote)
	return region != "" && region != b.meter.Region
}

func add(c prometheus.Counter, n int) {
	if c != nil {
		c.Add(float64(n))
	}
}

// kebabCase converts a method name to a label value: GetLoad becomes get-load.
func kebabCase(name string) string {
	b := strings.Builder{}
	for i, r := range name {
		if r >= 'A' && r <= 'Z' {
			if i > 0 {
				b.WriteByte('-')
			}
			r += 'a' - 'A'
		}
		b.WriteRune(r)
	}
	return b.String()
}
