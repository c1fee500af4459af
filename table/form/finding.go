// Package form reads, checks and writes the text form of the operators' tables.
//
// The text is YAML, or JSON, which is read as YAML. All faults are collected and reported together,
// each with its place:
//
//	t, findings := form.Parse("tables.yaml", data)
//	for _, f := range findings {
//		fmt.Println(f)
//	}
//	if findings.HasFaults() {
//		return
//	}
package form

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity is how bad a finding is.
type Severity string

// The severities.
const (
	// Fault is a finding that keeps the tables from being used.
	Fault Severity = "fault"

	// Warning is a finding that an operator should know of.
	Warning Severity = "warning"
)

// Place is where a finding is.
type Place struct {
	// File is the name of the file, or what else the text came from.
	File string

	// Line counts from 1. Zero says that only the file is known.
	Line int

	// Column counts from 1. Zero says that only the line is known.
	Column int
}

// String returns the place as file:line:column.
func (p Place) String() string {
	switch {
	case p.Line == 0:
		return p.File
	case p.Column == 0:
		return fmt.Sprintf("%s:%d", p.File, p.Line)
	default:
		return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	}
}

// Finding is something wrong with the tables.
type Finding struct {
	// Place is where it is in the text. Its File is empty for tables that came from no text.
	Place Place

	// Path is where it is in the tables, as routes[2].pool, counted from zero.
	Path string

	// Severity is how bad it is.
	Severity Severity

	// Text says what is wrong.
	Text string
}

// String returns the finding in one line.
func (f Finding) String() string {
	where := f.Place.String()
	if where == "" {
		where = f.Path
	}
	return fmt.Sprintf("%s: %s: %s", where, f.Severity, f.Text)
}

// above reports whether a path is that of the finding, or one below it.
func (f Finding) above(path string) bool {
	rest, found := strings.CutPrefix(path, f.Path)
	return found && (rest == "" || f.Path == "" || rest[0] == '.' || rest[0] == '[')
}

// Findings are all that is wrong with tables, in the order of the text.
type Findings []Finding

// HasFaults reports whether the tables can't be used.
func (f Findings) HasFaults() bool {
	return slices.ContainsFunc(f, func(g Finding) bool {
		return g.Severity == Fault
	})
}

// Faults returns the findings that keep the tables from being used.
func (f Findings) Faults() Findings {
	return slices.DeleteFunc(slices.Clone(f), func(g Finding) bool {
		return g.Severity != Fault
	})
}

// without returns the findings but those at or below the path of a fault, since they follow from it.
func (f Findings) without(faults Findings) Findings {
	return slices.DeleteFunc(slices.Clone(f), func(g Finding) bool {
		return slices.ContainsFunc(faults, func(h Finding) bool {
			return h.above(g.Path)
		})
	})
}

// String returns a line for each finding.
func (f Findings) String() string {
	lines := make([]string, 0, len(f))
	for _, g := range f {
		lines = append(lines, g.String())
	}
	return strings.Join(lines, "\n")
}

// Error is the error of tables with faults.
type Error struct {
	// Findings has at least one fault.
	Findings Findings
}

// Error returns a line for each fault.
func (e *Error) Error() string {
	return e.Findings.Faults().String()
}

// sort orders the findings by place. Those of one place keep their order.
func (f Findings) sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Place.Line, b.Place.Line),
			cmp.Compare(a.Place.Column, b.Place.Column),
		)
	})
}
