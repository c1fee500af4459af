// Package config reads and validates the settings file of a proxy of service groups. The file is YAML with
// kebab-case keys. All invalid settings are reported together: each with its key, or its line if the value has the wrong
// YAML type, and texts that are no valid duration or address with both:
//
//	s, err := config.Load("/etc/egretlane/settings.yaml")
package config

import (
	stderrors "errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.yaml.in/yaml/v3"

	"egretlane.example/egret/quota"
	"egretlane.example/egret/spans"
)

// Settings are the settings of one process.
type Settings struct {
	// Node is the name of the process, unique in the fleet.
	Node string `yaml:"node"`

	// Domain and Region are the failure domain and the region of the VM.
	Domain string `yaml:"domain"`
	Region string `yaml:"region"`

	// Regions maps each failure domain to its region.
	Regions map[string]string `yaml:"regions"`

	// Listen holds the addresses that the process listens on.
	Listen Listen `yaml:"listen"`

	// Platform holds the addresses of the platform's services.
	Platform Platform `yaml:"platform"`

	// Limits are the resource limits of the VM.
	Limits Limits `yaml:"limits"`

	// Bootstrap is true if the whole fleet starts for the first time.
	Bootstrap bool `yaml:"bootstrap"`

	// ShutdownGrace is the maximum time from SIGTERM to the end of the process.
	ShutdownGrace Duration `yaml:"shutdown-grace"`

	// MemberDrain is how long after its report a draining member gets new statements. Zero sets no limit.
	MemberDrain Duration `yaml:"member-drain"`

	// Quota relates the quotas of workspaces to the bound on their operations.
	Quota Quota `yaml:"quota"`

	// Trace configures the export of spans.
	Trace Trace `yaml:"trace"`

	// LogRate is the maximum number of log lines per second for each cause. Zero means a default.
	LogRate int `yaml:"log-rate"`
}

