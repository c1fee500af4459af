package setup

import (
	"strings"
	"testing"
	"time"
)

const good = `
node: front-1
domain: lecco-a
region: lombardia
regions: {lecco-a: lombardia}
listen:
  callers: "10.0.0.1:1"
  readiness: "10.0.0.1:2"
  peers: "10.0.0.1:3"
platform:
  store: "10.0.1.1:1"
  promotion: "10.0.1.2:1"
limits: {memory-mb: 284, descriptors: 4200}
shutdown-grace: 6s
something-new: 1
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if s.Node != "front-1" || s.Listen.Peers.Port() != 3 || time.Duration(s.ShutdownGrace) != 6*time.Second || s.Limits.Descriptors != 4200 {
		t.Errorf("%+v", s)
	}
}

// TestAllFaultsAreReported checks that one reading shows each fault with its place.
func TestAllFaultsAreReported(t *testing.T) {
	_, err := Parse([]byte("listen: {callers: \"10.0.0.1:1\", peers: \"10.0.0.1:1\"}\nlog-rate: -1\ntrace: {export: paper, ratio: 2}\n"))
	if err == nil {
		t.Fatal("no fault found")
	}
	for _, place := range []string{"node:", "domain:", "listen.readiness:", "listen.peers: the same address as listen.callers", "platform.store:", "platform.promotion:", "log-rate:", "trace.export:", "trace.ratio:"} {
		if !strings.Contains(err.Error(), place) {
			t.Errorf("%q is missing in:\n%v", place, err)
		}
	}
}

func TestFaultsOfForm(t *testing.T) {
	for _, text := range []string{"node: [", strings.Replace(good, "6s", "soon", 1), strings.Replace(good, "10.0.1.1:1", "nowhere", 1)} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("no fault found in %q", text)
		}
	}
}
