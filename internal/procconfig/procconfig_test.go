package procconfig

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const hash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// valid is a settings file of a host with the roles entry and control. It has one setting per
// line so that tests can replace them.
const valid = `{
"fleet": "recife",
"host": "h1",
"zone": "olinda",
"roles": ["entry", "control"],
"listen": {"callers": "192.0.2.1:8080", "operators": "192.0.2.1:8081", "peers": "192.0.2.1:8082"},
"data_dir": "/var/lib/bluebellsail",
"control": {"members": [
 {"id": 1, "host": "h1", "address": "192.0.2.1:8082"},
 {"id": 2, "host": "h2", "address": "192.0.2.2:8082"}
]},
"peers": [
 {"host": "h1", "zone": "olinda", "address": "192.0.2.1:8082"},
 {"host": "h2", "zone": "imbiribeira", "address": "192.0.2.2:8082"}
],
"tls": {"peers": {"cert": "c.pem", "key": "k.pem", "ca": "ca.pem"}},
"operator_key_hashes": ["` + hash + `"],
"log": {"level": "debug"},
"trace": {"file": "/tmp/spans"},
"limits": {"streams": 10},
"timing": {"heartbeat": "100ms"}
}`

func TestDecodeFillsDefaults(t *testing.T) {
	c, err := Decode([]byte(valid))
	testutil.NoError(t, err)
	if c.Timing.Heartbeat.Std() != 100*time.Millisecond || c.Limits.Streams != 10 || c.Log.Level != "debug" {
		t.Errorf("given values are lost: %+v %+v %+v", c.Timing, c.Limits, c.Log)
	}
	if c.Control.Tick != defaultTick || c.Timing.DeadAfter != defaultDeadAfter || c.Limits.MaxBodyBytes != 4<<20 {
		t.Errorf("defaults are not filled in: %+v", c)
	}
	if m, ok := c.Self(); !ok || m.ID != 1 {
		t.Errorf("own member: %+v %v", m, ok)
	}
}

