package spans

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// TestTraceCrossesProcesses starts a hop, passes its trace context on, and ends a hop of another process with
// it. Both spans must belong to one trace.
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
	ctx, callerSpan := Start(t.Context(), "caller", "r1", "orders")
	traceparent := Inject(ctx)
	_, proxySpan := Start(Extract(context.Background(), traceparent), "proxy", "r1", "orders")
	End(proxySpan, "m1", "none")
	End(callerSpan, "m1", "none")
	if err := stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	trace := callerSpan.SpanContext().TraceID()
	if proxySpan.SpanContext().TraceID() != trace || strings.Count(b.String(), `"Name":"caller"`)+strings.Count(b.String(), `"Name":"proxy"`) != 2 {
		t.Errorf("traceparent %q, exported %s", traceparent, b.String())
	}
	if !strings.Contains(b.String(), "r1") {
		t.Error("the exported spans lack the request")
	}
}

// TestInjectWithoutTrace checks that there is no trace context to pass on if the request is not
// recorded.
func TestInjectWithoutTrace(t *testing.T) {
	if c := Inject(t.Context()); c != "" {
		t.Errorf("Inject = %q, want none", c)
	}
	if ctx := Extract(t.Context(), ""); ctx != t.Context() {
		t.Error("Extract returned another context")
	}
}
