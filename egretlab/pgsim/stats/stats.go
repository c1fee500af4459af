// Package stats records the statements and transactions that a member ran, so that a test can check how
// transactions were interleaved on a connection.
//
//	r.Record(event)
//	for _, c := range r.Connections(stats.MaxEvents) {
//		check(c.Events)
//	}
//
// Events are in the order in which they occurred. A ring buffer holds the newest events.
package stats

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// MaxEvents is the number of events in a full ring.
	MaxEvents = 1 << 16

	// maxTextBytes limits the statement text in an event.
	maxTextBytes = 256
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	// KindBegin marks the start of a transaction.
	KindBegin Kind = "begin"

	// KindStatement marks the execution of a statement.
	KindStatement Kind = "statement"

	// KindCommit marks the commit of a transaction.
	KindCommit Kind = "commit"

	// KindRollback marks the rollback of a transaction.
	KindRollback Kind = "rollback"
)

// Event is one event on a connection.
type Event struct {
	// Sequence increases by one with each event of the member.
	Sequence uint64 `json:"sequence"`

	// Time is when the event occurred.
	Time time.Time `json:"time"`

	// Process is the connection's process number.
	Process uint32 `json:"process"`

	// Application is the connection's application name.
	Application string `json:"application-name"`

	// Kind tells what the event marks.
	Kind Kind `json:"kind"`

	// Transaction numbers the connection's transactions from one.
	Transaction uint64 `json:"transaction"`

	// Text is the statement with its comments. It is truncated to maxTextBytes.
	Text string `json:"text,omitempty"`
}

// Total is the number of attempts to run a command.
type Total struct {
	// Command is the command, or the function's name for a function call.
	Command string `json:"command"`

	// Count is the number of attempts, including those that failed or were refused.
	Count uint64 `json:"count"`
}

// Connection holds the events of one connection.
type Connection struct {
	// Process is the connection's process number.
	Process uint32 `json:"process"`

	// Events are in order. The oldest may have been overwritten.
	Events []Event `json:"events"`
}

// Recorder records totals and events. The zero Recorder is empty and ready to use.
type Recorder struct {
	// mu guards the fields below.
	mu sync.Mutex

	// nextSequence is the sequence number of the next event.
	nextSequence uint64

	// ring holds the newest events. The event with sequence n is at index n modulo MaxEvents.
	ring []Event

	// totals holds the number of attempts by command.
	totals map[string]uint64
}

// CountCommand adds one to a command's total.
func (r *Recorder) CountCommand(command string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.totals == nil {
		r.totals = make(map[string]uint64)
	}
	r.totals[command]++
}

// Record adds an event. It sets the sequence and truncates the text.
func (r *Recorder) Record(e Event) {
	e.Text = e.Text[:min(len(e.Text), maxTextBytes)]
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Sequence = r.nextSequence
	if len(r.ring) < MaxEvents {
		r.ring = append(r.ring, e)
	} else {
		r.ring[r.nextSequence%MaxEvents] = e
	}
	r.nextSequence++
}

// Totals returns the number of attempts to run each command, ordered by command.
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

// Connections returns the newest events of each connection, ordered by process number. limit bounds the events of all
// connections together.
func (r *Recorder) Connections(limit int) []Connection {
	all := []Connection{}
	events := r.orderedEvents()
	for _, e := range events[max(0, len(events)-limit):] {
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

// orderedEvents returns the events of the ring in the order of their sequence.
func (r *Recorder) orderedEvents() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < MaxEvents {
		return slices.Clone(r.ring)
	}
	oldest := r.nextSequence % MaxEvents
	return append(slices.Clone(r.ring[oldest:]), r.ring[:oldest]...)
}
