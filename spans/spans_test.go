package spans

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

// exportedSpan returns the output of a provider for one span with the given parent.
func exportedSpan(t *testing.T, p Provider, traceparent string) string {
	t.Helper()
	var b bytes.Buffer
	p.Output = &b
	stop, err := p.Install(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	ctx := propagation.TraceContext{}.Extract(t.Context(), propagation.MapCarrier{
		"traceparent": traceparent,
	})
	_, span := otel.Tracer("test").Start(ctx, "hop")
	span.End()
	if err := stop(context.Background()); err != nil {
		t.Error(err)
	}
	return b.String()
}

func TestCallersDecisionOverridesRatio(t *testing.T) {
	const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
	const parent = "00-" + trace + "-00f067aa0ba902b7-"
	for _, c := range []struct {
		name     string
		ratio    float64
		parent   string
		recorded bool
	}{
		{name: "sampled by the caller", parent: parent + "01", recorded: true},
		{name: "not sampled by the caller", ratio: 1, parent: parent + "00"},
		{name: "no decision, ratio 1", ratio: 1, recorded: true},
		{name: "no decision, ratio 0"},
		{name: "invalid traceparent", ratio: 1, parent: "nonsense", recorded: true},
	} {
		got := exportedSpan(t, Provider{
			Export: ExportStdout,
			Node:   "proxy-1",
			Ratio:  c.ratio,
		}, c.parent)
		if (got != "") != c.recorded {
			t.Errorf("%s: exported %q, want a span: %v", c.name, got, c.recorded)
		}
		if c.parent == parent+"01" && !strings.Contains(got, trace) {
			t.Errorf("%s: the span is not in the caller's trace: %s", c.name, got)
		}
	}
}

func TestUnknownExport(t *testing.T) {
	if _, err := (Provider{Export: "paper"}).Install(t.Context()); err == nil {
		t.Error("no error for an unknown export")
	}
}
