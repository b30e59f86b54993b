package devfleet

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/procconfig"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/tlsutil"
)

func TestInitWritesAFleetThatLoads(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "it's new")
	l, err := Init(Options{Dir: dir, Hosts: 5, Controls: 3, Zones: []string{"x", "y"}})
	if err != nil {
		t.Fatal(err)
	}
	key, err := os.ReadFile(l.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	hash := settings.HashKey(strings.TrimSpace(string(key)))
	addresses := map[string]bool{}
	for i, h := range l.Hosts {
		c, err := procconfig.Load(h.Settings)
		if err != nil {
			t.Fatalf("%s:\n%v", h.Settings, err)
		}
		if c.Host != h.Host || c.Zone != h.Zone || c.Has(procconfig.RoleControl) != h.Control || h.Control != (i < 3) {
			t.Errorf("%+v does not match %+v", c, h)
		}
		if len(c.Control.Members) != 3 || len(c.Peers) != 5 || !slices.Equal(c.OperatorKeyHashes, []string{hash}) {
			t.Errorf("%s: members %v, peers %v, hashes %v", h.Host, c.Control.Members, c.Peers, c.OperatorKeyHashes)
		}
		addresses[h.Callers], addresses[h.Operators], addresses[h.Peers] = true, true, true
	}
	if len(addresses) != 5*portsPerHost {
		t.Errorf("%d different addresses, want %d", len(addresses), 5*portsPerHost)
	}
	env, err := os.ReadFile(l.EnvFile)
	if err != nil || !strings.Contains(string(env), `it'\''s new/operator.key'`) || !strings.Contains(string(env), l.Hosts[4].Operators) {
		t.Errorf("%v\n%s", err, env)
	}
	info, err := os.Stat(l.KeyFile)
	if err != nil || info.Mode().Perm() != fileMode {
		t.Errorf("the key's mode is %v, %v", info.Mode(), err)
	}
}

func TestInitWithTLSCertifiesEveryListener(t *testing.T) {
	l, err := Init(Options{Dir: t.TempDir(), Hosts: 2, Controls: 1, Zones: []string{"x"}, TLS: true})
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range l.Hosts {
		c, err := procconfig.Load(h.Settings)
		if err != nil {
			t.Fatal(err)
		}
		for _, pair := range []*procconfig.KeyPair{c.TLS.Callers, c.TLS.Operators} {
			if _, err := tlsutil.LoadKeyPair(pair.Cert, pair.Key); err != nil {
				t.Error(err)
			}
		}
		if _, err := tlsutil.LoadPeers(c.TLS.Peers.Cert, c.TLS.Peers.Key, c.TLS.Peers.CA, nil); err != nil {
			t.Error(err)
		}
	}
	env, err := os.ReadFile(l.EnvFile)
	if err != nil || !strings.Contains(string(env), "BLUEBELLSAIL_CA='"+l.CA+"'") {
		t.Errorf("%v\n%s", err, env)
	}
}

func TestInitRejectsInvalidOptions(t *testing.T) {
	used := t.TempDir()
	if err := os.WriteFile(filepath.Join(used, "x"), nil, fileMode); err != nil {
		t.Fatal(err)
	}
	for want, o := range map[string]Options{
		"not empty":                 {Dir: used, Hosts: 1, Controls: 1, Zones: []string{"x"}},
		"0 hosts":                   {Dir: t.TempDir(), Controls: 1, Zones: []string{"x"}},
		"2 control":                 {Dir: t.TempDir(), Hosts: 1, Controls: 2, Zones: []string{"x"}},
		"at least one":              {Dir: t.TempDir(), Hosts: 1, Controls: 1},
		`"x y" is not a valid name`: {Dir: t.TempDir(), Hosts: 1, Controls: 1, Zones: []string{"x y"}},
	} {
		if _, err := Init(o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}
