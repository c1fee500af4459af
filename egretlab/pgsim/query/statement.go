package query

import "fmt"

// Table is the name of the only table.
const Table = "orders"

// The columns of the table.
const (
	// ColumnID is the key.
	ColumnID = "id"

	// ColumnItem is the value.
	ColumnItem = "item"
)

// Error is an error in the text of a statement.
type Error struct {
	// Code is the SQLSTATE.
	Code string

	// Message describes the error. The client gets it.
	Message string

	// Position is the byte position of the error in the text, counted from one.
	Position int
}

// Error returns the message, the position and the SQLSTATE.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at byte %d (SQLSTATE %s)", e.Message, e.Position, e.Code)
}

// NewSyntaxError returns an *Error with CodeSyntaxError, for a byte offset counted from zero.
func NewSyntaxError(offset int, message string) error {
	return &Error{
		Code:     CodeSyntaxError,
		Message:  message,
		Position: offset + 1,
	}
}

// SQLSTATE codes of errors in the text.
const (
	// CodeSyntaxError is for syntax errors.
	CodeSyntaxError = "42601"

	// CodeUndefinedTable is for any table other than Table.
	CodeUndefinedTable = "42P01"

	// CodeUndefinedColumn is for columns that don't exist in the table.
	CodeUndefinedColumn = "42703"

	// CodeUndefinedFunction is for unknown functions.
	CodeUndefinedFunction = "42883"

	// CodeFeatureNotSupported is for PostgreSQL features that the test bench's members don't support.
	CodeFeatureNotSupported = "0A000"
)

// Statement is one parsed statement.
type Statement struct {
	// Text is the source text of the statement, with its comments and without the semicolon.
	Text string

	// Node is the root of the syntax tree.
	Node Node

	// Parameters holds the type of each parameter, $1 first. Types are inferred from where the
	// parameters are used.
	Parameters []Type
}

// Node is the syntax tree of a statement: *Begin, *End, *SetAccess, *Set, *Show, *Deallocate, *Discard,
// *Insert, *Update, *Delete, *Select or *Call.
type Node interface {
	// Command returns the command tag without its row count.
	Command() string
}

// Access is a transaction's access mode.
type Access int

// The access modes.
const (
	// AccessDefault uses the session's default.
	AccessDefault Access = iota

	// AccessReadOnly rejects writes.
	AccessReadOnly

	// AccessReadWrite allows writes.
	AccessReadWrite
)

// Value is a literal or a reference to a parameter.
type Value struct {
	// Parameter is the number of the parameter, counted from one, or zero for a literal.
	Parameter int

	// Null is true if the literal is NULL.
	Null bool

	// Text is the text of the literal, or the digits of the parameter.
	Text string
}

// Begin opens a transaction.
type Begin struct {
	// Start is true for START TRANSACTION, which has a command tag of its own.
	Start bool

	// Access is the access mode of the transaction.
	Access Access
}

// Command implements Node.
func (b *Begin) Command() string {
	if b.Start {
		return "START TRANSACTION"
	}
	return "BEGIN"
}

// End ends a transaction.
type End struct {
	// Commit is false for a rollback.
	Commit bool
}

// Command implements Node.
func (e *End) Command() string {
	if e.Commit {
		return "COMMIT"
	}
	return "ROLLBACK"
}

// SetAccess sets the access mode of the open transaction, or the default of later transactions.
type SetAccess struct {
	// Session is true if the mode becomes the session's default for later transactions.
	Session bool

	// Access is the new access mode.
	Access Access
}

// Command implements Node.
func (*SetAccess) Command() string { return "SET" }

// Set changes a setting of the session.
type Set struct {
	// Name is in lower case. It is empty for RESET ALL.
	Name string

	// Value is the new value.
	Value string

	// Default is true if the setting returns to its initial value. Value is then empty.
	Default bool

	// Local is true if the change lasts until the end of the transaction.
	Local bool

	// Reset is true for RESET, which has a command tag of its own.
	Reset bool
}

// Command implements Node.
func (s *Set) Command() string {
	if s.Reset {
		return "RESET"
	}
	return "SET"
}

// Show returns a setting of the session.
type Show struct {
	// Name is in lower case.
	Name string
}

// Command implements Node.
func (*Show) Command() string { return "SHOW" }

// Deallocate drops prepared statements.
type Deallocate struct {
	// Name is the name of the prepared statement, or empty for all of them.
	Name string
}

// Command implements Node.
func (d *Deallocate) Command() string {
	if d.Name == "" {
		return "DEALLOCATE ALL"
	}
	return "DEALLOCATE"
}

// Discard resets the session to its initial state.
type Discard struct{}

// Command implements Node.
func (*Discard) Command() string { return "DISCARD ALL" }

// Order is a row to insert.
type Order struct {
	// ID is the key.
	ID Value

	// Item is the value.
	Item Value
}

// Insert adds rows.
type Insert struct {
	// Orders has at least one row.
	Orders []Order

	// Returning lists the columns to return. It may be empty.
	Returning []string
}

// Command implements Node.
func (*Insert) Command() string { return "INSERT" }

// Update replaces the item of the matching rows.
type Update struct {
	// Item is the new value.
	Item Value

	// Where is the ID to match, or nil for all rows.
	Where *Value

	// Returning lists the columns to return. It may be empty.
	Returning []string
}

// Command implements Node.
func (*Update) Command() string { return "UPDATE" }

// Delete removes the matching rows.
type Delete struct {
	// Where is the ID to match, or nil for all rows.
	Where *Value

	// Returning lists the columns to return. It may be empty.
	Returning []string
}

// Command implements Node.
func (*Delete) Command() string { return "DELETE" }

// Select reads rows.
type Select struct {
	// Columns lists the columns to return. It is empty if Count is set.
	Columns []string

	// Count is true if the result is the number of rows.
	Count bool

	// Where is the ID to match, or nil for all rows.
	Where *Value

	// Descending is true if the rows are in descending order of ID instead of ascending order.
	Descending bool

	// Limit is the maximum number of rows, or nil if there is none.
	Limit *Value
}

// Command implements Node.
func (*Select) Command() string { return "SELECT" }

// Call selects the result of a function, or a constant if Function is nil.
type Call struct {
	// Function is the function to call, or nil for a constant.
	Function *Function

	// Arguments holds the arguments of the function, or the constant alone.
	Arguments []Value

	// Column is the name of the result column. Functions with columns of their own ignore it.
	Column string

	// Constant is the type of the constant, if Function is nil.
	Constant Type
}

// Command implements Node.
func (*Call) Command() string { return "SELECT" }
