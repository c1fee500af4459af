package codec

import (
	"fmt"
	"slices"
	"strings"

	"egretlane.example/egret"
)

// shadowedRoutes reports routes that no request can reach because earlier routes match all of their requests. It
// warns about single kinds that an earlier route matches.
func (c *checker) shadowedRoutes(routes []egret.Route) {
	for i := range routes {
		path := fmt.Sprintf("routes[%d]", i)
		c.shadowedRoute(path, routes[:i], &routes[i])
	}
}

func (c *checker) shadowedRoute(path string, earlier []egret.Route, r *egret.Route) {
	shadowing := shadowingRoute(earlier, r, "")
	if shadowing != "" {
		c.fault(path, "route %q is unreachable: earlier route %q matches all of its requests", r.Name, shadowing)
		return
	}
	shadowingKinds := []string{}
	for i, k := range r.RequestKinds {
		s := shadowingRoute(earlier, r, k)
		if s == "" {
			continue
		}
		shadowingKinds = append(shadowingKinds, s)
		c.warn(fmt.Sprintf("%s.kinds[%d]", path, i), "route %q: kind %q is unreachable: earlier route %q matches it", r.Name, k, s)
	}
	if len(r.RequestKinds) > 0 && len(shadowingKinds) == len(r.RequestKinds) {
		c.fault(path, "route %q is unreachable: earlier routes match all of its kinds: %s", r.Name, strings.Join(slices.Compact(shadowingKinds), ", "))
	}
}

// shadowingRoute returns the name of the first earlier route that matches all of the route's requests of the kind.
// If the kind is empty, the earlier route must match all of the route's requests. It returns "" if there is none.
func shadowingRoute(earlier []egret.Route, r *egret.Route, kind string) string {
	for i := range earlier {
		e := &earlier[i]
		if e.Database != r.Database {
			continue
		}
		if e.Caller != "*" && e.Caller != r.Caller {
			continue
		}
		if len(e.RequestKinds) == 0 {
			return e.Name
		}
		if kind != "" && slices.Contains(e.RequestKinds, kind) {
			return e.Name
		}
	}
	return ""
}
