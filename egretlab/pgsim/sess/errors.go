package sess

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/query"
)

// SQLSTATE codes that sessions report.
const (
	codeProtocolViolation   = "08P01"
	codeUnsupported         = "0A000"
	codeActiveTransaction   = "25001"
	codeNoActiveTransaction = "25P01"
	codeFailedTransaction   = "25P02"
	codeUnknownStatement    = "26000"
	codeUnknownPortal       = "34000"
	codePortalExists        = "42P03"
	codeStatementExists     = "42P05"
	codeUnknownSetting      = "42704"
	codeShutdown            = "57P01"
	codeCannotConnectNow    = "57P03"
	codeInternal            = "XX000"
)

// Causes with which the context of a session or of a statement is canceled.
var (
	// ErrClientGone ends a session whose client has disconnected.
	ErrClientGone = errors.ConstError("the client has disconnected")

	// ErrTerminated ends a session because of pg_terminate_backend, or because the member shuts down.
	ErrTerminated = &core.Error{
		Code:    codeShutdown,
		Message: "terminating connection due to administrator command",
	}

	// errCanceled ends a statement because of a CancelRequest.
	errCanceled = &core.Error{
		Code:    core.CodeCanceled,
		Message: "canceling statement due to user request",
	}

	// errTimeout ends a statement that takes longer than statement_timeout.
	errTimeout = &core.Error{
		Code:    core.CodeCanceled,
		Message: "canceling statement due to statement timeout",
	}
)

// ErrorResponse returns the protocol message that reports an error to the client.
func ErrorResponse(severity string, reason error) *pgproto3.ErrorResponse {
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
