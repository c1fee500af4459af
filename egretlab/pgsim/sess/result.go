package sess

import (
	"fmt"

	"egretlane.example/egret/egretlab/pgsim/codec"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/query"
)

// rows is a result's rows, one after the other.
type rows interface {
	// next returns the next row, or false at the end.
	next() ([]codec.Value, bool)
}

// result is what a statement returns.
type result struct {
	// command is the first word of the command tag.
	command string

	// affected is how many rows a write changed.
	affected int

	// columns is empty if the statement returns no rows.
	columns []codec.Column

	// rows is never nil.
	rows rows
}

// tag returns the command tag after the given number of rows.
func (r *result) tag(count int) string {
	switch r.command {
	case "SELECT":
		return fmt.Sprintf("SELECT %d", count)
	case "INSERT":
		return fmt.Sprintf("INSERT 0 %d", r.affected)
	case "UPDATE", "DELETE":
		return fmt.Sprintf("%s %d", r.command, r.affected)
	default:
		return r.command
	}
}

// list is rows that are known already.
type list struct {
	// rest is the rows that are still to come.
	rest [][]codec.Value
}

func (l *list) next() ([]codec.Value, bool) {
	if len(l.rest) == 0 {
		return nil, false
	}
	row := l.rest[0]
	l.rest = l.rest[1:]
	return row, true
}

// series is the rows of generate_series.
type series struct {
	// at is the number of the next row.
	at int64

	// last is the number of the last row.
	last int64
}

func (s *series) next() ([]codec.Value, bool) {
	if s.at > s.last {
		return nil, false
	}
	text := fmt.Sprintf("row %d of %d", s.at, s.last)
	s.at++
	return []codec.Value{codec.String(text)}, true
}

// none is the result of a statement without rows.
func none(command string) *result {
	return &result{
		command: command,
		rows:    &list{},
	}
}

// orderRows returns the columns asked for of each order.
func orderRows(columns []string, orders []core.Order) *list {
	l := &list{}
	for _, o := range orders {
		var row []codec.Value
		for _, c := range columns {
			if c == query.ColumnID {
				row = append(row, codec.String(o.ID))
			} else {
				row = append(row, codec.String(o.Item))
			}
		}
		l.rest = append(l.rest, row)
	}
	return l
}

// columnsOf returns the columns of a statement's result.
func columnsOf(n query.Node) []codec.Column {
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
	case query.FunctionRequire, query.FunctionTryLock, query.FunctionUnlock, query.FunctionTerminate,
		query.FunctionRecovery:
		one.Type = query.TypeBool
	case query.FunctionSleep:
		one.Type = query.TypeVoid
	case query.FunctionBackendPID:
		one.Type = query.TypeInt4
	}
	return []codec.Column{one}
}

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
