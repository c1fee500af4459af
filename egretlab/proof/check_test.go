package proof

import (
	"fmt"
	"testing"
	"time"

	"egretlane.example/egret/egretlab/pgsim"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// mark names a write in the logs: an order's insert by its ID, a change by its unique item.
type mark struct {
	action action
	key    string
}

func markOf(e record) mark {
	if e.action == insert {
		return mark{
			action: insert,
			key:    e.id,
		}
	}
	return mark{
		action: update,
		key:    e.item,
	}
}

// trace says where a write stands in a log.
type trace struct {
	// count is how often the write is there.
	count int

	// term is that of the last time.
	term uint64
}

// marks indexes a log by write.
func marks(entries []walog.Entry) map[mark]trace {
	index := map[mark]trace{}
	for _, e := range entries {
		for _, c := range e.Changes {
			m := mark{
				action: insert,
				key:    c.ID,
			}
			switch c.Operation {
			case walog.Update:
				m.action = update
				m.key = c.Item
			case walog.Delete:
				continue
			}
			index[m] = trace{
				count: index[m].count + 1,
				term:  e.Term,
			}
		}
	}
	return index
}

// verdict counts the violations found in a history.
type verdict struct {
	// lost are acknowledged writes that the final primary's log lacks.
	lost int

	// doubled are writes that a log has more than once.
	doubled int

	// ranAnyway are writes that were called not run and are in a member's log.
	ranAnyway int

	// superseded are writes acknowledged after the promotion whose entry is of an earlier term.
	superseded int

	// twice are orders refused as duplicates although their caller sent them once.
	twice int
}

// promotion is a new term as the test saw it.
type promotion struct {
	// term is the new term.
	term uint64

	// seen is when the test knew of it, since the recorder's start.
	seen time.Duration
}

// history is what a test holds against the members' logs.
type history struct {
	records []record

	// final is the log of the primary at the end, others the logs of all members.
	final  []walog.Entry
	others [][]walog.Entry

	// promotions are in the order of terms.
	promotions []promotion
}

// check compares the records with the logs.
func (h *history) check() verdict {
	v := verdict{}
	final := marks(h.final)
	anywhere := map[mark]int{}
	for _, entries := range append(h.others, h.final) {
		for m, s := range marks(entries) {
			anywhere[m] = max(anywhere[m], s.count)
		}
	}
	tried := map[mark]bool{}
	for _, e := range h.records {
		if e.outcome == acknowledged || e.outcome == unknown {
			tried[markOf(e)] = true
		}
	}
	for _, e := range h.records {
		if e.outcome == notRun && tried[markOf(e)] {
			// The caller sent it again.
			continue
		}
		if e.action != read {
			h.checkWrite(&v, e, final[markOf(e)], anywhere[markOf(e)])
		}
	}
	return v
}

func (h *history) checkWrite(v *verdict, e record, final trace, anywhere int) {
	if final.count > 1 || anywhere > 1 {
		v.doubled++
	}
	switch e.outcome {
	case acknowledged:
		if final.count == 0 {
			v.lost++
			return
		}
		for _, p := range h.promotions {
			if e.call > p.seen && final.term < p.term {
				v.superseded++
			}
		}
	case notRun:
		if anywhere > 0 {
			v.ranAnyway++
		}
	case rejected:
		if e.action == insert && codeOf(e.err) == "23505" {
			v.twice++
		}
	}
}

// history collects the logs of all members that answer.
func (c *cluster) history(records []record, promotions ...promotion) *history {
	c.t.Helper()
	h := &history{
		records:    records,
		promotions: promotions,
	}
	leader, _ := c.primary()
	if leader == nil {
		c.t.Fatal("no primary at the end")
	}
	for _, m := range c.members {
		entries, err := m.entries()
		if err != nil {
			c.t.Fatalf("log of %s: %v", m.name, err)
		}
		if m == leader {
			h.final = entries
			continue
		}
		h.others = append(h.others, entries)
	}
	return h
}

// wantClean fails the test if the history has any violation.
func (c *cluster) wantClean(t testing.TB, records []record, promotions ...promotion) {
	t.Helper()
	if v := c.history(records, promotions...).check(); v != (verdict{}) {
		t.Errorf("violations found: %+v", v)
	}
}

// waitEqualLogs waits until all members have one log, and returns how long that took.
func (c *cluster) waitEqualLogs() time.Duration {
	c.t.Helper()
	return until(c.t, 20*time.Second, "equal logs", func() error {
		want := ""
		for _, m := range c.members {
			entries, err := m.entries()
			if err != nil {
				return err
			}
			if len(entries) == 0 {
				return fmt.Errorf("%s has no log", m.name)
			}
			last := entries[len(entries)-1]
			end := fmt.Sprintf("%d/%d", last.Term, last.Offset)
			if want == "" {
				want = end
			}
			if end != want {
				return fmt.Errorf("%s ends at %s, another at %s", m.name, end, want)
			}
		}
		return nil
	})
}

// waitApplied waits until the reads of all members see the whole log.
func (c *cluster) waitApplied() {
	c.t.Helper()
	until(c.t, 20*time.Second, "applied logs", func() error {
		end := pgsim.LogPosition{}
		for i, m := range c.members {
			s, err := m.state()
			if err != nil {
				return err
			}
			if i == 0 {
				end = s.Received
			}
			if s.Applied != end {
				return fmt.Errorf("%s has applied %v of %v", m.name, s.Applied, end)
			}
		}
		return nil
	})
}
