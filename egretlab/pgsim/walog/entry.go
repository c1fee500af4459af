package walog

import (
	"time"

	"egretlane.example/egret"
)

// Kind is the kind of an entry.
type Kind string

// The kinds of entries.
const (
	// KindOpening marks the first entry of a term. It has no changes.
	KindOpening Kind = "opening"

	// KindCommit marks a committed transaction.
	KindCommit Kind = "commit"
)

// Operation is the effect of a change on a row.
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
	// Operation is the effect on the row.
	Operation Operation `json:"operation"`

	// ID is the row's primary key.
	ID string `json:"id"`

	// Item is the row's new item. It is empty for Delete.
	Item string `json:"item,omitempty"`
}

// Origin identifies the member and the connection that wrote an entry.
type Origin struct {
	// Member is the primary that wrote the entry.
	Member string `json:"member"`

	// Process is the process number of the connection that committed, or zero for an opening entry.
	Process uint32 `json:"process"`

	// Application is the application name of that connection.
	Application string `json:"application-name,omitempty"`
}

// Entry is one entry of a log.
type Entry struct {
	// Term is the term of the primary that wrote the entry. It is above zero.
	Term uint64 `json:"term"`

	// Offset is 1 in the first entry and increases by one with each entry.
	Offset uint64 `json:"offset"`

	// Time is when the primary wrote the entry, by the primary's clock.
	Time time.Time `json:"time"`

	// Kind tells an opening entry from a committed transaction.
	Kind Kind `json:"kind"`

	// Changes are applied in order and atomically.
	Changes []Change `json:"changes,omitempty"`

	// Origin identifies the member and the connection that wrote the entry.
	Origin Origin `json:"origin"`
}

// Position returns the entry's term and offset.
func (e *Entry) Position() egret.Position {
	return egret.Position{
		Term:   e.Term,
		Offset: e.Offset,
	}
}

// Span is the part of a log that was written in one term.
type Span struct {
	// Term is above the term of the preceding span.
	Term uint64 `json:"term"`

	// End is the offset of the term's last entry.
	End uint64 `json:"end"`
}
