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

// runStatement runs one statement of any kind.
func (s *Session) runStatement(ctx context.Context, st query.Statement, a exec.Arguments) (*exec.Result, error) {
	s.Shared.Stats.CountCommand(commandName(st.Node))
	if err := s.checkNotFailed(st.Node); err != nil {
		return nil, err
	}
	if c, ok := st.Node.(*query.Call); ok && c.Function != nil && c.Function.Platform {
		return s.Shared.Platform.Call(ctx, s.lockHolder(), c, a)
	}
	s.answerBuffered = true
	e, ends := st.Node.(*query.End)
	if s.Shared.Platform.Faults.RefusesStatements() && (!ends || e.Commit) {
		return nil, core.Errorf(codeCannotConnectNow, "member %s takes no statements now", s.Shared.Platform.Member.Name)
	}
	if ends {
		s.recordEvent(stats.KindStatement, st.Text)
		tag, err := s.end(e)
		return exec.NoRows(tag), err
	}
	if r, err := s.runSessionStatement(st); r != nil || err != nil {
		return r, err
	}
	return s.runInTransaction(ctx, st, a)
}

// checkNotFailed fails in a failed transaction block, except for the statement that ends it.
func (s *Session) checkNotFailed(n query.Node) error {
	if _, ends := n.(*query.End); s.block.failed && !ends {
		return core.Errorf(codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	return nil
}

// runInTransaction runs a statement in the session's transaction. The statement needs a slot.
func (s *Session) runInTransaction(ctx context.Context, st query.Statement, a exec.Arguments) (*exec.Result, error) {
	t := s.openTransaction()
	slot := s.Shared.Platform.Slots.Slot()
	if err := slot.Acquire(ctx); err != nil {
		return nil, err
	}
	defer slot.Release()
	t.Slot = slot
	s.recordEvent(stats.KindStatement, st.Text)
	if err := exec.Sleep(ctx, s.Shared.StatementCost); err != nil {
		return nil, err
	}
	if c, ok := st.Node.(*query.Call); ok && c.Function != nil {
		if v, found := s.sessionFunction(c.Function); found {
			return &exec.Result{
				Command: c.Command(),
				Columns: exec.Columns(c),
				Rows:    exec.OneRow(v),
			}, nil
		}
	}
	return exec.Run(ctx, t, st.Node, a)
}

// sessionFunction returns the value of a function that reads the session's or the member's state.
func (s *Session) sessionFunction(f *query.Function) (codec.Value, bool) {
	switch f.Name {
	case query.FunctionIsInRecovery:
		return codec.Bool(s.Shared.Platform.Member.State().Grant.Role != egret.RolePrimary), true
	case query.FunctionBackendPID:
		return codec.Int(int64(s.Process)), true
	case query.FunctionCurrentDatabase:
		return codec.String(s.Database), true
	default:
		return codec.Value{}, false
	}
}

// commandName returns the name under which stats counts a statement.
func commandName(n query.Node) string {
	if c, ok := n.(*query.Call); ok && c.Function != nil {
		return c.Function.Name
	}
	return n.Command()
}
