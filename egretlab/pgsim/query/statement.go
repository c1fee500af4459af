package query

import "fmt"

// Table is the name of the one table.
const Table = "orders"

// The columns of the table.
const (
	// ColumnID is the key.
	ColumnID = "id"

	// ColumnItem is the value.
	ColumnItem = "item"
)

// Error is a fault in the text of a statement.
type Error struct {
	// Code is the SQLSTATE.
	Code string

	// Message says what is wrong.
	Message string

	// Position is the byte in the text where the fault is, counted from one.
	Position int
}

// Error returns the message and the place.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at byte %d (SQLSTATE %s)", e.Message, e.Position, e.Code)
}

// Syntax returns the error of text that is not understood, at a byte counted from zero.
func Syntax(at int, message string) error {
	return &Error{
		Code:     CodeSyntax,
		Message:  message,
		Position: at + 1,
	}
}

// SQLSTATE codes of faults in the text.
const (
	// CodeSyntax is for text that is not understood.
	CodeSyntax = "42601"

	// CodeNoTable is for tables other than Table.
	CodeNoTable = "42P01"

	// CodeNoColumn is for columns that the table doesn't have.
	CodeNoColumn = "42703"

	// CodeNoFunction is for unknown functions.
	CodeNoFunction = "42883"

	// CodeUnsupported is for what PostgreSQL has and members of the laboratory have not.
	CodeUnsupported = "0A000"
)

// Statement is one statement of a text.
type Statement struct {
	// Text is the statement as it was sent, with its comments, without the semicolon.
	Text string

	// Node is what the statement asks for.
	Node Node

	// Parameters holds the type of each parameter, $1 first. Types are inferred from the places
	// that use them.
	Parameters []Type
}

// Node is a kind of statement: *Begin, *End, *SetAccess, *Set, *Show, *Deallocate, *Discard,
// *Insert, *Update, *Delete, *Select or *Call.
type Node interface {
	// Command is the first word of the command tag.
	Command() string
}

// Access is a transaction's access mode.
type Access int

// The access modes.
const (
	// AccessDefault leaves the mode to the session.
	AccessDefault Access = iota

	// AccessReadOnly refuses writes.
	AccessReadOnly

	// AccessReadWrite allows writes.
	AccessReadWrite
)

// Value is a literal or a parameter.
type Value struct {
	// Parameter is the number of a parameter from one, or zero for a literal.
	Parameter int

	// Null says that the literal is NULL.
	Null bool

	// Text is the literal's text.
	Text string
}

// Begin opens a transaction.
type Begin struct {
	// Start says that the words were START TRANSACTION, which has a command tag of its own.
	Start bool

	// Access is the transaction's mode.
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

// SetAccess changes the mode of the open transaction, or of those to come.
type SetAccess struct {
	// Session says that the mode is for the transactions to come.
	Session bool

	// Access is the mode.
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

	// Default puts the setting back instead.
	Default bool

	// Local says that the change ends with the transaction.
	Local bool

	// Reset says that the word was RESET, which has a command tag of its own.
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
	// Name names the statement. It is empty for all of them.
	Name string
}

// Command implements Node.
func (d *Deallocate) Command() string {
	if d.Name == "" {
		return "DEALLOCATE ALL"
	}
	return "DEALLOCATE"
}

// Discard puts the session back to its start.
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

	// Count asks for the number of rows.
	Count bool

	// Where is the ID to match, or nil for all rows.
	Where *Value

	// Descending reverses the order, which is by ID.
	Descending bool

	// Limit is the highest number of rows, or nil.
	Limit *Value
}

// Command implements Node.
func (*Select) Command() string { return "SELECT" }

// Call is a function's result, or a constant's if Function is nil.
type Call struct {
	// Function is the function, or nil.
	Function *Function

	// Arguments has as many values as the function takes, or the constant.
	Arguments []Value

	// Column is the name of the result's column, where the function leaves it open.
	Column string

	// Constant is the type of the constant.
	Constant Type
}

// Command implements Node.
func (*Call) Command() string { return "SELECT" }
