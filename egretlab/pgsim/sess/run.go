package sess

import (
	"context"
	"strconv"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/codec"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/query"
	"egretlane.example/egret/egretlab/pgsim/stats"
)

// run runs one statement.
func (s *Session) run(ctx context.Context, st query.Statement, parameters []codec.Value) (*result, error) {
	s.Host.Stats.Count(commandOf(st.Node))
	if err := s.allowed(st.Node); err != nil {
		return nil, err
	}
	if c, ok := st.Node.(*query.Call); ok && c.Function != nil && c.Function.Platform {
		return s.platform(ctx, c, parameters)
	}
	s.delayed = true
	e, ends := st.Node.(*query.End)
	if s.Host.Faults.Refuse() && (!ends || e.Commit) {
		return nil, fault(codeNotNow, "member %s takes no statements now", s.Host.Member.Name)
	}
	if ends {
		s.record(stats.KindStatement, st.Text)
		tag, err := s.end(e)
		return none(tag), err
	}
	if r, err := s.control(st); r != nil || err != nil {
		return r, err
	}
	return s.data(ctx, st, parameters)
}

// allowed refuses all but the end of a failed transaction.
func (s *Session) allowed(n query.Node) error {
	if _, ends := n.(*query.End); s.block.failed && !ends {
		return fault(codeFailed, "current transaction is aborted, commands ignored until end of transaction block")
	}
	return nil
}

// control runs statements that touch the session only. It returns nil for others.
func (s *Session) control(st query.Statement) (*result, error) {
	switch n := st.Node.(type) {
	case *query.Begin:
		s.begin(n)
	case *query.SetAccess:
		s.setAccess(n)
	case *query.Set:
		s.set(n)
	case *query.Show:
		return s.show(n)
	case *query.Deallocate:
		if err := s.deallocate(n); err != nil {
			return nil, err
		}
	case *query.Discard:
		if err := s.discard(); err != nil {
			return nil, err
		}
	default:
		return nil, nil
	}
	if s.block.transaction != nil {
		s.record(stats.KindStatement, st.Text)
	}
	return none(st.Node.Command()), nil
}

func (s *Session) setAccess(n *query.SetAccess) {
	if !n.Session {
		if !s.block.explicit {
			s.warn(codeNoTransaction, "SET TRANSACTION can only be used in transaction blocks")
			return
		}
		setAccess(s.block.transaction, n.Access)
		return
	}
	value := "off"
	if n.Access == query.AccessReadOnly {
		value = "on"
	}
	s.takeOn(s.Settings.with(settingDefaultReadOnly, value, false))
}

// set changes a setting. A rollback undoes it.
func (s *Session) set(n *query.Set) {
	if n.Name == settingReadOnly {
		if s.block.transaction != nil {
			s.block.transaction.ReadOnly = n.Value == "on" || n.Value == "true"
		}
		return
	}
	if n.Local && s.block.transaction == nil {
		s.warn(codeNoTransaction, "SET LOCAL can only be used in transaction blocks")
		return
	}
	if n.Local {
		s.block.local = append(s.block.local, n.Name)
	}
	s.takeOn(s.Settings.with(n.Name, n.Value, n.Default))
}

func (s *Session) show(n *query.Show) (*result, error) {
	v, found := s.Settings.Get(n.Name)
	role := s.Host.Member.State().Grant.Role
	switch n.Name {
	case settingReadOnly:
		found = true
		v = "off"
		t := s.block.transaction
		if role != egret.RolePrimary || t != nil && t.ReadOnly || t == nil && s.Settings.isOn(settingDefaultReadOnly) {
			v = "on"
		}
	case settingRecovery:
		v = "off"
		if role != egret.RolePrimary {
			v = "on"
		}
	}
	if !found {
		return nil, fault(codeNoSetting, "unrecognized configuration parameter %q", n.Name)
	}
	return &result{
		command: n.Command(),
		columns: columnsOf(n),
		rows:    one(codec.String(v)),
	}, nil
}

func (s *Session) deallocate(n *query.Deallocate) error {
	if n.Name == "" {
		clear(s.statements)
		return nil
	}
	if _, found := s.statements[n.Name]; !found {
		return fault(codeNoStatement, "prepared statement %q does not exist", n.Name)
	}
	delete(s.statements, n.Name)
	return nil
}

// discard puts the session back to its start.
func (s *Session) discard() error {
	if s.block.transaction != nil {
		return fault(codeActive, "DISCARD ALL cannot run inside a transaction block")
	}
	clear(s.statements)
	clear(s.portals)
	s.Host.Locks.Release(s.Process)
	s.takeOn(s.Settings.with("", "", true))
	return nil
}

// data runs a statement that takes a slot.
func (s *Session) data(ctx context.Context, st query.Statement, parameters []codec.Value) (*result, error) {
	t := s.open()
	slot := s.Host.Slots.Slot()
	if err := slot.Acquire(ctx); err != nil {
		return nil, err
	}
	defer slot.Release()
	t.Slot = slot
	s.record(stats.KindStatement, st.Text)
	if err := sleep(ctx, s.Host.Cost); err != nil {
		return nil, err
	}
	a := arguments{
		parameters: parameters,
	}
	switch n := st.Node.(type) {
	case *query.Select:
		return selectOrders(t, n, a)
	case *query.Insert:
		return insertOrders(ctx, t, n, a)
	case *query.Update:
		return updateOrders(ctx, t, n, a)
	case *query.Delete:
		return deleteOrders(ctx, t, n, a)
	case *query.Call:
		return s.ordinary(ctx, n, a)
	default:
		return nil, fault(codeInternal, "statement %T has no implementation", n)
	}
}

