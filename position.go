package egret

import (
	"cmp"
	"fmt"
	"slices"
)

// Position is a place in a group's log.
//
// Positions are ordered by term, then by offset. The zero Position is before all others.
type Position struct {
	// Term is the term in which the entry at Offset was written. It never decreases along a log.
	Term uint64

	// Offset is the number of entries of the log up to the position. It never decreases within a
	// term.
	Offset uint64
}

// Compare returns -1, 0 or +1 if p is before, at or after q.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, q.Offset)
}

// Reaches reports whether a log that ends at p satisfies the floor q: it ends in the same term at the
// same offset or beyond, or it ends in a later term.
func (p Position) Reaches(q Position) bool {
	return p.Compare(q) >= 0
}

// IsZero reports whether p is the zero Position.
func (p Position) IsZero() bool {
	return p == Position{}
}

// String formats the position as term/offset.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Term, p.Offset)
}

// GroupPosition is a position in the log of a group.
type GroupPosition struct {
	// Group is the name of the group.
	Group string

	// Position is the lowest position that a member must have applied to serve a read of the group.
	Position Position
}

// Floor holds, for each group, the highest log position that a session has written or read. Reads of
// the session need a member that has applied this position, so that they see the session's own writes
// and never go back in time.
//
// The zero Floor is empty and ready to use. A Floor is not safe for concurrent use.
type Floor struct {
	// positions has at most one element for each group, ordered by group.
	positions []GroupPosition
}

// At returns the session's position in the group, or zero if the session has none.
func (f *Floor) At(group string) Position {
	i, found := f.find(group)
	if !found {
		return Position{}
	}
	return f.positions[i].Position
}

// Raise sets the position of the group to p if p is higher.
func (f *Floor) Raise(group string, p Position) {
	i, found := f.find(group)
	if !found {
		f.positions = slices.Insert(f.positions, i, GroupPosition{
			Group:    group,
			Position: p,
		})
		return
	}
	if p.Compare(f.positions[i].Position) > 0 {
		f.positions[i].Position = p
	}
}

// Len returns the number of groups in which the session has a position.
func (f *Floor) Len() int {
	return len(f.positions)
}

// Positions returns a copy of the positions, ordered by group.
func (f *Floor) Positions() []GroupPosition {
	return slices.Clone(f.positions)
}

func (f *Floor) find(group string) (int, bool) {
	return slices.BinarySearchFunc(f.positions, group, func(p GroupPosition, name string) int {
		return cmp.Compare(p.Group, name)
	})
}
