package daemon

import (
	"errors"
	"os"
	"os/exec"
	"syscall"
	"testing"
)

// brokenPipeVariable is set for a process that writes to a log which nobody reads.
const brokenPipeVariable = "DAEMON_BROKEN_PIPE"

// wroteOn is the exit code of such a process that outlived its writes.
const wroteOn = 7

func TestMain(m *testing.M) {
	if os.Getenv(brokenPipeVariable) == "" {
		os.Exit(m.Run())
	}
	outliveLogReader()
	for range 3 {
		if _, err := os.Stdout.WriteString("a line\n"); !errors.Is(err, syscall.EPIPE) {
			os.Exit(exitFailed)
		}
	}
	os.Exit(wroteOn)
}

// Symptom: all hosts of a machine image end at once, with all their requests, and no log says why.
// Sequence: what reads their standard output is started anew; each writes its next line.
// Cause: Go ends a process by SIGPIPE that writes to a closed standard output.
func TestHostOutlivesTheReaderOfItsLog(t *testing.T) {
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
	if !errors.As(err, &exit) || exit.ExitCode() != wroteOn {
		t.Errorf("the process ended with %v", err)
	}
}
