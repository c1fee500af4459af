package form

import (
	"fmt"
	"slices"
	"strings"

	"egretlane.example/egret"
)

// shadows looks for routes that no request reaches, since earlier ones take all of theirs.
func (c *checker) shadows(routes []egret.Route) {
	for i := range routes {
		path := fmt.Sprintf("routes[%d]", i)
		c.shadow(path, routes[:i], &routes[i])
	}
}

func (c *checker) shadow(path string, earlier []egret.Route, r *egret.Route) {
	whole := taker(earlier, r, "")
	if whole != "" {
		c.fault(path, "route %q is never reached: route %q takes all its requests", r.Name, whole)
		return
	}
	takers := []string{}
	for i, k := range r.Kinds {
		t := taker(earlier, r, k)
		if t == "" {
			continue
		}
		takers = append(takers, t)
		c.warn(fmt.Sprintf("%s.kinds[%d]", path, i), "route %q: route %q takes kind %q", r.Name, t, k)
	}
	if len(r.Kinds) > 0 && len(takers) == len(r.Kinds) {
		c.fault(path, "route %q is never reached: routes %s take all its kinds", r.Name, strings.Join(slices.Compact(takers), ", "))
	}
}

// taker returns the name of the first earlier route that takes the kind of the route's requests, or
// all of its requests for an empty kind. It returns "" if there is none.
func taker(earlier []egret.Route, r *egret.Route, kind string) string {
	for i := range earlier {
		e := &earlier[i]
		if e.Database != r.Database {
			continue
		}
		if e.Caller != "*" && e.Caller != r.Caller {
			continue
		}
		if len(e.Kinds) == 0 {
			return e.Name
		}
		if kind != "" && slices.Contains(e.Kinds, kind) {
			return e.Name
		}
	}
	return ""
}
