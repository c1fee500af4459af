// Package route decides where a request is sent: which route matches it, which group of the pool it belongs to, and
// which members may serve it, in order of preference.
//
// It has no SQL parser. Requests are classified by the first words of their statements and by tags in their comments.
// Statements that are not recognized go to the primary:
//
//	SELECT item FROM orders WHERE id = 'a1' /*kind='stock',max-age='2s'*/
//
//	r := route.Classify([]route.ScannedQuery{route.Scan(query)}, false)
//	rt, err := route.Match(tables, "workshop", "catalogo-db", r.Kind)
package route

import (
	"slices"

	"egretlane.example/egret"
	"egretlane.example/egret/place"
)

// Match returns the first route that matches the caller, the database and the kind of request. An empty kind matches
// all routes. The error is a *egret.Failure. For an empty kind, its code tells an unknown caller from an unknown
// database.
func Match(t *egret.Tables, caller, database, kind string) (*egret.Route, error) {
	databaseKnown := false
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.Database != database {
			continue
		}
		databaseKnown = true
		if r.Caller != "*" && r.Caller != caller {
			continue
		}
		if kind == "" || len(r.RequestKinds) == 0 || slices.Contains(r.RequestKinds, kind) {
			return r, nil
		}
	}
	if !databaseKnown {
		return nil, newFailure(egret.CodeNoRoute, "no route serves the database \""+database+"\"")
	}
	if kind == "" {
		return nil, newFailure(egret.CodeAuthentication, "no route serves the caller \""+caller+"\" on the database \""+database+"\"")
	}
	return nil, newFailure(egret.CodeNoRoute, "no route serves the caller \""+caller+"\" with requests of the kind \""+kind+"\"")
}

// Group returns the group of the pool that the request belongs to: the one that its tag names, or else the one that
// rendezvous hashing selects for its group key, or without one for the caller's name.
func Group(p *egret.Pool, r Request, caller string) (*egret.Group, error) {
	if len(p.Groups) == 0 {
		return nil, newFailure(egret.CodeNoRoute, "the pool \""+p.Name+"\" has no group")
	}
	name := r.Group
	if name == "" {
		name = place.Pick(groupNames(p), groupKey(r, caller))
	}
	for i := range p.Groups {
		if p.Groups[i].Name == name {
			return &p.Groups[i], nil
		}
	}
	return nil, newFailure(egret.CodeNoRoute, "the pool \""+p.Name+"\" has no group \""+name+"\"")
}

func groupNames(p *egret.Pool) []string {
	names := make([]string, 0, len(p.Groups))
	for _, g := range p.Groups {
		names = append(names, g.Name)
	}
	return names
}

func groupKey(r Request, caller string) string {
	if r.GroupKey != "" {
		return r.GroupKey
	}
	return caller
}

func newFailure(code, message string) error {
	return &egret.Failure{
		Outcome: egret.OutcomeNotRun,
		Reason:  egret.ReasonOther,
		Code:    code,
		Message: message,
	}
}
