package daemon

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
	"github.com/bluebellsail/bluebellsail/internal/telemetry"
)

const (
	serviceName = "bluebellsaild"
	// flushTimeout bounds the export of the last spans.
	flushTimeout = 2 * time.Second
	logFileMode  = 0o640
)

// closer closes the log file; nil when log lines go to a standard stream.
type closer = io.Closer

func (d *Daemon) openTelemetry() error {
	cfg := telemetry.Config{
		Service: serviceName, Host: d.cfg.Host, Zone: d.cfg.Zone,
		LogLevel: d.cfg.Log.Level, Trace: traceConfig(d.cfg.Trace),
	}
	if d.cfg.Routed != nil {
		cfg.LogWriter, cfg.QueueLog = os.Stdout, true
	}
	if d.cfg.Log.File != "" {
		f, err := os.OpenFile(d.cfg.Log.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, logFileMode)
		if err != nil {
			return errors.Wrap(err, "log file")
		}
		d.logs, cfg.LogWriter = f, f
	}
	tel, err := telemetry.New(cfg)
	if err != nil {
		return err
	}
	d.tel = tel
	tel.MakeGlobal()
	tel.Metrics.Publish("bluebellsail")
	return nil
}

// countConnections adds the counters of a server's connections to the process's metrics.
func (d *Daemon) countConnections(name string, s *httpserver.Server) {
	d.tel.Metrics.Set("connections_"+name, s.Vars())
}

func traceConfig(t procconfig.Trace) telemetry.TraceConfig {
	switch {
	case t.OTLPURL != "":
		return telemetry.TraceConfig{Exporter: telemetry.ExporterOTLP, URL: t.OTLPURL}
	case t.File != "":
		return telemetry.TraceConfig{Exporter: telemetry.ExporterFile, Path: t.File}
	}
	return telemetry.TraceConfig{}
}

func (d *Daemon) closeTelemetry() {
	if d.tel != nil {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		_ = d.tel.Shutdown(ctx)
	}
	if d.logs != nil {
		_ = d.logs.Close()
	}
}
