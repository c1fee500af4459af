package front

import (
	"fmt"
	"strings"
	"testing"
)

// TestStoreRestoredAtLowerRevision checks the documented behaviour when a store has lost revisions: proxies keep the
// tables that they have, and follow the store again once its revision is above theirs.
func TestStoreRestoredAtLowerRevision(t *testing.T) {
	s := startSet(t, options{})
	for budget := range 3 {
		s.applyBudget(budget + 1)
	}
	s.awaitRevision(4)
	s.storeProcess.stop()
	s.startStore()
	for budget := range 4 {
		s.applyBudget(budget + 1)
		out, status := s.egretctl("status", "--all", "--proxy", s.proxies[0].peerAddress.String())
		if want := fmt.Sprintf("store: revision %d", budget+1); status != 0 || !strings.Contains(out, want) {
			t.Errorf("exit status %d, the output lacks %q:\n%s", status, want, out)
		}
		s.awaitRevision(4)
	}
	if _, err := s.connect(0, "").Exec(stepContext(t), "SELECT 1"); err != nil {
		t.Error(err)
	}
	s.applyBudget(9)
	s.awaitRevision(5)
}

// applyBudget applies tables in which a route has another budget: 2 s and the given number more.
func (s *set) applyBudget(extraSeconds int) {
	s.t.Helper()
	changed := strings.Replace(readFile(s.t, s.path("tables.yaml")), "budget: 2s", fmt.Sprintf("budget: %ds", extraSeconds+2), 1)
	s.writeFile("changed.yaml", changed)
	eventually(s.t, "the store to take the tables", func() error {
		if out, status := s.egretctl("--timeout", "5s", "apply", s.path("changed.yaml")); status != 0 {
			return fmt.Errorf("exit status %d: %s", status, out)
		}
		return nil
	})
}

// awaitRevision waits until each proxy uses the tables of the revision.
func (s *set) awaitRevision(revision int) {
	s.t.Helper()
	for i := range s.proxies {
		eventually(s.t, "the revision of the tables", func() error {
			_, metrics, err := s.getHTTP(i, "/metrics")
			if want := fmt.Sprintf("egretlane_tables_revision %d\n", revision); err == nil && !strings.Contains(metrics, want) {
				err = fmt.Errorf("no line %q", want)
			}
			return err
		})
	}
}
