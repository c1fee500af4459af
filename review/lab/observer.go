package main

import (
	"sync"
	"time"

	"egretlane.example/egret/egretlab/dbsim"
)

// observer records what the members run, commit and promote. It implements dbsim.Observer.
type observer struct {
	record *record

	mu         sync.Mutex
	runs       map[string]int
	runAt      map[string]time.Time
	commits    map[string]dbsim.Commit
	promotions []dbsim.Promotion
	executions []execution
}

// execution is a statement that a member has run.
type execution struct {
	id, member string
	at         time.Time
}

func newObserver(r *record) *observer {
	return &observer{
		record:  r,
		runs:    map[string]int{},
		runAt:   map[string]time.Time{},
		commits: map[string]dbsim.Commit{},
	}
}

// Executed implements dbsim.Observer.
func (o *observer) Executed(e dbsim.Execution) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[e.ID]++
	o.runAt[e.ID] = time.Now()
	o.executions = append(o.executions, execution{
		id:     e.ID,
		member: e.Member,
		at:     time.Now(),
	})
	o.record.logf("%s runs %s %q %s", e.Member, e.ID, e.Text, e.Fault)
}

// Committed implements dbsim.Observer.
func (o *observer) Committed(c dbsim.Commit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.commits[c.ID] = c
	o.record.logf("%s commits %s at %s, superseded %t", c.Member, c.ID, c.Position, c.Superseded)
}

// Promoted implements dbsim.Observer.
func (o *observer) Promoted(p dbsim.Promotion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.promotions = append(o.promotions, p)
	o.record.logf("%s leads term %d with %d entries", p.Member, p.Term, p.KeptEntries)
}

// ranAt returns when a member last ran the statement, and whether one did.
func (o *observer) ranAt(id string) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ran := o.runAt[id]
	return at, ran
}
