package parse

import (
	"fmt"
	"slices"
	"strings"

	"egretlane.example/egret/egretlab/pgsim/query"
	"egretlane.example/egret/egretlab/pgsim/scan"
)

func (p *parser) insert() (query.Node, error) {
	if err := p.expectWord("into"); err != nil {
		return nil, err
	}
	if err := p.table(); err != nil {
		return nil, err
	}
	itemFirst, err := p.insertColumns()
	if err != nil {
		return nil, err
	}
	if err := p.expectWord("values"); err != nil {
		return nil, err
	}
	n := &query.Insert{}
	for {
		o, err := p.order(itemFirst)
		if err != nil {
			return nil, err
		}
		n.Orders = append(n.Orders, o)
		if !p.takeSymbol(",") {
			break
		}
	}
	n.Returning, err = p.returning()
	return n, err
}

// insertColumns takes the list of both columns, in any order, or none.
func (p *parser) insertColumns() (itemFirst bool, err error) {
	if !p.takeSymbol("(") {
		return false, nil
	}
	at := p.peek().Start
	columns, err := p.columns()
	if err != nil {
		return false, err
	}
	if len(columns) != 2 || columns[0] == columns[1] {
		return false, query.Syntax(at, "an order needs its id and its item")
	}
	return columns[0] == query.ColumnItem, p.expectSymbol(")")
}

func (p *parser) order(itemFirst bool) (query.Order, error) {
	if err := p.expectSymbol("("); err != nil {
		return query.Order{}, err
	}
	first, err := p.value(query.TypeText)
	if err != nil {
		return query.Order{}, err
	}
	if err := p.expectSymbol(","); err != nil {
		return query.Order{}, err
	}
	second, err := p.value(query.TypeText)
	if err != nil {
		return query.Order{}, err
	}
	o := query.Order{
		ID:   first,
		Item: second,
	}
	if itemFirst {
		o.ID, o.Item = o.Item, o.ID
	}
	return o, p.expectSymbol(")")
}

func (p *parser) update() (query.Node, error) {
	if err := p.table(); err != nil {
		return nil, err
	}
	if err := p.expectWord("set"); err != nil {
		return nil, err
	}
	t := p.peek()
	c, err := p.column()
	if err != nil {
		return nil, err
	}
	if c != query.ColumnItem {
		return nil, &query.Error{
			Code:     query.CodeUnsupported,
			Message:  "this member doesn't change the id of an order",
			Position: t.Start + 1,
		}
	}
	if err := p.expectSymbol("="); err != nil {
		return nil, err
	}
	n := &query.Update{}
	if n.Item, err = p.value(query.TypeText); err != nil {
		return nil, err
	}
	if n.Where, err = p.where(); err != nil {
		return nil, err
	}
	n.Returning, err = p.returning()
	return n, err
}

func (p *parser) delete() (query.Node, error) {
	if err := p.expectWord("from"); err != nil {
		return nil, err
	}
	if err := p.table(); err != nil {
		return nil, err
	}
	n := &query.Delete{}
	var err error
	if n.Where, err = p.where(); err != nil {
		return nil, err
	}
	n.Returning, err = p.returning()
	return n, err
}

// selection takes what follows SELECT: rows of the table, a function or a constant.
func (p *parser) selection() (query.Node, error) {
	if p.takeSymbol("*") {
		return p.star()
	}
	t := p.peek()
	if t.Shape != scan.Word && t.Shape != scan.Quoted || slices.Contains([]string{"null", "true", "false"}, t.Text) {
		return p.constant()
	}
	mark := p.at
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	if p.takeSymbol("(") {
		if name != "count" {
			return p.call(name, t, false)
		}
		if err := p.count(); err != nil {
			return nil, err
		}
		return p.rows(&query.Select{
			Count: true,
		})
	}
	p.at = mark
	columns, err := p.columns()
	if err != nil {
		return nil, err
	}
	return p.rows(&query.Select{
		Columns: columns,
	})
}

// star takes what follows SELECT *: all columns of the table, or a function's rows.
func (p *parser) star() (query.Node, error) {
	mark := p.at
	if err := p.expectWord("from"); err != nil {
		return nil, err
	}
	t := p.peek()
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	if p.takeSymbol("(") {
		return p.call(name, t, true)
	}
	p.at = mark
	return p.rows(&query.Select{
		Columns: []string{query.ColumnID, query.ColumnItem},
	})
}

func (p *parser) count() error {
	if !p.takeSymbol("*") {
		if _, err := p.column(); err != nil {
			return err
		}
	}
	return p.expectSymbol(")")
}