func selectOrders(t *core.Transaction, n *query.Select, a arguments) (*result, error) {
	id, err := a.where(n.Where)
	if err != nil {
		return nil, err
	}
	r := none(n.Command())
	r.columns = columnsOf(n)
	if n.Count && id == nil {
		r.rows = one(codec.Int(int64(t.Count())))
		return r, nil
	}
	orders := t.Select(id)
	if n.Count {
		r.rows = one(codec.Int(int64(len(orders))))
		return r, nil
	}
	if n.Descending {
		for i, j := 0, len(orders)-1; i < j; i, j = i+1, j-1 {
			orders[i], orders[j] = orders[j], orders[i]
		}
	}
	if n.Limit != nil {
		limit, err := a.integer(*n.Limit)
		if err != nil {
			return nil, err
		}
		orders = orders[:min(max(limit, 0), int64(len(orders)))]
	}
	r.rows = orderRows(n.Columns, orders)
	return r, nil
}

func insertOrders(ctx context.Context, t *core.Transaction, n *query.Insert, a arguments) (*result, error) {
	var orders []core.Order
	for _, o := range n.Orders {
		id, err := a.text(query.ColumnID, o.ID)
		if err != nil {
			return nil, err
		}
		item, err := a.text(query.ColumnItem, o.Item)
		if err != nil {
			return nil, err
		}
		order := core.Order{
			ID:   id,
			Item: item,
		}
		if err := t.Insert(ctx, order); err != nil {
			return nil, err
		}
		orders = append(orders, order)
	}
	return written(n, n.Returning, orders), nil
}

func updateOrders(ctx context.Context, t *core.Transaction, n *query.Update, a arguments) (*result, error) {
	item, err := a.text(query.ColumnItem, n.Item)
	if err != nil {
		return nil, err
	}
	id, err := a.where(n.Where)
	if err != nil {
		return nil, err
	}
	orders, err := t.Update(ctx, id, item)
	return written(n, n.Returning, orders), err
}

func deleteOrders(ctx context.Context, t *core.Transaction, n *query.Delete, a arguments) (*result, error) {
	id, err := a.where(n.Where)
	if err != nil {
		return nil, err
	}
	orders, err := t.Delete(ctx, id)
	return written(n, n.Returning, orders), err
}

func written(n query.Node, returning []string, orders []core.Order) *result {
	r := none(n.Command())
	r.affected = len(orders)
	if len(returning) > 0 {
		r.columns = columnsOf(n)
		r.rows = orderRows(returning, orders)
	}
	return r
}

// one returns a single row.
func one(values ...codec.Value) *list {
	return &list{
		rest: [][]codec.Value{values},
	}
}

// commandOf returns the name that a statement is counted under.
func commandOf(n query.Node) string {
	if c, ok := n.(*query.Call); ok && c.Function != nil {
		return c.Function.Name
	}
	return n.Command()
}

// arguments are the parameters of one run.
type arguments struct {
	// parameters has the value of $1 first.
	parameters []codec.Value
}

// value returns the value of a literal or a parameter.
func (a arguments) value(v query.Value) (codec.Value, error) {
	if v.Parameter == 0 {
		return codec.Value{
			Null: v.Null,
			Text: v.Text,
		}, nil
	}
	if v.Parameter > len(a.parameters) {
		return codec.Value{}, fault(codeNoParameter, "there is no parameter $%d", v.Parameter)
	}
	return a.parameters[v.Parameter-1], nil
}

// text returns the value of a column that can't be NULL.
func (a arguments) text(column string, v query.Value) (string, error) {
	c, err := a.value(v)
	if err != nil {
		return "", err
	}
	if c.Null {
		return "", fault(core.CodeNull, "null value in column %q violates not-null constraint", column)
	}
	return c.Text, nil
}

// where returns the id to match, or nil for all rows. NULL matches no row, as an id that nothing
// can have.
func (a arguments) where(v *query.Value) (*string, error) {
	if v == nil {
		return nil, nil
	}
	c, err := a.value(*v)
	if err != nil {
		return nil, err
	}
	if c.Null {
		c.Text = "\x00"
	}
	return &c.Text, nil
}

func (a arguments) integer(v query.Value) (int64, error) {
	c, err := a.value(v)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseInt(c.Text, 10, 64)
	if err != nil || c.Null {
		return 0, fault(codeBadText, "invalid input syntax for type bigint: %q", c.Text)
	}
	return n, nil
}

func (a arguments) float(v query.Value) (float64, error) {
	c, err := a.value(v)
	if err != nil {
		return 0, err
	}
	f, err := strconv.ParseFloat(c.Text, 64)
	if err != nil || c.Null {
		return 0, fault(codeBadText, "invalid input syntax for type double precision: %q", c.Text)
	}
	return f, nil
}
