package spans

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// tracerName is the instrumentation scope of the spans.
const tracerName = "egretlane.example/egret"

// traceparentHeader is the key of the W3C trace context in a carrier.
const traceparentHeader = "traceparent"

// Start starts the span of a request's hop. The caller must end it with End. The cost is small if the span is
// not recorded.
func Start(ctx context.Context, hop, request, service string) (context.Context, trace.Span) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, hop)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("request", request), attribute.String("service", service))
	}
	return ctx, span
}

// End ends a span. It records the member that answered and the fault of the answer, "none" for a success.
func End(span trace.Span, member, fault string) {
	if span.IsRecording() {
		span.SetAttributes(attribute.String("member", member), attribute.String("fault", fault))
	}
	span.End()
}

// Inject returns the trace context to pass to another process, or "" if the trace is not sampled.
func Inject(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, c)
	return c[traceparentHeader]
}

// Extract returns a context that continues the trace received from another process.
func Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{
		traceparentHeader: traceparent,
	})
}
