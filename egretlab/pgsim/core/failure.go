package core

import "fmt"

// SQLSTATE codes that members report.
const (
	// CodeReadOnly refuses a write on a member that isn't primary, or in a read-only transaction.
	CodeReadOnly = "25006"

	// CodeDuplicate refuses a second row with the same id.
	CodeDuplicate = "23505"

	// CodeNull refuses NULL in a column.
	CodeNull = "23502"

	// CodeRolledBack ends a write transaction that met a granted term.
	CodeRolledBack = "40000"

	// CodeLockWait ends a wait for a row's lock.
	CodeLockWait = "55P03"

	// CodeCanceled ends a statement that was cancelled.
	CodeCanceled = "57014"

	// CodeStorage is for a log that can't be written.
	CodeStorage = "58030"

	// CodeFloor ends a wait for a floor.
	CodeFloor = "EL001"

	// CodeTerm refuses a term because a higher one was granted.
	CodeTerm = "EL002"

	// CodeRole refuses an order that doesn't fit the member's role.
	CodeRole = "EL003"
)

// Error is a refusal.
type Error struct {
	// Code is the SQLSTATE.
	Code string

	// Message is for the client.
	Message string
}

// Error returns the message and the code.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (SQLSTATE %s)", e.Message, e.Code)
}

// Refuse returns an *Error.
func Refuse(code string, format string, arguments ...any) error {
	return &Error{
		Code:    code,
		Message: fmt.Sprintf(format, arguments...),
	}
}

// refuseTerm says which term was granted, in the words that clients look for.
func (m *Member) refuseTerm() error {
	return Refuse(CodeTerm, "member %s has granted term %d", m.Name, m.grant.Term)
}
