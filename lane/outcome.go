package lane

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/member"
)

// SQLSTATE codes of members' errors that determine an outcome, and severities that end a
// connection.
const (
	codeRolledBack         = "40000"
	codeTooManyConnections = "53300"
	codeCanceled           = "57014"
	codeCannotConnectNow   = "57P03"
	codeUnknownStatement   = "26000"
	codeDuplicateStatement = "42P05"
	codeStalePlan          = "0A000"
	severityFatal          = "FATAL"
	severityPanic          = "PANIC"
)

func notRun(r egret.Reason, format string, args ...any) *egret.Failure {
	return &egret.Failure{
		Outcome: egret.OutcomeNotRun,
		Reason:  r,
		Code:    egret.CodeNotRun,
		Message: fmt.Sprintf(format, args...),
	}
}

func unknown(r egret.Reason, format string, args ...any) *egret.Failure {
	return &egret.Failure{
		Outcome: egret.OutcomeUnknown,
		Reason:  r,
		Code:    egret.CodeUnknown,
		Message: fmt.Sprintf(format, args...),
	}
}

// memberRefusal returns why a transaction didn't run, as shown by a member's error, provided that
// nothing else of the transaction ran. It returns nil for errors that are the database's answer to
// the caller.
func memberRefusal(m *pgproto3.ErrorResponse, name string, readOnly bool) *egret.Failure {
	switch m.Code {
	case member.CodeFloorTimeout:
		return notRun(egret.ReasonFloor, "member %s has not reached the session's floor", name)
	case egret.CodeReadOnly:
		if readOnly {
			return notRun(egret.ReasonReadOnly, "a read-only transaction tried to write on member %s", name)
		}
		return notRun(egret.ReasonNotPrimary, "member %s takes no writes", name)
	case codeRolledBack:
		return notRun(egret.ReasonNotPrimary, "member %s rolled back: %s", name, m.Message)
	case codeTooManyConnections, codeCannotConnectNow:
		return notRun(egret.ReasonMemberRefused, "member %s takes no statements now: %s", name, m.Message)
	default:
		return nil
	}
}

// invalidatesPrepared reports whether an error shows that the prepared statements of a connection
// are not those that the lane has recorded, or have become unusable.
func invalidatesPrepared(m *pgproto3.ErrorResponse) bool {
	return m.Code == codeUnknownStatement || m.Code == codeDuplicateStatement || m.Code == codeStalePlan
}

func isFatal(m *pgproto3.ErrorResponse) bool {
	return m.Severity == severityFatal || m.Severity == severityPanic
}

// isTooManyConnections reports whether the member refused a connection because it has reached its
// limit.
func isTooManyConnections(err error) bool {
	var refused *pgconn.PgError
	return errors.As(err, &refused) && refused.Code == codeTooManyConnections
}
