package daemon

import (
	"expvar"
	"math"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/lastrun"
	"github.com/bluebellsail/bluebellsail/internal/procstat"
)

// ignoreBrokenPipe ignores SIGPIPE, so that a write to a log whose reader has exited only
// fails.
//
// Otherwise, when the reader of the process's standard output restarts, Go ends the process
// by SIGPIPE at its next log line. All requests of the host are cut off, at once on all hosts
// that use the same machine image, and no log shows the reason.
func ignoreBrokenPipe() { signal.Ignore(syscall.SIGPIPE) }

// watchProcess publishes metrics of this process's resource usage and pauses.
func (d *Daemon) watchProcess() {
	d.watch = procstat.NewWatch(d.cfg.Timing.Heartbeat.Std(), d.tel.Log)
	d.tel.Metrics.Set("process", expvar.Func(func() any { return procstat.Read() }))
	d.tel.Metrics.Set("stood_still", expvar.Func(func() any { return d.watch.Pauses() }))
}

// logStart logs this process's settings and limits, and how its previous run ended.
func (d *Daemon) logStart() {
	cfg := d.cfg
	roles := make([]string, 0, len(cfg.Roles))
	for _, r := range cfg.Roles {
		roles = append(roles, string(r))
	}
	d.tel.Log.Info().Str("event", "starting").Str("version", procstat.Version()).Str("go", procstat.GoVersion()).
		Str("fleet", cfg.Fleet).Strs("roles", roles).Int("processors", runtime.GOMAXPROCS(0)).
		Int64("memory_bytes", cfg.Limits.MemoryBytes()).Int64("runtime_memory_bytes", runtimeMemory()).
		Uint64("descriptors", procstat.DescriptorLimit()).Int("streams", cfg.Limits.Streams).
		Int64("max_body_bytes", cfg.Limits.MaxBodyBytes).Float64("link_mbps", cfg.Limits.LinkMbps).
		Float64("processor_share", cfg.Limits.ProcessorShare).
		Dur("heartbeat", cfg.Timing.Heartbeat.Std()).Dur("drain_timeout", cfg.Limits.DrainTimeout.Std()).Send()
	if cfg.DataDir == "" {
		return
	}
	run, before, err := lastrun.Begin(cfg.DataDir, procstat.Version(), d.wall())
	if err != nil {
		d.tel.Log.Warn().Str("event", "run-not-noted").Err(err).Send()
	}
	d.lastRun = *run
	event := d.tel.Log.Info()
	if before.Ended == lastrun.Crash || before.Ended == lastrun.Fault || before.Ended == lastrun.Silent {
		event = d.tel.Log.Warn()
	}
	event.Str("event", "run-before").Str("ended", string(before.Ended)).Str("version", before.Version).
		Time("started", before.Started).Str("detail", before.Detail).Send()
}

// runtimeMemory returns the Go runtime's memory limit; 0 without a limit.
func runtimeMemory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		return limit
	}
	return 0
}

// logExit records and logs how this process ends. This is the last log line of a process that
// exits by itself.
func (d *Daemon) logExit(err error) {
	d.lastRun.End(err)
	event := d.tel.Log.Info()
	if err != nil {
		event = d.tel.Log.Error().Err(err)
	}
	event.Str("event", "ended").Dur("after", time.Since(procstat.Started)).Send()
}
