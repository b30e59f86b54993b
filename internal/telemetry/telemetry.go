// Package telemetry provides the event log of a process (one line of key=value pairs per
// event), traces with a span for each hop, and metrics.
package telemetry

import (
	"context"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Config configures the log and the traces of a process.
type Config struct {
	// Service is the program's name in every span.
	Service string
	// Host and Zone identify the process in every log line and span.
	Host, Zone string
	// LogLevel is "debug", "info" (default), "warn" or "error".
	LogLevel string
	// LogWriter receives the event log; default os.Stderr.
	LogWriter io.Writer
	// QueueLog writes the event log in the background through a bounded queue, so that logging
	// never waits for the reader of the log. Shutdown writes the queued lines.
	QueueLog bool
	// Trace configures the export of spans.
	Trace TraceConfig
}

// Telemetry is a process's log, tracer and metrics. It is safe for concurrent use.
type Telemetry struct {
	Log     zerolog.Logger
	Tracer  trace.Tracer
	Metrics *Metrics

	queue      *logQueue
	provider   trace.TracerProvider
	sdk        *sdktrace.TracerProvider
	traceFile  io.Closer
	propagator propagation.TextMapPropagator
}

// New creates the telemetry of a process. It fails on an unknown log level or
// exporter, a malformed URL or a trace file that can't be opened.
func New(cfg Config) (*Telemetry, error) {
	var queue *logQueue
	if cfg.LogWriter == nil {
		cfg.LogWriter = os.Stderr
	}
	if cfg.QueueLog {
		queue = newLogQueue(cfg.LogWriter)
		cfg.LogWriter = queue
	}
	log, err := newLogger(cfg)
	if err != nil {
		return nil, err
	}
	t := &Telemetry{Log: log, Metrics: NewMetrics(), queue: queue, propagator: propagation.TraceContext{}}
	if err := t.startTracing(cfg); err != nil {
		return nil, err
	}
	t.Tracer = t.provider.Tracer(tracerName)
	return t, nil
}

// Discard returns telemetry that discards its log and makes no spans, for tests and tools.
func Discard() *Telemetry {
	t, err := New(Config{LogWriter: io.Discard, LogLevel: "error"})
	if err != nil {
		panic(err) // the configuration above is constant and valid
	}
	return t
}

// Shutdown writes the queued log lines, exports the buffered spans and closes the trace
// file. Later lines and spans are lost.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	if t.queue != nil {
		defer func() { _ = t.queue.Close() }()
	}
	if t.sdk == nil {
		return nil
	}
	err := errors.Wrap(t.sdk.Shutdown(ctx), "shut tracer provider down")
	if t.traceFile == nil {
		return err
	}
	if cerr := t.traceFile.Close(); err == nil {
		err = errors.Wrap(cerr, "close trace file")
	}
	return err
}

func newLogger(cfg Config) (zerolog.Logger, error) {
	level := zerolog.InfoLevel
	if cfg.LogLevel != "" {
		var err error
		level, err = zerolog.ParseLevel(cfg.LogLevel)
		if err != nil {
			return zerolog.Logger{}, errors.Wrap(err, "log level")
		}
	}
	c := zerolog.New(&lineWriter{out: cfg.LogWriter}).Level(level).With().Timestamp()
	if cfg.Host != "" {
		c = c.Str("host", cfg.Host)
	}
	if cfg.Zone != "" {
		c = c.Str("zone", cfg.Zone)
	}
	return c.Logger(), nil
}
