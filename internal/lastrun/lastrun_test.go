package lastrun

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Environment variables of a child process: its data folder, and how it must end.
const (
	folderVariable = "LASTRUN_FOLDER"
	endVariable    = "LASTRUN_END"
)

// TestMain is also the program of the child processes.
func TestMain(m *testing.M) {
	if os.Getenv(folderVariable) == "" {
		os.Exit(m.Run())
	}
	run, _, err := Begin(os.Getenv(folderVariable), "v1", time.Now())
	if err != nil {
		panic(err)
	}
	switch os.Getenv(endVariable) {
	case "in order":
		run.End(nil)
	case "fault":
		run.End(errors.New("the replica stopped"))
	case "panic":
		var none []int
		_ = none[len(os.Args)]
	case "concurrent map writes":
		writeMapConcurrently()
	case "killed":
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	os.Exit(0)
}

// writeMapConcurrently makes the runtime detect concurrent writes to a map. It never returns.
func writeMapConcurrently() {
	m := map[int]int{}
	for range 4 {
		go func() {
			for i := 0; ; i++ {
				m[i%8] = i
			}
		}()
	}
	select {}
}

// When all requests of a host end at once, the log of the restarted process must show how the
// previous run ended.
func TestNextRunReportsHowPreviousRunEnded(t *testing.T) {
	for _, c := range []struct {
		end    string
		want   Ended
		detail string
	}{
		{"in order", InOrder, ""},
		{"fault", Fault, "the replica stopped"},
		{"panic", Crash, "index out of range"},
		// The runtime writes the line "fatal error: ..." to standard error only, so the stack
		// is checked.
		{"concurrent map writes", Crash, "maps.fatal"},
		{"killed", Silent, ""},
	} {
		t.Run(c.end, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "data")
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), folderVariable+"="+dir, endVariable+"="+c.end)
			_ = cmd.Run() // most of the processes fail
			run, report, err := Begin(dir, "v2", time.Now())
			if err != nil {
				t.Fatal(err)
			}
			if report.Ended != c.want || !strings.Contains(report.Detail, c.detail) || report.Version != "v1" {
				t.Errorf("the previous run is reported as %+v, want %s: %s", report, c.want, c.detail)
			}
			run.End(nil)
			if _, again, _ := Begin(dir, "v3", time.Now()); again.Ended != InOrder {
				t.Errorf("a clean run is reported with the end of the run before it: %+v", again)
			}
		})
	}
}

func TestNoPreviousRun(t *testing.T) {
	if _, report, err := Begin(t.TempDir(), "v1", time.Now()); err != nil || report.Ended != Unknown {
		t.Errorf("reported %+v, %v, want Unknown", report, err)
	}
}

// A record that is incomplete because the process was killed, or that can't be written, must not
// keep a process from starting or stopping.
func TestFaultyRecordDoesNotStopProcess(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, recordFile), []byte(`{"ver`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, report, err := Begin(dir, "v1", time.Now()); err != nil || report.Ended != Silent {
		t.Errorf("reported %+v, %v, want Silent", report, err)
	}
	file := filepath.Join(dir, recordFile)
	run, report, err := Begin(file, "v1", time.Now()) // a file in place of the folder
	if err == nil || report.Ended != Unknown {
		t.Errorf("reported %+v, %v, want Unknown and an error", report, err)
	}
	run.End(nil)
}
