// Package spans sets up traces: a span for each hop of a request.
//
// Spans go nowhere, to the standard output, or to a collector over OTLP. The trace context travels
// with each call between proxies, and comes from the caller in a traceparent tag:
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

// Export says where spans go.
type Export string

// Where spans can go.
const (
	// ExportOff records none.
	ExportOff Export = "off"

	// ExportStdout prints them.
	ExportStdout Export = "stdout"

	// ExportOTLP sends them to a collector over gRPC. The collector's address and its security come
	// from OpenTelemetry's own environment variables.
	ExportOTLP Export = "otlp"
)

// Provider installs the process's tracer.
type Provider struct {
	// Export says where spans go.
	Export Export

	// Output takes what ExportStdout prints. Nil means the standard output.
	Output io.Writer

	// Node is the proxy's ID.
	Node string

	// Ratio is the part of traces recorded that no caller has asked for, from 0 to 1.
	Ratio float64
}

// Install sets the tracer for the process. The returned function sends what is left.
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
