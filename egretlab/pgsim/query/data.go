package query

import (
	"fmt"
	"slices"
	"strings"
)

// The columns of the table.
const (
	ColumnID   = "id"
	ColumnItem = "item"
)

func (p *parser) insert() (Node, error) {
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
	n := &Insert{}
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
	at := p.peek().start
	columns, err := p.columns()
	if err != nil {
		return false, err
	}
	if len(columns) != 2 || columns[0] == columns[1] {
		return false, syntaxError(at, "an order needs its id and its item")
	}
	return columns[0] == ColumnItem, p.expectSymbol(")")
}

func (p *parser) order(itemFirst bool) (Order, error) {
	if err := p.expectSymbol("("); err != nil {
		return Order{}, err
	}
	first, err := p.value(TypeText)
	if err != nil {
		return Order{}, err
	}
	if err := p.expectSymbol(","); err != nil {
		return Order{}, err
	}
	second, err := p.value(TypeText)
	if err != nil {
		return Order{}, err
	}
	o := Order{
		ID:   first,
		Item: second,
	}
	if itemFirst {
		o.ID, o.Item = o.Item, o.ID
	}
	return o, p.expectSymbol(")")
}

func (p *parser) update() (Node, error) {
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
	if c != ColumnItem {
		return nil, &Error{
			Code:     CodeUnsupported,
			Message:  "this member doesn't change the id of an order",
			Position: t.start + 1,
		}
	}
	if err := p.expectSymbol("="); err != nil {
		return nil, err
	}
	n := &Update{}
	if n.Item, err = p.value(TypeText); err != nil {
		return nil, err
	}
	if n.Where, err = p.where(); err != nil {
		return nil, err
	}
	n.Returning, err = p.returning()
	return n, err
}

func (p *parser) delete() (Node, error) {
	if err := p.expectWord("from"); err != nil {
		return nil, err
	}
	if err := p.table(); err != nil {
		return nil, err
	}
	n := &Delete{}
	var err error
	if n.Where, err = p.where(); err != nil {
		return nil, err
	}
	n.Returning, err = p.returning()
	return n, err
}

// selection takes what follows SELECT: rows of the table, a function or a constant.
func (p *parser) selection() (Node, error) {
	if p.takeSymbol("*") {
		return p.star()
	}
	t := p.peek()
	if t.shape != shapeWord && t.shape != shapeQuoted || slices.Contains([]string{"null", "true", "false"}, t.text) {
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
		return p.rows(&Select{
			Count: true,
		})
	}
	p.at = mark
	columns, err := p.columns()
	if err != nil {
		return nil, err
	}
	return p.rows(&Select{
		Columns: columns,
	})
}

// star takes what follows SELECT *: all columns of the table, or a function's rows.
func (p *parser) star() (Node, error) {
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
	return p.rows(&Select{
		Columns: []string{ColumnID, ColumnItem},
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
func (p *parser) rows(n *Select) (Node, error) {
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
		v, err := p.value(TypeInt8)
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
	if c != ColumnID {
		return false, &Error{
			Code:     CodeUnsupported,
			Message:  "this member orders by id only",
			Position: t.start + 1,
		}
	}
	if p.takeWord("desc") {
		return true, nil
	}
	p.takeAny("asc")
	return false, nil
}

func (p *parser) constant() (Node, error) {
	t := p.peek()
	n := &Call{
		Column:   "?column?",
		Constant: TypeText,
	}
	switch {
	case t.shape == shapeNumber && strings.Contains(t.text, "."):
		n.Constant = TypeFloat8
	case t.shape == shapeNumber && len(t.text) < len("2147483647"):
		n.Constant = TypeInt4
	case t.shape == shapeNumber:
		n.Constant = TypeInt8
	case t.text == "true" && t.shape == shapeWord, t.text == "false" && t.shape == shapeWord:
		n.Constant = TypeBool
	}
	v, err := p.value(TypeText)
	if err != nil {
		return nil, err
	}
	n.Arguments = []Value{v}
	return n, p.alias(n)
}

// call takes a function's arguments and its alias.
func (p *parser) call(name string, at token, relation bool) (Node, error) {
	name = strings.TrimPrefix(strings.ToLower(name), "pg_catalog.")
	f, found := findFunction(name)
	if !found || f.Relation && !relation {
		return nil, &Error{
			Code:     CodeNoFunction,
			Message:  fmt.Sprintf("function %s does not exist in this place", name),
			Position: at.start + 1,
		}
	}
	n := &Call{
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

func (p *parser) alias(n *Call) error {
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
	if strings.TrimPrefix(name, "public.") == Table {
		return nil
	}
	return &Error{
		Code:     CodeNoTable,
		Message:  fmt.Sprintf("relation %q does not exist", name),
		Position: t.start + 1,
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
	name = strings.TrimPrefix(name, Table+".")
	if name == ColumnID || name == ColumnItem {
		return name, nil
	}
	return "", &Error{
		Code:     CodeNoColumn,
		Message:  fmt.Sprintf("column %q does not exist", name),
		Position: t.start + 1,
	}
}

// where takes the one condition that is understood: an id that is equal to a value.
func (p *parser) where() (*Value, error) {
	if !p.takeWord("where") {
		return nil, nil
	}
	t := p.peek()
	c, err := p.column()
	if err != nil {
		return nil, err
	}
	if c != ColumnID {
		return nil, &Error{
			Code:     CodeUnsupported,
			Message:  "this member looks up orders by id only",
			Position: t.start + 1,
		}
	}
	if err := p.expectSymbol("="); err != nil {
		return nil, err
	}
	v, err := p.value(TypeText)
	return &v, err
}

func (p *parser) returning() ([]string, error) {
	if !p.takeWord("returning") {
		return nil, nil
	}
	if p.takeSymbol("*") {
		return []string{ColumnID, ColumnItem}, nil
	}
	return p.columns()
}
