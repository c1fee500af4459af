// Package route decides where a request goes: which route fits it, which group of the pool it
// belongs to, and which members may serve it, best first.
//
// There is no SQL parser. What a request is follows from its first words and from tags in its
// comments, and doubt means the primary:
//
//	SELECT item FROM orders WHERE id = 'a1' /*kind='stock',max-age='2s'*/
//
//	r := route.Classify([]route.Text{route.Scan(query)}, false)
//	rt, err := route.Match(tables, "workshop", "catalogo-db", r.Kind)
package route

import (
	"slices"

	"egretlane.example/egret"
	"egretlane.example/egret/place"
)

// Match returns the first route that fits the caller, the database and the kind of request. The
// error is a *egret.Failure that tells an unknown caller from an unknown database.
func Match(t *egret.Tables, caller, database, kind string) (*egret.Route, error) {
	known := false
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.Database != database {
			continue
		}
		known = true
		if r.Caller != "*" && r.Caller != caller {
			continue
		}
		if kind == "" || len(r.Kinds) == 0 || slices.Contains(r.Kinds, kind) {
			return r, nil
		}
	}
	if !known {
		return nil, refuse(egret.CodeNoRoute, "no route serves the database \""+database+"\"")
	}
	if kind == "" {
		return nil, refuse(egret.CodeCaller, "no route serves the caller \""+caller+"\" on the database \""+database+"\"")
	}
	return nil, refuse(egret.CodeNoRoute, "no route serves the caller \""+caller+"\" with requests of the kind \""+kind+"\"")
}

// Group returns the group of the pool that the request belongs to: the one that its tag names, or
// the one that wins its key, or the one that wins the caller's name.
func Group(p *egret.Pool, r Request, caller string) (*egret.Group, error) {
	if len(p.Groups) == 0 {
		return nil, refuse(egret.CodeNoRoute, "the pool \""+p.Name+"\" has no group")
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
	return nil, refuse(egret.CodeNoRoute, "the pool \""+p.Name+"\" has no group \""+name+"\"")
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

func refuse(code, message string) error {
	return &egret.Failure{
		Outcome: egret.NotRun,
		Reason:  egret.ReasonOther,
		Code:    code,
		Message: message,
	}
}
