package sess

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/query"
	"egretlane.example/egret/egretlab/pgsim/stats"
	"egretlane.example/egret/egretlab/pgsim/vars"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// transactionBlock is the state of a session's transaction. Statements outside BEGIN and COMMIT run in an
// implicit transaction that ends with their Query message or at Sync.
type transactionBlock struct {
	// transaction is the open transaction, or nil.
	transaction *core.Transaction

	// explicit reports whether the client started the transaction with BEGIN.
	explicit bool

	// failed reports whether an explicit transaction has failed. It is rolled back already, and transaction
	// is nil, but the client still has to end the block.
	failed bool

	// number is the number of transactions that the session has started.
	number uint64

	// savedSettings holds the settings from before the transaction.
	savedSettings vars.Settings

	// localSettings lists the settings changed by SET LOCAL. A commit restores them from savedSettings.
	localSettings []string
}

// txStatus returns the transaction status for ReadyForQuery.
func (b *transactionBlock) txStatus() byte {
	switch {
	case b.failed:
		return 'E'
	case b.explicit:
		return 'T'
	default:
		return 'I'
	}
}

// openTransaction returns the open transaction. If there is none, it starts one.
func (s *Session) openTransaction() *core.Transaction {
	b := &s.block
	if b.transaction != nil {
		return b.transaction
	}
	h := s.lockHolder()
	b.transaction = s.Shared.Platform.Member.Begin(walog.Origin{
		Process:     h.Process,
		Application: h.Application,
	})
	b.transaction.ReadOnly = s.Settings.IsOn(vars.DefaultTransactionReadOnly)
	b.number++
	b.savedSettings = s.Settings
	b.localSettings = nil
	s.recordEvent(stats.KindBegin, "")
	return b.transaction
}

// begin runs BEGIN. Changes of an open implicit transaction become part of the explicit one.
func (s *Session) begin(n *query.Begin) {
	if s.block.explicit {
		s.sendWarning(codeActiveTransaction, "there is already a transaction in progress")
	}
	t := s.openTransaction()
	s.block.explicit = true
	setAccess(t, n.Access)
}

// end runs COMMIT or ROLLBACK. It returns the command tag.
func (s *Session) end(n *query.End) (string, error) {
	if s.block.failed {
		s.block.failed = false
		s.block.explicit = false
		return "ROLLBACK", nil
	}
	if !s.block.explicit {
		s.sendWarning(codeNoActiveTransaction, "there is no transaction in progress")
	}
	if !n.Commit {
		s.rollBack()
		return n.Command(), nil
	}
	// The transaction ends even if the commit fails.
	s.block.explicit = false
	return n.Command(), s.commit()
}

// commitImplicit commits the transaction unless the client started it with BEGIN.
func (s *Session) commitImplicit() error {
	if s.block.explicit || s.block.failed {
		return nil
	}
	return s.commit()
}

// commit commits the open transaction, if any. After an error it still has to be rolled back.
func (s *Session) commit() error {
	b := &s.block
	if b.transaction == nil {
		clear(s.portals)
		return nil
	}
	if err := b.transaction.Commit(); err != nil {
		return err
	}
	s.recordEvent(stats.KindCommit, "")
	next := s.Settings
	for _, n := range b.localSettings {
		v, _ := b.savedSettings.Get(n)
		next = next.With(n, v)
	}
	s.applySettings(next)
	s.closeBlock(false)
	return nil
}

// rollBack rolls back the open transaction, if any, and ends the block.
func (s *Session) rollBack() {
	s.rollBackBlock(false)
}

// rollBackBlock rolls back the open transaction, if any. With failed set, the block stays open and failed
// until the client ends it.
func (s *Session) rollBackBlock(failed bool) {
	b := &s.block
	if b.transaction != nil {
		b.transaction.Rollback()
		s.recordEvent(stats.KindRollback, "")
		s.applySettings(b.savedSettings)
	}
	s.closeBlock(failed)
}

// closeBlock resets the block and closes all portals.
func (s *Session) closeBlock(failed bool) {
	b := &s.block
	b.transaction = nil
	b.failed = failed
	b.explicit = failed
	b.localSettings = nil
	clear(s.portals)
}

func (s *Session) recordEvent(k stats.Kind, text string) {
	h := s.lockHolder()
	s.Shared.Stats.Record(stats.Event{
		Time:        s.Shared.Platform.Member.Now(),
		Process:     h.Process,
		Application: h.Application,
		Kind:        k,
		Transaction: s.block.number,
		Text:        text,
	})
}

func (s *Session) sendWarning(code string, message string) {
	s.Backend.Send(&pgproto3.NoticeResponse{
		Severity:            "WARNING",
		SeverityUnlocalized: "WARNING",
		Code:                code,
		Message:             message,
	})
}

func setAccess(t *core.Transaction, a query.Access) {
	if a != query.AccessDefault {
		t.ReadOnly = a == query.AccessReadOnly
	}
}
