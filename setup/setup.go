// Package setup reads the settings file of a proxy of service groups. It is YAML with kebab-case
// names. All faults of a file are reported together, each with its place.
//
//	s, err := setup.Load("/etc/egretlane/settings.yaml")
package setup

import (
	stderrors "errors"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"
	"go.yaml.in/yaml/v3"

	"egretlane.example/egret/spans"
)

// Settings are those of one process.
type Settings struct {
	// Node names the process. It is unique in the fleet.
	Node string `yaml:"node"`

	// Domain and Region are where the VM stands.
	Domain string `yaml:"domain"`
	Region string `yaml:"region"`

	// Regions has the region of each failure domain.
	Regions map[string]string `yaml:"regions"`

	// Listen has the addresses that the process serves.
	Listen Listen `yaml:"listen"`

	// Platform has the addresses of the platform.
	Platform Platform `yaml:"platform"`

	// Limits are those of the VM.
	Limits Limits `yaml:"limits"`

	// Bootstrap says that the whole fleet starts for the first time.
	Bootstrap bool `yaml:"bootstrap"`

	// ShutdownGrace is the time from SIGTERM to the end of the process, at most.
	ShutdownGrace Duration `yaml:"shutdown-grace"`

	// Trace says where spans go.
	Trace Trace `yaml:"trace"`

	// LogRate is how many lines a second each cause may write. Zero takes a default.
	LogRate int `yaml:"log-rate"`
}

// Listen has the addresses that a process serves.
type Listen struct {
	Callers   netip.AddrPort `yaml:"callers"`
	Readiness netip.AddrPort `yaml:"readiness"`
	Peers     netip.AddrPort `yaml:"peers"`

	// Metrics may be left out.
	Metrics netip.AddrPort `yaml:"metrics"`
}

// Platform has the addresses of the platform.
type Platform struct {
	Store     netip.AddrPort `yaml:"store"`
	Promotion netip.AddrPort `yaml:"promotion"`
}

// Limits are those of the VM.
type Limits struct {
	// MemoryMB is the process's memory in megabytes, Descriptors how many files and sockets it may
	// have open. Zero sets no bound.
	MemoryMB    int64 `yaml:"memory-mb"`
	Descriptors int   `yaml:"descriptors"`
}

// Trace says where the spans of requests go.
type Trace struct {
	// Export is off, stdout or otlp.
	Export spans.Export `yaml:"export"`

	// Ratio is the part of requests that is recorded, from 0 to 1.
	Ratio float64 `yaml:"ratio"`
}

// Duration is a time.Duration that is written as in "1.5s".
type Duration time.Duration

// UnmarshalYAML reads a duration.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil {
		return errors.Errorf("line %d: %q is no duration such as 1.5s", n.Line, n.Value)
	}
	*d = Duration(v)
	return nil
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Annotatef(err, "settings file %s", path)
}

// Parse reads and checks settings. Unknown names are ignored.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{
		ShutdownGrace: Duration(5 * time.Second),
		Trace: Trace{
			Export: spans.ExportOff,
		},
	}
	if err := yaml.Unmarshal(data, s); err != nil {
		return nil, err
	}
	return s, stderrors.Join(s.faults()...)
}

// faults returns all that is wrong, each with its place.
func (s *Settings) faults() []error {
	faults := []error{}
	check := func(ok bool, place, fault string) {
		if !ok {
			faults = append(faults, errors.Errorf("%s: %s", place, fault))
		}
	}
	check(s.Node != "", "node", "a name is missing")
	check(s.Domain != "", "domain", "a failure domain is missing")
	check(s.Listen.Callers.IsValid(), "listen.callers", "an address with a port is missing")
	check(s.Listen.Readiness.IsValid(), "listen.readiness", "an address with a port is missing")
	check(s.Listen.Peers.IsValid(), "listen.peers", "an address with a port is missing")
	check(s.Platform.Store.IsValid(), "platform.store", "an address with a port is missing")
	check(s.Platform.Promotion.IsValid(), "platform.promotion", "an address with a port is missing")
	check(s.ShutdownGrace > 0, "shutdown-grace", "must be above zero")
	check(s.Limits.MemoryMB >= 0, "limits.memory-mb", "must not be negative")
	check(s.Limits.Descriptors >= 0, "limits.descriptors", "must not be negative")
	switch s.Trace.Export {
	case spans.ExportOff, spans.ExportStdout, spans.ExportOTLP:
	default:
		check(false, "trace.export", "must be off, stdout or otlp")
	}
	check(s.Trace.Ratio >= 0 && s.Trace.Ratio <= 1, "trace.ratio", "must be from 0 to 1")
	check(s.LogRate >= 0, "log-rate", "must not be negative")
	seen := map[netip.AddrPort]string{}
	for _, l := range []struct {
		place   string
		address netip.AddrPort
	}{
		{place: "listen.callers", address: s.Listen.Callers},
		{place: "listen.readiness", address: s.Listen.Readiness},
		{place: "listen.peers", address: s.Listen.Peers},
		{place: "listen.metrics", address: s.Listen.Metrics},
	} {
		if !l.address.IsValid() {
			continue
		}
		other, taken := seen[l.address]
		check(!taken, l.place, "the same address as "+other)
		seen[l.address] = l.place
	}
	return faults
}
