package proof

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkLimit bounds the search for an order of the requests that explains a history.
const checkLimit = 20 * time.Second

// input is a request in the model.
type input struct {
	session string
	id      string
	write   bool
	item    string

	// sure says that the write was acknowledged. Another one may or may not have taken effect.
	sure bool
}

// register is the model's state: what a session knows of one order.
type register struct {
	// item is the newest acknowledged write, empty before the first.
	item string

	// maybe are the items of writes with an unknown outcome.
	maybe []string
}

// sessionModel accepts a history if no read is older than its session's acknowledged writes to the
// same order. Only the session itself writes its orders.
func sessionModel() porcupine.Model {
	return porcupine.Model{
		Partition: partition,
		Init: func() any {
			return register{}
		},
		Step: step,
		Equal: func(a any, b any) bool {
			x, y := a.(register), b.(register)
			return x.item == y.item && slices.Equal(x.maybe, y.maybe)
		},
	}
}

func step(state any, in any, out any) (bool, any) {
	s := state.(register)
	i := in.(input)
	if !i.write {
		item := out.(string)
		return item == s.item || slices.Contains(s.maybe, item), s
	}
	if i.sure {
		s.item = i.item
		return true, s
	}
	s.maybe = append(slices.Clone(s.maybe), i.item)
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

// operations turns records into the model's history. Requests that did not run leave no trace, and
// one with an unknown outcome may take effect at any later time.
func operations(records []record) []porcupine.Operation {
	var history []porcupine.Operation
	for _, e := range records {
		write := e.action != read
		if e.outcome == notRun || e.outcome == rejected || (!write && e.outcome != acknowledged) {
			continue
		}
		reply := int64(e.reply)
		if e.outcome == unknown {
			reply = math.MaxInt64
		}
		history = append(history, porcupine.Operation{
			Input: input{
				session: e.session,
				id:      e.id,
				write:   write,
				item:    e.item,
				sure:    e.outcome == acknowledged,
			},
			Output: e.item,
			Call:   int64(e.call),
			Return: reply,
		})
	}
	return history
}

// readsOwnWrites reports whether no read of the records is older than its session's own writes.
func readsOwnWrites(t testing.TB, records []record) bool {
	t.Helper()
	result := porcupine.CheckOperationsTimeout(sessionModel(), operations(records), checkLimit)
	if result == porcupine.Unknown {
		t.Errorf("the history of %d requests could not be checked in %s", len(records), checkLimit)
	}
	return result == porcupine.Ok
}

// wantReadYourWrites fails the test if a session read something older than its own writes.
func wantReadYourWrites(t testing.TB, r *recorder) {
	t.Helper()
	if readsOwnWrites(t, r.all()) {
		return
	}
	for _, e := range r.all() {
		t.Logf("%s %s %d %s %q proxy %d outcome %d %v..%v %v",
			e.session, e.id, e.action, e.id, e.item, e.proxy+1, e.outcome, e.call, e.reply, e.err)
	}
	t.Error("a session has read something older than its own acknowledged writes")
}

// TestSessionModel shows what the model accepts and refuses.
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
			c.records[i].call = time.Duration(2*i + 1)
			c.records[i].reply = time.Duration(2*i + 2)
		}
		if got := readsOwnWrites(t, c.records); got != c.want {
			t.Errorf("%s: accepted %t, want %t", c.name, got, c.want)
		}
	}
}
