package telemetry

import (
	"context"
	"net/http"
	"os"

	"github.com/pkg/errors"
	"github.com/rs/zerolog/log"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/grpc/stats"
)

const tracerName = "github.com/bluebellsail/bluebellsail"

// Exporter is a way to export spans.
type Exporter string

// The exporters.
const (
	// ExporterNone makes no spans; the caller's traceparent is still propagated.
	ExporterNone Exporter = "none"
	// ExporterOTLP sends spans by OTLP over HTTP to URL.
	ExporterOTLP Exporter = "otlp"
	// ExporterFile appends spans as JSON to the file Path.
	ExporterFile Exporter = "file"
)

// TraceConfig configures the export of spans.
type TraceConfig struct {
	// Exporter selects the exporter; empty means ExporterNone.
	Exporter Exporter
	// URL of the collector, such as http://10.0.0.9:4318/v1/traces, for ExporterOTLP.
	URL string
	// Path of the trace file, for ExporterFile.
	Path string
	// SampleRatio is the share of new traces that are kept, 0 to 1; 0 means all. A
	// trace that the caller sampled is always kept.
	SampleRatio float64
}

func (t *Telemetry) startTracing(cfg Config) error {
	exporter, err := t.newExporter(cfg.Trace)
	if err != nil {
		return err
	}
	if exporter == nil {
		t.provider = noop.NewTracerProvider()
		return nil
	}
	t.sdk = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sampler(cfg.Trace.SampleRatio)),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", cfg.Service),
			attribute.String("host.name", cfg.Host),
			attribute.String("cloud.availability_zone", cfg.Zone),
		)),
	)
	t.provider = t.sdk
	return nil
}

// newExporter returns nil for ExporterNone.
func (t *Telemetry) newExporter(cfg TraceConfig) (sdktrace.SpanExporter, error) {
	switch cfg.Exporter {
	case "", ExporterNone:
		return nil, nil
	case ExporterOTLP:
		if cfg.URL == "" {
			return nil, errors.New("trace exporter otlp needs a URL")
		}
		exp, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(cfg.URL))
		return exp, errors.Wrap(err, "otlp exporter")
	case ExporterFile:
		return t.newFileExporter(cfg.Path)
	default:
		return nil, errors.Errorf("unknown trace exporter %q", cfg.Exporter)
	}
}

func (t *Telemetry) newFileExporter(path string) (sdktrace.SpanExporter, error) {
	const mode = 0o640
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
	if err != nil {
		return nil, errors.Wrap(err, "trace file")
	}
	t.traceFile = f
	exp, err := stdouttrace.New(stdouttrace.WithWriter(f))
	return exp, errors.Wrap(err, "file exporter")
}

func sampler(ratio float64) sdktrace.Sampler {
	if ratio <= 0 || ratio >= 1 {
		return sdktrace.ParentBased(sdktrace.AlwaysSample())
	}
	return sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))
}

// Extract returns ctx with the remote span from the W3C traceparent of header.
func (t *Telemetry) Extract(ctx context.Context, header http.Header) context.Context {
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject writes the span of ctx into header as a W3C traceparent.
func (t *Telemetry) Inject(ctx context.Context, header http.Header) {
	t.propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// ServerStats returns a handler for grpc.StatsHandler that makes a span of each call served.
func (t *Telemetry) ServerStats() stats.Handler {
	return otelgrpc.NewServerHandler(
		otelgrpc.WithTracerProvider(t.provider), otelgrpc.WithPropagators(t.propagator))
}

// ClientStats returns a handler for grpc.WithStatsHandler that makes a span of each call made.
func (t *Telemetry) ClientStats() stats.Handler {
	return otelgrpc.NewClientHandler(
		otelgrpc.WithTracerProvider(t.provider), otelgrpc.WithPropagators(t.propagator))
}

// MakeGlobal sets the tracer provider of t as otel's global one, which the request chain uses,
// and the log of t as zerolog's global logger. Only the main path of a process calls it.
func (t *Telemetry) MakeGlobal() {
	otel.SetTracerProvider(t.provider)
	log.Logger = t.Log
}
