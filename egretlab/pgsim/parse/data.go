package parse

import (
	"fmt"
	"slices"
	"strings"

	"egretlane.example/egret/egretlab/pgsim/query"
	"egretlane.example/egret/egretlab/pgsim/scan"
)

func (p *parser) parseInsert() (query.Node, error) {
	if err := p.expectWord("into"); err != nil {
		return nil, err
	}
	if err := p.parseTable(); err != nil {
		return nil, err
	}
	itemFirst, err := p.parseInsertColumns()
	if err != nil {
		return nil, err
	}
	if err := p.expectWord("values"); err != nil {
		return nil, err
	}
	n := &query.Insert{}
	for {
		o, err := p.parseInsertRow(itemFirst)
		if err != nil {
			return nil, err
		}
		n.Orders = append(n.Orders, o)
		if !p.acceptSymbol(",") {
			break
		}
	}
	n.Returning, err = p.parseReturning()
	return n, err
}

// parseInsertColumns parses the optional column list, which must name both columns, in either order.
func (p *parser) parseInsertColumns() (itemFirst bool, err error) {
	if !p.acceptSymbol("(") {
		return false, nil
	}
	offset := p.peek().Start
	columns, err := p.parseColumns()
	if err != nil {
		return false, err
	}
	if len(columns) != 2 || columns[0] == columns[1] {
		return false, query.NewSyntaxError(offset, "an order needs its id and its item")
	}
	return columns[0] == query.ColumnItem, p.expectSymbol(")")
}

