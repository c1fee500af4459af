package group

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"egretlane.example/egret"
)

// With synchronous replicas, an acknowledged commit is in the logs of the primary and of as many replicas as the operator
// has set. A member is only promoted if its log has every acknowledged commit: otherwise the service waits for a member
// that has them, until the operator gives up synchronous replicas. A holder knows which commits it acknowledged itself.
// A commit of a former holder is on one member more than there are synchronous replicas. If no more members than these are
// silent, one that answers has it.

// hasCommits reports whether the log of the reporting member has every acknowledged commit, or need not.
func (l *Lane) hasCommits(candidate statusReport, reports []statusReport) bool {
	l.mu.Lock()
	required, complete := l.syncReplicas, l.historyComplete
	newest := l.history.Newest()
	unseen := l.unseenMembers(reports)
	l.mu.Unlock()
	if required == 0 || complete && candidate.status.Received.Reaches(newest) {
		return true
	}
	for _, r := range reports {
		if r.err == nil && !candidate.status.Received.Reaches(r.status.Received) {
			return false
		}
	}
	return unseen <= required
}

// unseenMembers returns how many members may have acknowledged commits and have not reported the end of their log. A lane
// that has not had a primary yet counts the present members too. The caller holds mu.
func (l *Lane) unseenMembers(reports []statusReport) int {
	expected := maps.Clone(l.committed)
	if !l.historyComplete {
		for id, m := range l.members {
			if _, found := expected[id]; !found {
				expected[id] = knownMember(m)
			}
		}
		if id := l.Lease.Primary(); id != "" && expected[id].ID == "" {
			expected[id] = egret.KnownMember{
				ID: id,
			}
		}
	}
	unseen := 0
	for _, k := range expected {
		seen := slices.ContainsFunc(reports, func(r statusReport) bool {
			b := r.member.backend
			sameProcess := b.ID == k.ID && b.StartTime.Equal(k.StartTime)
			return r.err == nil && (sameProcess || k.Draining && b.ID != k.ID && b.Address == k.Address)
		})
		if !seen {
			unseen++
		}
	}
	return unseen
}

// knownMember returns the member as the next holder has to know it.
func knownMember(m *member) egret.KnownMember {
	return egret.KnownMember{
		ID:        m.id,
		StartTime: m.backend.StartTime,
		Address:   m.backend.Address,
		Draining:  m.backend.Draining,
	}
}

// loadCommitted sets committed to what the former holder has recorded.
func (l *Lane) loadCommitted() {
	members := l.Lease.Members()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range members {
		l.committed[k.ID] = k
	}
}

// updateCommitted adds the members of a group whose primary is known to committed. A member that has left is removed once so
// many replicas have every commit that it isn't needed. The caller holds mu.
func (l *Lane) updateCommitted() {
	if l.syncReplicas == 0 {
		return
	}
	current := 0
	for id, m := range l.members {
		k, found := l.committed[id]
		switch {
		case l.hasPrimary:
			l.committed[id] = knownMember(m)
		case found:
			k.Draining = k.Draining || m.backend.Draining
			l.committed[id] = k
		}
		if id != l.primary && m.view.Position.Reaches(l.history.Newest()) {
			current++
		}
	}
	if !l.hasPrimary || current < l.syncReplicas {
		return
	}
	for id := range l.committed {
		if l.members[id] == nil {
			delete(l.committed, id)
		}
	}
}

// recordCommitted records committed for the next holder if it has changed. Only Run calls it.
func (l *Lane) recordCommitted(ctx context.Context) {
	l.mu.Lock()
	known := []egret.KnownMember{}
	for _, k := range l.committed {
		known = append(known, k)
	}
	l.mu.Unlock()
	slices.SortFunc(known, func(a, b egret.KnownMember) int { return cmp.Compare(a.ID, b.ID) })
	equal := func(a, b egret.KnownMember) bool {
		return a.StartTime.Equal(b.StartTime) && a.ID == b.ID && a.Address == b.Address && a.Draining == b.Draining
	}
	if slices.EqualFunc(known, l.Lease.Members(), equal) || time.Since(l.committedTried) < recordRetryInterval {
		return
	}
	l.committedTried = time.Now()
	err := l.Lease.SetMembers(ctx, known)
	l.EventLog.Event("members-recorded").Str("service", l.Service).Int("members", len(known)).Err(err).Msg("asked the store to record the members that may have acknowledged commits")
}
