package plat

import (
	"sync"
	"time"
)

// Faults holds the faults that a test injects while the member runs. The zero Faults has none.
type Faults struct {
	// mu guards the fields below.
	mu sync.Mutex

	// leaving reports whether the member announces that it is about to leave its group.
	leaving bool

	// refusesStatements reports whether the member refuses statements before they run.
	refusesStatements bool

	// answerDelay is the delay of answers to statements.
	answerDelay time.Duration
}

// Leaving reports whether the member announces that it is about to leave its group.
func (f *Faults) Leaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

// SetLeaving sets whether the member announces that it is about to leave its group.
func (f *Faults) SetLeaving(leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = leaving
}

// RefusesStatements reports whether statements are refused. Platform functions and ROLLBACK still run.
func (f *Faults) RefusesStatements() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusesStatements
}

// SetRefusesStatements sets whether statements are refused.
func (f *Faults) SetRefusesStatements(refuses bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusesStatements = refuses
}

// AnswerDelay returns the delay of answers to statements.
func (f *Faults) AnswerDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answerDelay
}

// SetAnswerDelay sets the delay of answers to statements.
func (f *Faults) SetAnswerDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answerDelay = delay
}
