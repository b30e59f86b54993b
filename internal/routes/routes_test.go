package routes

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

func service(name string) Service { return Service{Name: name} }

func route(name, host, prefix string, targets ...Target) Route {
	if len(targets) == 0 {
		targets = []Target{{Service: "pool", Weight: 1}}
	}
	return Route{
		Name: name, Host: host, Prefix: prefix, Kind: Idempotent, Timeout: settings.Duration(time.Second),
		Targets: targets, MaxAttempts: 2,
	}
}

func table(routes ...Route) *Table {
	return &Table{Routes: routes, Services: []Service{service("pool"), service("desk")}}
}

func TestCheckReportsThePathOfTheFault(t *testing.T) {
	noTimeout := route("a", "h", "/a/")
	noTimeout.Timeout = 0
	noAttempt := route("a", "h", "/a/")
	noAttempt.MaxAttempts = 0
	noKind := route("a", "h", "/a/")
	noKind.Kind = "often"
	shared := table()
	shared.Accounts = []Account{{Name: "x", KeyHashes: []string{"k"}}, {Name: "y", KeyHashes: []string{"k"}}}
	twice := table()
	twice.Accounts = []Account{{Name: "x"}, {Name: "x"}}
	for name, c := range map[string]struct {
		table *Table
		path  string
	}{
		"unknown service":      {table(route("a", "h", "/a/", Target{"nowhere", 1})), "/routes/0/targets/0/service"},
		"same place":           {table(route("a", "h", "/a/"), route("b", "H", "/a/")), "/routes/1"},
		"no weight":            {table(route("a", "h", "/a/", Target{"pool", 0}, Target{"desk", 0})), "/routes/0/targets"},
		"weights overflow":     {table(route("a", "h", "/a/", Target{"pool", 1 << 63}, Target{"desk", 1 << 63})), "/routes/0/targets"},
		"no timeout":           {table(noTimeout), "/routes/0/timeout"},
		"no attempt":           {table(noAttempt), "/routes/0/max_attempts"},
		"unknown kind":         {table(noKind), "/routes/0/kind"},
		"prefix without slash": {table(route("a", "h", "/a")), "/routes/0/prefix"},
		"no host":              {table(route("a", "", "/a/")), "/routes/0/host"},
		"service twice":        {&Table{Services: []Service{service("s"), service("s")}}, "/services/1/name"},
		"negative limit":       {&Table{Limits: Limits{BodyBytes: -1}}, "/limits"},
		"shared key":           {shared, "/accounts/1/key_hashes"},
		"account twice":        {twice, "/accounts/1/name"},
	} {
		t.Run(name, func(t *testing.T) {
			err := c.table.Check()
			if e := errkind.From(err); e == nil || e.Kind != errkind.InvalidSettings || e.Path != c.path {
				t.Fatalf("got %v, want a fault at %s", err, c.path)
			}
		})
	}
	if err := table(route("a", "h", "/a/"), route("b", "h", "/a/b/"), route("c", "g", "/a/")).Check(); err != nil {
		t.Errorf("a valid table is rejected: %v", err)
	}
}

func TestLongestPrefixWins(t *testing.T) {
	x := NewIndex(1, table(route("root", "h", "/"), route("a", "h", "/a/"), route("ab", "h", "/a/b/"), route("other", "g", "/a/b/c/")))
	for path, want := range map[string]string{
		"/": "root", "/x": "root", "/a": "root", "/a/": "a", "/a/x": "a", "/a/b": "a", "/a/b/": "ab", "/a/b/c/d": "ab",
	} {
		r, err := x.Route("H:8080", path)
		if err != nil || r.Name != want {
			t.Errorf("%s: got route %v, %v; want %s", path, r, err, want)
		}
	}
	if _, err := x.Route("nobody", "/a/"); !errkind.Is(err, errkind.UnknownPath) {
		t.Errorf("an unknown host gets %v", err)
	}
	if _, err := x.Route("g", "/a/b/"); !errkind.Is(err, errkind.UnknownPath) {
		t.Errorf("a path above every prefix gets %v", err)
	}
}

// Checks the index against a linear search of all routes.
func TestRouteAgreesWithLinearSearch(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "c", ""})
	rapid.Check(t, func(t *rapid.T) {
		path := func(label string) string {
			p := "/"
			for range rapid.IntRange(0, 4).Draw(t, label) {
				p += segment.Draw(t, label) + "/"
			}
			return p
		}
		all := &Table{}
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			r := route("", rapid.SampledFrom([]string{"h", "g"}).Draw(t, "host"), path("prefix"))
			r.Name = r.Host + r.Prefix
			all.Routes = append(all.Routes, r)
		}
		x := NewIndex(1, all)
		requested := path("asked") + rapid.SampledFrom([]string{"", "tail"}).Draw(t, "tail")
		best := ""
		for _, r := range all.Routes {
			if r.Host == "h" && len(r.Prefix) <= len(requested) && requested[:len(r.Prefix)] == r.Prefix && len(r.Name) > len(best) {
				best = r.Name
			}
		}
		found, err := x.Route("h", requested)
		if best == "" != (err != nil) || best != "" && found.Name != best {
			t.Fatalf("%s: got %v, %v; want %q", requested, found, err, best)
		}
	})
}

