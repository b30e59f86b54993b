package control

import (
	"bytes"
	"encoding/json"
	"errors"
	"os/exec"
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/devfleet"
)

// outcome is how one run of bluebellsail ended.
type outcome struct {
	code   int
	stdout string
	stderr string
}

// command is one run of bluebellsail at hosts.
func (f *fleet) command(hosts []devfleet.Host, args ...string) *exec.Cmd {
	all := []string{"--key-file", f.layout.KeyFile}
	if f.layout.CA != "" {
		all = append(all, "--ca", f.layout.CA)
	}
	for _, h := range hosts {
		all = append(all, "--address", h.Operators)
	}
	return exec.Command("bluebellsail", append(all, args...)...)
}

// try runs bluebellsail at hosts, tried in turn.
func (f *fleet) try(hosts []devfleet.Host, args ...string) outcome {
	f.t.Helper()
	return f.finish(f.command(hosts, args...))
}

func (f *fleet) finish(cmd *exec.Cmd) outcome {
	f.t.Helper()
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var status *exec.ExitError
	if err != nil && !errors.As(err, &status) {
		f.t.Error(err)
	}
	return outcome{code: cmd.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}
}

// do runs bluebellsail at hosts and fails the test unless it exits with 0.
func (f *fleet) do(hosts []devfleet.Host, args ...string) string {
	f.t.Helper()
	o := f.try(hosts, args...)
	if o.code != 0 {
		f.t.Fatalf("bluebellsail %q: status %d\n%s%s", args, o.code, o.stdout, o.stderr)
	}
	return o.stdout
}

// ask reads an answer at one host within a short time; false without one.
func (f *fleet) ask(out any, h devfleet.Host, args ...string) bool {
	return f.askAny(out, []devfleet.Host{h}, args...)
}

func (f *fleet) askAny(out any, hosts []devfleet.Host, args ...string) bool {
	f.t.Helper()
	o := f.try(hosts, append([]string{"--json", "--timeout", "3s"}, args...)...)
	if o.code != 0 {
		return false
	}
	if err := json.Unmarshal([]byte(o.stdout), out); err != nil {
		f.t.Fatalf("%v\n%s", err, o.stdout)
	}
	return true
}

// mustAsk waits for an answer from any of hosts.
func (f *fleet) mustAsk(out any, hosts []devfleet.Host, args ...string) {
	f.t.Helper()
	eventually(f.t, strings.Join(args, " "), func() bool { return f.askAny(out, hosts, args...) })
}

func (f *fleet) budget(hosts []devfleet.Host, name string) (b adminapi.Budget) {
	f.t.Helper()
	f.mustAsk(&b, hosts, "budget", "show", name)
	return b
}

// awaitInForce waits until each host of the fleet has the committed revision in force,
// by the word of each of them.
func (f *fleet) awaitInForce(revision uint64) {
	f.t.Helper()
	for _, h := range f.layout.Hosts {
		eventually(f.t, "settings in force, as "+h.Host+" sees it", func() bool {
			var s adminapi.ConfigStatus
			return f.ask(&s, h, "config", "status") && s.CommittedKnown && s.CommittedRevision == revision &&
				allInForce(s.Hosts, len(f.layout.Hosts))
		})
	}
}

func allInForce(hosts []adminapi.HostRevision, want int) bool {
	n := 0
	for _, h := range hosts {
		if h.InForce {
			n++
		}
	}
	return n == want
}

// decode reads the JSON that a run of bluebellsail printed.
func decode[T any](t *testing.T, stdout string) (v T) {
	t.Helper()
	if err := json.Unmarshal([]byte(stdout), &v); err != nil {
		t.Fatalf("%v\n%s", err, stdout)
	}
	return v
}
