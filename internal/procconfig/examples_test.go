package procconfig

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const (
	examplesDir     = "../../examples"
	exampleHosts    = 7
	exampleReplicas = 3
	exampleAccounts = 10
)

// The examples must use the documentation ranges of RFC 5737, so that an unchanged copy of an
// example never reaches a real host.
var documentationRanges = []netip.Prefix{
	netip.MustParsePrefix("192.0.2.0/24"),
	netip.MustParsePrefix("198.51.100.0/24"),
}

func TestExamplesAreCompleteFleets(t *testing.T) {
	for _, fleet := range []string{"recife", "santiago"} {
		t.Run(fleet, func(t *testing.T) {
			hosts := loadExample(t, fleet)
			if len(hosts) != exampleHosts {
				t.Fatalf("%d hosts, want %d", len(hosts), exampleHosts)
			}
			diskZones := map[string]bool{}
			for _, c := range hosts {
				checkExampleHost(t, c, hosts[0])
				if c.Fleet != fleet {
					t.Errorf("host %s belongs to fleet %s", c.Host, c.Fleet)
				}
				if c.Has(RoleControl) {
					diskZones[c.Zone] = true
				}
			}
			if len(diskZones) != exampleReplicas || len(hosts[0].Control.Members) != exampleReplicas {
				t.Errorf("replicas are in zones %v, want %d different ones", diskZones, exampleReplicas)
			}
		})
	}
}

func loadExample(t *testing.T, fleet string) []*Config {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(examplesDir, fleet, "*-*.json"))
	testutil.NoError(t, err)
	var hosts []*Config
	for _, f := range files {
		c, err := Load(f)
		if err != nil {
			t.Fatalf("%s:\n%v", f, err)
		}
		if filepath.Base(f) != c.Host+".json" {
			t.Errorf("file %s has the settings of host %s", f, c.Host)
		}
		hosts = append(hosts, c)
	}
	return hosts
}

// checkExampleHost checks that c agrees with the fleet's other files.
func checkExampleHost(t *testing.T, c, first *Config) {
	t.Helper()
	if !reflect.DeepEqual(c.Control.Members, first.Control.Members) || !reflect.DeepEqual(c.Peers, first.Peers) {
		t.Errorf("%s and %s have different members or peers", c.Host, first.Host)
	}
	listed := false
	for _, p := range c.Peers {
		listed = listed || p.Host == c.Host
	}
	if !listed {
		t.Errorf("%s is not in the list of peers", c.Host)
	}
	ip := netip.MustParseAddrPort(c.Listen.Callers).Addr()
	if !documentationRanges[0].Contains(ip) && !documentationRanges[1].Contains(ip) {
		t.Errorf("%s: %s is not in a documentation range", c.Host, ip)
	}
}

func TestExampleTreesAreComplete(t *testing.T) {
	for _, fleet := range []string{"recife", "santiago"} {
		tree := loadTree(t, fleet)
		m := settings.New()
		for name, team := range tree.Teams {
			setSubtree(t, m, "/teams/"+name, team)
		}
		for name, account := range tree.Accounts {
			setSubtree(t, m, "/accounts/"+name, account)
		}
		setSubtree(t, m, "/fleet", tree.Fleet)
		if len(tree.Accounts) != exampleAccounts {
			t.Errorf("%s: %d accounts, want %d", fleet, len(tree.Accounts), exampleAccounts)
		}
		priorities := map[settings.Priority]bool{}
		for _, a := range tree.Accounts {
			priorities[tree.Teams[a.Team].Priority] = true
		}
		for _, p := range []settings.Priority{settings.Urgent, settings.Normal, settings.Batch} {
			if !priorities[p] {
				t.Errorf("%s: no account belongs to a team of priority %s", fleet, p)
			}
		}
	}
}

func loadTree(t *testing.T, fleet string) *settings.Tree {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(examplesDir, fleet, "tree.json"))
	testutil.NoError(t, err)
	tree := new(settings.Tree)
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(tree); err != nil {
		t.Fatalf("%s: %v", fleet, err)
	}
	return tree
}

// setSubtree checks v by setting it in the settings tree.
func setSubtree(t *testing.T, m *settings.Machine, path string, v any) {
	t.Helper()
	b, err := json.Marshal(v)
	testutil.NoError(t, err)
	if _, _, err := m.Set(&pb.SetConfig{Path: path, ValueJson: b}, "op"+path, "test", 0); err != nil {
		t.Errorf("%s: %v", path, err)
	}
}
