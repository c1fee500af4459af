package exec

import (
	"context"

	"egretlane.example/egret/egretlab/pgsim/codec"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/query"
)

func selectOrders(t *core.Transaction, n *query.Select, a Arguments) (*Result, error) {
	id, err := a.matchID(n.Where)
	if err != nil {
		return nil, err
	}
	r := NoRows(n.Command())
	r.Columns = Columns(n)
	if n.Count && id == nil {
		r.Rows = OneRow(codec.Int(int64(t.Count())))
		return r, nil
	}
	orders := t.Select(id)
	if n.Count {
		r.Rows = OneRow(codec.Int(int64(len(orders))))
		return r, nil
	}
	if n.Descending {
		for i, j := 0, len(orders)-1; i < j; i, j = i+1, j-1 {
			orders[i], orders[j] = orders[j], orders[i]
		}
	}
	if n.Limit != nil {
		limit, err := a.Integer(*n.Limit)
		if err != nil {
			return nil, err
		}
		orders = orders[:min(max(limit, 0), int64(len(orders)))]
	}
	r.Rows = orderRows(n.Columns, orders)
	return r, nil
}

func insertOrders(ctx context.Context, t *core.Transaction, n *query.Insert, a Arguments) (*Result, error) {
	var orders []core.Order
	for _, o := range n.Orders {
		id, err := a.Text(query.ColumnID, o.ID)
		if err != nil {
			return nil, err
		}
		item, err := a.Text(query.ColumnItem, o.Item)
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
	return writeResult(n, n.Returning, orders), nil
}

func updateOrders(ctx context.Context, t *core.Transaction, n *query.Update, a Arguments) (*Result, error) {
	item, err := a.Text(query.ColumnItem, n.Item)
	if err != nil {
		return nil, err
	}
	id, err := a.matchID(n.Where)
	if err != nil {
		return nil, err
	}
	orders, err := t.Update(ctx, id, item)
	return writeResult(n, n.Returning, orders), err
}

func deleteOrders(ctx context.Context, t *core.Transaction, n *query.Delete, a Arguments) (*Result, error) {
	id, err := a.matchID(n.Where)
	if err != nil {
		return nil, err
	}
	orders, err := t.Delete(ctx, id)
	return writeResult(n, n.Returning, orders), err
}

// writeResult returns the result of a write. It has the rows if the statement has a RETURNING clause.
func writeResult(n query.Node, returning []string, orders []core.Order) *Result {
	r := NoRows(n.Command())
	r.Affected = len(orders)
	if len(returning) > 0 {
		r.Columns = Columns(n)
		r.Rows = orderRows(returning, orders)
	}
	return r
}
