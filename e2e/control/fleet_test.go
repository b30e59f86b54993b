package control

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/devfleet"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
)

// replicas is how many hosts of a test's fleet have a replica of the control group.
const replicas = 3

// fleet is a fleet of real processes.
type fleet struct {
	t      *testing.T
	layout *devfleet.Layout
	hosts  map[string]*process
}

// newFleet writes the settings of a fleet, applies the edits, starts the hosts and waits until they
// are up.
func newFleet(t *testing.T, hosts int, tls bool, edits ...func(*procconfig.Config)) *fleet {
	t.Helper()
	if testing.Short() {
		t.Skip("starts real processes")
	}
	layout, err := devfleet.Init(devfleet.Options{
		Dir: t.TempDir(), Hosts: hosts, Controls: replicas, Zones: []string{"a", "b", "c"}, TLS: tls})
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, layout: layout, hosts: map[string]*process{}}
	t.Cleanup(f.showLogs)
	for _, h := range layout.Hosts {
		for _, edit := range edits {
			f.editSettings(h, edit)
		}
		f.start(h)
	}
	f.awaitUp(layout.Hosts...)
	return f
}

func (f *fleet) start(h devfleet.Host) {
	f.t.Helper()
	f.hosts[h.Host] = startProcess(f.t, f.layout.Dir, h.Host, "bluebellsaild", "run", h.Settings)
}

func (f *fleet) kill(h devfleet.Host) { f.hosts[h.Host].kill() }

func (f *fleet) signal(h devfleet.Host, s syscall.Signal) {
	f.t.Helper()
	f.hosts[h.Host].signal(f.t, s)
}

// awaitUp waits until each of the hosts reaches the control group and sees all of them alive. A host
// that has just started takes some seconds more to serve callers if there is no backend server.
func (f *fleet) awaitUp(hosts ...devfleet.Host) {
	f.t.Helper()
	for _, h := range hosts {
		eventually(f.t, h.Host+" is up", func() bool {
			var s adminapi.Status
			return f.query(&s, h, "status") && s.Control != nil && s.HostsAlive >= len(hosts)
		})
	}
}

// host returns the host with a name.
func (f *fleet) host(name string) devfleet.Host {
	f.t.Helper()
	for _, h := range f.layout.Hosts {
		if h.Host == name {
			return h
		}
	}
	f.t.Fatalf("no host %q", name)
	return devfleet.Host{}
}

// members returns the control group as its leader knows it. Any of the hosts may answer.
func (f *fleet) members(hosts ...devfleet.Host) (g adminapi.GroupStatus, ok bool) {
	ok = f.queryAny(&g, hosts, "control", "members")
	return g, ok
}

// leader waits until the control group has a leader and returns its host. Any of the hosts may
// answer.
func (f *fleet) leader(hosts ...devfleet.Host) devfleet.Host {
	f.t.Helper()
	name := ""
	eventually(f.t, "the control group has a leader", func() bool {
		g, _ := f.members(hosts...)
		for _, m := range g.Members {
			if m.ID == g.Leader {
				name = m.Host
			}
		}
		return name != ""
	})
	return f.host(name)
}

// without returns the fleet's hosts except the excluded ones.
func (f *fleet) without(excluded ...devfleet.Host) []devfleet.Host {
	var out []devfleet.Host
	for _, h := range f.layout.Hosts {
		skip := false
		for _, g := range excluded {
			skip = skip || g.Host == h.Host
		}
		if !skip {
			out = append(out, h)
		}
	}
	return out
}

// loseDisk kills a host and deletes its data directory.
func (f *fleet) loseDisk(h devfleet.Host) {
	f.t.Helper()
	f.kill(h)
	c := f.config(h)
	if err := os.RemoveAll(c.DataDir); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) config(h devfleet.Host) *procconfig.Config {
	f.t.Helper()
	c, err := procconfig.Load(h.Settings)
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

// editSettings changes a host's settings file.
func (f *fleet) editSettings(h devfleet.Host, edit func(*procconfig.Config)) {
	f.t.Helper()
	c := f.config(h)
	edit(c)
	b, err := json.Marshal(c)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(h.Settings, b, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) log(h devfleet.Host) string {
	f.t.Helper()
	b, err := os.ReadFile(filepath.Join(f.layout.Dir, h.Host+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	return string(b)
}

// showLogs prints the last lines of each host's log when the test has failed.
func (f *fleet) showLogs() {
	if !f.t.Failed() {
		return
	}
	const lines = 15
	for _, h := range f.layout.Hosts {
		all := strings.Split(strings.TrimSpace(f.log(h)), "\n")
		f.t.Logf("%s:\n%s", h.Host, strings.Join(all[max(0, len(all)-lines):], "\n"))
	}
}
