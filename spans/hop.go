package spans

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// scope names the tracer of the hops.
const scope = "egretlane.example/egret"

// traceparent is the name under which a trace travels.
const traceparent = "traceparent"

// Start starts the span of a request's hop. The caller ends it with End. It costs little while nothing is
// recorded.
func Start(ctx context.Context, hop, request, service string) (context.Context, trace.Span) {
	ctx, span := otel.Tracer(scope).Start(ctx, hop)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("request", request), attribute.String("service", service))
	}
	return ctx, span
}

// End ends a span with who answered and the fault of the answer, "none" for a success.
func End(span trace.Span, member, fault string) {
	if span.IsRecording() {
		span.SetAttributes(attribute.String("member", member), attribute.String("fault", fault))
	}
	span.End()
}

// Carry returns what another process needs to go on with the trace, or "" if there is none.
func Carry(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, c)
	return c[traceparent]
}

// Resume goes on with the trace that another process carried here.
func Resume(ctx context.Context, carried string) context.Context {
	if carried == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{
		traceparent: carried,
	})
}
