package sess

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/query"
	"egretlane.example/egret/egretlab/pgsim/stats"
	"egretlane.example/egret/egretlab/pgsim/vars"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// block is a session's transaction. Statements outside BEGIN and COMMIT have an implicit one, up to
// the end of their Query message or to Sync.
type block struct {
	// transaction is open, or nil.
	transaction *core.Transaction

	// explicit says that the client opened the transaction with BEGIN.
	explicit bool

	// failed says that an explicit transaction has failed and is rolled back already. It has no
	// transaction then.
	failed bool

	// number counts the session's transactions.
	number uint64

	// saved is the settings before the transaction.
	saved vars.Settings

	// local lists the settings that go back to saved at the end in any case.
	local []string
}

// status returns the status as ReadyForQuery has it.
func (b *block) status() byte {
	switch {
	case b.failed:
		return 'E'
	case b.explicit:
		return 'T'
	default:
		return 'I'
	}
}

// open opens a transaction unless one is open.
func (s *Session) open() *core.Transaction {
	b := &s.block
	if b.transaction != nil {
		return b.transaction
	}
	h := s.holder()
	b.transaction = s.Host.Platform.Member.Begin(walog.Origin{
		Process:     h.Process,
		Application: h.Application,
	})
	b.transaction.ReadOnly = s.Settings.On(vars.DefaultReadOnly)
	b.number++
	b.saved = s.Settings
	b.local = nil
	s.record(stats.KindBegin, "")
	return b.transaction
}

// begin makes the transaction explicit. What an implicit one has done becomes part of it.
func (s *Session) begin(n *query.Begin) {
	if s.block.explicit {
		s.warn(codeActive, "there is already a transaction in progress")
	}
	t := s.open()
	s.block.explicit = true
	setAccess(t, n.Access)
}

// end commits or rolls back by order of the client. It returns the command tag.
func (s *Session) end(n *query.End) (string, error) {
	if s.block.failed {
		s.block.failed = false
		s.block.explicit = false
		return "ROLLBACK", nil
	}
	if !s.block.explicit {
		s.warn(codeNoTransaction, "there is no transaction in progress")
	}
	if !n.Commit {
		s.rollBack()
		return n.Command(), nil
	}
	// The transaction is over also if the commit fails.
	s.block.explicit = false
	return n.Command(), s.commit()
}

// commitImplicit commits unless the client opened the transaction.
func (s *Session) commitImplicit() error {
	if s.block.explicit || s.block.failed {
		return nil
	}
	return s.commit()
}

// commit commits what is open. After an error the transaction is still to be rolled back.
func (s *Session) commit() error {
	b := &s.block
	if b.transaction == nil {
		clear(s.portals)
		return nil
	}
	if err := b.transaction.Commit(); err != nil {
		return err
	}
	s.record(stats.KindCommit, "")
	next := s.Settings
	for _, n := range b.local {
		v, _ := b.saved.Get(n)
		next = next.With(n, v)
	}
	s.takeOn(next)
	s.closeBlock(false)
	return nil
}

// rollBack drops what is open.
func (s *Session) rollBack() {
	s.rollBackInto(false)
}

// rollBackInto drops what is open. The block stays failed if the client has to end it.
func (s *Session) rollBackInto(failed bool) {
	b := &s.block
	if b.transaction != nil {
		b.transaction.Rollback()
		s.record(stats.KindRollback, "")
		s.takeOn(b.saved)
	}
	s.closeBlock(failed)
}

func (s *Session) closeBlock(failed bool) {
	b := &s.block
	b.transaction = nil
	b.failed = failed
	b.explicit = failed
	b.local = nil
	clear(s.portals)
}

func (s *Session) record(k stats.Kind, text string) {
	h := s.holder()
	s.Host.Stats.Record(stats.Event{
		Time:        s.Host.Platform.Member.Now(),
		Process:     h.Process,
		Application: h.Application,
		Kind:        k,
		Transaction: s.block.number,
		Text:        text,
	})
}

func (s *Session) warn(code string, message string) {
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
