package daemon

import (
	"errors"
	"os"
	"os/exec"
	"syscall"
	"testing"
)

// brokenPipeVariable is set for a child process that writes to a closed standard output.
const brokenPipeVariable = "DAEMON_BROKEN_PIPE"

// exitSurvived is the exit code of a child process that survived its writes.
const exitSurvived = 7

func TestMain(m *testing.M) {
	if os.Getenv(brokenPipeVariable) == "" {
		os.Exit(m.Run())
	}
	ignoreBrokenPipe()
	for range 3 {
		if _, err := os.Stdout.WriteString("a line\n"); !errors.Is(err, syscall.EPIPE) {
			os.Exit(exitFailed)
		}
	}
	os.Exit(exitSurvived)
}

// Go ends a process by SIGPIPE if it writes to a closed standard output. When the reader of the
// log restarted, all hosts of a machine image ended at once with all their requests, and no log
// showed the reason.
func TestProcessSurvivesExitOfLogReader(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Close()
	defer func() { _ = w.Close() }()
	cmd := exec.Command(os.Args[0])
	cmd.Env, cmd.Stdout = append(os.Environ(), brokenPipeVariable+"=1"), w
	err = cmd.Run()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != exitSurvived {
		t.Errorf("the process ended with %v", err)
	}
}
