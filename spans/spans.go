// Package spans sets up distributed tracing, with one span for each hop of a request.
//
// Spans are discarded, printed to the standard output, or sent to a collector over OTLP. The trace
// context is passed on with each call between proxies. A caller passes it as the tag traceparent in a
// comment of a statement, in the format of sqlcommenter:
//
//	p := spans.Provider{
//		Export: spans.ExportStdout,
//		Node:   "proxy-1",
//	}
//	stop, err := p.Install(ctx)
package spans

import (
	"context"
	"io"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// Export is the destination of spans.
type Export string

// Destinations of spans.
const (
	// ExportOff records no spans.
	ExportOff Export = "off"

	// ExportStdout prints spans.
	ExportStdout Export = "stdout"

	// ExportOTLP sends spans to a collector over gRPC. The address of the collector and the transport
	// security are configured by the standard environment variables of OpenTelemetry.
	ExportOTLP Export = "otlp"
)

// Provider configures and installs the process's tracer.
type Provider struct {
	// Export is the destination of spans.
	Export Export

	// Output is the writer for ExportStdout. Nil means the standard output.
	Output io.Writer

	// Node is the proxy's ID.
	Node string

	// Ratio is the fraction of traces, from 0 to 1, that is recorded among those for which the caller
	// made no sampling decision.
	Ratio float64
}

// Install sets the global tracer provider of the process. The returned function flushes the remaining
// spans and shuts the provider down.
func (p Provider) Install(ctx context.Context) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if p.Export == ExportOff {
		return func(context.Context) error {
			return nil
		}, nil
	}
	e, err := p.exporter(ctx)
	if err != nil {
		return nil, errors.Annotate(err, "traces")
	}
	t := trace.NewTracerProvider(
		trace.WithBatcher(e),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(p.Ratio))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "egretlane"),
			attribute.String("service.instance.id", p.Node),
		)),
	)
	otel.SetTracerProvider(t)
	return t.Shutdown, nil
}

func (p Provider) exporter(ctx context.Context) (trace.SpanExporter, error) {
	switch p.Export {
	case ExportStdout:
		if p.Output == nil {
			return stdouttrace.New()
		}
		return stdouttrace.New(stdouttrace.WithWriter(p.Output))
	case ExportOTLP:
		return otlptracegrpc.New(ctx)
	default:
		return nil, errors.NotValidf("export %q", p.Export)
	}
}
