package procconfig

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// routed is a settings file of a gateway that also runs a replica.
const routed = `{
"fleet": "recife",
"host": "h1",
"zone": "olinda",
"roles": ["gateway", "control"],
"listen": {"operators": "192.0.2.1:8081", "peers": "192.0.2.1:8082"},
"data_dir": "/var/lib/bluebellsail",
"control": {"bootstrap": true, "losses": 1},
"seeds": ["192.0.2.1:8083", "192.0.2.2:8083"],
"routed": {
 "requests": "192.0.2.1:8080", "readiness": "192.0.2.1:8084", "registry": "192.0.2.1:8083",
 "retry": {"window": "10s", "share": 0.2, "extra": 54}
}
}`

func TestRoutedSettings(t *testing.T) {
	c, err := Decode([]byte(routed))
	testutil.NoError(t, err)
	if !c.Has(RoleGateway) || c.Routed.Retry.Extra != 54 || c.Routed.AddressTTL != defaultRoutedTTL || c.Control.EnoughVoters() != 3 {
		t.Errorf("read as %+v", c.Routed)
	}
	if got := c.SeedPeers(); len(got) != 1 || got[0] != "192.0.2.2:8082" {
		t.Errorf("the seeds' peer addresses are %v", got)
	}
	for name, tt := range map[string]struct {
		old, new string
		want     []string
	}{
		"no part routed":         {`"routed": {`, `"trace": {}, "routed_": {`, []string{"/routed_: unknown key"}},
		"gateway and entry":      {`["gateway", "control"]`, `["gateway", "entry", "control"]`, []string{"/roles: ", "/routed: ", "/listen/callers: "}},
		"no address for callers": {`"requests": "192.0.2.1:8080", `, ``, []string{"/routed/requests: is required"}},
		"address twice":          {`"192.0.2.1:8084"`, `"192.0.2.1:8083"`, []string{"/routed/registry: 192.0.2.1:8083 already occurs at /routed/readiness"}},
		"same as the peers'":     {`"192.0.2.1:8084"`, `"192.0.2.1:8082"`, []string{"/routed/readiness: 192.0.2.1:8082 already occurs at /listen/peers"}},
		"share above 1":          {`"share": 0.2`, `"share": 1.2`, []string{"/routed/retry/share: "}},
		"negative extra":         {`54`, `-1`, []string{"/routed/retry: "}},
		"seed twice":             {`"192.0.2.2:8083"]`, `"192.0.2.1:8083"]`, []string{"/seeds/1: "}},
		"seed without a port":    {`"192.0.2.2:8083"]`, `"192.0.2.2"]`, []string{"/seeds/1: "}},
		"forwarder without port": {`"peers": "192.0.2.1:8082"`, `"peers": "192.0.2.1:8082", "peers_advertised": "192.0.2.7"`, []string{"/listen/peers_advertised: "}},
		"source by name":         {`"peers": "192.0.2.1:8082"`, `"peers": "192.0.2.1:8082", "source": "eth0"`, []string{"/listen/source: "}},
		"negative losses":        {`"losses": 1`, `"losses": -1`, []string{"/control/losses: "}},
		"address kept too long":  {`"retry"`, `"address_ttl": "10h", "retry"`, []string{"/routed/address_ttl: "}},
		"neither seeds nor group": {`"seeds": ["192.0.2.1:8083", "192.0.2.2:8083"],`, ``,
			[]string{"/control/members: is required", "/control/bootstrap: "}},
	} {
		t.Run(name, func(t *testing.T) {
			if !strings.Contains(routed, tt.old) {
				t.Fatalf("the file has no %s", tt.old)
			}
			_, err := Decode([]byte(strings.Replace(routed, tt.old, tt.new, 1)))
			expectFaults(t, err, tt.want)
		})
	}
}

// follower runs Follow on a temporary file.
type follower struct {
	path    string
	signals chan os.Signal
	read    chan *Config
	log     testutil.LogBuffer
}

// await waits for a log line with the event.
func (f *follower) await(t *testing.T, event string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if strings.Contains(f.log.String(), event) {
			return
		}
	}
	t.Fatalf("no log line with the event %s", event)
}

func startFollower(t *testing.T) *follower {
	f := &follower{path: filepath.Join(t.TempDir(), "settings.json"), signals: make(chan os.Signal), read: make(chan *Config, 10)}
	f.write(t, routed)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Follow(ctx, f.path, f.signals, zerolog.New(&f.log), func(c *Config) { f.read <- c })
	}()
	t.Cleanup(func() { cancel(); <-ended })
	f.signals <- os.Interrupt // Follow has read the file once by then
	return f
}

func (f *follower) write(t *testing.T, text string) {
	t.Helper()
	testutil.NoError(t, os.WriteFile(f.path, []byte(text), 0o600))
}

func TestChangedFileIsReloaded(t *testing.T) {
	other := strings.Replace(routed, `"192.0.2.2:8083"]`, `"192.0.2.9:8083"]`, 1)
	for name, signalled := range map[string]bool{"on a signal": true, "without one": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFollower(t)
			f.write(t, other)
			if signalled {
				f.signals <- os.Interrupt
			}
			select {
			case c := <-f.read:
				if c.Seeds[1] != "192.0.2.9:8083" {
					t.Errorf("read %v", c.Seeds)
				}
			case <-time.After(10 * time.Second):
				t.Fatal("the changed file was not reloaded")
			}
		})
	}
}

func TestFaultyFileIsIgnored(t *testing.T) {
	// The file may be half written or missing when the signal arrives. If it were taken for the
	// new settings, the process would stop or lose its seeds.
	f := startFollower(t)
	f.write(t, routed[:len(routed)/2])
	f.signals <- os.Interrupt
	f.await(t, "settings-file-refused")
	testutil.NoError(t, os.Remove(f.path))
	f.signals <- os.Interrupt
	f.await(t, "settings-file-unreadable")
	f.write(t, routed)
	f.signals <- os.Interrupt
	select {
	case c := <-f.read:
		if c.Seeds[1] != "192.0.2.2:8083" {
			t.Errorf("the reloaded seeds are %v", c.Seeds)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the valid file was not reloaded after the faulty one")
	}
}
