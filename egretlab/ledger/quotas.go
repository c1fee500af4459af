package ledger

import (
	"slices"
	"time"

	"egretlane.example/egret/egretlab/dbsim"
)

// Quota is the quota of a workspace with the bound that follows from it: in any Window, at most (Rate x Window + Burst) x
// (1 + Overage) + Slack operations.
type Quota struct {
	// Rate is in operations per second, Burst in operations.
	Rate, Burst float64

	// Window is the length of the sliding window. Overage is a fraction of the quota, Slack a number of operations.
	Window         time.Duration
	Overage, Slack float64
}

// bound returns the most operations of a window.
func (q Quota) bound() float64 {
	return (q.Rate*q.Window.Seconds()+q.Burst)*(1+q.Overage) + q.Slack
}

// operation is the time from the sending of an operation until the member that ran it first has reported it.
type operation struct {
	sent, ran time.Time
}

// quotaState is a workspace's quota with the operations that it has run, by the identifier of the statement or the name of the
// transaction.
type quotaState struct {
	quota      Quota
	operations map[string]operation
}

// LimitWorkspace records that every configuration limits the workspace.
func (l *Ledger) LimitWorkspace(workspace string, q Quota) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.quotas == nil {
		l.quotas = map[string]*quotaState{}
	}
	if l.quotas[workspace] == nil {
		l.quotas[workspace] = &quotaState{
			quota:      q,
			operations: map[string]operation{},
		}
	}
}

// recordOperation records a statement that a member ran for a workspace. An operation counts once, however many statements it
// has and however often proxies repeat it. The caller holds mu.
func (l *Ledger) recordOperation(q *request, r dbsim.Execution) {
	s := l.quotas[r.Workspace]
	if s == nil || q.session.Public {
		return
	}
	id := r.ID
	if q.transaction != "" {
		id = q.transaction
	}
	if _, found := s.operations[id]; !found {
		s.operations[id] = operation{
			sent: q.startedAt,
			ran:  l.Now(),
		}
	}
}

// CheckQuotas checks that no window has more operations of a workspace than its quota allows. It is called once after the run,
// and returns the highest ratio of the operations in a window to the bound, or zero without quotas.
func (l *Ledger) CheckQuotas() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	highest := 0.0
	for name, s := range l.quotas {
		most, at := s.busiestWindow()
		bound := s.quota.bound()
		highest = max(highest, float64(most)/bound)
		if float64(most) > bound {
			l.addViolation("QUOTA", "%d operations of %s were sent and run within %s, from %s on; the bound is %.1f",
				most, name, s.quota.Window, at.Sub(l.startedAt), bound)
		}
	}
	return highest
}

// busiestWindow returns the largest number of operations that were both sent and run within a window, and when that begins.
func (s *quotaState) busiestWindow() (int, time.Time) {
	sorted := []operation{}
	for _, o := range s.operations {
		sorted = append(sorted, o)
	}
	slices.SortFunc(sorted, func(a, b operation) int { return a.sent.Compare(b.sent) })
	most, at := 0, time.Time{}
	for i, first := range sorted {
		end, n := first.sent.Add(s.quota.Window), 0
		for _, o := range sorted[i:] {
			if o.sent.After(end) {
				break
			}
			if !o.ran.After(end) {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	return most, at
}
