package codec

import (
	"fmt"
	"net/netip"
	"regexp"

	"egretlane.example/egret"
)

// namePattern matches valid names of routes, pools, groups, members and kinds. It is strict because the names are
// part of metrics and tokens.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// checker collects the findings of one set of tables.
type checker struct {
	findings Findings

	// members maps the names of the members checked so far to their groups.
	members map[string]string

	// addresses maps the addresses of the members checked so far to the members' names.
	addresses map[netip.AddrPort]string
}

// Check validates the tables. The findings have paths but no locations.
func Check(t *egret.Tables) Findings {
	c := &checker{
		members:   make(map[string]string),
		addresses: make(map[netip.AddrPort]string),
	}
	if len(t.Routes) == 0 {
		c.warn("routes", "no routes: each request is refused")
	}
	c.routes(t)
	c.shadowedRoutes(t.Routes)
	c.pools(t)
	return c.findings
}

func (c *checker) fault(path string, format string, a ...any) {
	c.add(path, Fault, format, a...)
}

func (c *checker) warn(path string, format string, a ...any) {
	c.add(path, Warning, format, a...)
}

func (c *checker) add(path string, s Severity, format string, a ...any) {
	c.findings = append(c.findings, Finding{
		Path:     path,
		Severity: s,
		Text:     fmt.Sprintf(format, a...),
	})
}

// name checks a name against namePattern. The element is what has the name, for the text of the finding.
func (c *checker) name(path string, element string, name string) {
	if !namePattern.MatchString(name) {
		c.fault(path, "invalid %s name %q: must be 1 to 63 letters, digits, dots, hyphens or underscores and start with a letter or a digit", element, name)
	}
}

func (c *checker) routes(t *egret.Tables) {
	names := make(map[string]bool)
	for i := range t.Routes {
		r := &t.Routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		c.name(path+".name", "route", r.Name)
		if names[r.Name] {
			c.fault(path+".name", "duplicate route name %q", r.Name)
		}
		names[r.Name] = true
		c.route(path, r)
		if t.Pool(r.Pool) == nil {
			c.fault(path+".pool", "route %q: unknown pool %q", r.Name, r.Pool)
		}
	}
}

func (c *checker) route(path string, r *egret.Route) {
	if r.Caller == "" {
		c.fault(path+".caller", "route %q: caller must not be empty; \"*\" matches all callers", r.Name)
	}
	if r.Database == "" {
		c.fault(path+".database", "route %q: database must not be empty", r.Name)
	}
	c.kinds(path, r)
	switch r.Class {
	case egret.ClassOrder, egret.ClassNormal, egret.ClassDeferrable:
	default:
		c.fault(path+".class", "route %q: invalid class %q: must be order, normal or defer", r.Name, r.Class)
	}
	if r.Budget <= 0 {
		c.fault(path+".budget", "route %q: budget must be greater than 0, got %v", r.Name, r.Budget)
	}
	if r.MaxAge < 0 {
		c.fault(path+".max-age", "route %q: max-age must not be negative, got %v", r.Name, r.MaxAge)
	}
	if r.ConfirmTimeout <= 0 {
		c.fault(path+".confirm-wait", "route %q: confirm-wait must be greater than 0, got %v", r.Name, r.ConfirmTimeout)
	}
	if r.ConfirmTimeout > r.Budget && r.Budget > 0 {
		c.warn(path+".confirm-wait", "route %q: confirm-wait of %v exceeds the budget of %v, which ends the wait early", r.Name, r.ConfirmTimeout, r.Budget)
	}
}

func (c *checker) kinds(path string, r *egret.Route) {
	seen := make(map[string]bool)
	for i, k := range r.RequestKinds {
		kind := fmt.Sprintf("%s.kinds[%d]", path, i)
		c.name(kind, "kind", k)
		if seen[k] {
			c.fault(kind, "route %q: duplicate kind %q", r.Name, k)
		}
		seen[k] = true
	}
}
