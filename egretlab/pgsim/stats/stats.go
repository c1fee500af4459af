// Package stats records what a member ran, so that a test can tell how transactions lay beside each
// other on a connection.
//
// Events are in the order in which they happened. A ring keeps the newest.
package stats

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxEvents is how many events the ring keeps.
	maxEvents = 1 << 16

	// maxText is how many bytes of a statement an event keeps.
	maxText = 256
)

// Kind is what happened.
type Kind string

// The kinds of events.
const (
	// KindBegin opens a transaction.
	KindBegin Kind = "begin"

	// KindStatement runs a statement.
	KindStatement Kind = "statement"

	// KindCommit ends a transaction whose changes are kept.
	KindCommit Kind = "commit"

	// KindRollback ends a transaction whose changes are dropped.
	KindRollback Kind = "rollback"
)

// Event is one thing that happened on a connection.
type Event struct {
	// Sequence rises by one with each event of the member.
	Sequence uint64 `json:"sequence"`

	// Time is when it happened.
	Time time.Time `json:"time"`

	// Process is the connection's process number.
	Process uint32 `json:"process"`

	// Application is the connection's application name.
	Application string `json:"application-name"`

	// Kind is what happened.
	Kind Kind `json:"kind"`

	// Transaction numbers the connection's transactions from one.
	Transaction uint64 `json:"transaction"`

	// Text is the statement with its comments, cut if it is long.
	Text string `json:"text,omitempty"`
}

// Total is how often a command ran.
type Total struct {
	// Command is the command, or the function for the platform's functions.
	Command string `json:"command"`

	// Count is how often it ran, with or without success.
	Count uint64 `json:"count"`
}

// Connection is the events of one connection.
type Connection struct {
	// Process is the connection's process number.
	Process uint32 `json:"process"`

	// Events are in order. The oldest may be gone.
	Events []Event `json:"events"`
}

// Recorder keeps totals and events. The zero Recorder is empty and ready to use.
type Recorder struct {
	// mu guards the fields below.
	mu sync.Mutex

	// next is the sequence of the next event.
	next uint64

	// ring holds the newest events. Event n is at n modulo maxEvents.
	ring []Event

	// totals counts commands.
	totals map[string]uint64
}

// Count adds one to a command's total.
func (r *Recorder) Count(command string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.totals == nil {
		r.totals = make(map[string]uint64)
	}
	r.totals[command]++
}

// Record adds an event. It sets the sequence and cuts the text.
func (r *Recorder) Record(e Event) {
	e.Text = e.Text[:min(len(e.Text), maxText)]
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Sequence = r.next
	if len(r.ring) < maxEvents {
		r.ring = append(r.ring, e)
	} else {
		r.ring[r.next%maxEvents] = e
	}
	r.next++
}

// Totals returns how often each command ran, ordered by command.
func (r *Recorder) Totals() []Total {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := []Total{}
	for c, n := range r.totals {
		all = append(all, Total{
			Command: c,
			Count:   n,
		})
	}
	slices.SortFunc(all, func(a, b Total) int {
		return cmp.Compare(a.Command, b.Command)
	})
	return all
}

// Connections returns the events by connection, ordered by process number.
func (r *Recorder) Connections() []Connection {
	all := []Connection{}
	for _, e := range r.events() {
		i, found := slices.BinarySearchFunc(all, e.Process, func(c Connection, process uint32) int {
			return cmp.Compare(c.Process, process)
		})
		if !found {
			all = slices.Insert(all, i, Connection{
				Process: e.Process,
			})
		}
		all[i].Events = append(all[i].Events, e)
	}
	return all
}

// events returns the ring in order.
func (r *Recorder) events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < maxEvents {
		return slices.Clone(r.ring)
	}
	oldest := r.next % maxEvents
	return append(slices.Clone(r.ring[oldest:]), r.ring[:oldest]...)
}
