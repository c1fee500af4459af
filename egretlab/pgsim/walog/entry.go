package walog

import (
	"time"

	"egretlane.example/egret"
)

// Kind is what an entry stands for.
type Kind string

// The kinds of entries.
const (
	// KindOpening is the first entry of a term. It has no changes.
	KindOpening Kind = "opening"

	// KindCommit is a committed transaction.
	KindCommit Kind = "commit"
)

// Operation is what a change does to a row.
type Operation string

// The operations on rows.
const (
	// Insert adds a row.
	Insert Operation = "insert"

	// Update replaces the item of a row.
	Update Operation = "update"

	// Delete removes a row.
	Delete Operation = "delete"
)

// Change is a change of one row of the table of orders.
type Change struct {
	// Operation is what is done.
	Operation Operation `json:"operation"`

	// ID is the row's key.
	ID string `json:"id"`

	// Item is the row's new value. It is empty for Delete.
	Item string `json:"item,omitempty"`
}

// Origin says who caused an entry.
type Origin struct {
	// Member is the primary that wrote the entry.
	Member string `json:"member"`

	// Process is the process number of the connection that committed, zero for an opening.
	Process uint32 `json:"process"`

	// Application is the application name of that connection.
	Application string `json:"application-name,omitempty"`
}

// Entry is one entry of a log.
type Entry struct {
	// Term is the term of the primary that wrote the entry. It is above zero.
	Term uint64 `json:"term"`

	// Offset is one above that of the entry before, and one in the first entry.
	Offset uint64 `json:"offset"`

	// Time is when the primary wrote the entry, by its own clock.
	Time time.Time `json:"time"`

	// Kind is what the entry stands for.
	Kind Kind `json:"kind"`

	// Changes are applied in order, all or none.
	Changes []Change `json:"changes,omitempty"`

	// Origin says who caused the entry.
	Origin Origin `json:"origin"`
}

// Position returns the entry's place in the log.
func (e *Entry) Position() egret.Position {
	return egret.Position{
		Term:   e.Term,
		Offset: e.Offset,
	}
}

// Span is the part of a log that was written in one term.
type Span struct {
	// Term is above that of the span before.
	Term uint64 `json:"term"`

	// End is the offset of the term's last entry.
	End uint64 `json:"end"`
}