func TestDecodeReportsEveryFault(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     []string // starts of the fault lines, in order
	}{
		{"unknown key", `"fleet": "recife"`, `"fleet": "recife", "fleat": 1`, []string{"/fleat: unknown key"}},
		{"key in other case", `"log": {"level"`, `"log": {"Level"`, []string{"/log/Level: unknown key"}},
		{"key twice", `"zone": "olinda",`, `"zone": "olinda", "zone": "boa-vista",`, []string{"/zone: the key occurs twice"}},
		{"null", `"host": "h1",`, `"host": null,`, []string{"/host: null is not allowed here"}},
		{"syntax", `"host": "h1",`, `"host": "h1"`, []string{"line 4: "}},
		{"not UTF-8", `"olinda"`, "\"\xff\"", []string{"the file is not UTF-8"}},
		{"duration without a unit", `"100ms"`, `100`, []string{"/timing/heartbeat: a duration must be a string with a unit"}},
		{"duration with a wrong unit", `"100ms"`, `"100 msec"`, []string{`/timing/heartbeat: "100 msec" is not a duration`}},
		{"size with a unit", `{"streams": 10}`, `{"max_body_bytes": "4MB"}`, []string{"/limits/max_body_bytes: must be a whole number, got string"}},
		{"broken number", `{"streams": 10}`, `{"streams": 1.5}`, []string{"/limits/streams: must be a whole number, got number 1.5"}},
		{"negative id", `"id": 2`, `"id": -2`, []string{"/control/members/1/id: must be a whole number that is not negative"}},
		{"list for object", `{"streams": 10}`, `[]`, []string{"/limits: must be an object"}},
		{"object for list", `["entry", "control"]`, `{}`, []string{"/roles: must be a list"}},
		{"two faults of form", `{"streams": 10}`, `{"streams": "x", "y": 1}`, []string{"/limits/streams: must be", "/limits/y: unknown key"}},
		{"no fleet", `"fleet": "recife",`, ``, []string{"/fleet: is required"}},
		{"name with a space", `"fleet": "recife"`, `"fleet": "re cife"`, []string{`/fleet: "re cife" is not a valid name`}},
		{"combining accent", `"fleet": "recife"`, `"fleet": "n\u0303un\u0303oa"`, []string{"/fleet: \"n\u0303"}},
		{"letter with accent", `"fleet": "recife"`, `"fleet": "ñuñoa"`, nil},
		{"long name", `"fleet": "recife"`, `"fleet": "` + strings.Repeat("x", 65) + `"`, []string{"/fleet: "}},
		{"no roles", `["entry", "control"]`, `[]`, []string{"/control/members: host", "/data_dir: ", "/listen/callers: must not be set without the role entry", "/roles: is required"}},
		{"role unknown", `["entry", "control"]`, `["entry", "control", "spare"]`, []string{`/roles/2: "spare" is not a role`}},
		{"role twice", `["entry", "control"]`, `["entry", "control", "entry"]`, []string{`/roles/2: "entry" occurs twice`}},
		{"host name for address", `"192.0.2.1:8081"`, `"operators.example:8081"`, []string{`/listen/operators: "operators.example:8081" is not an address`}},
		{"all interfaces", `"192.0.2.1:8081"`, `"0.0.0.0:8081"`, []string{"/listen/operators: "}},
		{"multicast", `"192.0.2.1:8081"`, `"224.0.0.1:8081"`, []string{"/listen/operators: "}},
		{"port 0", `"192.0.2.1:8081"`, `"192.0.2.1:0"`, []string{"/listen/operators: "}},
		{"no port", `"192.0.2.1:8081"`, `"192.0.2.1"`, []string{"/listen/operators: "}},
		{"unusual IPv6", `"192.0.2.1:8081"`, `"[2001:db8:0::1]:8081"`, []string{`/listen/operators: "[2001:db8:0::1]:8081" is not in canonical form; write "[2001:db8::1]:8081"`}},
		{"address twice", `"192.0.2.1:8081"`, `"192.0.2.1:8080"`, []string{"/listen/operators: 192.0.2.1:8080 already occurs at /listen/callers"}},
		{"no data folder", `"data_dir": "/var/lib/bluebellsail",`, ``, []string{"/data_dir: is required"}},
		{"relative data folder", `"/var/lib/bluebellsail"`, `"data"`, []string{`/data_dir: "data" is not an absolute path`}},
		{"data folder without a disk role", `["entry", "control"]`, `["entry"]`, []string{"/control/members: ", "/data_dir: "}},
		{"id 0", `"id": 2`, `"id": 0`, []string{"/control/members/1/id: is required"}},
		{"id twice", `"id": 2`, `"id": 1`, []string{"/control/members/1/id: 1 already occurs at /control/members/0/id"}},
		{"member host twice", `"id": 2, "host": "h2"`, `"id": 2, "host": "h1"`, []string{"/control/members/1/address: ", "/control/members/1/host: h1 already occurs at", "/peers/0: ", "/peers/1: "}},
		{"own member elsewhere", `"id": 1, "host": "h1", "address": "192.0.2.1:8082"`, `"id": 1, "host": "h1", "address": "192.0.2.9:8082"`, []string{"/control/members/0/address: 192.0.2.9:8082 is not listen.peers", "/peers/0: host and address do not match"}},
		{"not a member", `"host": "h1",`, `"host": "h9",`, []string{"/control/members/0/address: 192.0.2.1:8082 is this host's own", "/control/members: no member is on host", "/peers/0/address: 192.0.2.1:8082 is this host's own"}},
		{"join", `{"members": [`, `{"join": true, "members": [`, nil},
		{"tick of 0", `{"members": [`, `{"tick": "0s", "members": [`, []string{"/control/tick: 0s is out of range"}},
		{"too few election ticks", `{"members": [`, `{"election_ticks": 1, "members": [`, []string{"/control/election_ticks: "}},
		{"tiny log", `{"members": [`, `{"max_log_bytes": 1, "members": [`, []string{"/control/max_log_bytes: "}},
		{"peer address twice", `"zone": "imbiribeira", "address": "192.0.2.2:8082"`, `"zone": "imbiribeira", "address": "192.0.2.1:8082"`, []string{"/peers/1/address: 192.0.2.1:8082 is this host's own", "/peers/1/address: 192.0.2.1:8082 already occurs at", "/peers/1: ", "/peers/1: "}},
		{"own zone differs", `"zone": "olinda", "address"`, `"zone": "boa-vista", "address"`, []string{`/peers/0/zone: "boa-vista" is not the zone of this host, "olinda"`}},
		{"no CA", `, "ca": "ca.pem"`, ``, []string{"/tls/peers/ca: is required"}},
		{"certificate without key", `"tls": {`, `"tls": {"callers": {"cert": "c.pem"}, `, []string{"/tls/callers/key: is required"}},
		{"hash twice", `["` + hash + `"]`, `["` + hash + `", "` + hash + `"]`, []string{"/operator_key_hashes/1: "}},
		{"log level", `"debug"`, `"loud"`, []string{`/log/level: "loud" is not a log level`}},
		{"two traces", `{"file": "/tmp/spans"}`, `{"file": "/tmp/spans", "otlp_url": "collector:4318"}`, []string{"/trace/otlp_url: ", "/trace: "}},
		{"no streams", `{"streams": 10}`, `{"streams": 0}`, []string{"/limits/streams: "}},
		{"huge body", `{"streams": 10}`, `{"max_body_bytes": 1000000000}`, []string{"/limits/max_body_bytes: "}},
		{"bounds below zero", `{"streams": 10}`, `{"link_mbps": -1, "memory_mb": -1, "processors": -1}`,
			[]string{"/limits/link_mbps: ", "/limits/memory_mb: ", "/limits/processors: "}},
		{"no drain", `{"streams": 10}`, `{"drain_timeout": "0s"}`, []string{"/limits/drain_timeout: "}},
		{"suspect too soon", `"100ms"`, `"1s"`, []string{"/timing/suspect_after: 2s is not more than 2 heartbeats of 1s"}},
		{"dead before suspect", `"100ms"`, `"100ms", "dead_after": "1s"`, []string{"/timing/dead_after: "}},
		{"other periods", `"100ms"`, `"1ms", "server_lapse": "1ms", "settle_every": "1m"`,
			[]string{"/timing/heartbeat: ", "/timing/server_lapse: ", "/timing/settle_every: "}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !strings.Contains(valid, tt.old) {
				t.Fatalf("the valid file has no %s", tt.old)
			}
			_, err := Decode([]byte(strings.Replace(valid, tt.old, tt.new, 1)))
			expectFaults(t, err, tt.want)
		})
	}
}

