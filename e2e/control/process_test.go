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
	// waitTimeout bounds each wait for a condition.
	waitTimeout  = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// process is a process started by the test.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess starts a program that writes its output to NAME.out. It is killed when the test ends.
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

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have exited by itself
	<-p.done
}

// eventually waits until check is true.
func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for limit := time.Now().Add(waitTimeout); !check(); time.Sleep(pollInterval) {
		if time.Now().After(limit) {
			t.Fatalf("timed out after %v waiting until: %s", waitTimeout, what)
		}
	}
}
