// Package trace configures OpenTelemetry tracing.
package trace

import (
	"context"
	"io"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"wigeonspring.example/wigeonspring/internal/fault"
)

// Options configures tracing.
type Options struct {
	// Output is "" for no traces, "stdout" for JSON lines, or the HTTP URL of an
	// OTLP endpoint.
	Output string
	// Writer receives the JSON lines if Output is "stdout".
	Writer        io.Writer
	Node          string
	FailureDomain string
	// SampleRatio is the share, from 0 to 1, of the requests without a trace context
	// that are traced.
	SampleRatio float64
}

// New returns a tracer provider, and a function that flushes the pending spans and
// shuts the provider down.
func New(ctx context.Context, opts Options) (oteltrace.TracerProvider, func(context.Context) error, error) {
	exporter, err := newExporter(ctx, opts)
	if err != nil {
		return nil, nil, fault.New("create trace exporter", opts.Output, err)
	}
	if exporter == nil {
		return noop.NewTracerProvider(), func(context.Context) error { return nil }, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(opts.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "wigeonspringd"),
			attribute.String("service.instance.id", opts.Node),
			attribute.String("failure_domain", opts.FailureDomain),
		)),
	)
	return provider, provider.Shutdown, nil
}

func newExporter(ctx context.Context, opts Options) (sdktrace.SpanExporter, error) {
	switch {
	case opts.Output == "":
		return nil, nil
	case opts.Output == "stdout":
		return stdouttrace.New(stdouttrace.WithWriter(opts.Writer))
	case strings.HasPrefix(opts.Output, "http://"), strings.HasPrefix(opts.Output, "https://"):
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(opts.Output))
	}
	return nil, fault.Newf("select trace output", opts.Output, "want \"\", \"stdout\" or an http URL")
}
