package control

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const (
	// waitLimit bounds every wait for a condition.
	waitLimit = 30 * time.Second
	pollPause = 50 * time.Millisecond
)

// process is one that the test started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess runs a program with its output in NAME.out; the test's end kills it.
func startProcess(t *testing.T, dir, name string, args ...string) *process {
	t.Helper()
	path, err := exec.LookPath(args[0])
	if err != nil {
		t.Fatal(err)
	}
	out, err := os.OpenFile(filepath.Join(dir, name+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	p := &process{cmd: exec.Command(path, args[1:]...), done: make(chan struct{})}
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = dir, out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // a killed process has no status of interest
	}()
	t.Cleanup(func() { p.kill() })
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// kill ends the process at once and waits until it is gone.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended by itself
	<-p.done
}

// eventually waits until check is true.
func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for limit := time.Now().Add(waitLimit); !check(); time.Sleep(pollPause) {
		if time.Now().After(limit) {
			t.Fatalf("not within %v: %s", waitLimit, what)
		}
	}
}
