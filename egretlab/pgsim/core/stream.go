package core

import (
	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// Spans returns where the terms of the log end.
func (m *Member) Spans() []walog.Span {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.Spans()
}

// Common returns the last position that the log shares with that of a replica. It fails unless the
// member is primary in the term.
func (m *Member) Common(term uint64, spans []walog.Span) (egret.Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.leads(term); err != nil {
		return egret.Position{}, err
	}
	return m.log.Common(spans), nil
}

// Tail returns the log beyond the offset, and a channel that is closed at the next change. It fails
// when the member is no longer primary in the term.
func (m *Member) Tail(term uint64, offset uint64) ([]walog.Entry, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.leads(term); err != nil {
		return nil, nil, err
	}
	return m.log.From(offset), m.changed, nil
}

// CutTo drops the log beyond the offset, because the primary of the grant's term doesn't have it.
// It fails when the grant is no longer the member's.
func (m *Member) CutTo(g walog.Grant, offset uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g != m.grant {
		return m.refuseTerm()
	}
	if offset >= m.log.End().Offset {
		return nil
	}
	if err := m.log.Truncate(offset); err != nil {
		return Refuse(CodeStorage, "%s", err)
	}
	if offset < m.applied.Offset {
		m.rebuild(offset)
	}
	m.arrivals = m.arrivals[:offset-m.applied.Offset]
	m.notify()
	return nil
}

// Receive adds entries from the primary of the grant's term. It fails when the grant is no longer
// the member's.
func (m *Member) Receive(g walog.Grant, entries []walog.Entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g != m.grant {
		return m.refuseTerm()
	}
	now := m.Now()
	for _, e := range entries {
		if e.Term > g.Term {
			return Refuse(CodeTerm, "entry %s in a stream of term %d", e.Position(), g.Term)
		}
		if err := m.log.Append(e); err != nil {
			return Refuse(CodeStorage, "%s", err)
		}
		m.arrivals = append(m.arrivals, now)
	}
	m.notify()
	return nil
}

func (m *Member) leads(term uint64) error {
	if m.grant.Term > term {
		return m.refuseTerm()
	}
	if m.grant.Term < term || m.grant.Role != egret.RolePrimary {
		return Refuse(CodeRole, "member %s is not primary in term %d", m.Name, term)
	}
	return nil
}
