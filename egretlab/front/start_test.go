package front

import (
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestSettingsWithFaults checks that each program reports all errors in its settings together.
func TestSettingsWithFaults(t *testing.T) {
	dir := t.TempDir()
	for _, c := range []struct {
		args []string
		want []string
	}{
		{
			args: []string{
				"egretlane", "--node-id", "a/b", "--caller-listen", "nowhere", "--operator-listen", "127.0.0.1:1",
				"--store", "127.0.0.1", "--token-key-file", filepath.Join(dir, "none"), "--statement-limit", "1",
				"--require-caller-tls", "--peer-tls-cert", filepath.Join(dir, "none"), "--trace", "paper",
			},
			want: []string{
				"--node-id", "--region", "--failure-domain", "--caller-listen", "--peer-listen", "--store", "--token-key-file",
				"--statement-limit", "--require-caller-tls", "--peer-tls-cert", "--trace",
			},
		},
		{
			args: []string{"egretlab", "member", "--listen", "nowhere", "--slots", "0", "--lag", "-1s", "--tls-cert", "none"},
			want: []string{"--name", "--listen", "--slots", "--lag", "--tls-cert", "--primary"},
		},
	} {
		out, status := runProgram(t, c.args...)
		if status != 1 {
			t.Errorf("%s: exit status %d, want 1", c.args[0], status)
		}
		for _, want := range c.want {
			if !strings.Contains(out, want) {
				t.Errorf("%s: the output lacks %q:\n%s", c.args[0], want, out)
			}
		}
	}
}

// span has the fields of a printed span that the test needs.
type span struct {
	Name        string
	SpanContext struct {
		TraceID string
		SpanID  string
	}
	Parent struct {
		SpanID string
	}
}

// TestTrace checks that a request that goes through both proxies has a span for each hop, and that all are in the trace
// that its caller names.
func TestTrace(t *testing.T) {
	s := startSet(t, options{
		Flags: []string{"--trace", "stdout", "--trace-ratio", "1"},
	})
	const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
	const parent = "00f067aa0ba902b7"
	// Each member's lane is at one proxy, so one of the two requests is forwarded to the other proxy.
	for i := range s.proxies {
		if _, err := s.connect(i, "").Exec(stepContext(t), "SELECT count(*) FROM orders WHERE id = 'x' /*kind='order',traceparent='00-"+trace+"-"+parent+"-01'*/"); err != nil {
			t.Fatal(err)
		}
	}
	var found []span
	eventually(t, "the spans and their parents", func() error {
		// Each proxy exports its own batches of spans, so a child may be exported before its parent.
		found = nil
		for _, p := range s.proxies {
			found = append(found, spansOf(p.logText(), trace)...)
		}
		if err := missingSpan(found, "entry.request", "lane.queue", "lane.exchange", "member.exchange", "egretlane.lane.Lane/Transact"); err != nil {
			return err
		}
		return orphanSpan(found, parent)
	})
	for _, f := range found {
		if (f.Name == "entry.request") != (f.Parent.SpanID == parent) {
			t.Errorf("the span %s has the parent %s", f.Name, f.Parent.SpanID)
		}
	}
}

// orphanSpan returns an error that names a span whose parent is neither among those found nor the caller's, or nil.
func orphanSpan(found []span, parent string) error {
	for _, f := range found {
		known := f.Parent.SpanID == parent || slices.ContainsFunc(found, func(o span) bool {
			return o.SpanContext.SpanID == f.Parent.SpanID
		})
		if !known {
			return fmt.Errorf("the span %s has no parent in the trace", f.Name)
		}
	}
	return nil
}

// spansOf returns the spans of a trace from a log that may have other lines.
func spansOf(log string, trace string) []span {
	var found []span
	for _, line := range strings.SplitAfter(log, "\n") {
		d := json.NewDecoder(strings.NewReader(line))
		for {
			f := span{}
			if err := d.Decode(&f); err == io.EOF || err != nil {
				break
			}
			if f.SpanContext.TraceID == trace {
				found = append(found, f)
			}
		}
	}
	return found
}

// missingSpan returns an error that names the first span that isn't among those found, or nil.
func missingSpan(found []span, names ...string) error {
	for _, name := range names {
		has := slices.ContainsFunc(found, func(f span) bool {
			return f.Name == name
		})
		if !has {
			return fmt.Errorf("no span %s", name)
		}
	}
	return nil
}
