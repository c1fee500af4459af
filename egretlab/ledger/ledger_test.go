package ledger

import (
	"slices"
	"testing"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/dbsim"
)

// scenario feeds a ledger with events, under a manual clock.
type scenario struct {
	*Ledger
	now time.Time
}

func newScenario() *scenario {
	s := &scenario{
		now: time.Unix(1000, 0),
	}
	s.Ledger = &Ledger{
		Now: func() time.Time {
			return s.now
		},
	}
	s.AllowRoute("db", "orders")
	return s
}

func (s *scenario) advance(d time.Duration) {
	s.now = s.now.Add(d)
}

// commit records an acknowledged write.
func (s *scenario) commit(c *Session, id string, p egret.Position) {
	s.RecordSent(c, id, "WRITE a x", time.Time{}, "")
	s.Committed(dbsim.Commit{Service: "orders", Member: "m", ID: id, Position: p})
	s.Executed(dbsim.Execution{Service: "orders", Member: "m", ID: id, Text: "WRITE a x", Signature: "s" + id})
	s.RecordAnswer(id, nil, "s"+id, "")
}

// read records a read at a member that has applied the log up to a position.
func (s *scenario) read(c *Session, id string, applied egret.Position) {
	s.RecordSent(c, id, "READ a", time.Time{}, "")
	s.recordRead(id, applied)
}

func (s *scenario) recordRead(id string, applied egret.Position) {
	s.Executed(dbsim.Execution{
		Service: "orders", Member: "m", ID: id, Text: "READ a", Signature: "s" + id, Rows: []string{"x"}, Reads: true,
		Holds: func(p egret.Position) bool {
			return p.Term <= applied.Term && p.Offset <= applied.Offset
		},
	})
}

func position(term, number uint64) egret.Position {
	return egret.Position{Term: term, Offset: number}
}

