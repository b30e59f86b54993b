// Package lastrun reports how the previous run of a process ended. A run records in the data
// folder that it started and how it ended, and the Go runtime writes its crash output there.
//
// Without it, a restarted process looks as if nothing had happened. To find out why all requests
// of a host ended at once, an operator would have to find the end of the previous run's log, and
// a killed process leaves no line there.
//
// A process without a data folder can't report its previous run. There, the log of that run has
// to be read: if it does not end with event=ended, the process crashed or was killed. The Go
// runtime's message about a panic or a fatal error is on standard error.
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
	recordFile = "run.json"
	crashFile  = "crash.txt"
)

const (
	// maxCrash is how many bytes of the crash output are read: it begins with the cause and the
	// stack of the goroutine that crashed.
	maxCrash = 4 << 10
	// endTimeout bounds the wait of a process that exits for its disk.
	endTimeout = 200 * time.Millisecond
	fileMode   = 0o640
)

// Ended is how a run ended.
type Ended string

// The ways in which a run can end.
const (
	// Unknown means that there is no record of a previous run.
	Unknown Ended = "unknown"
	// InOrder means that the run was requested to stop, and stopped cleanly.
	InOrder Ended = "in order"
	// Fault means that the run exited because of an error, which is in Report.Detail.
	Fault Ended = "fault"
	// Crash means that the Go runtime ended the run; Report.Detail has its crash output.
	Crash Ended = "crash"
	// Silent means that the run recorded no end: it was killed, its machine lost power, or it
	// exceeded its memory limit.
	Silent Ended = "silent"
)

// Report describes the previous run.
type Report struct {
	Ended Ended
	// Started is when the run started, by the machine's wall clock.
	Started time.Time
	Version string
	Detail  string
}

// record is the stored form of a run in the data folder.
type record struct {
	Version string    `json:"version"`
	Started time.Time `json:"started"`
	Ended   Ended     `json:"ended,omitempty"`
	Detail  string    `json:"detail,omitempty"`
}

// Run is the current run. The zero value records nothing.
type Run struct {
	dir    string
	record record
}

// Begin reads how the previous run ended and records that this one started. After an error this
// run is not recorded or has no crash output; the report is still valid.
func Begin(dir, version string, now time.Time) (*Run, Report, error) {
	report := readPrevious(dir)
	r := &Run{dir: dir, record: record{Version: version, Started: now}}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return &Run{}, report, errors.Wrap(err, "record of this run")
	}
	if err := r.write(); err != nil {
		return &Run{}, report, err
	}
	return r, report, r.captureCrashOutput()
}

// readPrevious reads the record and the crash output of the previous run.
func readPrevious(dir string) Report {
	text, err := os.ReadFile(filepath.Join(dir, recordFile))
	if err != nil {
		return Report{Ended: Unknown}
	}
	var n record
	if json.Unmarshal(text, &n) != nil {
		return Report{Ended: Silent} // the run ended while it wrote its record
	}
	report := Report{Ended: n.Ended, Started: n.Started, Version: n.Version, Detail: n.Detail}
	if crash := readHead(filepath.Join(dir, crashFile)); crash != "" {
		report.Ended, report.Detail = Crash, crash
	}
	if report.Ended == "" {
		report.Ended = Silent
	}
	return report
}

// readHead returns the beginning of a file; empty if there is no file.
func readHead(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	buf := make([]byte, maxCrash)
	n, _ := f.Read(buf) // after an error there is nothing to report
	return string(buf[:n])
}

// captureCrashOutput makes the Go runtime write its crash output also to the data folder.
func (r *Run) captureCrashOutput() error {
	f, err := os.OpenFile(filepath.Join(r.dir, crashFile), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "crash file")
	}
	defer func() { _ = f.Close() }() // Go keeps a descriptor of its own
	return errors.Wrap(debug.SetCrashOutput(f, debug.CrashOptions{}), "crash file")
}

// End records how this run ends: cleanly if err is nil. It does not wait long for a disk that
// hangs.
func (r *Run) End(err error) {
	if r.dir == "" {
		return
	}
	r.record.Ended = InOrder
	if err != nil {
		r.record.Ended, r.record.Detail = Fault, err.Error()
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = r.write() // after an error the next run reports Silent
	}()
	select {
	case <-written:
	case <-time.After(endTimeout):
	}
}

func (r *Run) write() error {
	text, err := json.Marshal(r.record)
	if err != nil {
		return errors.Wrap(err, "record of this run")
	}
	path := filepath.Join(r.dir, recordFile)
	next := path + ".next"
	if err := os.WriteFile(next, text, fileMode); err != nil {
		return errors.Wrap(err, "record of this run")
	}
	return errors.Wrap(os.Rename(next, path), "record of this run")
}
