package table

import (
	"fmt"
	"strings"
	"time"

	"egretlane.example/egret"
)

// ConflictError says that the tables had changed before an edit, which was not made.
type ConflictError struct {
	// Base is the revision that the edit was made from.
	Base uint64

	// Found is the revision that the store has. It is zero if it couldn't be read.
	Found uint64

	// Others are the edits that came first, newest first. Without the history of the base it is the
	// newest one only, and it may be empty.
	Others []egret.Edit
}

// Error names the revisions and the other edits.
func (e *ConflictError) Error() string {
	b := strings.Builder{}
	fmt.Fprintf(&b, "the tables have changed since revision %d", e.Base)
	if e.Found != 0 {
		fmt.Fprintf(&b, ": they have revision %d", e.Found)
	}
	for _, o := range e.Others {
		fmt.Fprintf(&b, "\n  %s  %s  %s  (edit %s)", o.Time.UTC().Format(time.RFC3339), o.Author, o.Summary, o.ID)
	}
	return b.String()
}

// Is makes the error count as egret.ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == egret.ErrConflict
}

// OutcomeError says that it is not known whether an edit took effect. To settle it, make the same
// proposal again with the same edit ID.
type OutcomeError struct {
	// EditID is the ID of the edit.
	EditID string

	// Err is why it couldn't be settled.
	Err error
}

// Error names the edit and the cause.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether edit %s took effect: %v", e.EditID, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error {
	return e.Err
}

// conflict returns the error for an edit of base. The tables of the base are nil if they weren't read.
func conflict(revision uint64, base *egret.Tables, found *egret.Tables) *ConflictError {
	e := &ConflictError{
		Base:  revision,
		Found: found.Revision,
	}
	for _, o := range found.Edits {
		if base == nil && len(e.Others) > 0 {
			break
		}
		if base != nil && holds(base, o.ID) {
			break
		}
		e.Others = append(e.Others, o)
	}
	return e
}
