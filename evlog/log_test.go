package evlog

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
)

// TestRateIsLimitedByEvent logs more lines of one event than its rate allows. The lines above the rate must be
// dropped and counted, without an effect on other events.
func TestRateIsLimitedByEvent(t *testing.T) {
	out := bytes.Buffer{}
	l := Log{
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: &out}},
		Rate:   3,
	}
	for range 10 {
		l.Event("refused").Str("request", "1").Msg("no slot")
	}
	l.Event("promoted").Msg("another event")
	l.refill()
	l.Event("refused").Msg("again")
	text := out.String()
	if n := strings.Count(text, `"no slot"`); n != 3 {
		t.Errorf("%d lines of one event, want 3", n)
	}
	for _, want := range []string{`"event":"promoted"`, `"cause":"refused","lines":7`, `"again"`} {
		if !strings.Contains(text, want) {
			t.Errorf("log lacks %s:\n%s", want, text)
		}
	}
}

// TestZeroLogTakesAll calls a nil Log and a Log without a logger. Neither may panic.
func TestZeroLogTakesAll(t *testing.T) {
	var none *Log
	none.Event("x").Str("a", "b").Msg("c")
	(&Log{}).Event("x").Str("a", "b").Msg("c")
}

// blockedWriter is an output whose Write blocks until the channel is closed.
type blockedWriter chan struct{}

func (w blockedWriter) Write([]byte) (int, error) {
	<-w
	return 0, nil
}

// TestWriterNeverBlocks writes more lines than the buffer takes while the output is blocked. Write must drop
// lines rather than wait.
func TestWriterNeverBlocks(t *testing.T) {
	out := make(blockedWriter)
	defer close(out)
	w := Writer{Out: out}
	began := time.Now()
	for range 4 * writerBufferLines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if elapsed := time.Since(began); elapsed > time.Second {
		t.Errorf("Write blocked for %v", elapsed)
	}
	if w.Dropped() < 2*writerBufferLines {
		t.Errorf("%d lines dropped, want at least twice the size of the buffer", w.Dropped())
	}
}

// slowWriter is an output that takes a while for each line.
type slowWriter struct {
	lines int
}

func (w *slowWriter) Write([]byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	w.lines++
	return 0, nil
}

// TestFlushWritesLastLines guards against losing the last lines of a process, which say how it ended.
func TestFlushWritesLastLines(t *testing.T) {
	out := &slowWriter{}
	w := Writer{Out: out}
	for range 10 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if !w.Flush(5*time.Second) || out.lines != 10 {
		t.Errorf("%d lines were written, want 10", out.lines)
	}
	blocked := make(blockedWriter)
	defer close(blocked)
	w = Writer{Out: blocked}
	if _, err := w.Write([]byte("line\n")); err != nil {
		t.Fatal(err)
	}
	if w.Flush(20 * time.Millisecond) {
		t.Error("Flush reports success while the output is blocked")
	}
}
