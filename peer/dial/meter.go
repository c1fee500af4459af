package dial

import (
	"context"
	"net/netip"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc/stats"
)

// controlService is the part of a method's name that all control calls share.
const controlService = "/egretlane.peer.Peer/"

// Meter counts the bytes of calls by purpose. It counts messages with their framing and the
// headers received, and leaves out what TCP and IP add.
type Meter struct {
	// Region is this proxy's region.
	Region string

	// RegionOf returns the region of the proxy at an address, or "".
	RegionOf func(a netip.AddrPort) string

	control *prometheus.CounterVec
	cross   *prometheus.CounterVec
}

// Register makes the counters. A nil registry leaves them out of it.
func (m *Meter) Register(r prometheus.Registerer) error {
	m.control = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "egretlane_control_bytes_total",
		Help: "Bytes of calls between proxies that carry no caller's data.",
	}, []string{"direction", "purpose"})
	m.cross = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "egretlane_cross_region_bytes_total",
		Help: "Bytes of calls that this proxy made to proxies of other regions.",
	}, []string{"direction", "cause"})
	if r == nil {
		return nil
	}
	if err := r.Register(m.control); err != nil {
		return err
	}
	return r.Register(m.cross)
}

// Client returns a handler for the connection to an address.
func (m *Meter) Client(a netip.AddrPort) stats.Handler {
	return &tap{
		meter:  m,
		remote: a,
	}
}

// Server returns a handler for the calls that this proxy answers.
func (m *Meter) Server() stats.Handler {
	return &tap{
		meter: m,
	}
}

// tap counts for one connection, or for a server.
type tap struct {
	meter *Meter

	// remote is invalid on a server. Bytes between regions are counted where the call is made,
	// so that the sum over all proxies counts each once.
	remote netip.AddrPort
}

// callKey is the key of a call's counters in its context.
type callKey struct{}

// call has the counters of one call. A nil counter isn't wanted.
type call struct {
	controlIn  prometheus.Counter
	controlOut prometheus.Counter
	crossIn    prometheus.Counter
	crossOut   prometheus.Counter
}

func (t *tap) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	purpose := kebab(info.FullMethodName[strings.LastIndexByte(info.FullMethodName, '/')+1:])
	c := &call{}
	if strings.HasPrefix(info.FullMethodName, controlService) {
		c.controlIn = t.meter.control.WithLabelValues("in", purpose)
		c.controlOut = t.meter.control.WithLabelValues("out", purpose)
	}
	if t.crosses() {
		c.crossIn = t.meter.cross.WithLabelValues("in", purpose)
		c.crossOut = t.meter.cross.WithLabelValues("out", purpose)
	}
	return context.WithValue(ctx, callKey{}, c)
}

func (t *tap) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, ok := ctx.Value(callKey{}).(*call)
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

func (t *tap) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

func (t *tap) HandleConn(context.Context, stats.ConnStats) {}

func (t *tap) crosses() bool {
	if !t.remote.IsValid() || t.meter.RegionOf == nil {
		return false
	}
	region := t.meter.RegionOf(t.remote)
	return region != "" && region != t.meter.Region
}

func add(c prometheus.Counter, n int) {
	if c != nil {
		c.Add(float64(n))
	}
}

// kebab turns a method's name into a label: GetLoad becomes get-load.
func kebab(name string) string {
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
