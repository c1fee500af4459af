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

// TestSettingsWithFaults checks that each program lists all faults of its settings at once.
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
		out, status := run(t, c.args...)
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

// span is what a test needs of a span as it is printed.
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

// TestTrace checks that a request that goes through both proxies has a span for each hop, all in the
// trace that its caller names.
func TestTrace(t *testing.T) {
	s := startSet(t, setup{
		Flags: []string{"--trace", "stdout", "--trace-ratio", "1"},
	})
	const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
	const parent = "00f067aa0ba902b7"
	// The lane of each member is at one proxy, so that one of the two requests crosses between them.
	for i := range s.proxies {
		if _, err := s.connect(i, "").Exec(limited(t), "SELECT count(*) FROM orders WHERE id = 'x' /*kind='order',traceparent='00-"+trace+"-"+parent+"-01'*/"); err != nil {
			t.Fatal(err)
		}
	}
	var found []span
	until(t, "the spans and their parents", func() error {
		// Each proxy exports its spans in batches of its own, so that a child may come before its parent.
		found = nil
		for _, p := range s.proxies {
			found = append(found, spansOf(p.logged(), trace)...)
		}
		if err := missing(found, "entry.request", "lane.queue", "lane.exchange", "member.exchange", "egretlane.lane.Lane/Transact"); err != nil {
			return err
		}
		return orphan(found, parent)
	})
	for _, f := range found {
		if (f.Name == "entry.request") != (f.Parent.SpanID == parent) {
			t.Errorf("the span %s has the parent %s", f.Name, f.Parent.SpanID)
		}
	}
}

// orphan returns an error that names a span whose parent is neither among those found nor the caller's.
func orphan(found []span, parent string) error {
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

// spansOf returns the spans of a trace from a log that has other lines too.
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

// missing returns an error that names the span that isn't among those found.
func missing(found []span, names ...string) error {
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
