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

// result is the result of one bluebellsail command.
type result struct {
	code   int
	stdout string
	stderr string
}

// command returns a bluebellsail command that is sent to the given hosts, in this order until one
// answers.
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

// runCLI runs a bluebellsail command.
func (f *fleet) runCLI(hosts []devfleet.Host, args ...string) result {
	f.t.Helper()
	return f.runCommand(f.command(hosts, args...))
}

func (f *fleet) runCommand(cmd *exec.Cmd) result {
	f.t.Helper()
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var status *exec.ExitError
	if err != nil && !errors.As(err, &status) {
		f.t.Error(err)
	}
	return result{code: cmd.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}
}

// mustRunCLI runs a bluebellsail command and fails the test unless it exits with status 0.
func (f *fleet) mustRunCLI(hosts []devfleet.Host, args ...string) string {
	f.t.Helper()
	o := f.runCLI(hosts, args...)
	if o.code != 0 {
		f.t.Fatalf("bluebellsail %q: status %d\n%s%s", args, o.code, o.stdout, o.stderr)
	}
	return o.stdout
}

// query runs a command at one host with a short timeout and decodes its output. It returns false if the
// command fails.
func (f *fleet) query(out any, h devfleet.Host, args ...string) bool {
	return f.queryAny(out, []devfleet.Host{h}, args...)
}

// queryAny is query at any of the hosts.
func (f *fleet) queryAny(out any, hosts []devfleet.Host, args ...string) bool {
	f.t.Helper()
	o := f.runCLI(hosts, append([]string{"--json", "--timeout", "3s"}, args...)...)
	if o.code != 0 {
		return false
	}
	if err := json.Unmarshal([]byte(o.stdout), out); err != nil {
		f.t.Fatalf("%v\n%s", err, o.stdout)
	}
	return true
}

// mustQuery repeats a query at any of the hosts until it succeeds.
func (f *fleet) mustQuery(out any, hosts []devfleet.Host, args ...string) {
	f.t.Helper()
	eventually(f.t, strings.Join(args, " "), func() bool { return f.queryAny(out, hosts, args...) })
}

func (f *fleet) budget(hosts []devfleet.Host, name string) (b adminapi.Budget) {
	f.t.Helper()
	f.mustQuery(&b, hosts, "budget", "show", name)
	return b
}

// awaitInForce waits until each host of the fleet reports that revision is committed and in force at all
// hosts.
func (f *fleet) awaitInForce(revision uint64) {
	f.t.Helper()
	for _, h := range f.layout.Hosts {
		eventually(f.t, "settings in force, as "+h.Host+" reports", func() bool {
			var s adminapi.ConfigStatus
			return f.query(&s, h, "config", "status") && s.CommittedKnown && s.CommittedRevision == revision &&
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

// decode decodes the JSON output of a bluebellsail command.
func decode[T any](t *testing.T, stdout string) (v T) {
	t.Helper()
	if err := json.Unmarshal([]byte(stdout), &v); err != nil {
		t.Fatalf("%v\n%s", err, stdout)
	}
	return v
}
