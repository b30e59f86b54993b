// Package lastrun tells a process how its run before ended. A run notes in the data folder that
// it began, and in what way it ended; Go writes there what ends a process against its will.
//
// What goes wrong without it: a process that was started again looks as if nothing had
// happened. Who asks why a host's requests ended at one moment has to find the end of its log
// before, and a kill leaves none there.
//
// A process without a data folder can't know: what it leaves behind is gone. There the log
// before counts: one that does not end with event=ended ended against its will, and Go's
// own words on a panic or a fatal error stand on standard error.
package lastrun

import (
	"encoding/json"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
)

// Names in the data folder.
const (
	noteFile  = "run.json"
	crashFile = "crash.txt"
)

const (
	// maxCrash is how much of Go's words on a crash is read again: the cause and the stack
	// of the goroutine that met it stand first.
	maxCrash = 4 << 10
	// closeWait is how long the end of a process waits for its disk.
	closeWait = 200 * time.Millisecond
	fileMode  = 0o640
)

// Ended says how a run ended.
type Ended string

// The ends.
const (
	// Unknown: there is no note of a run before.
	Unknown Ended = "unknown"
	// InOrder: it was told to stop, and did.
	InOrder Ended = "in order"
	// Fault: it ended itself over an error; Report.Detail names it.
	Fault Ended = "fault"
	// Crash: the Go runtime ended it; Report.Detail holds its words.
	Crash Ended = "crash"
	// Silent: it left no word. It was killed, its machine lost power, or it passed its
	// memory limit.
	Silent Ended = "silent"
)

// Report is what is known of the run before.
type Report struct {
	Ended Ended
	// Started is when it began, by its machine's clock.
	Started time.Time
	Version string
	Detail  string
}

// note is what a run leaves in the data folder.
type note struct {
	Version string    `json:"version"`
	Started time.Time `json:"started"`
	Ended   Ended     `json:"ended,omitempty"`
	Detail  string    `json:"detail,omitempty"`
}

// Run is the present run. The zero value keeps no notes.
type Run struct {
	dir  string
	note note
}

// Begin reads how the run before ended and notes that this one began. An error leaves the
// process without notes of its own; the report is what could be read.
func Begin(dir, version string, now time.Time) (*Run, Report, error) {
	report := before(dir)
	r := &Run{dir: dir, note: note{Version: version, Started: now}}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return &Run{}, report, errors.Wrap(err, "note of this run")
	}
	if err := r.write(); err != nil {
		return &Run{}, report, err
	}
	return r, report, r.keepCrash()
}

// before reads what the run before has left.
func before(dir string) Report {
	text, err := os.ReadFile(filepath.Join(dir, noteFile))
	if err != nil {
		return Report{Ended: Unknown}
	}
	var n note
	if json.Unmarshal(text, &n) != nil {
		return Report{Ended: Silent} // it ended before it had written its note whole
	}
	report := Report{Ended: n.Ended, Started: n.Started, Version: n.Version, Detail: n.Detail}
	if crash := head(filepath.Join(dir, crashFile)); crash != "" {
		report.Ended, report.Detail = Crash, crash
	}
	if report.Ended == "" {
		report.Ended = Silent
	}
	return report
}

// head is the beginning of a file; empty if there is none.
func head(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	buf := make([]byte, maxCrash)
	n, _ := f.Read(buf) // an error leaves nothing to tell
	return string(buf[:n])
}

// keepCrash has Go write what ends this process to the data folder as well.
func (r *Run) keepCrash() error {
	f, err := os.OpenFile(filepath.Join(r.dir, crashFile), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "crash file")
	}
	defer func() { _ = f.Close() }() // Go keeps a descriptor of its own
	return errors.Wrap(debug.SetCrashOutput(f, debug.CrashOptions{}), "crash file")
}

// End notes how this run ends: in order if err is nil. A disk that hangs is not waited for.
func (r *Run) End(err error) {
	if r.dir == "" {
		return
	}
	r.note.Ended = InOrder
	if err != nil {
		r.note.Ended, r.note.Detail = Fault, err.Error()
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = r.write() // the next run then takes the end for a silent one
	}()
	select {
	case <-written:
	case <-time.After(closeWait):
	}
}

func (r *Run) write() error {
	text, err := json.Marshal(r.note)
	if err != nil {
		return errors.Wrap(err, "note of this run")
	}
	path := filepath.Join(r.dir, noteFile)
	next := path + ".next"
	if err := os.WriteFile(next, text, fileMode); err != nil {
		return errors.Wrap(err, "note of this run")
	}
	return errors.Wrap(os.Rename(next, path), "note of this run")
}
