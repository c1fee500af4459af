// Package codec parses, checks and formats the operators' tables as YAML or JSON.
//
// JSON that an operator wrote is parsed as YAML. All faults are collected and reported together, each with its
// location:
//
//	t, findings := codec.Parse("tables.yaml", data)
//	for _, f := range findings {
//		fmt.Println(f)
//	}
//	if findings.HasFaults() {
//		return
//	}
package codec

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity classifies a finding.
type Severity string

// The severities.
const (
	// Fault is the severity of a finding that makes the tables unusable.
	Fault Severity = "fault"

	// Warning is the severity of a finding in usable tables that an operator should know about.
	Warning Severity = "warning"
)

// Location is a position in a text.
type Location struct {
	// File is the name of the file or of another source of the text.
	File string

	// Line counts from 1. It is zero if only the file is known.
	Line int

	// Column counts from 1. It is zero if only the line is known.
	Column int
}

// String returns the location as file:line:column, without the parts that are not known.
func (l Location) String() string {
	switch {
	case l.Line == 0:
		return l.File
	case l.Column == 0:
		return fmt.Sprintf("%s:%d", l.File, l.Line)
	default:
		return fmt.Sprintf("%s:%d:%d", l.File, l.Line, l.Column)
	}
}

// Finding is a problem in the tables.
type Finding struct {
	// Location is the location in the text. Its File is empty for tables that were not parsed from a text.
	Location Location

	// Path is the path in the tables, such as routes[2].pool. Indexes count from zero.
	Path string

	// Severity tells whether the tables can be used in spite of the problem.
	Severity Severity

	// Text describes the problem.
	Text string
}

// String returns the finding as one line, with its location or else its path.
func (f Finding) String() string {
	prefix := f.Location.String()
	if prefix == "" {
		prefix = f.Path
	}
	return fmt.Sprintf("%s: %s: %s", prefix, f.Severity, f.Text)
}

// covers reports whether a path is the finding's path or below it.
func (f Finding) covers(path string) bool {
	rest, found := strings.CutPrefix(path, f.Path)
	return found && (rest == "" || f.Path == "" || rest[0] == '.' || rest[0] == '[')
}

// Findings is a list of findings. Those of Parse are in the order of the text, those of Check in the order in which
// the tables are checked.
type Findings []Finding

// HasFaults reports whether at least one finding is a fault, so that the tables can't be used.
func (f Findings) HasFaults() bool {
	return slices.ContainsFunc(f, func(g Finding) bool {
		return g.Severity == Fault
	})
}

// Faults returns the findings that are faults.
func (f Findings) Faults() Findings {
	return slices.DeleteFunc(slices.Clone(f), func(g Finding) bool {
		return g.Severity != Fault
	})
}

// withoutCovered returns the findings except those at or below the path of a fault, as they follow from that fault.
func (f Findings) withoutCovered(faults Findings) Findings {
	return slices.DeleteFunc(slices.Clone(f), func(g Finding) bool {
		return slices.ContainsFunc(faults, func(h Finding) bool {
			return h.covers(g.Path)
		})
	})
}

// String returns the findings, one per line.
func (f Findings) String() string {
	lines := make([]string, 0, len(f))
	for _, g := range f {
		lines = append(lines, g.String())
	}
	return strings.Join(lines, "\n")
}

// Error is the error for tables with faults.
type Error struct {
	// Findings has at least one fault.
	Findings Findings
}

// Error returns the faults, one per line.
func (e *Error) Error() string {
	return e.Findings.Faults().String()
}

// sort sorts the findings by line and column. It is stable.
func (f Findings) sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Location.Line, b.Location.Line),
			cmp.Compare(a.Location.Column, b.Location.Column),
		)
	})
}
