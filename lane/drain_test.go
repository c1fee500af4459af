package lane

import (
	"context"
	"testing"
	"time"

	"egretlane.example/egret"
)

// TestDrainAnswersRunningStatements guards against statements, above all of other proxies, that are cut when the time for the
// shutdown is over, so that nobody learns what became of them.
func TestDrainAnswersRunningStatements(t *testing.T) {
	for _, query := range []string{"SELECT hang", "SELECT 1"} {
		t.Run(query, func(t *testing.T) {
			b := newTestbed(t)
			m, peers := b.startProxy("proxy-1")
			transact(t, m, optionsFor(false), simple("SELECT 1"))
			o := optionsFor(false)
			o.Budget = time.Minute
			tx, err := m.Begin(t.Context(), o)
			if err != nil {
				t.Fatal(err)
			}
			defer tx.Close()
			drop := func([]byte) error {
				return nil
			}
			if query != "SELECT hang" {
				// The statement waits for a slot.
				for range 2 {
					go transact(t, m, o, simple("SELECT hang"))
				}
				b.eventually("both slots in use", func() bool {
					return m.Status()[0].Running == 2
				})
			}
			answered := make(chan error, 1)
			go func() {
				_, err := tx.Exchange(t.Context(), simple(query), drop)
				answered <- err
			}()
			b.eventually("the statement", func() bool {
				s := m.Status()[0]
				return s.Running == 1 || s.Queued == 1
			})
			peers.setLive(node("proxy-2"))
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if err := m.Drain(ctx); err != nil {
				t.Errorf("Drain() = %v", err)
			}
			select {
			case err := <-answered:
				if f := failureOf(t, err); f.Outcome != egret.OutcomeNotRun {
					t.Errorf("failure = %v, want not run", f)
				}
			case <-time.After(5 * time.Second):
				t.Error("the statement got no answer")
			}
		})
	}
}