// Listen holds the addresses that a process listens on.
type Listen struct {
	Callers   netip.AddrPort `yaml:"callers"`
	Readiness netip.AddrPort `yaml:"readiness"`
	Peers     netip.AddrPort `yaml:"peers"`

	// Metrics is optional.
	Metrics netip.AddrPort `yaml:"metrics"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Store     netip.AddrPort `yaml:"store"`
	Promotion netip.AddrPort `yaml:"promotion"`
}

// Limits are the resource limits of the VM.
type Limits struct {
	// MemoryMB is the maximum memory of the process in megabytes. Descriptors is its maximum number of open files
	// and sockets. Zero means no limit.
	MemoryMB    int64 `yaml:"memory-mb"`
	Descriptors int   `yaml:"descriptors"`

	// ProcessorShare is the fraction of a core that the process gets, ProcessorSpeed the core's speed as a multiple of
	// the usual one, and LinkMbps the bandwidth of the VM's network link in Mbit/s. Zero means unknown.
	ProcessorShare float64 `yaml:"processor-share"`
	ProcessorSpeed float64 `yaml:"processor-speed"`
	LinkMbps       float64 `yaml:"link-mbps"`

	// MessageMemoryMB is the memory for long messages and answers in megabytes. Zero derives it from MemoryMB.
	MessageMemoryMB int64 `yaml:"message-memory-mb"`

	// ReservedDescriptors is how many of Descriptors aren't available to sessions of callers: those for files and for
	// connections to members, other proxies and the store.
	ReservedDescriptors int `yaml:"reserved-descriptors"`

	// OpeningConnections is the maximum number of callers' connections without a session. Zero derives it from
	// Descriptors. AddressConnections is that of the connections from one client address. Zero means no limit.
	OpeningConnections int `yaml:"opening-connections"`
	AddressConnections int `yaml:"address-connections"`

	// MessageTimeout limits the time from the first byte of a caller's message to its last, AnswerTimeout the time for
	// sending an answer. Large answers get more.
	MessageTimeout Duration `yaml:"message-timeout"`
	AnswerTimeout  Duration `yaml:"answer-timeout"`

	// SocketBufferKB is the size of each of the two buffers that the system has for a caller's connection, in kilobytes.
	// Zero leaves it to the system. It applies where there is a limit of memory.
	SocketBufferKB int `yaml:"socket-buffer-kb"`

	// PeerStreams is the maximum number of concurrent calls on a connection from another proxy, and PeerMessageMB the
	// maximum size of a message from one in megabytes.
	PeerStreams   int `yaml:"peer-streams"`
	PeerMessageMB int `yaml:"peer-message-mb"`
}

// defaultLimits are the limits that apply if the file doesn't set them. Callers and peers that keep to the protocol don't
// reach them.
var defaultLimits = Limits{
	ReservedDescriptors: 700,
	MessageTimeout:      Duration(30 * time.Second),
	AnswerTimeout:       Duration(5 * time.Second),
	SocketBufferKB:      32,
	PeerStreams:         4096,
	PeerMessageMB:       16,
}

// Trace configures the export of the spans of requests.
type Trace struct {
	// Export is the destination of spans: off, stdout or otlp.
	Export spans.Export `yaml:"export"`

	// Ratio is the fraction of requests that are recorded, from 0 to 1.
	Ratio float64 `yaml:"ratio"`
}

// Quota relates the quotas of workspaces to the bound on their operations: in any window, a workspace runs at most
// (rate x window + burst) x (1 + overage) + slack operations.
type Quota struct {
	// Window is the length of the sliding window.
	Window Duration `yaml:"window"`

	// Overage is a fraction of the quota, and Slack a number of operations.
	Overage float64 `yaml:"overage"`
	Slack   float64 `yaml:"slack"`
}

// Duration is a time.Duration that is written as a text such as "1.5s".
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil {
		return errors.Errorf("line %d: invalid duration %q: expected a value with a unit, such as 1.5s", n.Line, n.Value)
	}
	*d = Duration(v)
	return nil
}

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading the settings file")
	}
	s, err := Parse(data)
	return s, errors.Annotatef(err, "settings file %s", path)
}

// Parse parses and validates settings. Unknown keys are ignored.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{
		ShutdownGrace: Duration(5 * time.Second),
		Quota: Quota{
			Window: Duration(quota.DefaultWindow),
		},
		Limits: defaultLimits,
		Trace: Trace{
			Export: spans.ExportOff,
		},
	}
	document := yaml.Node{}
	if err := yaml.Unmarshal(data, &document); err != nil {
		return nil, err
	}
	errs, unparsable := removeUnparsable(&document)
	if err := document.Decode(s); err != nil {
		errs = append(errs, err)
	}
	return s, stderrors.Join(append(errs, s.validate(unparsable)...)...)
}

// removeUnparsable removes the settings whose text is no valid duration or address from the document, since the decoder
// stops at the first of them. It returns an error for each, and their keys.
func removeUnparsable(document *yaml.Node) ([]error, map[string]bool) {
	errs, unparsable := []error{}, map[string]bool{}
	for _, s := range []struct {
		key   string
		check func(n *yaml.Node) error
	}{
		{key: "listen.callers", check: checkAddress},
		{key: "listen.readiness", check: checkAddress},
		{key: "listen.peers", check: checkAddress},
		{key: "listen.metrics", check: checkAddress},
		{key: "platform.store", check: checkAddress},
		{key: "platform.promotion", check: checkAddress},
		{key: "shutdown-grace", check: new(Duration).UnmarshalYAML},
		{key: "member-drain", check: new(Duration).UnmarshalYAML},
		{key: "quota.window", check: new(Duration).UnmarshalYAML},
		{key: "limits.message-timeout", check: new(Duration).UnmarshalYAML},
		{key: "limits.answer-timeout", check: new(Duration).UnmarshalYAML},
	} {
		mapping, i := findKey(document, strings.Split(s.key, "."))
		if mapping == nil || mapping.Content[i+1].Kind != yaml.ScalarNode || mapping.Content[i+1].Tag == "!!null" {
			continue
		}
		if err := s.check(mapping.Content[i+1]); err != nil {
			errs = append(errs, errors.Annotate(err, s.key))
			unparsable[s.key] = true
			mapping.Content = slices.Delete(mapping.Content, i, i+2)
		}
	}
	return errs, unparsable
}

// findKey returns the mapping that has the last part of a path, and the index of that key in its content. It returns nil if
// the document has no such key.
func findKey(n *yaml.Node, path []string) (*yaml.Node, int) {
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	if n.Kind != yaml.MappingNode {
		return nil, 0
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value != path[0] {
			continue
		}
		if len(path) == 1 {
			return n, i
		}
		return findKey(n.Content[i+1], path[1:])
	}
	return nil, 0
}

// checkAddress returns an error unless the text is empty or an IP address with a port.
func checkAddress(n *yaml.Node) error {
	if n.Value == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(n.Value); err != nil {
		return errors.Errorf("line %d: invalid address %q: expected an IP address and a port, such as 10.0.0.1:6400", n.Line, n.Value)
	}
	return nil
}

// validate returns an error for each invalid setting, with its key. Those of the keys in reported are left out.
func (s *Settings) validate(reported map[string]bool) []error {
	errs := []error{}
	check := func(ok bool, key string, format string, a ...any) {
		if !ok && !reported[key] {
			errs = append(errs, errors.Errorf("%s: %s", key, fmt.Sprintf(format, a...)))
		}
	}
	check(s.Node != "", "node", "must not be empty")
	check(s.Domain != "", "domain", "must not be empty")
	check(s.Listen.Callers.IsValid(), "listen.callers", "must be set to an IP address and a port")
	check(s.Listen.Readiness.IsValid(), "listen.readiness", "must be set to an IP address and a port")
	check(s.Listen.Peers.IsValid(), "listen.peers", "must be set to an IP address and a port")
	check(s.Platform.Store.IsValid(), "platform.store", "must be set to an IP address and a port")
	check(s.Platform.Promotion.IsValid(), "platform.promotion", "must be set to an IP address and a port")
	check(s.ShutdownGrace > 0, "shutdown-grace", "must be greater than 0, got %v", time.Duration(s.ShutdownGrace))
	check(s.MemberDrain >= 0, "member-drain", "must not be negative, got %v", time.Duration(s.MemberDrain))
	check(s.Quota.Window > 0, "quota.window", "must be greater than 0, got %v", time.Duration(s.Quota.Window))
	check(s.Quota.Overage >= 0 && !math.IsInf(s.Quota.Overage, 1), "quota.overage", "must be a number from 0, got %v", s.Quota.Overage)
	check(s.Quota.Slack >= 0 && !math.IsInf(s.Quota.Slack, 1), "quota.slack", "must be a number from 0, got %v", s.Quota.Slack)
	check(s.Limits.MemoryMB >= 0, "limits.memory-mb", "must not be negative, got %d", s.Limits.MemoryMB)
	check(s.Limits.ProcessorShare >= 0, "limits.processor-share", "must not be negative, got %v", s.Limits.ProcessorShare)
	check(s.Limits.ProcessorSpeed >= 0, "limits.processor-speed", "must not be negative, got %v", s.Limits.ProcessorSpeed)
	check(s.Limits.LinkMbps >= 0, "limits.link-mbps", "must not be negative, got %v", s.Limits.LinkMbps)
	s.Limits.validate(check)
	switch s.Trace.Export {
	case spans.ExportOff, spans.ExportStdout, spans.ExportOTLP:
	default:
		check(false, "trace.export", "must be off, stdout or otlp, got %q", s.Trace.Export)
	}
	check(s.Trace.Ratio >= 0 && s.Trace.Ratio <= 1, "trace.ratio", "must be from 0 to 1, got %v", s.Trace.Ratio)
	check(s.LogRate >= 0, "log-rate", "must not be negative, got %d", s.LogRate)
	seen := map[netip.AddrPort]string{}
	for _, l := range []struct {
		key     string
		address netip.AddrPort
	}{
		{key: "listen.callers", address: s.Listen.Callers},
		{key: "listen.readiness", address: s.Listen.Readiness},
		{key: "listen.peers", address: s.Listen.Peers},
		{key: "listen.metrics", address: s.Listen.Metrics},
	} {
		if !l.address.IsValid() {
			continue
		}
		other, duplicate := seen[l.address]
		check(!duplicate, l.key, "address %v is already used by %s", l.address, other)
		seen[l.address] = l.key
	}
	return errs
}

// validate calls check for each limit of callers, peers and descriptors.
func (l *Limits) validate(check func(ok bool, key string, format string, a ...any)) {
	check(l.Descriptors >= 0, "limits.descriptors", "must not be negative, got %d", l.Descriptors)
	check(l.ReservedDescriptors >= 0, "limits.reserved-descriptors", "must not be negative, got %d", l.ReservedDescriptors)
	check(l.MessageMemoryMB == 0 || l.MessageMemoryMB >= minMessageMemoryMB, "limits.message-memory-mb",
		"must be 0 or at least %d, so that a message of the largest size fits, got %d", minMessageMemoryMB, l.MessageMemoryMB)
	check(l.MemoryMB == 0 || l.MessageMemoryMB <= l.MemoryMB, "limits.message-memory-mb", "must not be above memory-mb, got %d", l.MessageMemoryMB)
	check(l.OpeningConnections >= 0, "limits.opening-connections", "must not be negative, got %d", l.OpeningConnections)
	check(l.AddressConnections >= 0, "limits.address-connections", "must not be negative, got %d", l.AddressConnections)
	check(l.MessageTimeout > 0, "limits.message-timeout", "must be greater than 0, got %v", time.Duration(l.MessageTimeout))
	check(l.AnswerTimeout > 0, "limits.answer-timeout", "must be greater than 0, got %v", time.Duration(l.AnswerTimeout))
	check(l.SocketBufferKB >= 0, "limits.socket-buffer-kb", "must not be negative, got %d", l.SocketBufferKB)
	check(l.PeerStreams > 0, "limits.peer-streams", "must be greater than 0, got %d", l.PeerStreams)
	check(l.PeerMessageMB > 0, "limits.peer-message-mb", "must be greater than 0, got %d", l.PeerMessageMB)
}

// minMessageMemoryMB is the least memory for messages: one of 1 MiB takes 3 MiB, and an eighth is a reserve.
const minMessageMemoryMB = 8
