package lane

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/member"
)

// SQLSTATE codes of members that decide an outcome.
const (
	codeReadOnly     = "25006"
	codeRolledBack   = "40000"
	codeConnections  = "53300"
	codeCanceled     = "57014"
	codeCannotNow    = "57P03"
	codeNoStatement  = "26000"
	codeDuplicate    = "42P05"
	codeStalePlan    = "0A000"
	severityFatal    = "FATAL"
	severityTerminal = "PANIC"
)

func notRun(r egret.Reason, format string, args ...any) *egret.Failure {
	return &egret.Failure{
		Outcome: egret.NotRun,
		Reason:  r,
		Code:    egret.CodeNotRun,
		Message: fmt.Sprintf(format, args...),
	}
}

func unknown(r egret.Reason, format string, args ...any) *egret.Failure {
	return &egret.Failure{
		Outcome: egret.Unknown,
		Reason:  r,
		Code:    egret.CodeUnknown,
		Message: fmt.Sprintf(format, args...),
	}
}

// refusal returns what a member's error proves about a transaction of which nothing else ran: that
// it did not run and why. It returns nil for errors that are the database's answer to the caller.
func refusal(m *pgproto3.ErrorResponse, name string, readOnly bool) *egret.Failure {
	switch m.Code {
	case member.CodeFloor:
		return notRun(egret.ReasonFloor, "member %s has not reached the session's floor", name)
	case codeReadOnly:
		if readOnly {
			return notRun(egret.ReasonReadOnly, "a read-only transaction tried to write on member %s", name)
		}
		return notRun(egret.ReasonNotPrimary, "member %s takes no writes", name)
	case codeRolledBack:
		return notRun(egret.ReasonNotPrimary, "member %s rolled back: %s", name, m.Message)
	case codeConnections, codeCannotNow:
		return notRun(egret.ReasonRefused, "member %s takes no statements now: %s", name, m.Message)
	default:
		return nil
	}
}

// breaksNames reports whether an error says that a connection's prepared statements are not those
// that the lane knows of.
func breaksNames(m *pgproto3.ErrorResponse) bool {
	return m.Code == codeNoStatement || m.Code == codeDuplicate || m.Code == codeStalePlan
}

func isFatal(m *pgproto3.ErrorResponse) bool {
	return m.Severity == severityFatal || m.Severity == severityTerminal
}

// refusesConnections reports whether the member has its number of connections.
func refusesConnections(err error) bool {
	var refused *pgconn.PgError
	return errors.As(err, &refused) && refused.Code == codeConnections
}
