package front

import (
	"fmt"
	"strings"
	"testing"
)

// TestStoreRestoredAtLowerRevision checks what the operators' page says of a store that has lost
// revisions: proxies keep theirs, and follow again once the store's revision is above it.
func TestStoreRestoredAtLowerRevision(t *testing.T) {
	s := startSet(t, setup{})
	for budget := range 3 {
		s.applyBudget(budget + 1)
	}
	s.waitRevision(4)
	s.storing.stop()
	s.startStore()
	for budget := range 4 {
		s.applyBudget(budget + 1)
		out, status := s.ctl("status", "--all", "--proxy", s.proxies[0].peers.String())
		if want := fmt.Sprintf("store: revision %d", budget+1); status != 0 || !strings.Contains(out, want) {
			t.Errorf("exit status %d, the output lacks %q:\n%s", status, want, out)
		}
		s.waitRevision(4)
	}
	if _, err := s.connect(0, "").Exec(limited(t), "SELECT 1"); err != nil {
		t.Error(err)
	}
	s.applyBudget(9)
	s.waitRevision(5)
}

// applyBudget applies tables in which a route has the budget, in seconds.
func (s *set) applyBudget(seconds int) {
	s.t.Helper()
	changed := strings.Replace(readFile(s.t, s.path("tables.yaml")), "budget: 2s", fmt.Sprintf("budget: %ds", seconds+2), 1)
	s.write("changed.yaml", changed)
	until(s.t, "the store", func() error {
		if out, status := s.ctl("--timeout", "5s", "apply", s.path("changed.yaml")); status != 0 {
			return fmt.Errorf("exit status %d: %s", status, out)
		}
		return nil
	})
}

// waitRevision waits until each proxy has the revision in force.
func (s *set) waitRevision(revision int) {
	s.t.Helper()
	for i := range s.proxies {
		until(s.t, "the revision", func() error {
			_, metrics, err := s.get(i, "/metrics")
			if want := fmt.Sprintf("egretlane_tables_revision %d\n", revision); err == nil && !strings.Contains(metrics, want) {
				err = fmt.Errorf("no line %q", want)
			}
			return err
		})
	}
}
