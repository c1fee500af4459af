package entry

import (
	"slices"
	"strings"

	"egretlane.example/egret"
	"egretlane.example/egret/caller"
	"egretlane.example/egret/route"
)

// serveLocally answers batches that need no member, and refuses those that would leave session state on a
// pooled connection. It returns false for all others.
func (s *session) serveLocally(in *caller.IncomingBatch, r route.Request) bool {
	if r.Has(route.ActionSessionState) {
		s.refuse(unsupportedFailure("session state is not offered in pooled routes: use SET LOCAL in a transaction, or the driver's own statements"), false)
		return true
	}
	if !slices.ContainsFunc(r.Actions, isLocal) {
		return false
	}
	if len(r.Actions) != 1 {
		s.refuse(unsupportedFailure("this statement must be alone in a query"), false)
		return true
	}
	if f := s.answerLocally(in, r.Actions[0]); f != nil {
		s.refuse(f, false)
		return true
	}
	s.sendReady(s.txStatus())
	return true
}

// isLocal reports whether the proxy itself answers a statement with the action.
func isLocal(a route.Action) bool {
	switch a {
	case route.ActionShow, route.ActionReset, route.ActionSetReadOnly, route.ActionSetReadWrite, route.ActionSetIgnored:
		return true
	default:
		return false
	}
}

// answerLocally answers a statement for which isLocal holds. It returns a failure if the statement is unsupported.
func (s *session) answerLocally(in *caller.IncomingBatch, a route.Action) *egret.Failure {
	words := route.Scan(in.Texts[0]).Statements[0].Words
	if a == route.ActionShow {
		name := strings.ToLower(words[1])
		s.conn.WriteAnswer(in, caller.LocalAnswer{
			Tag:    "SHOW",
			Column: name,
			Value:  s.parameterValue(name),
		})
		return nil
	}
	all := words[len(words)-1] == "ALL"
	if words[0] == "DEALLOCATE" && !all {
		return unsupportedFailure("DEALLOCATE of one statement is not offered: close it by the protocol, or all by DEALLOCATE ALL")
	}
	s.conn.WriteAnswer(in, caller.LocalAnswer{
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
		s.resetState(words[0])
	}
	return nil
}

// resetState resets the session state that the command covers: prepared statements (DEALLOCATE, DISCARD) and the
// read-only default (RESET, DISCARD).
func (s *session) resetState(command string) {
	if command == "DEALLOCATE" || command == "DISCARD" {
		s.conn.ClearPrepared()
	}
	if command == "RESET" || command == "DISCARD" {
		s.readOnly = s.conn.Startup.ReadOnly
	}
}

// parameterValue returns the value of a parameter that the proxy defines, or "" for any other name.
func (s *session) parameterValue(name string) string {
	switch name {
	case caller.TokenParameter:
		return s.token()
	case memberParameter:
		return s.sentParameters.member
	case positionParameter:
		return s.sentParameters.position
	case "egretlane.node":
		return s.handler.Peers.Self().ID
	default:
		return ""
	}
}

// txStatus returns the transaction status as the caller sees it.
func (s *session) txStatus() egret.TxStatus {
	switch {
	case s.txLost:
		return egret.TxFailed
	case s.openTx.tx != nil:
		return egret.TxOpen
	default:
		return egret.TxIdle
	}
}

func unsupportedFailure(message string) *egret.Failure {
	return &egret.Failure{
		Outcome: egret.OutcomeNotRun,
		Code:    egret.CodeUnsupported,
		Message: message,
	}
}
