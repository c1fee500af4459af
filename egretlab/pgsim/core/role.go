package core

import (
	"context"
	"net/netip"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// Fence grants the term. From then on the member accepts no writes and no log entries of streams in
// earlier terms. A term can be granted once only.
func (m *Member) Fence(term uint64) (State, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term <= m.grant.Term {
		return State{}, m.staleTermError()
	}
	err := m.setGrant(walog.Grant{
		Term: term,
		Role: egret.RoleFenced,
	})
	return m.stateLocked(), err
}

// Promote makes a member that is fenced in the term its primary. All received entries are applied, and the
// term's opening entry is appended. Promoting the primary again in the same term has no effect.
func (m *Member) Promote(term uint64) (State, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.grant.Term > term {
		return State{}, m.staleTermError()
	}
	if m.grant.Term < term || m.grant.Role == egret.RoleReplica {
		return State{}, Errorf(CodeWrongRole, "member %s is not fenced in term %d", m.Name, term)
	}
	if m.grant.Role == egret.RolePrimary {
		return m.stateLocked(), nil
	}
	m.applyNext(len(m.receivedAt))
	err := m.setGrant(walog.Grant{
		Term: term,
		Role: egret.RolePrimary,
	})
	if err != nil {
		return State{}, err
	}
	if err := m.ensureOpening(); err != nil {
		return State{}, Errorf(CodeIOError, "%s", err)
	}
	return m.stateLocked(), nil
}

// Follow makes the member a replica of the primary at the address, in the term. When it connects to the
// primary, entries that the primary doesn't have are truncated from the log.
func (m *Member) Follow(term uint64, primary netip.AddrPort) (State, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.grant.Term > term {
		return State{}, m.staleTermError()
	}
	if m.grant.Term == term && m.grant.Role == egret.RolePrimary {
		return State{}, Errorf(CodeWrongRole, "member %s is primary in term %d", m.Name, term)
	}
	g := walog.Grant{
		Term:     term,
		Role:     egret.RoleReplica,
		Upstream: primary,
	}
	if g == m.grant {
		return m.stateLocked(), nil
	}
	err := m.setGrant(g)
	return m.stateLocked(), err
}

// AppliedPosition returns the applied position. On a primary that is the end of the log.
func (m *Member) AppliedPosition() egret.Position {
	return m.State().Applied
}

// Require waits until the applied position reaches the floor. It fails after the timeout.
func (m *Member) Require(ctx context.Context, floor egret.Position, timeout time.Duration) error {
	s, err := m.waitForState(ctx, timeout, func(s State) bool {
		return s.Applied.Reaches(floor)
	})
	if err != nil {
		return err
	}
	if !s.Applied.Reaches(floor) {
		return Errorf(CodeFloorTimeout, "member %s has applied %s and not reached %s in %s", m.Name, s.Applied, floor, timeout)
	}
	return nil
}

// Await waits until the member has received the position in the position's term, or is in another term, or
// the timeout has passed. The returned state shows which.
func (m *Member) Await(ctx context.Context, p egret.Position, timeout time.Duration) (State, error) {
	return m.waitForState(ctx, timeout, func(s State) bool {
		if s.Grant.Term != p.Term {
			return true
		}
		return s.Received.Term == p.Term && s.Received.Offset >= p.Offset
	})
}

// waitForState returns the first state that meets the condition, or the state after the timeout.
func (m *Member) waitForState(ctx context.Context, timeout time.Duration, met func(s State) bool) (State, error) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	for {
		m.mu.Lock()
		s, changed := m.stateLocked(), m.changed
		m.mu.Unlock()
		if met(s) {
			return s, nil
		}
		select {
		case <-ctx.Done():
			return s, context.Cause(ctx)
		case <-t.C:
			return m.State(), nil
		case <-changed:
		}
	}
}

// formatAddress returns "" for an invalid address.
func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}
