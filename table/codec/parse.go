package codec

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"egretlane.example/egret"
)

// MaxBytes is the maximum size of the tables as text.
const MaxBytes = 8 << 20

// Defaults of optional keys of routes and pools.
const (
	defaultClass       = egret.ClassNormal
	defaultBudget      = 5 * time.Second
	defaultConfirmWait = time.Second // The budget is the default if it is shorter.
	defaultReserve     = 6
	defaultQueue       = 1000
	defaultOrderShare  = 80
)

// syntaxErrorLine matches the line number in error messages of the YAML library.
var syntaxErrorLine = regexp.MustCompile(`^yaml: line (\d+): `)

// Parse parses and checks tables that an operator wrote. The file name is used in the findings only.
// The returned tables have no revision and no edits. They can be used only if the findings have no faults.
func Parse(file string, data []byte) (*egret.Tables, Findings) {
	r := &reader{
		file:      file,
		locations: make(map[string]Location),
	}
	return r.parse(data)
}

func (r *reader) parse(data []byte) (*egret.Tables, Findings) {
	t := &egret.Tables{}
	n, ok := r.document(data)
	if !ok {
		return t, r.findings
	}
	f := r.mapping("", n)
	t.Routes = r.routes(f.requiredList("routes"))
	t.Pools = r.pools(f.requiredList("pools"))
	f.reportUnknownKeys()
	r.addCheckFindings(Check(t))
	r.findings.sort()
	return t, r.findings
}

// document returns the root node of the text, which must have exactly one YAML document.
func (r *reader) document(data []byte) (*yaml.Node, bool) {
	if len(data) > MaxBytes {
		r.add("", Fault, "size of %d bytes exceeds the limit of %d", len(data), MaxBytes)
		return nil, false
	}
	d := yaml.NewDecoder(bytes.NewReader(replaceTabs(data)))
	n := yaml.Node{}
	err := d.Decode(&n)
	if err == io.EOF {
		r.add("", Fault, "the text is empty")
		return nil, false
	}
	if err != nil {
		r.addSyntaxError(err)
		return nil, false
	}
	next := yaml.Node{}
	if d.Decode(&next) != io.EOF {
		r.recordLocation("", &next)
		r.add("", Fault, "expected a single document, found more than one")
		return nil, false
	}
	return n.Content[0], true
}

// replaceTabs replaces tabs with spaces if the text is JSON. YAML doesn't allow tabs as indentation. In valid JSON,
// tabs occur only between tokens, so no value changes.
func replaceTabs(data []byte) []byte {
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		return data
	}
	return bytes.ReplaceAll(data, []byte("\t"), []byte(" "))
}

// addSyntaxError adds a fault for an error of the YAML library. The library reports the line where the invalid
// construct starts, and no line number if it is the first line.
func (r *reader) addSyntaxError(err error) {
	text := err.Error()
	l := Location{
		File: r.file,
		Line: 1,
	}
	if m := syntaxErrorLine.FindStringSubmatch(text); m != nil {
		l.Line, _ = strconv.Atoi(m[1])
		text = strings.TrimPrefix(text, m[0])
	}
	r.findings = append(r.findings, Finding{
		Location: l,
		Severity: Fault,
		Text:     "invalid syntax on or after this line: " + strings.TrimPrefix(text, "yaml: "),
	})
}

// addCheckFindings adds the findings of Check with their locations, except those that follow from an earlier fault.
func (r *reader) addCheckFindings(found Findings) {
	for _, f := range found.withoutCovered(r.findings.Faults()) {
		f.Location = r.location(f.Path)
		r.findings = append(r.findings, f)
	}
}

func (r *reader) routes(nodes []*yaml.Node) []egret.Route {
	routes := make([]egret.Route, 0, len(nodes))
	for i, n := range nodes {
		f := r.mapping(fmt.Sprintf("routes[%d]", i), n)
		budget := f.durationOr("budget", defaultBudget)
		routes = append(routes, egret.Route{
			Name:           f.text("name"),
			Caller:         f.text("caller"),
			Database:       f.text("database"),
			RequestKinds:   f.texts("kinds"),
			Pool:           f.text("pool"),
			Class:          egret.Class(f.textOr("class", string(defaultClass))),
			Budget:         budget,
			MaxAge:         f.durationOr("max-age", 0),
			AllowReplicas:  f.boolOr("replicas", true),
			Retryable:      f.boolOr("repeatable", false),
			ConfirmTimeout: f.durationOr("confirm-wait", min(defaultConfirmWait, budget)),
		})
		f.reportUnknownKeys()
	}
	return routes
}

// texts returns an optional list of strings.
func (f *fields) texts(key string) []string {
	texts := []string(nil)
	for i, n := range f.list(key) {
		path := fmt.Sprintf("%s[%d]", f.pathOf(key), i)
		f.reader.recordLocation(path, n)
		texts = append(texts, f.reader.text(path, n))
	}
	return texts
}

func (r *reader) pools(nodes []*yaml.Node) []egret.Pool {
	pools := make([]egret.Pool, 0, len(nodes))
	for i, n := range nodes {
		path := fmt.Sprintf("pools[%d]", i)
		f := r.mapping(path, n)
		pools = append(pools, egret.Pool{
			Name:                f.text("name"),
			Database:            f.textOr("database", ""),
			Slots:               f.number("slots"),
			Connections:         f.number("connections"),
			ReservedConnections: f.numberOr("reserve", defaultReserve),
			QueueLimit:          f.numberOr("queue", defaultQueue),
			OrderSharePercent:   f.numberOr("order-share", defaultOrderShare),
			Weights:             r.weights(path, f.list("weights")),
			Groups:              r.groups(path, f.requiredList("groups")),
		})
		f.reportUnknownKeys()
	}
	return pools
}

func (r *reader) weights(pool string, nodes []*yaml.Node) []egret.Weight {
	weights := []egret.Weight(nil)
	for i, n := range nodes {
		f := r.mapping(fmt.Sprintf("%s.weights[%d]", pool, i), n)
		weights = append(weights, egret.Weight{
			Caller: f.text("caller"),
			Weight: f.number("weight"),
		})
		f.reportUnknownKeys()
	}
	return weights
}

func (r *reader) groups(pool string, nodes []*yaml.Node) []egret.Group {
	groups := make([]egret.Group, 0, len(nodes))
	for i, n := range nodes {
		path := fmt.Sprintf("%s.groups[%d]", pool, i)
		f := r.mapping(path, n)
		groups = append(groups, egret.Group{
			Name:    f.text("name"),
			Members: r.members(path, f.requiredList("members")),
		})
		f.reportUnknownKeys()
	}
	return groups
}

func (r *reader) members(group string, nodes []*yaml.Node) []egret.Member {
	members := make([]egret.Member, 0, len(nodes))
	for i, n := range nodes {
		f := r.mapping(fmt.Sprintf("%s.members[%d]", group, i), n)
		members = append(members, egret.Member{
			Name:    f.text("name"),
			Address: f.address("address"),
			Region:  f.text("region"),
			Domain:  f.text("failure-domain"),
			Leaving: f.boolOr("leaving", false),
		})
		f.reportUnknownKeys()
	}
	return members
}
