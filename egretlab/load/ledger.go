package load

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// orderOutcome is an order and the outcome that its caller was told.
type orderOutcome struct {
	// id is the order's key. No session sends it twice.
	id string

	// failure is nil if the order was acknowledged.
	failure *egret.Failure
}

// ledger records the outcome of each order, for an audit against the logs of the primaries. Its methods can be called
// concurrently.
type ledger struct {
	mu sync.Mutex

	// groups has the orders by the name of their group.
	groups map[string][]orderOutcome
}

// Audit compares the outcomes that callers were told with the logs of the primaries.
type Audit struct {
	// Placed is the number of acknowledged orders.
	Placed int `json:"orders-placed"`

	// Lost is the number of acknowledged orders that are not in the log.
	Lost int `json:"orders-lost"`

	// Duplicated is the number of orders that ran twice: they are in the log twice, or the database refused an order as
	// a duplicate though it was sent only once.
	Duplicated int `json:"orders-doubled"`

	// NotRunButRan is the number of orders that are in the log though their caller was told that they did not run.
	NotRunButRan int `json:"orders-not-run-but-ran"`

	// NotRun is the number of orders of which the caller was told that they did not run.
	NotRun int `json:"orders-not-run"`

	// Unknown is the number of orders with an unknown outcome.
	Unknown int `json:"orders-unknown"`

	// Rejected is the number of orders that the database refused, except for duplicates.
	Rejected int `json:"orders-rejected"`
}

// codeUniqueViolation is the SQLSTATE of an insert whose key exists.
const codeUniqueViolation = "23505"

// add records the outcome of an order.
func (l *ledger) add(group string, id string, err error) {
	o := orderOutcome{
		id: id,
	}
	if err != nil {
		o.failure = egret.FailureOf(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.groups == nil {
		l.groups = map[string][]orderOutcome{}
	}
	l.groups[group] = append(l.groups[group], o)
}

// audit compares the orders with the logs of the current primaries.
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

// countInserts returns how often each key was inserted.
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

// count adds an order that is in the log as often as runs says.
func (a *Audit) count(o orderOutcome, runs int) {
	if runs > 1 {
		a.Duplicated++
	}
	if o.failure == nil {
		a.Placed++
		if runs == 0 {
			a.Lost++
		}
		return
	}
	switch {
	case o.failure.Code == codeUniqueViolation:
		a.Duplicated++
	case o.failure.Outcome == egret.OutcomeRejected:
		a.Rejected++
	case o.failure.Outcome == egret.OutcomeUnknown:
		a.Unknown++
	default:
		a.NotRun++
		if runs > 0 {
			a.NotRunButRan++
		}
	}
}
