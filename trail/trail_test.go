package trail

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
)

// TestRateIsBoundedByCause writes more of one cause than its rate allows.
func TestRateIsBoundedByCause(t *testing.T) {
	out := bytes.Buffer{}
	tr := Trail{
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: &out}},
		Rate:   3,
	}
	for range 10 {
		tr.Event("refused").Str("request", "1").Msg("no slot")
	}
	tr.Event("promoted").Msg("another cause")
	tr.refill()
	tr.Event("refused").Msg("again")
	text := out.String()
	if n := strings.Count(text, `"no slot"`); n != 3 {
		t.Errorf("%d lines of one cause, want 3", n)
	}
	for _, want := range []string{`"event":"promoted"`, `"cause":"refused","lines":7`, `"again"`} {
		if !strings.Contains(text, want) {
			t.Errorf("%s is missing in\n%s", want, text)
		}
	}
}

// TestZeroTrailTakesAll calls a trail that writes nowhere.
func TestZeroTrailTakesAll(t *testing.T) {
	var none *Trail
	none.Event("x").Str("a", "b").Msg("c")
	(&Trail{}).Event("x").Str("a", "b").Msg("c")
}

// stuck is a reader that never reads.
type stuck chan struct{}

func (s stuck) Write([]byte) (int, error) {
	<-s
	return 0, nil
}

// TestWriterNeverBlocks writes to a reader that has stopped.
func TestWriterNeverBlocks(t *testing.T) {
	s := make(stuck)
	defer close(s)
	w := Writer{Out: s}
	began := time.Now()
	for range 4 * writerLines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if elapsed := time.Since(began); elapsed > time.Second {
		t.Errorf("the writer blocked for %v", elapsed)
	}
	if w.Dropped() < 2*writerLines {
		t.Errorf("%d lines dropped", w.Dropped())
	}
}
