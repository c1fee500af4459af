package load

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// placed is an order and what its caller was told.
type placed struct {
	// id is the order's key. It was sent once.
	id string

	// failure is nil if the order was acknowledged.
	failure *egret.Failure
}

// ledger has the orders of each group.
type ledger struct {
	mu sync.Mutex

	// groups has the orders by group.
	groups map[string][]placed
}

// Audit is what the logs of the primaries say of the orders.
type Audit struct {
	// Placed is how many orders were acknowledged.
	Placed int `json:"orders-placed"`

	// Lost is how many of them are not in the log.
	Lost int `json:"orders-lost"`

	// Doubled is how many orders ran twice: they are in the log twice, or the database refused an
	// order that was sent once because its key was there.
	Doubled int `json:"orders-doubled"`

	// NotRunButRan is how many orders are in the log though the caller was told that they did not
	// run.
	NotRunButRan int `json:"orders-not-run-but-ran"`

	// NotRun is how many orders did not run.
	NotRun int `json:"orders-not-run"`

	// Unknown is how many orders have an unknown outcome.
	Unknown int `json:"orders-unknown"`

	// Rejected is how many orders the database refused.
	Rejected int `json:"orders-rejected"`
}

// codeDuplicate is the database's refusal of a key that is there.
const codeDuplicate = "23505"

func (l *ledger) add(group string, id string, err error) {
	p := placed{
		id: id,
	}
	if err != nil {
		p.failure = egret.FailureOf(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.groups == nil {
		l.groups = map[string][]placed{}
	}
	l.groups[group] = append(l.groups[group], p)
}

// audit compares the orders with the logs of the present primaries.
func (l *ledger) audit(ctx context.Context, t *Target) (Audit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := Audit{}
	for group, orders := range l.groups {
		m, err := t.Primary(ctx, group)
		if err != nil {
			return a, errors.Trace(err)
		}
		entries := []walog.Entry{}
		if err := t.get(ctx, m.Operator, "/log", &entries); err != nil {
			return a, errors.Trace(err)
		}
		runs := countInserts(entries)
		for _, o := range orders {
			a.count(o, runs[o.id])
		}
	}
	return a, nil
}

func countInserts(entries []walog.Entry) map[string]int {
	runs := map[string]int{}
	for _, e := range entries {
		for _, c := range e.Changes {
			if c.Operation == walog.Insert {
				runs[c.ID]++
			}
		}
	}
	return runs
}

func (a *Audit) count(o placed, runs int) {
	if runs > 1 {
		a.Doubled++
	}
	if o.failure == nil {
		a.Placed++
		if runs == 0 {
			a.Lost++
		}
		return
	}
	switch {
	case o.failure.Code == codeDuplicate:
		a.Doubled++
	case o.failure.Outcome == egret.Rejected:
		a.Rejected++
	case o.failure.Outcome == egret.Unknown:
		a.Unknown++
	default:
		a.NotRun++
		if runs > 0 {
			a.NotRunButRan++
		}
	}
}
