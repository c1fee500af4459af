package core

import (
	"context"
	"net/netip"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// Fence grants the term. From then on the member takes no writes and no log of an earlier term. A
// term is granted once.
func (m *Member) Fence(term uint64) (State, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term <= m.grant.Term {
		return State{}, m.refuseTerm()
	}
	err := m.setGrant(walog.Grant{
		Term: term,
		Role: egret.RoleFenced,
	})
	return m.state(), err
}

// Promote makes a member primary that is fenced in the term. What it received is applied, and its
// term opens with an entry. Repeated in the same term it changes nothing.
func (m *Member) Promote(term uint64) (State, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.grant.Term > term {
		return State{}, m.refuseTerm()
	}
	if m.grant.Term < term || m.grant.Role == egret.RoleReplica {
		return State{}, Refuse(CodeRole, "member %s is not fenced in term %d", m.Name, term)
	}
	if m.grant.Role == egret.RolePrimary {
		return m.state(), nil
	}
	m.apply(len(m.arrivals))
	err := m.setGrant(walog.Grant{
		Term: term,
		Role: egret.RolePrimary,
	})
	if err != nil {
		return State{}, err
	}
	if err := m.openTerm(); err != nil {
		return State{}, Refuse(CodeStorage, "%s", err)
	}
	return m.state(), nil
}

// Follow makes the member a replica of the primary at the address, in the term. The log is cut to
// the primary's when the member reaches it.
func (m *Member) Follow(term uint64, primary netip.AddrPort) (State, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.grant.Term > term {
		return State{}, m.refuseTerm()
	}
	if m.grant.Term == term && m.grant.Role == egret.RolePrimary {
		return State{}, Refuse(CodeRole, "member %s is primary in term %d", m.Name, term)
	}
	g := walog.Grant{
		Term:     term,
		Role:     egret.RoleReplica,
		Upstream: primary,
	}
	if g == m.grant {
		return m.state(), nil
	}
	err := m.setGrant(g)
	return m.state(), err
}

// Position returns the end of the log on a primary, and the applied position elsewhere.
func (m *Member) Position() egret.Position {
	return m.State().Applied
}

// Require returns when the applied position reaches the floor. After wait it fails.
func (m *Member) Require(ctx context.Context, floor egret.Position, wait time.Duration) error {
	s, err := m.waitFor(ctx, wait, func(s State) bool {
		return s.Applied.Reaches(floor)
	})
	if err != nil {
		return err
	}
	if !s.Applied.Reaches(floor) {
		return Refuse(CodeFloor, "member %s has applied %s and not reached %s in %s", m.Name, s.Applied, floor, wait)
	}
	return nil
}

// Await returns when the member has received the position in its term, or has granted another term,
// or after wait. The state tells which.
func (m *Member) Await(ctx context.Context, p egret.Position, wait time.Duration) (State, error) {
	return m.waitFor(ctx, wait, func(s State) bool {
		if s.Grant.Term != p.Term {
			return true
		}
		return s.Received.Term == p.Term && s.Received.Offset >= p.Offset
	})
}

// waitFor returns the first state that meets the condition, or the last after wait.
func (m *Member) waitFor(ctx context.Context, wait time.Duration, met func(s State) bool) (State, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		m.mu.Lock()
		s, changed := m.state(), m.changed
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

func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}
