package proof

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/rs/zerolog"
)

// link carries the connections that one process dials to another, through a fault injector.
type link struct {
	t testing.TB

	// name is FROM>TO, with the names of the dialling and the listening process.
	name string

	// address is where the dialling process connects to the fault injector.
	address netip.AddrPort

	injector *toxiproxy.Proxy
}

// newLink starts a fault injector in front of the address.
func newLink(t testing.TB, name string, to netip.AddrPort) *link {
	t.Helper()
	s := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	l := &link{
		t:        t,
		name:     name,
		injector: toxiproxy.NewProxy(s, name, "127.0.0.1:0", to.String()),
	}
	if err := l.injector.Start(); err != nil {
		t.Fatal(err)
	}
	l.address = netip.MustParseAddrPort(l.injector.Listen)
	t.Cleanup(l.injector.Stop)
	return l
}

// addressRule returns the value of --address-map that makes a process dial the link instead of the address.
func (l *link) addressRule(to netip.AddrPort) string {
	return to.String() + "=" + l.address.String()
}

// dropAll drops all data in both directions without closing connections, on open and on new ones.
func (l *link) dropAll() {
	l.t.Helper()
	l.addToxic(`{"name":"drop-up","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`)
	l.dropReplies()
}

// dropReplies drops all data from the listening process and lets requests through.
func (l *link) dropReplies() {
	l.t.Helper()
	l.addToxic(`{"name":"drop-down","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`)
}

// addLatency delays the data by d in each direction.
func (l *link) addLatency(d time.Duration) {
	l.t.Helper()
	for _, s := range []string{"upstream", "downstream"} {
		l.addToxic(fmt.Sprintf(`{"name":"delay-%s","type":"latency","stream":%q,"attributes":{"latency":%d}}`,
			s, s, d.Milliseconds()))
	}
}

// closeAfter closes each connection after n more bytes from the listening process.
func (l *link) closeAfter(n int) {
	l.t.Helper()
	l.addToxic(fmt.Sprintf(`{"name":"close","type":"limit_data","stream":"downstream","attributes":{"bytes":%d}}`, n))
}

// silence drops all data of the connections that are open now. New connections work.
func (l *link) silence() {
	l.t.Helper()
	for _, s := range []string{"upstream", "downstream"} {
		w := l.addToxic(fmt.Sprintf(`{"name":"silence-%s","type":"silence","stream":%q,"attributes":{}}`, s, s))
		w.Toxic.(*silenceToxic).sparesNew.Store(true)
	}
}

// closeConnections closes the open connections. New connections work.
func (l *link) closeConnections() {
	l.t.Helper()
	l.injector.Stop()
	if err := l.injector.Start(); err != nil {
		l.t.Errorf("link %s: %v", l.name, err)
	}
}

// heal removes all faults. Connections that lost data are closed.
func (l *link) heal() {
	l.injector.Toxics.ResetToxics(context.Background())
}

// addToxic adds a fault, given as Toxiproxy's JSON. If the link has a fault of this name already, it stays unchanged.
func (l *link) addToxic(toxic string) *toxics.ToxicWrapper {
	l.t.Helper()
	w, err := l.injector.Toxics.AddToxicJson(strings.NewReader(toxic))
	if err != nil {
		if !errors.Is(err, toxiproxy.ErrToxicAlreadyExists) {
			l.t.Errorf("link %s: %v", l.name, err)
		}
		return &toxics.ToxicWrapper{
			Toxic: new(silenceToxic),
		}
	}
	return w
}

// silenceToxic drops all data of the connections that are open when it is added, and passes on that of later ones.
type silenceToxic struct {
	// sparesNew is set once the toxic was added to all open connections.
	sparesNew atomic.Bool
}

// silenceState says whether the data of one connection is dropped.
type silenceState struct {
	silent bool
}

// NewState is called for each connection when the toxic is added to it.
func (h *silenceToxic) NewState() any {
	return &silenceState{
		silent: !h.sparesNew.Load(),
	}
}

// Pipe forwards or drops the data of one connection until the toxic is removed or the connection ends.
func (h *silenceToxic) Pipe(s *toxics.ToxicStub) {
	silent := s.State.(*silenceState).silent
	for {
		select {
		case <-s.Interrupt:
			return
		case c := <-s.Input:
			if c == nil {
				s.Close()
				return
			}
			h.forward(s, c, silent)
		}
	}
}

func (h *silenceToxic) forward(s *toxics.ToxicStub, c *stream.StreamChunk, silent bool) {
	if !silent {
		s.Output <- c
	}
}

// Cleanup closes connections that have lost data. It is called when the toxic is removed.
func (h *silenceToxic) Cleanup(s *toxics.ToxicStub) {
	if s.State.(*silenceState).silent {
		s.Close()
	}
}

func init() {
	toxics.Register("silence", new(silenceToxic))
}
