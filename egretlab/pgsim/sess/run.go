package sess

import (
	"context"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/codec"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/exec"
	"egretlane.example/egret/egretlab/pgsim/query"
	"egretlane.example/egret/egretlab/pgsim/stats"
)

// run runs one statement.
func (s *Session) run(ctx context.Context, st query.Statement, a exec.Arguments) (*exec.Result, error) {
	s.Host.Stats.Count(commandOf(st.Node))
	if err := s.allowed(st.Node); err != nil {
		return nil, err
	}
	if c, ok := st.Node.(*query.Call); ok && c.Function != nil && c.Function.Platform {
		return s.Host.Platform.Call(ctx, s.holder(), c, a)
	}
	s.delayed = true
	e, ends := st.Node.(*query.End)
	if s.Host.Platform.Faults.Refuse() && (!ends || e.Commit) {
		return nil, core.Errorf(codeNotNow, "member %s takes no statements now", s.Host.Platform.Member.Name)
	}
	if ends {
		s.record(stats.KindStatement, st.Text)
		tag, err := s.end(e)
		return exec.None(tag), err
	}
	if r, err := s.control(st); r != nil || err != nil {
		return r, err
	}
	return s.data(ctx, st, a)
}

// allowed refuses all but the end of a failed transaction.
func (s *Session) allowed(n query.Node) error {
	if _, ends := n.(*query.End); s.block.failed && !ends {
		return core.Errorf(codeFailed, "current transaction is aborted, commands ignored until end of transaction block")
	}
	return nil
}

// data runs a statement that takes a slot.
func (s *Session) data(ctx context.Context, st query.Statement, a exec.Arguments) (*exec.Result, error) {
	t := s.open()
	slot := s.Host.Platform.Slots.Slot()
	if err := slot.Acquire(ctx); err != nil {
		return nil, err
	}
	defer slot.Release()
	t.Slot = slot
	s.record(stats.KindStatement, st.Text)
	if err := exec.Sleep(ctx, s.Host.Cost); err != nil {
		return nil, err
	}
	if c, ok := st.Node.(*query.Call); ok && c.Function != nil {
		if v, found := s.own(c.Function); found {
			return &exec.Result{
				Command: c.Command(),
				Columns: exec.Columns(c),
				Rows:    exec.One(v),
			}, nil
		}
	}
	return exec.Run(ctx, t, st.Node, a)
}

// own returns what a function says of the session.
func (s *Session) own(f *query.Function) (codec.Value, bool) {
	switch f.Name {
	case query.FunctionRecovery:
		return codec.Bool(s.Host.Platform.Member.State().Grant.Role != egret.RolePrimary), true
	case query.FunctionBackendPID:
		return codec.Int(int64(s.Process)), true
	case query.FunctionDatabase:
		return codec.String(s.Database), true
	default:
		return codec.Value{}, false
	}
}

// commandOf returns the name that a statement is counted under.
func commandOf(n query.Node) string {
	if c, ok := n.(*query.Call); ok && c.Function != nil {
		return c.Function.Name
	}
	return n.Command()
}