func (p *parser) parseInsertRow(itemFirst bool) (query.Order, error) {
	if err := p.expectSymbol("("); err != nil {
		return query.Order{}, err
	}
	first, err := p.parseValue(query.TypeText)
	if err != nil {
		return query.Order{}, err
	}
	if err := p.expectSymbol(","); err != nil {
		return query.Order{}, err
	}
	second, err := p.parseValue(query.TypeText)
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

func (p *parser) parseUpdate() (query.Node, error) {
	if err := p.parseTable(); err != nil {
		return nil, err
	}
	if err := p.expectWord("set"); err != nil {
		return nil, err
	}
	t := p.peek()
	c, err := p.parseColumn()
	if err != nil {
		return nil, err
	}
	if c != query.ColumnItem {
		return nil, &query.Error{
			Code:     query.CodeFeatureNotSupported,
			Message:  "this member doesn't change the id of an order",
			Position: t.Start + 1,
		}
	}
	if err := p.expectSymbol("="); err != nil {
		return nil, err
	}
	n := &query.Update{}
	if n.Item, err = p.parseValue(query.TypeText); err != nil {
		return nil, err
	}
	if n.Where, err = p.parseWhere(); err != nil {
		return nil, err
	}
	n.Returning, err = p.parseReturning()
	return n, err
}

func (p *parser) parseDelete() (query.Node, error) {
	if err := p.expectWord("from"); err != nil {
		return nil, err
	}
	if err := p.parseTable(); err != nil {
		return nil, err
	}
	n := &query.Delete{}
	var err error
	if n.Where, err = p.parseWhere(); err != nil {
		return nil, err
	}
	n.Returning, err = p.parseReturning()
	return n, err
}

// parseSelect parses what follows SELECT: a query of the table, a function call or a constant.
func (p *parser) parseSelect() (query.Node, error) {
	if p.acceptSymbol("*") {
		return p.parseSelectStar()
	}
	t := p.peek()
	if t.Kind != scan.Word && t.Kind != scan.QuotedIdentifier || slices.Contains([]string{"null", "true", "false"}, t.Text) {
		return p.parseConstant()
	}
	start := p.index
	name, err := p.parseName()
	if err != nil {
		return nil, err
	}
	if p.acceptSymbol("(") {
		if name != "count" {
			return p.parseCall(name, t, false)
		}
		if err := p.parseCountArgument(); err != nil {
			return nil, err
		}
		return p.parseSelectClauses(&query.Select{
			Count: true,
		})
	}
	p.index = start
	columns, err := p.parseColumns()
	if err != nil {
		return nil, err
	}
	return p.parseSelectClauses(&query.Select{
		Columns: columns,
	})
}

// parseSelectStar parses what follows SELECT *: a query of all columns of the table, or a call of a
// function that returns a relation.
func (p *parser) parseSelectStar() (query.Node, error) {
	start := p.index
	if err := p.expectWord("from"); err != nil {
		return nil, err
	}
	t := p.peek()
	name, err := p.parseName()
	if err != nil {
		return nil, err
	}
	if p.acceptSymbol("(") {
		return p.parseCall(name, t, true)
	}
	p.index = start
	return p.parseSelectClauses(&query.Select{
		Columns: []string{query.ColumnID, query.ColumnItem},
	})
}

func (p *parser) parseCountArgument() error {
	if !p.acceptSymbol("*") {
		if _, err := p.parseColumn(); err != nil {
			return err
		}
	}
	return p.expectSymbol(")")
}

// parseSelectClauses parses what follows the select list of a query of the table.
func (p *parser) parseSelectClauses(n *query.Select) (query.Node, error) {
	if err := p.expectWord("from"); err != nil {
		return nil, err
	}
	if err := p.parseTable(); err != nil {
		return nil, err
	}
	var err error
	if n.Where, err = p.parseWhere(); err != nil {
		return nil, err
	}
	if n.Descending, err = p.parseOrderBy(); err != nil {
		return nil, err
	}
	if p.acceptWord("limit") {
		v, err := p.parseValue(query.TypeInt8)
		n.Limit = &v
		return n, err
	}
	return n, nil
}

func (p *parser) parseOrderBy() (descending bool, err error) {
	if !p.acceptWord("order") {
		return false, nil
	}
	if err := p.expectWord("by"); err != nil {
		return false, err
	}
	t := p.peek()
	c, err := p.parseColumn()
	if err != nil {
		return false, err
	}
	if c != query.ColumnID {
		return false, &query.Error{
			Code:     query.CodeFeatureNotSupported,
			Message:  "this member orders by id only",
			Position: t.Start + 1,
		}
	}
	if p.acceptWord("desc") {
		return true, nil
	}
	p.acceptAny("asc")
	return false, nil
}

func (p *parser) parseConstant() (query.Node, error) {
	t := p.peek()
	n := &query.Call{
		Column:   "?column?",
		Constant: query.TypeText,
	}
	switch {
	case t.Kind == scan.Number && strings.Contains(t.Text, "."):
		n.Constant = query.TypeFloat8
	case t.Kind == scan.Number && len(t.Text) < len("2147483647"):
		n.Constant = query.TypeInt4
	case t.Kind == scan.Number:
		n.Constant = query.TypeInt8
	case t.Text == "true" && t.Kind == scan.Word, t.Text == "false" && t.Kind == scan.Word:
		n.Constant = query.TypeBool
	}
	v, err := p.parseValue(query.TypeText)
	if err != nil {
		return nil, err
	}
	n.Arguments = []query.Value{v}
	return n, p.parseAlias(n)
}

// parseCall parses the arguments and the alias of a function call. The nameToken gives the position of errors.
func (p *parser) parseCall(name string, nameToken scan.Token, isRelation bool) (query.Node, error) {
	name = strings.TrimPrefix(strings.ToLower(name), "pg_catalog.")
	f, found := query.FindFunction(name)
	if !found || f.Relation && !isRelation {
		return nil, &query.Error{
			Code:     query.CodeUndefinedFunction,
			Message:  fmt.Sprintf("function %s does not exist in this place", name),
			Position: nameToken.Start + 1,
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
		v, err := p.parseValue(a)
		if err != nil {
			return nil, err
		}
		n.Arguments = append(n.Arguments, v)
	}
	if err := p.expectSymbol(")"); err != nil {
		return nil, err
	}
	return n, p.parseAlias(n)
}

func (p *parser) parseAlias(n *query.Call) error {
	if !p.acceptWord("as") {
		return nil
	}
	name, err := p.parseName()
	n.Column = name
	return err
}

func (p *parser) parseTable() error {
	t := p.peek()
	name, err := p.parseName()
	if err != nil {
		return err
	}
	if strings.TrimPrefix(name, "public.") == query.Table {
		return nil
	}
	return &query.Error{
		Code:     query.CodeUndefinedTable,
		Message:  fmt.Sprintf("relation %q does not exist", name),
		Position: t.Start + 1,
	}
}

func (p *parser) parseColumns() ([]string, error) {
	var columns []string
	for {
		c, err := p.parseColumn()
		if err != nil {
			return nil, err
		}
		columns = append(columns, c)
		if !p.acceptSymbol(",") {
			return columns, nil
		}
	}
}

func (p *parser) parseColumn() (string, error) {
	t := p.peek()
	name, err := p.parseName()
	if err != nil {
		return "", err
	}
	name = strings.TrimPrefix(name, query.Table+".")
	if name == query.ColumnID || name == query.ColumnItem {
		return name, nil
	}
	return "", &query.Error{
		Code:     query.CodeUndefinedColumn,
		Message:  fmt.Sprintf("column %q does not exist", name),
		Position: t.Start + 1,
	}
}

// parseWhere parses an optional WHERE clause. The only supported condition is that id equals a value.
func (p *parser) parseWhere() (*query.Value, error) {
	if !p.acceptWord("where") {
		return nil, nil
	}
	t := p.peek()
	c, err := p.parseColumn()
	if err != nil {
		return nil, err
	}
	if c != query.ColumnID {
		return nil, &query.Error{
			Code:     query.CodeFeatureNotSupported,
			Message:  "this member looks up orders by id only",
			Position: t.Start + 1,
		}
	}
	if err := p.expectSymbol("="); err != nil {
		return nil, err
	}
	v, err := p.parseValue(query.TypeText)
	return &v, err
}

func (p *parser) parseReturning() ([]string, error) {
	if !p.acceptWord("returning") {
		return nil, nil
	}
	if p.acceptSymbol("*") {
		return []string{query.ColumnID, query.ColumnItem}, nil
	}
	return p.parseColumns()
}
