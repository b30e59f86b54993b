package daemon

import (
	"bytes"
	"context"
	"path/filepath"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/wal"
)

const (
	// probeEvery is the interval between probes of whether the disk accepts writes again.
	probeEvery = 250 * time.Millisecond
	// probeBytes is how much a probe writes: what a few seconds of the log need.
	probeBytes = 256 << 10
	probeFile  = "probe.tmp"
)

// files returns the file system of the data folder.
func (d *Daemon) files() wal.FS {
	if d.env.Files == nil {
		return wal.OS{}
	}
	return d.env.Files
}

// awaitDisk returns once the data folder accepts writes, or ctx ends. A process whose
// replica stopped because its disk refused a write exits after that and restarts from
// what is on the disk. If it exited at once, it would restart and fail in a loop while the
// disk is full.
func (d *Daemon) awaitDisk(ctx context.Context) {
	path := filepath.Join(d.cfg.DataDir, probeFile)
	fs := d.files()
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for {
		err := wal.WriteFile(fs, path, bytes.Repeat([]byte{1}, probeBytes))
		removeErr := fs.Remove(path)
		if err == nil && removeErr == nil {
			return
		}
		d.tel.Log.Warn().Str("event", "disk-refuses-writes").AnErr("write", err).AnErr("remove", removeErr).Send()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
