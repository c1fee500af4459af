package exec

import (
	"fmt"

	"egretlane.example/egret/egretlab/pgsim/codec"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/query"
)

// Rows iterates over the rows of a result.
type Rows interface {
	// Next returns the next row, or false at the end.
	Next() ([]codec.Value, bool)
}

// Result is the result of a statement.
type Result struct {
	// Command is the first word of the command tag.
	Command string

	// Affected is the number of rows that a write changed.
	Affected int

	// Columns is empty if the statement returns no rows.
	Columns []codec.Column

	// Rows is never nil.
	Rows Rows
}

// Tag returns the command tag of CommandComplete. The count is the number of rows sent.
func (r *Result) Tag(count int) string {
	switch r.Command {
	case "SELECT":
		return fmt.Sprintf("SELECT %d", count)
	case "INSERT":
		return fmt.Sprintf("INSERT 0 %d", r.Affected)
	case "UPDATE", "DELETE":
		return fmt.Sprintf("%s %d", r.Command, r.Affected)
	default:
		return r.Command
	}
}

// RowList implements Rows with rows in memory.
type RowList struct {
	// Remaining holds the rows that Next has not returned yet.
	Remaining [][]codec.Value
}

// Next implements Rows.
func (l *RowList) Next() ([]codec.Value, bool) {
	if len(l.Remaining) == 0 {
		return nil, false
	}
	row := l.Remaining[0]
	l.Remaining = l.Remaining[1:]
	return row, true
}

// rowSeries generates the rows of generate_series.
type rowSeries struct {
	// next is the number of the next row.
	next int64

	// last is the number of the last row.
	last int64
}

func (s *rowSeries) Next() ([]codec.Value, bool) {
	if s.next > s.last {
		return nil, false
	}
	text := fmt.Sprintf("row %d of %d", s.next, s.last)
	s.next++
	return []codec.Value{codec.String(text)}, true
}

// OneRow returns a list of one row with the values.
func OneRow(values ...codec.Value) *RowList {
	return &RowList{
		Remaining: [][]codec.Value{values},
	}
}

// NoRows returns the result of a statement that returns no rows.
func NoRows(command string) *Result {
	return &Result{
		Command: command,
		Rows:    &RowList{},
	}
}

// orderRows returns one row for each order, with the selected columns.
func orderRows(columns []string, orders []core.Order) *RowList {
	l := &RowList{}
	for _, o := range orders {
		var row []codec.Value
		for _, c := range columns {
			if c == query.ColumnID {
				row = append(row, codec.String(o.ID))
			} else {
				row = append(row, codec.String(o.Item))
			}
		}
		l.Remaining = append(l.Remaining, row)
	}
	return l
}

// Columns returns the columns of a statement's result, or nil if it returns no rows.
func Columns(n query.Node) []codec.Column {
	switch n := n.(type) {
	case *query.Select:
		if n.Count {
			return []codec.Column{{
				Name: "count",
				Type: query.TypeInt8,
			}}
		}
		return textColumns(n.Columns)
	case *query.Insert:
		return textColumns(n.Returning)
	case *query.Update:
		return textColumns(n.Returning)
	case *query.Delete:
		return textColumns(n.Returning)
	case *query.Show:
		return textColumns([]string{n.Name})
	case *query.Call:
		return callColumns(n)
	default:
		return nil
	}
}

func textColumns(names []string) []codec.Column {
	var all []codec.Column
	for _, n := range names {
		all = append(all, codec.Column{
			Name: n,
			Type: query.TypeText,
		})
	}
	return all
}

func intColumns(names ...string) []codec.Column {
	all := textColumns(names)
	for i := range all {
		all[i].Type = query.TypeInt8
	}
	return all
}

func callColumns(n *query.Call) []codec.Column {
	one := codec.Column{
		Name: n.Column,
		Type: query.TypeText,
	}
	if n.Function == nil {
		one.Type = n.Constant
		return []codec.Column{one}
	}
	switch n.Function.Name {
	case query.FunctionStatus, query.FunctionAwait, query.FunctionFence, query.FunctionPromote, query.FunctionFollow:
		return stateColumns()
	case query.FunctionPosition:
		return intColumns("term", "offset")
	case query.FunctionLocks:
		return append(intColumns("key", "process"), textColumns([]string{"application_name"})...)
	case query.FunctionRequire, query.FunctionTryAdvisoryLock, query.FunctionAdvisoryUnlock, query.FunctionTerminateBackend,
		query.FunctionIsInRecovery:
		one.Type = query.TypeBool
	case query.FunctionSleep:
		one.Type = query.TypeVoid
	case query.FunctionBackendPID:
		one.Type = query.TypeInt4
	}
	return []codec.Column{one}
}

// stateColumns returns the columns of the platform functions that return the member's state.
func stateColumns() []codec.Column {
	return []codec.Column{
		{Name: "member", Type: query.TypeText},
		{Name: "role", Type: query.TypeText},
		{Name: "granted", Type: query.TypeInt8},
		{Name: "received_term", Type: query.TypeInt8},
		{Name: "received_offset", Type: query.TypeInt8},
		{Name: "applied_term", Type: query.TypeInt8},
		{Name: "applied_offset", Type: query.TypeInt8},
		{Name: "upstream", Type: query.TypeText},
		{Name: "leaving", Type: query.TypeBool},
		{Name: "connections", Type: query.TypeInt8},
		{Name: "running", Type: query.TypeInt8},
	}
}
