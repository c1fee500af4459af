package floor

import (
	"cmp"
	"slices"
)

// SessionCommits holds the newest commit of a session on each service. The route of a session may lead to another service and
// back, and its reads have to see its own commits on each of them.
//
// The zero SessionCommits is empty and ready to use. It grows with the services on which the session has committed, which only
// the operators' changes of its route add to.
type SessionCommits struct {
	// commits has at most one element for each service, ordered by service.
	commits []serviceCommit
}

// serviceCommit is the newest commit of a session on a service.
type serviceCommit struct {
	service string
	commit  SessionCommit
}

// Newest returns the session's newest commit on the service, or the zero SessionCommit if there is none.
func (s *SessionCommits) Newest(service string) SessionCommit {
	i, found := s.find(service)
	if !found {
		return SessionCommit{}
	}
	return s.commits[i].commit
}

// Record records an acknowledged commit on the service. A commit without a position, or below the newest one of the same
// term, changes nothing.
func (s *SessionCommits) Record(service string, c SessionCommit) {
	if c.Position.IsZero() {
		return
	}
	i, found := s.find(service)
	if !found {
		s.commits = slices.Insert(s.commits, i, serviceCommit{
			service: service,
			commit:  c,
		})
		return
	}
	if newest := s.commits[i].commit; c.Term != newest.Term || c.Position.Compare(newest.Position) > 0 {
		s.commits[i].commit = c
	}
}

func (s *SessionCommits) find(service string) (int, bool) {
	return slices.BinarySearchFunc(s.commits, service, func(c serviceCommit, name string) int {
		return cmp.Compare(c.service, name)
	})
}
