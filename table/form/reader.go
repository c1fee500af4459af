package form

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// reader collects what it finds in the nodes of one text.
type reader struct {
	// file names the text in findings.
	file string

	// findings are in the order of reading.
	findings Findings

	// places holds the place of each path that has a node.
	places map[string]Place
}

// fields reads the keys of one mapping.
type fields struct {
	reader *reader

	// path is that of the mapping.
	path string

	// keys and values are of equal length. Keys are unique.
	keys   []string
	values []*yaml.Node

	// asked lists the keys that the mapping may have.
	asked []string

	// broken says that the node is no mapping, which was reported.
	broken bool
}

// add reports a finding at a path that has a node.
func (r *reader) add(path string, s Severity, format string, a ...any) {
	r.findings = append(r.findings, Finding{
		Place:    r.place(path),
		Path:     path,
		Severity: s,
		Text:     fmt.Sprintf(format, a...),
	})
}

// place returns the place of a path, or that of the nearest one above it that has a node.
func (r *reader) place(path string) Place {
	for {
		if p, found := r.places[path]; found {
			return p
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return r.top()
		}
		path = path[:i]
	}
}

func (r *reader) top() Place {
	if p, found := r.places[""]; found {
		return p
	}
	return Place{
		File: r.file,
	}
}

func (r *reader) note(path string, n *yaml.Node) {
	r.places[path] = Place{
		File:   r.file,
		Line:   n.Line,
		Column: n.Column,
	}
}

// mapping reads a node that has to be a mapping.
func (r *reader) mapping(path string, n *yaml.Node) *fields {
	r.note(path, n)
	f := &fields{
		reader: r,
		path:   path,
	}
	if n.Kind != yaml.MappingNode {
		r.add(path, Fault, "expected keys with values, found %s", describe(n))
		f.broken = true
		return f
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		f.take(n.Content[i], n.Content[i+1])
	}
	return f
}

func (f *fields) take(k *yaml.Node, v *yaml.Node) {
	path := f.join(k.Value)
	if slices.Contains(f.keys, k.Value) {
		first := f.reader.places[path]
		f.reader.note(path, k)
		f.reader.add(path, Fault, "key %q is given twice, first in line %d", k.Value, first.Line)
		return
	}
	f.reader.note(path, k)
	f.keys = append(f.keys, k.Value)
	f.values = append(f.values, v)
}

func (f *fields) join(key string) string {
	if f.path == "" {
		return key
	}
	return f.path + "." + key
}

// find returns the value of a key, or nil if it is absent.
func (f *fields) find(key string) *yaml.Node {
	f.asked = append(f.asked, key)
	i := slices.Index(f.keys, key)
	if i < 0 {
		return nil
	}
	f.reader.note(f.join(key), f.values[i])
	return f.values[i]
}

// need returns the value of a key and reports its absence.
func (f *fields) need(key string) *yaml.Node {
	n := f.find(key)
	if n == nil && !f.broken {
		f.reader.add(f.join(key), Fault, "key %q is missing", key)
	}
	return n
}

// text reads a text that has to be there.
func (f *fields) text(key string) string {
	n := f.need(key)
	if n == nil {
		return ""
	}
	return f.reader.text(f.join(key), n)
}

func (r *reader) text(path string, n *yaml.Node) string {
	if n.Kind != yaml.ScalarNode || n.Tag != "!!str" {
		r.add(path, Fault, "expected a text, found %s", describe(n))
		return ""
	}
	return n.Value
}

// textOr reads a text that may be absent.
func (f *fields) textOr(key string, absent string) string {
	n := f.find(key)
	if n == nil {
		return absent
	}
	return f.reader.text(f.join(key), n)
}

// number reads a whole number that has to be there.
func (f *fields) number(key string) int {
	n := f.need(key)
	if n == nil {
		return 0
	}
	return f.parseNumber(key, n)
}

// numberOr reads a whole number that may be absent.
func (f *fields) numberOr(key string, absent int) int {
	n := f.find(key)
	if n == nil {
		return absent
	}
	return f.parseNumber(key, n)
}

func (f *fields) parseNumber(key string, n *yaml.Node) int {
	i, err := strconv.Atoi(n.Value)
	if err != nil || n.Kind != yaml.ScalarNode || n.Tag != "!!int" {
		f.reader.add(f.join(key), Fault, "expected a whole number, found %s", describe(n))
		return 0
	}
	return i
}

// flagOr reads true or false.
func (f *fields) flagOr(key string, absent bool) bool {
	n := f.find(key)
	if n == nil {
		return absent
	}
	b, err := strconv.ParseBool(n.Value)
	if err != nil || n.Kind != yaml.ScalarNode || n.Tag != "!!bool" {
		f.reader.add(f.join(key), Fault, "expected true or false, found %s", describe(n))
		return absent
	}
	return b
}

// spanOr reads a duration with its unit.
func (f *fields) spanOr(key string, absent time.Duration) time.Duration {
	n := f.find(key)
	if n == nil {
		return absent
	}
	d, err := time.ParseDuration(n.Value)
	if err != nil || n.Kind != yaml.ScalarNode {
		f.reader.add(f.join(key), Fault, "expected a duration with a unit, as 250ms, found %s", describe(n))
		return absent
	}
	return d
}

// address reads an IP and a port.
func (f *fields) address(key string) netip.AddrPort {
	n := f.need(key)
	if n == nil {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(n.Value)
	if err != nil || n.Kind != yaml.ScalarNode {
		f.reader.add(f.join(key), Fault, "expected an IP and a port, as 192.0.2.1:5432, found %s", describe(n))
		return netip.AddrPort{}
	}
	return a
}

// list returns the nodes of a list that may be absent.
func (f *fields) list(key string) []*yaml.Node {
	return f.items(key, f.find(key))
}

// needList returns the nodes of a list that has to be there.
func (f *fields) needList(key string) []*yaml.Node {
	return f.items(key, f.need(key))
}

func (f *fields) items(key string, n *yaml.Node) []*yaml.Node {
	if n == nil {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		f.reader.add(f.join(key), Fault, "expected a list, found %s", describe(n))
		return nil
	}
	return n.Content
}

// end reports the keys that nobody asked for.
func (f *fields) end() {
	for _, k := range f.keys {
		if !slices.Contains(f.asked, k) {
			f.reader.add(f.join(k), Fault, "unknown key %q (known: %s)", k, strings.Join(f.asked, ", "))
		}
	}
}

// describe names a node in a finding.
func describe(n *yaml.Node) string {
	switch {
	case n.Kind == yaml.MappingNode:
		return "keys with values"
	case n.Kind == yaml.SequenceNode:
		return "a list"
	case n.Kind == yaml.AliasNode:
		return "an alias, which tables don't have"
	case n.Tag == "!!null":
		return "nothing"
	case n.Tag == "!!str":
		return strconv.Quote(n.Value)
	default:
		return fmt.Sprintf("%s (%s)", n.Value, strings.TrimPrefix(n.Tag, "!!"))
	}
}
