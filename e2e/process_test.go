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
	// awaitLimit bounds `await`, endLimit `ended`.
	awaitLimit = 60 * time.Second
	endLimit   = 90 * time.Second
	pollPause  = 100 * time.Millisecond
)

// killed is the exit status of a process that a signal ended.
const killed = -1

type processesKey struct{}

// processes are those that one script started, by name.
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

// start runs a command with its output in NAME.out and NAME.err.
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

// killAll ends what is left when the script is over.
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

// startCommand: start NAME COMMAND ARG...
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

// signalCommand: signal NAME TERM|KILL|STOP|CONT
func signalCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 || signals[args[1]] == 0 {
		ts.Fatalf("usage: signal NAME TERM|KILL|STOP|CONT")
	}
	ts.Check(processesOf(ts).find(ts, args[0]).cmd.Process.Signal(signals[args[1]]))
}

// endedCommand: ended NAME [STATUS] waits for the end and checks the exit status.
func endedCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 || len(args) > 2 {
		ts.Fatalf("usage: ended NAME [STATUS|killed]")
	}
	want := 0
	if len(args) == 2 && args[1] == "killed" {
		want = killed
	} else if len(args) == 2 {
		var err error
		want, err = strconv.Atoi(args[1])
		ts.Check(err)
	}
	ps := processesOf(ts)
	p := ps.find(ts, args[0])
	select {
	case <-p.done:
	case <-time.After(endLimit):
		ts.Fatalf("%s has not ended after %v", args[0], endLimit)
	}
	if got := p.cmd.ProcessState.ExitCode(); got != want {
		ts.Logf("%s", ts.ReadFile(args[0]+".err"))
		ts.Logf("%s", ts.ReadFile(args[0]+".out"))
		ts.Fatalf("%s ended with status %d, want %d", args[0], got, want)
	}
}

// awaitCommand: await PATTERN COMMAND ARG... repeats a command until it succeeds with
// standard output that matches.
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

// poll repeats try until it is true, and ends the script at awaitLimit.
func poll(ts *testscript.TestScript, what string, try func() bool) {
	for limit := time.Now().Add(awaitLimit); !try(); time.Sleep(pollPause) {
		if time.Now().After(limit) {
			ts.Fatalf("gave up after %v: %s", awaitLimit, what)
		}
	}
}
