// Package trail writes the decisions of a process as log lines, in bounded volume and without ever
// blocking the one who decides.
//
//	t := trail.Trail{Logger: logger}
//	go t.Run(ctx)
//	t.Event("statement-refused").Str("request", id).Dur("wait", wait).Msg("the queue is too long")
//
// Each cause has a rate of its own. Lines beyond it are counted, and the count is written once a second.
package trail

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// defaultRate is how many lines a second one cause may write: above the statements that a small VM
	// takes in a second, so that each failed one has its line.
	defaultRate = 100

	// summaryInterval is how often dropped lines are summed up.
	summaryInterval = time.Second
)

// Trail writes events. The zero Trail drops all.
type Trail struct {
	// Logger writes the lines. Its writer must not block; see Writer.
	Logger *log.Logger

	// Rate is how many lines a second one cause may write. Zero takes a default. SetRate changes it
	// later.
	Rate int

	mu     sync.Mutex
	causes map[string]*budget
}

// budget is what one cause may still write this second.
type budget struct {
	left    int
	dropped int
}

// Event starts the line of a decision, or returns nil, which takes all of an entry's calls, if the
// cause has used up its rate.
func (t *Trail) Event(cause string) *log.Entry {
	if t == nil || t.Logger == nil || !t.allow(cause) {
		return nil
	}
	return t.Logger.Info().Str("event", cause)
}

// Run refills the rates and sums up dropped lines until the context ends.
func (t *Trail) Run(ctx context.Context) error {
	tick := time.NewTicker(summaryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			t.refill()
		}
	}
}

// SetRate changes the rate from the next second on.
func (t *Trail) SetRate(rate int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Rate = rate
}

// rate returns the rate in force. The caller holds mu.
func (t *Trail) rate() int {
	if t.Rate > 0 {
		return t.Rate
	}
	return defaultRate
}

func (t *Trail) allow(cause string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.causes == nil {
		t.causes = map[string]*budget{}
	}
	b := t.causes[cause]
	if b == nil {
		b = &budget{
			left: t.rate(),
		}
		t.causes[cause] = b
	}
	if b.left == 0 {
		b.dropped++
		return false
	}
	b.left--
	return true
}

func (t *Trail) refill() {
	if t.Logger == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for cause, b := range t.causes {
		if b.dropped > 0 {
			t.Logger.Info().Str("event", "lines-dropped").Str("cause", cause).Int("lines", b.dropped).Msg("lines over the rate were not written")
		}
		b.left, b.dropped = t.rate(), 0
	}
}

// writerLines bounds the lines that wait for a slow reader.
const writerLines = 1024

// Writer passes lines on without blocking. Lines that find the buffer full are dropped and counted.
type Writer struct {
	// Out receives the lines.
	Out io.Writer

	lines   chan []byte
	dropped atomic.Uint64
	once    sync.Once
}

// WriteEntry takes one line. It implements log.Writer.
func (w *Writer) WriteEntry(e *log.Entry) (int, error) {
	return w.Write(e.Value())
}

// Write takes one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.once.Do(func() {
		w.lines = make(chan []byte, writerLines)
		go w.drain()
	})
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found the buffer full.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// drain runs as long as the process. A reader that is gone loses the lines.
func (w *Writer) drain() {
	for line := range w.lines {
		if _, err := w.Out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}
