package entry

import (
	"slices"
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
	if !slices.ContainsFunc(r.Actions, isLocal) {
		return false
	}
	if len(r.Actions) != 1 {
		s.refuse(unsupported("this statement must be alone in a query"), false)
		return true
	}
	if f := s.answerHere(in, r.Actions[0]); f != nil {
		s.refuse(f, false)
		return true
	}
	s.ready(s.status())
	return true
}

// isLocal reports whether the proxy itself answers statements with the action.
func isLocal(a route.Action) bool {
	switch a {
	case route.ActionShow, route.ActionReset, route.ActionSetReadOnly, route.ActionSetReadWrite, route.ActionSetHint:
		return true
	default:
		return false
	}
}

func (s *session) answerHere(in *caller.Incoming, a route.Action) *egret.Failure {
	words := route.Scan(in.Texts[0]).Statements[0].Words
	if a == route.ActionShow {
		name := strings.ToLower(words[1])
		s.conn.Answer(in, caller.Answer{
			Tag:    "SHOW",
			Column: name,
			Value:  s.value(name),
		})
		return nil
	}
	all := words[len(words)-1] == "ALL"
	if words[0] == "DEALLOCATE" && !all {
		return unsupported("DEALLOCATE of one statement is not offered: close it by the protocol, or all by DEALLOCATE ALL")
	}
	s.conn.Answer(in, caller.Answer{
		Tag: words[0],
	})
	if !in.Runs {
		return nil
	}
	switch {
	case a == route.ActionSetReadOnly:
		s.readOnly = true
	case a == route.ActionSetReadWrite:
		s.readOnly = false
	case a == route.ActionReset && all:
		s.reset(words[0])
	}
	return nil
}

// reset drops what the proxy keeps for the session, as far as the command goes.
func (s *session) reset(command string) {
	if command == "DEALLOCATE" || command == "DISCARD" {
		s.conn.Reset()
	}
	if command == "RESET" || command == "DISCARD" {
		s.readOnly = s.conn.Start.ReadOnly
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
	switch {
	case s.lost:
		return egret.TxFailed
	case s.open.tx != nil:
		return egret.TxOpen
	default:
		return egret.TxIdle
	}
}

func unsupported(message string) *egret.Failure {
	return &egret.Failure{
		Outcome: egret.NotRun,
		Code:    egret.CodeUnsupported,
		Message: message,
	}
}