func TestPickFollowsWeights(t *testing.T) {
	r := route("a", "h", "/a/", Target{"pool", 3}, Target{"desk", 0}, Target{"late", 1})
	got := map[string]int{}
	for draw := range r.TotalWeight() {
		got[r.Pick(draw)]++
	}
	if got["pool"] != 3 || got["late"] != 1 || got["desk"] != 0 {
		t.Errorf("targets picked: %v", got)
	}
}

func TestAccountByKey(t *testing.T) {
	tab := table()
	tab.Keyed = true
	tab.Accounts = []Account{{Name: "school", KeyHashes: []string{settings.HashKey("secret")}}}
	x := NewIndex(1, tab)
	if a, needed := x.Account("secret"); !needed || a == nil || a.Name != "school" {
		t.Errorf("the key gives %v, %v", a, needed)
	}
	if a, needed := x.Account("other"); !needed || a != nil {
		t.Errorf("an unknown key gives %v, %v", a, needed)
	}
	if _, needed := NewIndex(1, table()).Account("secret"); needed {
		t.Error("a table without keys requires one")
	}
}

func replaceCommand(t *testing.T, revision uint64, tab *Table) *pb.ReplaceRoutes {
	t.Helper()
	b, err := json.Marshal(tab)
	if err != nil {
		t.Fatal(err)
	}
	return &pb.ReplaceRoutes{Revision: revision, TableJson: b, Document: []byte("as sent")}
}

// Guards against an accepted routing table that is undone or replaced under the same revision: revision
// 7 is accepted, 5 arrives late, and 7 is sent again with other content.
func TestHighestRevisionStaysInForce(t *testing.T) {
	s := NewState()
	if got, err := s.Replace(replaceCommand(t, 7, table(route("seven", "h", "/a/")))); err != nil || !got.Changed {
		t.Fatalf("first table: %v, %v", got, err)
	}
	for _, revision := range []uint64{5, 7} {
		got, err := s.Replace(replaceCommand(t, revision, table(route("other", "h", "/a/"))))
		if err != nil || got.Changed || got.Revision != 7 {
			t.Errorf("revision %d after 7: %v, %v; want it acknowledged without effect", revision, got, err)
		}
	}
	if r, err := s.Current().Route("h", "/a/"); err != nil || r.Name != "seven" {
		t.Errorf("the table in force gives %v, %v", r, err)
	}
	if string(s.Routes().GetDocument()) != "as sent" {
		t.Errorf("the document is %q", s.Routes().GetDocument())
	}
}

// Guards against an invalid table that comes into force and stops hosts from serving: a table with a
// route to an unknown service was checked only by the host that received it, which ran another version,
// and reaches the log.
func TestStateRejectsAnInvalidTable(t *testing.T) {
	s := NewState()
	if _, err := s.Replace(replaceCommand(t, 1, table(route("a", "h", "/a/", Target{"nowhere", 1})))); !errkind.Is(err, errkind.InvalidSettings) {
		t.Fatalf("got %v, want invalid_settings", err)
	}
	if s.Current() != nil || s.Routes().GetRevision() != 0 {
		t.Error("the invalid table is in force")
	}
}

func TestImageRestores(t *testing.T) {
	s := NewState()
	if err := NewState().Restore(s.Image()); err != nil {
		t.Fatalf("an empty state: %v", err)
	}
	if _, err := s.Replace(replaceCommand(t, 3, table(route("a", "h", "/a/")))); err != nil {
		t.Fatal(err)
	}
	other := NewState()
	if err := other.Restore(s.Image()); err != nil {
		t.Fatal(err)
	}
	if other.Current().Revision() != 3 || string(other.Routes().GetDocument()) != "as sent" {
		t.Errorf("restored revision %d, document %q", other.Current().Revision(), other.Routes().GetDocument())
	}
	if err := other.Restore(Image{Revision: 4, Table: []byte("{")}); err == nil || other.Current().Revision() != 3 {
		t.Errorf("a damaged image: %v, revision %d", err, other.Current().Revision())
	}
}

func TestUnpackReversesPack(t *testing.T) {
	b, err := json.Marshal(table(route("a", "h", "/a/")))
	testutil.NoError(t, err)
	packed, err := Pack(b)
	testutil.NoError(t, err)
	unpacked, err := Unpack(packed)
	testutil.NoError(t, err)
	if string(unpacked) != string(b) {
		t.Errorf("unpacked %q", unpacked)
	}
	if plain, err := Unpack(b); err != nil || string(plain) != string(b) {
		t.Errorf("a table of an earlier version: %q, %v", plain, err)
	}
	for name, damaged := range map[string][]byte{"cut short": packed[:len(packed)/2], "not a table": {0x1f, 0x8b, 1, 2}} {
		if _, err := Decode(1, damaged); err == nil {
			t.Errorf("%s: decoded without error", name)
		}
	}
	if x, err := Decode(3, packed); err != nil || len(x.Table().Routes) != len(table(route("a", "h", "/a/")).Routes) {
		t.Errorf("decoded %v, %v", x, err)
	}
}

func TestPackedTableIsSmall(t *testing.T) {
	big := table()
	for i := range 1400 {
		big.Routes = append(big.Routes, route(fmt.Sprintf("r-%d", i*7919), "h", fmt.Sprintf("/p%d/", i*104729)))
	}
	b, err := json.Marshal(big)
	testutil.NoError(t, err)
	packed, err := Pack(b)
	testutil.NoError(t, err)
	if len(packed)*8 > len(b) {
		t.Errorf("%d bytes of %d", len(packed), len(b))
	}
}
