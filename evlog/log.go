// Package evlog logs the events of a process at a limited rate and without ever blocking the code that logs.
//
//	l := evlog.Log{Logger: logger}
//	go l.Run(ctx)
//	l.Event("statement-refused").Str("request", id).Dur("wait", wait).Msg("the queue is too long")
//
// Each event name has its own rate limit. Lines above the limit are dropped, and their number is logged once
// a second.
package evlog

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// defaultLinesPerSecond is the default rate limit of one event name. It is above the number of statements
	// that a small VM receives per second, so that each failed statement is logged.
	defaultLinesPerSecond = 100

	// summaryInterval is how often the quotas are refilled and the dropped lines are reported.
	summaryInterval = time.Second
)

// Log logs events. The zero Log drops all of them.
type Log struct {
	// Logger writes the lines. Its writer must not block; see Writer.
	Logger *log.Logger

	// Rate is the maximum number of lines per second for one event name. Zero means a default. Use SetRate to
	// change it later.
	Rate int

	mu     sync.Mutex
	quotas map[string]*quota
}

// quota is what remains of one event name's rate limit in the current interval, and how many lines were
// dropped in it.
type quota struct {
	remaining int
	dropped   int
}

// Event returns a log entry for the event, or nil if the event's quota is used up. The methods of a nil entry
// do nothing.
func (l *Log) Event(name string) *log.Entry {
	if l == nil || l.Logger == nil || !l.allow(name) {
		return nil
	}
	return l.Logger.Info().Str("event", name)
}

// Run refills the quotas and reports dropped lines periodically until the context ends.
func (l *Log) Run(ctx context.Context) error {
	tick := time.NewTicker(summaryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			l.refill()
		}
	}
}

// SetRate changes the rate limit from the next refill on, which is at most a second later.
func (l *Log) SetRate(rate int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Rate = rate
}

// effectiveRate returns the rate limit in force. The caller must hold mu.
func (l *Log) effectiveRate() int {
	if l.Rate > 0 {
		return l.Rate
	}
	return defaultLinesPerSecond
}

func (l *Log) allow(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.quotas == nil {
		l.quotas = map[string]*quota{}
	}
	q := l.quotas[name]
	if q == nil {
		q = &quota{
			remaining: l.effectiveRate(),
		}
		l.quotas[name] = q
	}
	if q.remaining == 0 {
		q.dropped++
		return false
	}
	q.remaining--
	return true
}

func (l *Log) refill() {
	if l.Logger == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, q := range l.quotas {
		if q.dropped > 0 {
			l.Logger.Info().Str("event", "lines-dropped").Str("cause", name).Int("lines", q.dropped).Msg("lines over the rate were not written")
		}
		q.remaining, q.dropped = l.effectiveRate(), 0
	}
}

// writerBufferLines is how many lines a Writer buffers while its output is slow.
const writerBufferLines = 1024

// Writer writes lines to its output without blocking. Lines are dropped and counted while the buffer is full.
type Writer struct {
	// Out is the output.
	Out io.Writer

	lines   chan writerLine
	dropped atomic.Uint64
	once    sync.Once
}

// writerLine is a line to write, or a request of Flush.
type writerLine struct {
	text []byte

	// flushed is closed instead of writing a line. It is nil for lines.
	flushed chan struct{}
}

// WriteEntry buffers the line of an entry. It implements log.Writer.
func (w *Writer) WriteEntry(e *log.Entry) (int, error) {
	return w.Write(e.Value())
}

// Write buffers a copy of one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.start()
	select {
	case w.lines <- writerLine{
		text: append([]byte(nil), line...),
	}:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) start() {
	w.once.Do(func() {
		w.lines = make(chan writerLine, writerBufferLines)
		go w.run()
	})
}

// Flush waits until all lines that were written before are passed to the output, or the timeout has passed. It reports
// whether they were.
func (w *Writer) Flush(timeout time.Duration) bool {
	w.start()
	flushed := make(chan struct{})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case w.lines <- writerLine{
		flushed: flushed,
	}:
	case <-timer.C:
		return false
	}
	select {
	case <-flushed:
		return true
	case <-timer.C:
		return false
	}
}

// Dropped returns the number of lines that were dropped because the buffer was full or the output failed.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// run writes the buffered lines to the output. It never returns. Lines for which the output fails are lost.
func (w *Writer) run() {
	for line := range w.lines {
		if line.flushed != nil {
			close(line.flushed)
			continue
		}
		if _, err := w.Out.Write(line.text); err != nil {
			w.dropped.Add(1)
		}
	}
}
