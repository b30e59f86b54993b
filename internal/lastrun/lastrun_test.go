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

// folderVariable names the data folder of a process that endVariable tells how to end.
const (
	folderVariable = "LASTRUN_FOLDER"
	endVariable    = "LASTRUN_END"
)

// TestMain is also the program of the processes that end.
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
		crowd()
	case "killed":
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	os.Exit(0)
}

// crowd has the runtime find two writers of a map. It never returns.
func crowd() {
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

// Symptom: a host's requests ended at one moment; its log after that begins as if nothing had
// happened.
// Sequence: the process ends and is started again.
// Cause: nothing that the run before left is read.
func TestNextRunKnowsHowThisOneEnded(t *testing.T) {
	for _, c := range []struct {
		end    string
		want   Ended
		detail string
	}{
		{"in order", InOrder, ""},
		{"fault", Fault, "the replica stopped"},
		{"panic", Crash, "index out of range"},
		// The runtime writes the line "fatal error: ..." to standard error only.
		{"concurrent map writes", Crash, "maps.fatal"},
		{"killed", Silent, ""},
	} {
		t.Run(c.end, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "data")
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), folderVariable+"="+dir, endVariable+"="+c.end)
			_ = cmd.Run() // most of them fail
			run, report, err := Begin(dir, "v2", time.Now())
			if err != nil {
				t.Fatal(err)
			}
			if report.Ended != c.want || !strings.Contains(report.Detail, c.detail) || report.Version != "v1" {
				t.Errorf("the run before is told as %+v, want %s: %s", report, c.want, c.detail)
			}
			run.End(nil)
			if _, again, _ := Begin(dir, "v3", time.Now()); again.Ended != InOrder {
				t.Errorf("the crash before it is told of an orderly run: %+v", again)
			}
		})
	}
}

func TestNoRunBefore(t *testing.T) {
	if _, report, err := Begin(t.TempDir(), "v1", time.Now()); err != nil || report.Ended != Unknown {
		t.Errorf("told %+v, %v", report, err)
	}
}

// Sequence: a process is killed while it writes its note, or its disk refuses that.
func TestFaultyNotesStopNobody(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, noteFile), []byte(`{"ver`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, report, err := Begin(dir, "v1", time.Now()); err != nil || report.Ended != Silent {
		t.Errorf("told %+v, %v", report, err)
	}
	file := filepath.Join(dir, noteFile)
	run, report, err := Begin(file, "v1", time.Now()) // a folder that can't be one
	if err == nil || report.Ended != Unknown {
		t.Errorf("told %+v, %v", report, err)
	}
	run.End(nil)
}
