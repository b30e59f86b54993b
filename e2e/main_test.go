// Package e2e tests whole fleets with scripts in the language of package testscript. Hosts, fake
// backend servers, the load tool and the operators' tool are real processes on the loopback interface.
package e2e

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellsail/bluebellsail/internal/admincli"
	"github.com/bluebellsail/bluebellsail/internal/daemon"
	"github.com/bluebellsail/bluebellsail/internal/load"
	"github.com/bluebellsail/bluebellsail/internal/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bluebellsaild": func() { os.Exit(daemon.Main()) },
		"bluebellsail": func() {
			os.Exit(admincli.Run(context.Background(), os.Args, os.Stdin, os.Stdout, os.Stderr))
		},
		"standin": func() { os.Exit(standin.Main()) },
		"load":    func() { os.Exit(load.Main()) },
	})
}

// TestScripts runs the scripts one after the other, since each starts its own fleet.
func TestScripts(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	testscript.RunT(serial{t}, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			ps := newProcesses(env.WorkDir, env.Vars)
			env.Defer(ps.killAll)
			env.Values[processesKey{}] = ps
			env.Setenv("TMPDIR", filepath.Join(env.WorkDir, ".tmp"))
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":    startCommand,
			"signal":   signalCommand,
			"ended":    endedCommand,
			"await":    awaitCommand,
			"backend":  backendCommand,
			"runs":     runsCommand,
			"running":  runningCommand,
			"fault":    faultCommand,
			"report":   reportCommand,
			"books":    booksCommand,
			"fleet":    fleetCommand,
			"account":  accountCommand,
			"inforce":  inforceCommand,
			"once":     onceCommand,
			"truthful": truthfulCommand,
			"grab":     grabCommand,
			"equal":    equalCommand,
			"pause":    pauseCommand,
		},
	})
}

// serial is a testscript.T whose subtests do not run in parallel.
type serial struct{ *testing.T }

// Parallel does nothing.
func (serial) Parallel() {}

// Run implements testscript.T.
func (s serial) Run(name string, f func(testscript.T)) {
	s.T.Run(name, func(t *testing.T) { f(serial{t}) })
}

// Verbose implements testscript.T.
func (serial) Verbose() bool { return testing.Verbose() }
