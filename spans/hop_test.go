package spans

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// TestTraceCrossesProcesses starts a hop, carries its trace to another process, and ends a hop there.
func TestTraceCrossesProcesses(t *testing.T) {
	var b bytes.Buffer
	stop, err := Provider{
		Export: ExportStdout,
		Output: &b,
		Node:   "proxy-1",
		Ratio:  1,
	}.Install(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	ctx, near := Start(t.Context(), "caller", "r1", "orders")
	carried := Carry(ctx)
	_, far := Start(Resume(context.Background(), carried), "proxy", "r1", "orders")
	End(far, "m1", "none")
	End(near, "m1", "none")
	if err := stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	trace := near.SpanContext().TraceID()
	if far.SpanContext().TraceID() != trace || strings.Count(b.String(), `"Name":"caller"`)+strings.Count(b.String(), `"Name":"proxy"`) != 2 {
		t.Errorf("carried %q, printed %s", carried, b.String())
	}
	if !strings.Contains(b.String(), "r1") {
		t.Error("the request is missing")
	}
}

// TestNothingIsCarriedWithoutATrace checks the usual case, in which nothing is recorded.
func TestNothingIsCarriedWithoutATrace(t *testing.T) {
	if c := Carry(t.Context()); c != "" {
		t.Errorf("carried %q", c)
	}
	if ctx := Resume(t.Context(), ""); ctx != t.Context() {
		t.Error("another context")
	}
}
