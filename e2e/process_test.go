package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// awaitTimeout bounds "await" and other waits for a condition, exitTimeout bounds "ended".
	awaitTimeout = 60 * time.Second
	exitTimeout  = 90 * time.Second
	pollInterval = 100 * time.Millisecond
)

// exitKilled is the exit status of a process that was killed by a signal.
const exitKilled = -1

type processesKey struct{}

// processes holds the processes that one script started, by name.
type processes struct {
	dir  string
	vars []string

	mu     sync.Mutex
	byName map[string]*process
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func newProcesses(dir string, vars []string) *processes {
	return &processes{dir: dir, vars: vars, byName: map[string]*process{}}
}

func processesOf(ts *testscript.TestScript) *processes {
	return ts.Value(processesKey{}).(*processes)
}

// start starts a command that writes its output to NAME.out and NAME.err.
func (ps *processes) start(name string, args []string) error {
	path, err := exec.LookPath(args[0])
	if err != nil {
		return err
	}
	cmd := exec.Command(path, args[1:]...)
	cmd.Dir, cmd.Env = ps.dir, ps.vars
	stdout, err := os.Create(filepath.Join(ps.dir, name+".out"))
	if err != nil {
		return err
	}
	defer stdout.Close()
	stderr, err := os.Create(filepath.Join(ps.dir, name+".err"))
	if err != nil {
		return err
	}
	defer stderr.Close()
	cmd.Stdout, cmd.Stderr = stdout, stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = cmd.Wait() // the status is read from cmd.ProcessState
	}()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.byName[name] = p
	return nil
}

func (ps *processes) find(ts *testscript.TestScript, name string) *process {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p, ok := ps.byName[name]
	if !ok {
		ts.Fatalf("no process %s was started", name)
	}
	return p
}

// killAll kills the remaining processes when the script has ended.
func (ps *processes) killAll() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.byName {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range ps.byName {
		<-p.done
	}
}

// startCommand implements "start NAME COMMAND ARG...". It starts a process.
func startCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start NAME COMMAND ARG...")
	}
	ts.Check(processesOf(ts).start(args[0], args[1:]))
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM,
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
}

// signalCommand implements "signal NAME TERM|KILL|STOP|CONT". It sends a signal to a process.
func signalCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 || signals[args[1]] == 0 {
		ts.Fatalf("usage: signal NAME TERM|KILL|STOP|CONT")
	}
	ts.Check(processesOf(ts).find(ts, args[0]).cmd.Process.Signal(signals[args[1]]))
}

// endedCommand implements "ended NAME [STATUS|killed]". It waits until a process has exited and checks
// its exit status, by default 0.
func endedCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 || len(args) > 2 {
		ts.Fatalf("usage: ended NAME [STATUS|killed]")
	}
	want := 0
	if len(args) == 2 && args[1] == "killed" {
		want = exitKilled
	} else if len(args) == 2 {
		var err error
		want, err = strconv.Atoi(args[1])
		ts.Check(err)
	}
	ps := processesOf(ts)
	p := ps.find(ts, args[0])
	select {
	case <-p.done:
	case <-time.After(exitTimeout):
		ts.Fatalf("%s has not exited after %v", args[0], exitTimeout)
	}
	if got := p.cmd.ProcessState.ExitCode(); got != want {
		ts.Logf("%s", ts.ReadFile(args[0]+".err"))
		ts.Logf("%s", ts.ReadFile(args[0]+".out"))
		ts.Fatalf("%s exited with status %d, want %d", args[0], got, want)
	}
}

// awaitCommand implements "await PATTERN COMMAND ARG...". It repeats a command until it succeeds and its
// standard output matches PATTERN.
func awaitCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: await PATTERN COMMAND ARG...")
	}
	pattern, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	poll(ts, fmt.Sprintf("%q", args), func() bool {
		err := ts.Exec(args[1], args[2:]...)
		return err == nil && pattern.MatchString(ts.ReadFile("stdout"))
	})
}

// poll repeats try until it returns true, and fails the script after awaitTimeout.
func poll(ts *testscript.TestScript, what string, try func() bool) {
	for limit := time.Now().Add(awaitTimeout); !try(); time.Sleep(pollInterval) {
		if time.Now().After(limit) {
			ts.Fatalf("timed out after %v waiting until: %s", awaitTimeout, what)
		}
	}
}
