package proof

import (
	"fmt"
	"testing"
	"time"

	"egretlane.example/egret/egretlab/pgsim"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// writeKey identifies a write in the members' logs: an insert by the order's ID, an update by its unique item.
type writeKey struct {
	action action
	key    string
}

func writeKeyOf(e record) writeKey {
	if e.action == insert {
		return writeKey{
			action: insert,
			key:    e.id,
		}
	}
	return writeKey{
		action: update,
		key:    e.item,
	}
}

// occurrence says how often a write is in a log, and in which term.
type occurrence struct {
	// count is the number of log entries that contain the write.
	count int

	// term is the term of the last of these entries.
	term uint64
}

// indexWrites returns the occurrences of all inserts and updates in a log.
func indexWrites(entries []walog.Entry) map[writeKey]occurrence {
	index := map[writeKey]occurrence{}
	for _, e := range entries {
		for _, c := range e.Changes {
			m := writeKey{
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
			index[m] = occurrence{
				count: index[m].count + 1,
				term:  e.Term,
			}
		}
	}
	return index
}

// violations counts the violations found in a history.
type violations struct {
	// lost are acknowledged writes that are missing in the final primary's log.
	lost int

	// duplicated are writes that are in a log more than once.
	duplicated int

	// falseNotRun are writes that were reported as not run, although a member's log contains them.
	falseNotRun int

	// staleTerm are writes that were acknowledged after a promotion, but whose entry has an earlier term.
	staleTerm int

	// duplicateKey are orders rejected as duplicates although their caller sent them once.
	duplicateKey int
}

// promotion is a change of the primary as the test observed it.
type promotion struct {
	// term is the term of the new primary.
	term uint64

	// observedAt is when the test observed the promotion, as time since the recorder's start.
	observedAt time.Duration
}

// history holds the callers' records of a test and the members' logs to compare them with.
type history struct {
	records []record

	// primaryLog is the log of the final primary. otherLogs are the logs of the other members, and copies of logs
	// that were read earlier in the test.
	primaryLog []walog.Entry
	otherLogs  [][]walog.Entry

	// promotions are in ascending order of terms.
	promotions []promotion
}

// check compares the records with the logs and counts the violations.
func (h *history) check() violations {
	v := violations{}
	final := indexWrites(h.primaryLog)
	maxCounts := map[writeKey]int{}
	for _, entries := range append(h.otherLogs, h.primaryLog) {
		for k, o := range indexWrites(entries) {
			maxCounts[k] = max(maxCounts[k], o.count)
		}
	}
	// A write that was sent again after it was reported as not run may be in the logs.
	mayHaveRun := map[writeKey]bool{}
	for _, e := range h.records {
		if e.outcome == acknowledged || e.outcome == unknown {
			mayHaveRun[writeKeyOf(e)] = true
		}
	}
	for _, e := range h.records {
		if e.outcome == notRun && mayHaveRun[writeKeyOf(e)] {
			continue
		}
		if e.action != read {
			h.checkWrite(&v, e, final[writeKeyOf(e)], maxCounts[writeKeyOf(e)])
		}
	}
	return v
}

// checkWrite counts the violations of one write. final is its occurrence in the final primary's log, and maxCount
// the highest number of its occurrences in any log.
func (h *history) checkWrite(v *violations, e record, final occurrence, maxCount int) {
	if final.count > 1 || maxCount > 1 {
		v.duplicated++
	}
	switch e.outcome {
	case acknowledged:
		if final.count == 0 {
			v.lost++
			return
		}
		for _, p := range h.promotions {
			if e.calledAt > p.observedAt && final.term < p.term {
				v.staleTerm++
			}
		}
	case notRun:
		if maxCount > 0 {
			v.falseNotRun++
		}
	case rejected:
		if e.action == insert && sqlState(e.err) == "23505" {
			v.duplicateKey++
		}
	}
}

// collectHistory reads the logs of all members. The test fails if a member does not answer.
func (c *cluster) collectHistory(records []record, promotions ...promotion) *history {
	c.t.Helper()
	h := &history{
		records:    records,
		promotions: promotions,
	}
	primary, _ := c.primary()
	if primary == nil {
		c.t.Fatal("no member is primary at the end of the test")
	}
	for _, m := range c.members {
		entries, err := m.logEntries()
		if err != nil {
			c.t.Fatalf("log of %s: %v", m.name, err)
		}
		if m == primary {
			h.primaryLog = entries
			continue
		}
		h.otherLogs = append(h.otherLogs, entries)
	}
	return h
}

// wantNoViolations fails the test if the history has any violation.
func (c *cluster) wantNoViolations(t testing.TB, records []record, promotions ...promotion) {
	t.Helper()
	if v := c.collectHistory(records, promotions...).check(); v != (violations{}) {
		t.Errorf("violations found: %+v", v)
	}
}

// waitEqualLogs waits until the logs of all members end at the same position, and returns how long that took.
func (c *cluster) waitEqualLogs() time.Duration {
	c.t.Helper()
	return waitUntil(c.t, 20*time.Second, "equal logs on all members", func() error {
		want := ""
		for _, m := range c.members {
			entries, err := m.logEntries()
			if err != nil {
				return err
			}
			if len(entries) == 0 {
				return fmt.Errorf("the log of %s is empty", m.name)
			}
			last := entries[len(entries)-1]
			end := fmt.Sprintf("%d/%d", last.Term, last.Offset)
			if want == "" {
				want = end
			}
			if end != want {
				return fmt.Errorf("the log of %s ends at %s, another one at %s", m.name, end, want)
			}
		}
		return nil
	})
}

// waitApplied waits until all members have applied the whole log, so that reads see it.
func (c *cluster) waitApplied() {
	c.t.Helper()
	waitUntil(c.t, 20*time.Second, "applied logs on all members", func() error {
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