// rows takes what follows the columns of a SELECT on the table.
func (p *parser) rows(n *query.Select) (query.Node, error) {
	if err := p.expectWord("from"); err != nil {
		return nil, err
	}
	if err := p.table(); err != nil {
		return nil, err
	}
	var err error
	if n.Where, err = p.where(); err != nil {
		return nil, err
	}
	if n.Descending, err = p.orderBy(); err != nil {
		return nil, err
	}
	if p.takeWord("limit") {
		v, err := p.value(query.TypeInt8)
		n.Limit = &v
		return n, err
	}
	return n, nil
}

func (p *parser) orderBy() (descending bool, err error) {
	if !p.takeWord("order") {
		return false, nil
	}
	if err := p.expectWord("by"); err != nil {
		return false, err
	}
	t := p.peek()
	c, err := p.column()
	if err != nil {
		return false, err
	}
	if c != query.ColumnID {
		return false, &query.Error{
			Code:     query.CodeUnsupported,
			Message:  "this member orders by id only",
			Position: t.Start + 1,
		}
	}
	if p.takeWord("desc") {
		return true, nil
	}
	p.takeAny("asc")
	return false, nil
}

func (p *parser) constant() (query.Node, error) {
	t := p.peek()
	n := &query.Call{
		Column:   "?column?",
		Constant: query.TypeText,
	}
	switch {
	case t.Shape == scan.Number && strings.Contains(t.Text, "."):
		n.Constant = query.TypeFloat8
	case t.Shape == scan.Number && len(t.Text) < len("2147483647"):
		n.Constant = query.TypeInt4
	case t.Shape == scan.Number:
		n.Constant = query.TypeInt8
	case t.Text == "true" && t.Shape == scan.Word, t.Text == "false" && t.Shape == scan.Word:
		n.Constant = query.TypeBool
	}
	v, err := p.value(query.TypeText)
	if err != nil {
		return nil, err
	}
	n.Arguments = []query.Value{v}
	return n, p.alias(n)
}

// call takes a function's arguments and its alias.
func (p *parser) call(name string, at scan.Token, relation bool) (query.Node, error) {
	name = strings.TrimPrefix(strings.ToLower(name), "pg_catalog.")
	f, found := query.FindFunction(name)
	if !found || f.Relation && !relation {
		return nil, &query.Error{
			Code:     query.CodeNoFunction,
			Message:  fmt.Sprintf("function %s does not exist in this place", name),
			Position: at.Start + 1,
		}
	}
	n := &query.Call{
		Function: f,
		Column:   strings.TrimPrefix(name, "platform."),
	}
	for i, a := range f.Arguments {
		if i > 0 {
			if err := p.expectSymbol(","); err != nil {
				return nil, err
			}
		}
		v, err := p.value(a)
		if err != nil {
			return nil, err
		}
		n.Arguments = append(n.Arguments, v)
	}
	if err := p.expectSymbol(")"); err != nil {
		return nil, err
	}
	return n, p.alias(n)
}

func (p *parser) alias(n *query.Call) error {
	if !p.takeWord("as") {
		return nil
	}
	name, err := p.name()
	n.Column = name
	return err
}

func (p *parser) table() error {
	t := p.peek()
	name, err := p.name()
	if err != nil {
		return err
	}
	if strings.TrimPrefix(name, "public.") == query.Table {
		return nil
	}
	return &query.Error{
		Code:     query.CodeNoTable,
		Message:  fmt.Sprintf("relation %q does not exist", name),
		Position: t.Start + 1,
	}
}

func (p *parser) columns() ([]string, error) {
	var all []string
	for {
		c, err := p.column()
		if err != nil {
			return nil, err
		}
		all = append(all, c)
		if !p.takeSymbol(",") {
			return all, nil
		}
	}
}

func (p *parser) column() (string, error) {
	t := p.peek()
	name, err := p.name()
	if err != nil {
		return "", err
	}
	name = strings.TrimPrefix(name, query.Table+".")
	if name == query.ColumnID || name == query.ColumnItem {
		return name, nil
	}
	return "", &query.Error{
		Code:     query.CodeNoColumn,
		Message:  fmt.Sprintf("column %q does not exist", name),
		Position: t.Start + 1,
	}
}

// where takes the one condition that is understood: an id that is equal to a value.
func (p *parser) where() (*query.Value, error) {
	if !p.takeWord("where") {
		return nil, nil
	}
	t := p.peek()
	c, err := p.column()
	if err != nil {
		return nil, err
	}
	if c != query.ColumnID {
		return nil, &query.Error{
			Code:     query.CodeUnsupported,
			Message:  "this member looks up orders by id only",
			Position: t.Start + 1,
		}
	}
	if err := p.expectSymbol("="); err != nil {
		return nil, err
	}
	v, err := p.value(query.TypeText)
	return &v, err
}

func (p *parser) returning() ([]string, error) {
	if !p.takeWord("returning") {
		return nil, nil
	}
	if p.takeSymbol("*") {
		return []string{query.ColumnID, query.ColumnItem}, nil
	}
	return p.columns()
}
