package core

import "fmt"

// SQLSTATE codes that members report.
const (
	// CodeReadOnly is for a write on a member that isn't primary, or in a read-only transaction.
	CodeReadOnly = "25006"

	// CodeUniqueViolation is for a second row with the same id.
	CodeUniqueViolation = "23505"

	// CodeNotNullViolation is for NULL in a column.
	CodeNotNullViolation = "23502"

	// CodeRolledBack is for a commit after the member has granted another term.
	CodeRolledBack = "40000"

	// CodeLockTimeout is for a row lock that isn't free in time.
	CodeLockTimeout = "55P03"

	// CodeCanceled is for a canceled statement.
	CodeCanceled = "57014"

	// CodeIOError is for a log or grant that can't be written.
	CodeIOError = "58030"

	// CodeFloorTimeout is for a floor (the lowest position that a read accepts) that isn't applied in time.
	CodeFloorTimeout = "EL001"

	// CodeStaleTerm is for a term that the member refuses because of the term it has granted.
	CodeStaleTerm = "EL002"

	// CodeWrongRole is for a request that needs another role.
	CodeWrongRole = "EL003"
)

// Error is an error with a SQLSTATE that is reported to the client.
type Error struct {
	// Code is the SQLSTATE.
	Code string

	// Message is the text that the client gets.
	Message string
}

// Error returns the message and the code.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (SQLSTATE %s)", e.Message, e.Code)
}

// Errorf returns an *Error with the SQLSTATE and a formatted message.
func Errorf(code string, format string, arguments ...any) error {
	return &Error{
		Code:    code,
		Message: fmt.Sprintf(format, arguments...),
	}
}

// staleTermError reports the granted term. Clients match this text, so it must not change. m.mu must be
// held.
func (m *Member) staleTermError() error {
	return Errorf(CodeStaleTerm, "member %s has granted term %d", m.Name, m.grant.Term)
}
