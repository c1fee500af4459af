package codec

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// reader converts the YAML nodes of one document to tables and collects findings.
type reader struct {
	// file is the file name for findings.
	file string

	// findings are in the order in which they were found.
	findings Findings

	// locations maps each path in the tables that has a YAML node to the node's location.
	locations map[string]Location
}

// fields gives access to the values of one YAML mapping by key.
type fields struct {
	reader *reader

	// path is the path of the mapping in the tables.
	path string

	// keys and values are parallel slices. Keys are unique.
	keys   []string
	values []*yaml.Node

	// known lists the keys that the mapping may have, in the order in which they are read.
	known []string

	// notMapping is true if the node is not a mapping. That has been reported already, so its missing keys are not.
	notMapping bool
}

// add adds a finding at a path.
func (r *reader) add(path string, s Severity, format string, a ...any) {
	r.findings = append(r.findings, Finding{
		Location: r.location(path),
		Path:     path,
		Severity: s,
		Text:     fmt.Sprintf(format, a...),
	})
}

// location returns the location of a path or, if it has no node, that of its closest ancestor that has one.
func (r *reader) location(path string) Location {
	for {
		if p, found := r.locations[path]; found {
			return p
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return r.rootLocation()
		}
		path = path[:i]
	}
}

func (r *reader) rootLocation() Location {
	if p, found := r.locations[""]; found {
		return p
	}
	return Location{
		File: r.file,
	}
}

func (r *reader) recordLocation(path string, n *yaml.Node) {
	r.locations[path] = Location{
		File:   r.file,
		Line:   n.Line,
		Column: n.Column,
	}
}

// mapping returns the fields of a node that must be a mapping.
func (r *reader) mapping(path string, n *yaml.Node) *fields {
	r.recordLocation(path, n)
	f := &fields{
		reader: r,
		path:   path,
	}
	if n.Kind != yaml.MappingNode {
		r.add(path, Fault, "expected a mapping, found %s", describe(n))
		f.notMapping = true
		return f
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		f.addField(n.Content[i], n.Content[i+1])
	}
	return f
}

func (f *fields) addField(k *yaml.Node, v *yaml.Node) {
	path := f.pathOf(k.Value)
	if slices.Contains(f.keys, k.Value) {
		first := f.reader.locations[path]
		f.reader.recordLocation(path, k)
		f.reader.add(path, Fault, "duplicate key %q, first on line %d", k.Value, first.Line)
		return
	}
	f.reader.recordLocation(path, k)
	f.keys = append(f.keys, k.Value)
	f.values = append(f.values, v)
}

func (f *fields) pathOf(key string) string {
	if f.path == "" {
		return key
	}
	return f.path + "." + key
}

// find returns the value of a key, or nil if it is absent.
func (f *fields) find(key string) *yaml.Node {
	f.known = append(f.known, key)
	i := slices.Index(f.keys, key)
	if i < 0 {
		return nil
	}
	f.reader.recordLocation(f.pathOf(key), f.values[i])
	return f.values[i]
}

// required returns the value of a key. If the key is missing, it adds a finding and returns nil.
func (f *fields) required(key string) *yaml.Node {
	n := f.find(key)
	if n == nil && !f.notMapping {
		f.reader.add(f.pathOf(key), Fault, "key %q is missing", key)
	}
	return n
}

// text returns a required string.
func (f *fields) text(key string) string {
	n := f.required(key)
	if n == nil {
		return ""
	}
	return f.reader.text(f.pathOf(key), n)
}

func (r *reader) text(path string, n *yaml.Node) string {
	if n.Kind != yaml.ScalarNode || n.Tag != "!!str" {
		r.add(path, Fault, "expected a string, found %s", describe(n))
		return ""
	}
	return n.Value
}

// textOr returns an optional string.
func (f *fields) textOr(key string, fallback string) string {
	n := f.find(key)
	if n == nil {
		return fallback
	}
	return f.reader.text(f.pathOf(key), n)
}

// number returns a required integer.
func (f *fields) number(key string) int {
	n := f.required(key)
	if n == nil {
		return 0
	}
	return f.parseNumber(key, n)
}

// numberOr returns an optional integer.
func (f *fields) numberOr(key string, fallback int) int {
	n := f.find(key)
	if n == nil {
		return fallback
	}
	return f.parseNumber(key, n)
}

func (f *fields) parseNumber(key string, n *yaml.Node) int {
	i, err := strconv.Atoi(n.Value)
	if err != nil || n.Kind != yaml.ScalarNode || n.Tag != "!!int" {
		f.reader.add(f.pathOf(key), Fault, "expected a whole number, found %s", describe(n))
		return 0
	}
	return i
}

// boolOr returns an optional boolean.
func (f *fields) boolOr(key string, fallback bool) bool {
	n := f.find(key)
	if n == nil {
		return fallback
	}
	b, err := strconv.ParseBool(n.Value)
	if err != nil || n.Kind != yaml.ScalarNode || n.Tag != "!!bool" {
		f.reader.add(f.pathOf(key), Fault, "expected true or false, found %s", describe(n))
		return fallback
	}
	return b
}

// durationOr returns an optional duration, which is written with its unit.
func (f *fields) durationOr(key string, fallback time.Duration) time.Duration {
	n := f.find(key)
	if n == nil {
		return fallback
	}
	d, err := time.ParseDuration(n.Value)
	if err != nil || n.Kind != yaml.ScalarNode {
		f.reader.add(f.pathOf(key), Fault, "expected a duration with a unit, such as 250ms, found %s", describe(n))
		return fallback
	}
	return d
}

// address returns a required IP address with its port.
func (f *fields) address(key string) netip.AddrPort {
	n := f.required(key)
	if n == nil {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(n.Value)
	if err != nil || n.Kind != yaml.ScalarNode {
		f.reader.add(f.pathOf(key), Fault, "expected an IP address and a port, such as 192.0.2.1:5432, found %s", describe(n))
		return netip.AddrPort{}
	}
	return a
}

// list returns the nodes of an optional list.
func (f *fields) list(key string) []*yaml.Node {
	return f.listItems(key, f.find(key))
}

// requiredList returns the nodes of a required list.
func (f *fields) requiredList(key string) []*yaml.Node {
	return f.listItems(key, f.required(key))
}

func (f *fields) listItems(key string, n *yaml.Node) []*yaml.Node {
	if n == nil {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		f.reader.add(f.pathOf(key), Fault, "expected a list, found %s", describe(n))
		return nil
	}
	return n.Content
}

// reportUnknownKeys adds a finding for each key that was not read. It must be called after all reads.
func (f *fields) reportUnknownKeys() {
	for _, k := range f.keys {
		if !slices.Contains(f.known, k) {
			f.reader.add(f.pathOf(k), Fault, "unknown key %q (known: %s)", k, strings.Join(f.known, ", "))
		}
	}
}

// describe returns a short description of a node for the text of a finding.
func describe(n *yaml.Node) string {
	switch {
	case n.Kind == yaml.MappingNode:
		return "a mapping"
	case n.Kind == yaml.SequenceNode:
		return "a list"
	case n.Kind == yaml.AliasNode:
		return "an alias, which is not supported"
	case n.Tag == "!!null":
		return "nothing"
	case n.Tag == "!!str":
		return strconv.Quote(n.Value)
	default:
		return fmt.Sprintf("%s (%s)", n.Value, strings.TrimPrefix(n.Tag, "!!"))
	}
}
