package sess

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/query"
)

// SQLSTATE codes that sessions report.
const (
	codeProtocol        = "08P01"
	codeUnsupported     = "0A000"
	codeActive          = "25001"
	codeNoTransaction   = "25P01"
	codeFailed          = "25P02"
	codeNoStatement     = "26000"
	codeNoPortal        = "34000"
	codeCursorExists    = "42P03"
	codeStatementExists = "42P05"
	codeNoSetting       = "42704"
	codeShutdown        = "57P01"
	codeNotNow          = "57P03"
	codeInternal        = "XX000"
)

// Causes for the end of what a session waits for.
var (
	// ErrGone ends a session whose client has gone.
	ErrGone = errors.ConstError("the client has gone")

	// ErrTerminated ends a session by order of another one, or because the member ends.
	ErrTerminated = &core.Error{
		Code:    codeShutdown,
		Message: "terminating connection due to administrator command",
	}

	// errCanceled ends a statement by order of its client.
	errCanceled = &core.Error{
		Code:    core.CodeCanceled,
		Message: "canceling statement due to user request",
	}

	// errTimeout ends a statement that took longer than statement_timeout.
	errTimeout = &core.Error{
		Code:    core.CodeCanceled,
		Message: "canceling statement due to statement timeout",
	}
)

// Response returns the message that tells the client of an error.
func Response(severity string, reason error) *pgproto3.ErrorResponse {
	r := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                codeInternal,
		Message:             reason.Error(),
	}
	var q *query.Error
	var c *core.Error
	switch {
	case errors.As(reason, &q):
		r.Code = q.Code
		r.Message = q.Message
		r.Position = int32(q.Position)
	case errors.As(reason, &c):
		r.Code = c.Code
		r.Message = c.Message
	}
	return r
}
