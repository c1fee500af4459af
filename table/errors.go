package table

import (
	"fmt"
	"strings"
	"time"

	"egretlane.example/egret"
)

// ConflictError reports that an edit was not made because another edit changed the tables first.
type ConflictError struct {
	// Base is the revision that the edit was based on.
	Base uint64

	// Current is the revision in the store. It is zero if it couldn't be read.
	Current uint64

	// NewerEdits are the edits made since Base, newest first. If the history at Base isn't known, it holds
	// only the newest edit of all. It may be empty.
	NewerEdits []egret.Edit
}

// Error lists the revisions and the newer edits.
func (e *ConflictError) Error() string {
	b := strings.Builder{}
	fmt.Fprintf(&b, "the tables have changed since revision %d", e.Base)
	if e.Current != 0 {
		fmt.Fprintf(&b, ": they have revision %d", e.Current)
	}
	for _, n := range e.NewerEdits {
		fmt.Fprintf(&b, "\n  %s  %s  %s  (edit %s)", n.Time.UTC().Format(time.RFC3339), n.Author, n.Summary, n.ID)
	}
	return b.String()
}

// Is reports whether the target is egret.ErrConflict, for errors.Is.
func (e *ConflictError) Is(target error) bool {
	return target == egret.ErrConflict
}

// OutcomeError reports that it is not known whether an edit took effect. To find out, apply the same proposal
// again with the same edit ID.
type OutcomeError struct {
	// EditID is the ID of the edit.
	EditID string

	// Err is the reason why the outcome couldn't be determined.
	Err error
}

// Error includes the edit's ID and the cause.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("it is not known whether edit %s took effect: %v", e.EditID, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error {
	return e.Err
}

// newConflictError returns the error for an edit that was based on the revision, when the store has the current
// tables. base is the tables of that revision, or nil if they weren't read.
func newConflictError(revision uint64, base *egret.Tables, current *egret.Tables) *ConflictError {
	e := &ConflictError{
		Base:    revision,
		Current: current.Revision,
	}
	for _, n := range current.Edits {
		if base == nil && len(e.NewerEdits) > 0 {
			break
		}
		if base != nil && hasEdit(base, n.ID) {
			break
		}
		e.NewerEdits = append(e.NewerEdits, n)
	}
	return e
}