// TestLedger checks for each rule a scenario that it forbids, and similar ones that it allows.
func TestLedger(t *testing.T) {
	primary := func() *Session { return &Session{Database: "db", Kind: egret.ConsistencyPrimary} }
	bounded := func() *Session {
		return &Session{Database: "db", Kind: egret.ConsistencyBounded, MaxAge: time.Second}
	}
	own := func() *Session {
		return &Session{Database: "db", Kind: egret.ConsistencySession, MaxAge: time.Second}
	}
	for _, c := range []struct {
		name  string
		rule  string
		steps func(s *scenario)
	}{
		{name: "read behind a commit", rule: "STALE", steps: func(s *scenario) {
			s.commit(primary(), "w", position(1, 5))
			s.advance(time.Millisecond)
			s.read(primary(), "r", position(1, 4))
		}},
		{name: "read of what is applied", steps: func(s *scenario) {
			s.commit(primary(), "w", position(1, 5))
			s.advance(time.Millisecond)
			s.read(primary(), "r", position(1, 5))
		}},
		{name: "read that was sent before the answer", steps: func(s *scenario) {
			s.RecordSent(primary(), "r", "READ a", time.Time{}, "")
			s.advance(time.Millisecond)
			s.commit(primary(), "w", position(1, 5))
			s.recordRead("r", position(1, 4))
		}},
		{name: "bounded read inside its age", steps: func(s *scenario) {
			s.commit(primary(), "w", position(1, 5))
			s.advance(time.Second / 2)
			s.read(bounded(), "r", position(1, 4))
		}},
		{name: "bounded read beyond its age", rule: "STALE", steps: func(s *scenario) {
			s.commit(primary(), "w", position(1, 5))
			s.advance(2 * time.Second)
			s.read(bounded(), "r", position(1, 4))
		}},
		{name: "session behind its own commit", rule: "STALE", steps: func(s *scenario) {
			c := own()
			s.commit(c, "w", position(1, 5))
			s.advance(time.Millisecond)
			s.read(c, "r", position(1, 4))
		}},
		{name: "session behind the commit of another", steps: func(s *scenario) {
			s.commit(own(), "w", position(1, 5))
			s.advance(time.Millisecond)
			s.read(own(), "r", position(1, 4))
		}},
		{name: "read without what was rolled back", steps: func(s *scenario) {
			c := own()
			s.commit(c, "w", position(1, 5))
			s.Promoted(dbsim.Promotion{Service: "orders", Member: "n", Term: 2, KeptEntries: 4})
			s.advance(time.Millisecond)
			s.read(c, "r", position(2, 4))
		}},
		{name: "write committed twice", rule: "TWICE", steps: func(s *scenario) {
			s.commit(primary(), "w", position(1, 5))
			s.Committed(dbsim.Commit{Service: "orders", Member: "m", ID: "w", Position: position(1, 6)})
		}},
		{name: "refused write in the log", rule: "REFUSED", steps: func(s *scenario) {
			s.RecordSent(primary(), "w", "WRITE a x", time.Time{}, "")
			s.RecordAnswer("w", nil, "", "BUSY no time left")
			s.CheckLogs(map[string][]*dbsim.Entry{"orders": {{ID: "w"}}}, nil)
		}},
		{name: "write in doubt in the log", steps: func(s *scenario) {
			s.RecordSent(primary(), "w", "WRITE a x", time.Time{}, "")
			s.RecordAnswer("w", nil, "", "INDOUBT no answer")
			s.CheckLogs(map[string][]*dbsim.Entry{"orders": {{ID: "w"}}}, nil)
		}},
		{name: "write acknowledged after another member was promoted", rule: "ONE", steps: func(s *scenario) {
			s.RecordSent(primary(), "w", "WRITE a x", time.Time{}, "")
			s.Committed(dbsim.Commit{Service: "orders", Member: "m", ID: "w", Position: position(1, 5), Superseded: true})
			s.Executed(dbsim.Execution{Service: "orders", Member: "m", ID: "w", Text: "WRITE a x", Signature: "sw"})
			s.RecordAnswer("w", nil, "sw", "")
		}},
		{name: "lower token", rule: "ONE", steps: func(s *scenario) {
			s.CheckPromotionOrder("orders", "a", 7)
			s.CheckPromotionOrder("orders", "b", 6)
		}},
		{name: "token of two holders", rule: "ONE", steps: func(s *scenario) {
			s.CheckPromotionOrder("orders", "a", 7)
			s.CheckPromotionOrder("orders", "b", 7)
		}},
		{name: "holder that repeats its order", steps: func(s *scenario) {
			s.CheckPromotionOrder("orders", "a", 7)
			s.CheckPromotionOrder("orders", "a", 7)
			s.CheckPromotionOrder("orders", "b", 8)
		}},
		{name: "synchronous commit missing from the log", rule: "LOST", steps: func(s *scenario) {
			s.commit(primary(), "w", position(1, 5))
			s.CheckLogs(map[string][]*dbsim.Entry{"orders": {}}, map[string]bool{"orders": true})
		}},
		{name: "answer of another request", rule: "MIXED", steps: func(s *scenario) {
			s.read(primary(), "r", position(1, 0))
			s.RecordSent(primary(), "q", "READ a", time.Time{}, "")
			s.RecordAnswer("q", []string{"x"}, "sr", "")
		}},
		{name: "changed text", rule: "UNASKED", steps: func(s *scenario) {
			s.RecordSent(primary(), "w", "WRITE a y", time.Time{}, "")
			s.Executed(dbsim.Execution{Service: "orders", Member: "m", ID: "w", Text: "WRITE a x"})
		}},
		{name: "other service", rule: "ROUTE", steps: func(s *scenario) {
			s.RecordSent(primary(), "w", "WRITE a y", time.Time{}, "")
			s.Executed(dbsim.Execution{Service: "stock", Member: "m", ID: "w", Text: "WRITE a y"})
		}},
		{name: "values of another session", rule: "PINNED", steps: func(s *scenario) {
			s.RecordSent(primary(), "w", "WRITE a y", time.Time{}, "")
			s.Executed(dbsim.Execution{Service: "orders", Member: "m", ID: "w", Text: "WRITE a y", Values: map[string]string{"v": "1"}})
		}},
		{name: "values of the time when it was sent", steps: func(s *scenario) {
			c := primary()
			s.RecordSent(c, "r", "READ a", time.Time{}, "")
			s.RecordAnswer("r", nil, "", "TIMEOUT no answer")
			s.RecordSent(c, "v", "SET v 1", time.Time{}, "")
			s.RecordAnswer("v", nil, "-", "")
			s.recordRead("r", position(1, 0))
		}},
		{name: "shape of another session", rule: "PINNED", steps: func(s *scenario) {
			c := primary()
			s.RecordSent(c, "p", "PREPARE s1 READ q1", time.Time{}, "")
			s.RecordAnswer("p", nil, "-", "")
			s.RecordSent(c, "e", "EXECUTE s1 a", time.Time{}, "")
			s.Executed(dbsim.Execution{Service: "orders", Member: "m", ID: "e", Text: "EXECUTE p9 a", Shape: "q2"})
		}},
		{name: "transaction of another session", rule: "PINNED", steps: func(s *scenario) {
			for _, id := range []string{"a", "b"} {
				s.RecordSent(primary(), id, "READ a", s.now, "t"+id)
				s.Executed(dbsim.Execution{Service: "orders", Member: "m", ID: id, Text: "READ a", Transaction: 3})
			}
		}},
		{name: "first statement without an answer in a new transaction", steps: func(s *scenario) {
			c := primary()
			s.RecordSent(c, "a", "READ a", s.now, "t")
			for n := range uint64(2) {
				s.Executed(dbsim.Execution{Service: "orders", Member: "m", ID: "a", Text: "READ a", Signature: "s", Transaction: 3 + n})
			}
			s.RecordAnswer("a", nil, "s", "")
			s.RecordSent(c, "b", "READ a", s.now, "t")
			s.Executed(dbsim.Execution{Service: "orders", Member: "m", ID: "b", Text: "READ a", Transaction: 4})
		}},
		{name: "later statement in a new transaction", rule: "PINNED", steps: func(s *scenario) {
			c := primary()
			s.RecordSent(c, "a", "READ a", s.now, "t")
			s.Executed(dbsim.Execution{Service: "orders", Member: "m", ID: "a", Text: "READ a", Signature: "s", Transaction: 3})
			s.RecordAnswer("a", nil, "s", "")
			s.RecordSent(c, "b", "READ a", s.now, "t")
			s.Executed(dbsim.Execution{Service: "orders", Member: "m", ID: "b", Text: "READ a", Transaction: 4})
		}},
		{name: "answered statement in a new transaction", rule: "PINNED", steps: func(s *scenario) {
			s.RecordSent(primary(), "a", "READ a", s.now, "t")
			s.Executed(dbsim.Execution{Service: "orders", Member: "m", ID: "a", Text: "READ a", Signature: "s", Transaction: 3})
			s.RecordAnswer("a", nil, "s", "")
			s.Executed(dbsim.Execution{Service: "orders", Member: "m", ID: "a", Text: "READ a", Transaction: 4})
		}},
		{name: "statement outside its transaction", rule: "PINNED", steps: func(s *scenario) {
			s.RecordSent(primary(), "a", "READ a", s.now, "t")
			s.Executed(dbsim.Execution{Service: "orders", Member: "m", ID: "a", Text: "READ a"})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScenario()
			c.steps(s)
			found := []string{}
			for _, v := range s.Violations() {
				found = append(found, v.Rule)
			}
			want := []string{}
			if c.rule != "" {
				want = append(want, c.rule)
			}
			if !slices.Equal(found, want) {
				t.Errorf("found %q, want %q: %+v", found, want, s.Violations())
			}
		})
	}
}