func expectFaults(t *testing.T, err error, want []string) {
	t.Helper()
	var got Faults
	if err != nil && !errors.As(err, &got) {
		t.Fatalf("the error is not of type Faults: %v", err)
	}
	if len(got) != len(want) {
		t.Fatalf("got %d faults, want %d:\n%v", len(got), len(want), err)
	}
	left := append([]string(nil), want...)
	for _, f := range got {
		for i, w := range left {
			if strings.HasPrefix(f.String(), w) {
				left = append(left[:i], left[i+1:]...)
				break
			}
		}
	}
	if len(left) > 0 {
		t.Errorf("missing %q in:\n%v", left, err)
	}
	if len(want) > 0 && !errkind.Is(err, errkind.InvalidSettings) {
		t.Errorf("the error is not of the kind %s", errkind.InvalidSettings)
	}
}

// An operator may write a key itself where its hash belongs. The message about the fault, which
// is logged, must not repeat the key.
func TestKeyInPlaceOfHashIsNotRepeated(t *testing.T) {
	const key = "bbs_op_1234567890"
	_, err := Decode([]byte(strings.Replace(valid, hash, key, 1)))
	if err == nil || strings.Contains(err.Error(), key) {
		t.Fatalf("want an error without the key, got %v", err)
	}
	if !strings.Contains(err.Error(), "/operator_key_hashes/0") {
		t.Fatalf("the error does not have the path of the key: %v", err)
	}
}

func TestLoadRejectsInvalidFiles(t *testing.T) {
	dir := t.TempDir()
	long := filepath.Join(dir, "long.json")
	testutil.NoError(t, os.WriteFile(long, []byte(valid+strings.Repeat(" ", maxFileBytes)), 0o600))
	for _, path := range []string{filepath.Join(dir, "absent.json"), dir, long} {
		if _, err := Load(path); err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: want an error that names the file, got %v", path, err)
		}
	}
}

// FuzzDecode checks that no input causes a panic, and that accepted settings stay the same when
// they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"control": {"members": [{"id": 18446744073709551616}]}}`))
	f.Add([]byte(`{"timing": {"heartbeat": "9223372036854775807ns"}}`))
	f.Add([]byte(`{"tls": {"peers": {}}, "roles": ["control", "control"]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := Decode(b)
		if err != nil {
			var faults Faults
			if !errors.As(err, &faults) || len(faults) == 0 {
				t.Fatalf("the error is not of type Faults: %v", err)
			}
			return
		}
		out, err := json.Marshal(c)
		testutil.NoError(t, err)
		again, err := Decode(out)
		if err != nil {
			t.Fatalf("the encoded settings are rejected: %v\n%s", err, out)
		}
		out2, _ := json.Marshal(again)
		if string(out) != string(out2) {
			t.Fatalf("the settings changed when decoded again:\n%s\n%s", out, out2)
		}
	})
}
