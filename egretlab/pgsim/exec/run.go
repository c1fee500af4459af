package exec

import (
	"context"
	"time"

	"egretlane.example/egret/egretlab/pgsim/codec"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/query"
)

// Run runs a statement on the table of orders, SELECT of a constant, or a function that needs no session.
func Run(ctx context.Context, t *core.Transaction, n query.Node, a Arguments) (*Result, error) {
	switch n := n.(type) {
	case *query.Select:
		return selectOrders(t, n, a)
	case *query.Insert:
		return insertOrders(ctx, t, n, a)
	case *query.Update:
		return updateOrders(ctx, t, n, a)
	case *query.Delete:
		return deleteOrders(ctx, t, n, a)
	case *query.Call:
		return runCall(ctx, n, a)
	default:
		return nil, core.Errorf(query.CodeFeatureNotSupported, "%s is not supported by this member", n.Command())
	}
}

func runCall(ctx context.Context, n *query.Call, a Arguments) (*Result, error) {
	r := NoRows(n.Command())
	r.Columns = Columns(n)
	var err error
	switch {
	case n.Function == nil:
		r.Rows, err = constantRow(n, a)
	case n.Function.Name == query.FunctionSleep:
		r.Rows, err = sleep(ctx, n, a)
	case n.Function.Name == query.FunctionGenerateSeries:
		r.Rows, err = newSeries(n, a)
	case n.Function.Name == query.FunctionVersion:
		r.Rows = OneRow(codec.String("PostgreSQL 15.0 (stand-in of egretlab)"))
	default:
		err = core.Errorf(query.CodeUndefinedFunction, "function %s does not exist in this place", n.Function.Name)
	}
	if err != nil {
		return nil, err
	}
	return r, nil
}

func constantRow(n *query.Call, a Arguments) (Rows, error) {
	v, err := a.value(n.Arguments[0])
	if n.Constant == query.TypeBool {
		v = codec.Bool(v.Text == "true")
	}
	return OneRow(v), err
}

func sleep(ctx context.Context, n *query.Call, a Arguments) (Rows, error) {
	seconds, err := a.float(n.Arguments[0])
	if err != nil {
		return nil, err
	}
	if seconds > MaxDuration.Seconds() {
		return nil, core.Errorf(CodeInvalidValue, "pg_sleep takes at most %s", MaxDuration)
	}
	if err := Sleep(ctx, time.Duration(seconds*float64(time.Second))); err != nil {
		return nil, err
	}
	return OneRow(codec.String("")), nil
}

func newSeries(n *query.Call, a Arguments) (Rows, error) {
	first, err := a.Integer(n.Arguments[0])
	if err != nil {
		return nil, err
	}
	last, err := a.Integer(n.Arguments[1])
	if err != nil {
		return nil, err
	}
	return &rowSeries{
		next: first,
		last: last,
	}, nil
}

// Sleep waits for d. If the context is done first, it returns the cause.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-t.C:
		return nil
	}
}
