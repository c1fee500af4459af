package front

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
)

// TestShutdownAnswersOtherProxies guards against statements of other proxies that are cut with the lane they run on, with an unknown
// outcome, since a caller of the leaving proxy that doesn't read its answer uses up the grace period.
func TestShutdownAnswersOtherProxies(t *testing.T) {
	s := startSet(t, options{
		Flags: []string{"--shutdown-grace", "4s"},
	})
	s.insertLargeResult()
	for i := range s.proxies {
		// A statement opens the lane of the primary at its holder.
		if _, err := s.connect(i, "").PgConn().Exec(stepContext(t), "SELECT 1 /*kind='write'*/").ReadAll(); err != nil {
			t.Fatal(err)
		}
	}
	holder := 0
	if !strings.Contains(s.proxies[0].logText(), `"member":"member-1","message":"lane opened"`) {
		holder = 1
	}
	conn := s.connect(1-holder, "").PgConn()
	if _, err := conn.Exec(stepContext(t), "BEGIN").ReadAll(); err != nil {
		t.Fatal(err)
	}
	s.sendQuery(holder, "SELECT id, item FROM orders ORDER BY id")
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Exec(stepContext(t), "SELECT pg_sleep(9)").ReadAll()
		ended <- err
	}()
	eventually(t, "two statements to run", func() error {
		if n := s.runningStatements(); n < 2 {
			return fmt.Errorf("%v statements are running", n)
		}
		return nil
	})
	s.signal(s.proxies[holder].process, syscall.SIGTERM)
	wantCode(t, "a statement on a lane of the leaving proxy", <-ended, "57P03")
	<-s.proxies[holder].ended
}
