package proof

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout bounds the checker's search for a valid order of the requests in a history.
const checkTimeout = 20 * time.Second

// input is a request of the model's history.
type input struct {
	session string
	id      string
	write   bool
	item    string

	// acknowledged says that the write was acknowledged. Otherwise, it may or may not have taken effect.
	acknowledged bool
}

// register is the model's state: the items that a session may read from one order.
type register struct {
	// item is that of the latest acknowledged write, empty before the first.
	item string

	// uncertain are the items of writes with an unknown outcome. A read may return each of them, but needn't.
	uncertain []string
}

// sessionModel returns a model that accepts a history if no read is older than its session's acknowledged
// writes to the same order. It requires that only the session itself writes its orders.
func sessionModel() porcupine.Model {
	return porcupine.Model{
		Partition: partition,
		Init: func() any {
			return register{}
		},
		Step: step,
		Equal: func(a any, b any) bool {
			x, y := a.(register), b.(register)
			return x.item == y.item && slices.Equal(x.uncertain, y.uncertain)
		},
	}
}

// step applies a request to the model's state and reports whether its result is allowed.
func step(state any, in any, out any) (bool, any) {
	s := state.(register)
	i := in.(input)
	if !i.write {
		item := out.(string)
		return item == s.item || slices.Contains(s.uncertain, item), s
	}
	if i.acknowledged {
		s.item = i.item
		return true, s
	}
	s.uncertain = append(slices.Clone(s.uncertain), i.item)
	return true, s
}

// partition splits a history by session and order.
func partition(history []porcupine.Operation) [][]porcupine.Operation {
	type key struct {
		session string
		id      string
	}
	index := map[key]int{}
	var parts [][]porcupine.Operation
	for _, o := range history {
		i := o.Input.(input)
		k := key{
			session: i.session,
			id:      i.id,
		}
		if _, found := index[k]; !found {
			index[k] = len(parts)
			parts = append(parts, nil)
		}
		parts[index[k]] = append(parts[index[k]], o)
	}
	return parts
}

// operations converts records into the model's history. It omits requests that did not run, and reads that were not
// acknowledged. A write with an unknown outcome may take effect at any later time.
func operations(records []record) []porcupine.Operation {
	var history []porcupine.Operation
	for _, e := range records {
		write := e.action != read
		if e.outcome == notRun || e.outcome == rejected || (!write && e.outcome != acknowledged) {
			continue
		}
		reply := int64(e.repliedAt)
		if e.outcome == unknown {
			reply = math.MaxInt64
		}
		history = append(history, porcupine.Operation{
			Input: input{
				session:      e.session,
				id:           e.id,
				write:        write,
				item:         e.item,
				acknowledged: e.outcome == acknowledged,
			},
			Output: e.item,
			Call:   int64(e.calledAt),
			Return: reply,
		})
	}
	return history
}

// readsOwnWrites reports whether no read in the records is older than its session's acknowledged writes.
func readsOwnWrites(t testing.TB, records []record) bool {
	t.Helper()
	result := porcupine.CheckOperationsTimeout(sessionModel(), operations(records), checkTimeout)
	if result == porcupine.Unknown {
		t.Errorf("the check of the history of %d requests timed out after %s", len(records), checkTimeout)
	}
	return result == porcupine.Ok
}

// wantReadYourWrites fails the test if a session read something older than its own writes.
func wantReadYourWrites(t testing.TB, r *recorder) {
	t.Helper()
	if readsOwnWrites(t, r.snapshot()) {
		return
	}
	for _, e := range r.snapshot() {
		t.Logf("%s %s %d %s %q proxy %d outcome %d %v..%v %v",
			e.session, e.id, e.action, e.id, e.item, e.proxy+1, e.outcome, e.calledAt, e.repliedAt, e.err)
	}
	t.Error("a session has read an item older than its own acknowledged write")
}

// TestSessionModel checks which histories the model accepts.
func TestSessionModel(t *testing.T) {
	write := func(item string, o outcome) record {
		return record{action: insert, id: "a", item: item, outcome: o}
	}
	found := func(item string) record {
		return record{action: read, id: "a", item: item}
	}
	cases := []struct {
		name    string
		records []record
		want    bool
	}{
		{"own write", []record{write("x", acknowledged), found("x")}, true},
		{"missing write", []record{write("x", acknowledged), found("")}, false},
		{"older write", []record{write("x", acknowledged), write("y", acknowledged), found("x")}, false},
		{"unknown seen", []record{write("x", unknown), found("x")}, true},
		{"unknown not seen", []record{write("x", unknown), found("")}, true},
		{"not run seen", []record{write("x", notRun), found("x")}, false},
		{"lost after unknown", []record{write("x", acknowledged), write("y", unknown), found("")}, false},
	}
	for _, c := range cases {
		for i := range c.records {
			c.records[i].calledAt = time.Duration(2*i + 1)
			c.records[i].repliedAt = time.Duration(2*i + 2)
		}
		if got := readsOwnWrites(t, c.records); got != c.want {
			t.Errorf("%s: accepted %t, want %t", c.name, got, c.want)
		}
	}
}
