package core

import (
	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// Spans returns the span of each term in the log.
func (m *Member) Spans() []walog.Span {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.Spans()
}

// CommonPosition returns the last position that the log has in common with a replica's log. It fails unless
// the member is primary in the term.
func (m *Member) CommonPosition(term uint64, spans []walog.Span) (egret.Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkPrimary(term); err != nil {
		return egret.Position{}, err
	}
	return m.log.CommonPosition(spans), nil
}

// EntriesToSend returns the log entries after the offset and a channel that is closed at the next change.
// It fails if the member is no longer primary in the term.
func (m *Member) EntriesToSend(term uint64, offset uint64) ([]walog.Entry, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkPrimary(term); err != nil {
		return nil, nil, err
	}
	return m.log.EntriesAfter(offset), m.changed, nil
}

// Truncate drops the log entries after the offset, because the primary of the grant's term doesn't have
// them. It fails if the member has another grant by now.
func (m *Member) Truncate(g walog.Grant, offset uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g != m.grant {
		return m.staleTermError()
	}
	if offset >= m.log.End().Offset {
		return nil
	}
	if err := m.log.Truncate(offset); err != nil {
		return Errorf(CodeIOError, "%s", err)
	}
	if offset < m.applied.Offset {
		m.replay(offset)
	}
	m.receivedAt = m.receivedAt[:offset-m.applied.Offset]
	m.notifyChanged()
	return nil
}

// Receive appends entries from the primary of the grant's term. It fails if the member has another grant by
// now.
func (m *Member) Receive(g walog.Grant, entries []walog.Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g != m.grant {
		return m.staleTermError()
	}
	now := m.Now()
	for _, e := range entries {
		if e.Term > g.Term {
			return Errorf(CodeStaleTerm, "entry %s in a stream of term %d", e.Position(), g.Term)
		}
		if err := m.log.Append(e); err != nil {
			return Errorf(CodeIOError, "%s", err)
		}
		m.receivedAt = append(m.receivedAt, now)
	}
	m.notifyChanged()
	return nil
}

// checkPrimary fails unless the member is primary in the term. m.mu must be held.
func (m *Member) checkPrimary(term uint64) error {
	if m.grant.Term > term {
		return m.staleTermError()
	}
	if m.grant.Term < term || m.grant.Role != egret.RolePrimary {
		return Errorf(CodeWrongRole, "member %s is not primary in term %d", m.Name, term)
	}
	return nil
}
