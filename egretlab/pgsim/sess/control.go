package sess

import (
	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/codec"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/exec"
	"egretlane.example/egret/egretlab/pgsim/query"
	"egretlane.example/egret/egretlab/pgsim/stats"
	"egretlane.example/egret/egretlab/pgsim/vars"
)

// runSessionStatement runs a statement that affects the session only. It returns nil for other statements.
func (s *Session) runSessionStatement(st query.Statement) (*exec.Result, error) {
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
		s.recordEvent(stats.KindStatement, st.Text)
	}
	return exec.NoRows(st.Node.Command()), nil
}

func (s *Session) setAccess(n *query.SetAccess) {
	if !n.Session {
		if !s.block.explicit {
			s.sendWarning(codeNoActiveTransaction, "SET TRANSACTION can only be used in transaction blocks")
			return
		}
		setAccess(s.block.transaction, n.Access)
		return
	}
	value := "off"
	if n.Access == query.AccessReadOnly {
		value = "on"
	}
	s.applySettings(s.Settings.With(vars.DefaultTransactionReadOnly, value))
}

// set runs SET and RESET. A rollback undoes the change.
func (s *Session) set(n *query.Set) {
	if n.Name == vars.TransactionReadOnly {
		if s.block.transaction != nil {
			s.block.transaction.ReadOnly = n.Value == "on" || n.Value == "true"
		}
		return
	}
	if n.Local && s.block.transaction == nil {
		s.sendWarning(codeNoActiveTransaction, "SET LOCAL can only be used in transaction blocks")
		return
	}
	if n.Local {
		s.block.localSettings = append(s.block.localSettings, n.Name)
	}
	switch {
	case n.Name == "":
		s.applySettings(s.Settings.WithAllReset())
	case n.Default:
		s.applySettings(s.Settings.WithReset(n.Name))
	default:
		s.applySettings(s.Settings.With(n.Name, n.Value))
	}
}

func (s *Session) show(n *query.Show) (*exec.Result, error) {
	v, found := s.Settings.Get(n.Name)
	role := s.Shared.Platform.Member.State().Grant.Role
	switch n.Name {
	case vars.TransactionReadOnly:
		found = true
		v = "off"
		t := s.block.transaction
		if role != egret.RolePrimary || t != nil && t.ReadOnly || t == nil && s.Settings.IsOn(vars.DefaultTransactionReadOnly) {
			v = "on"
		}
	case vars.InHotStandby:
		v = "off"
		if role != egret.RolePrimary {
			v = "on"
		}
	}
	if !found {
		return nil, core.Errorf(codeUnknownSetting, "unrecognized configuration parameter %q", n.Name)
	}
	return &exec.Result{
		Command: n.Command(),
		Columns: exec.Columns(n),
		Rows:    exec.OneRow(codec.String(v)),
	}, nil
}

func (s *Session) deallocate(n *query.Deallocate) error {
	if n.Name == "" {
		clear(s.statements)
		return nil
	}
	if _, found := s.statements[n.Name]; !found {
		return core.Errorf(codeUnknownStatement, "prepared statement %q does not exist", n.Name)
	}
	delete(s.statements, n.Name)
	return nil
}

// discard runs DISCARD ALL: it resets the session to its initial state.
func (s *Session) discard() error {
	if s.block.transaction != nil {
		return core.Errorf(codeActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
	}
	clear(s.statements)
	clear(s.portals)
	s.Shared.Platform.Locks.ReleaseAll(s.Process)
	s.applySettings(s.Settings.WithAllReset())
	return nil
}

// applySettings changes the session's settings and reports the changes to the client with ParameterStatus.
func (s *Session) applySettings(next vars.Settings) {
	for _, p := range s.Settings.ChangedParameterStatuses(next) {
		s.Backend.Send(p)
	}
	s.Settings = next
}
