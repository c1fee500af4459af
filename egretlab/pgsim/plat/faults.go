package plat

import (
	"sync"
	"time"
)

// Faults are switches that a test sets while the member runs. The zero Faults is all off.
type Faults struct {
	// mu guards the fields below.
	mu sync.Mutex

	// leaving is what the member says of itself.
	leaving bool

	// refuse makes the member refuse statements before they run.
	refuse bool

	// delay holds answers back.
	delay time.Duration
}

// Leaving returns whether the member says that it leaves.
func (f *Faults) Leaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

// SetLeaving sets whether the member says that it leaves.
func (f *Faults) SetLeaving(leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = leaving
}

// Refuse returns whether statements are refused.
func (f *Faults) Refuse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refuse
}

// SetRefuse sets whether statements are refused.
func (f *Faults) SetRefuse(refuse bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse = refuse
}

// Delay returns how long answers are held back.
func (f *Faults) Delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay
}

// SetDelay sets how long answers are held back.
func (f *Faults) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}
