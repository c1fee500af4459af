package entry

import (
	"strings"

	"egretlane.example/egret"
	"egretlane.example/egret/caller"
	"egretlane.example/egret/route"
)

// serveHere answers batches that need no member, and refuses those that would leave state behind on
// a shared connection. It returns false for all others.
func (s *session) serveHere(in *caller.Incoming, r route.Request) bool {
	if r.Has(route.ActionSession) {
		s.refuse(unsupported("session state is not offered in pooled routes: use SET LOCAL in a transaction, or the driver's own statements"), false)
		return true
	}
	local := r.Has(route.ActionShow) || r.Has(route.ActionReset) || r.Has(route.ActionSetReadOnly) || r.Has(route.ActionSetReadWrite)
	if !local {
		return false
	}
	if !in.Simple || len(r.Actions) != 1 {
		s.refuse(unsupported("this statement must be alone in a simple query"), false)
		return true
	}
	s.answerHere(in, r.Actions[0])
	s.ready(s.status())
	return true
}

func (s *session) answerHere(in *caller.Incoming, a route.Action) {
	switch a {
	case route.ActionSetReadOnly, route.ActionSetReadWrite:
		s.readOnly = a == route.ActionSetReadOnly
		s.conn.Complete("SET")
	case route.ActionReset:
		s.conn.Reset()
		s.readOnly = false
		s.conn.Complete(route.Scan(in.Texts[0]).Statements[0].Words[0])
	case route.ActionShow:
		name := strings.ToLower(route.Scan(in.Texts[0]).Statements[0].Words[1])
		s.conn.Row(name, s.value(name))
	}
}

// value returns the value of one of the session's own parameters, or "".
func (s *session) value(name string) string {
	switch name {
	case caller.TokenParameter:
		return s.desk.Sealer.Seal(s.conn.Start.User, s.conn.Start.Database, &s.floor)
	case memberParameter:
		return s.told.member
	case positionParameter:
		return s.told.position
	case "egretlane.node":
		return s.desk.Peers.Self().ID
	default:
		return ""
	}
}

func (s *session) status() egret.TxStatus {
	if s.open.tx != nil {
		return egret.TxOpen
	}
	return egret.TxIdle
}

func unsupported(message string) *egret.Failure {
	return &egret.Failure{
		Outcome: egret.NotRun,
		Code:    egret.CodeUnsupported,
		Message: message,
	}
}
