package floor

import "testing"

// TestSessionCommits guards against a session's commit that hides those on other services, and against one that is replaced by an
// older one or by an answer without a position.
func TestSessionCommits(t *testing.T) {
	s := SessionCommits{}
	record := func(service string, term, offset uint64) {
		s.Record(service, SessionCommit{
			Position: position(term, offset),
			Term:     term,
		})
	}
	expect := func(service string, term, offset uint64) {
		t.Helper()
		if got := s.Newest(service); got.Position != position(term, offset) || got.Term != term {
			t.Errorf("newest commit on %s: %+v, want %d/%d", service, got, term, offset)
		}
	}
	expect("b", 0, 0)
	record("b", 1, 5)
	record("a", 1, 7)
	expect("b", 1, 5)
	expect("a", 1, 7)
	record("a", 1, 6)
	record("a", 0, 0)
	expect("a", 1, 7)
	record("a", 2, 3)
	record("a", 2, 4)
	expect("a", 2, 4)
	expect("b", 1, 5)
	expect("c", 0, 0)
}
