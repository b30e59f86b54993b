package balance

import (
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// Pattern: two software versions under load, where the servers of the required one are busy and the others
// idle. Guards against a stream that goes on at a server of another version.
func TestRestrictedRequestStaysAtItsVersion(t *testing.T) {
	all := engines(9)
	for i := range all {
		all[i].Version = []string{"v1", "v2", "v2"}[i%3]
	}
	f := newFixture("z", all...)
	at := func(version string) *Work {
		return &Work{
			Service: pool, Engine: true, CacheTokens: memory, PromptTokens: 9000, Prompt: []Part{{ID: 1, Tokens: 8000}, {ID: 2, Tokens: 1000}},
			Versions: []string{version},
		}
	}
	for range 60 {
		c, err := f.core.Choose(f.now, at("v1"))
		testutil.NoError(t, err)
		if c.Instance.Version != "v1" {
			t.Fatalf("a server of %s is chosen", c.Instance.Version)
		}
	}
	for i := range 3 {
		f.reg.End(f.now, all[3*i].Incarnation())
	}
	_, err := f.core.Choose(f.now, at("v1"))
	testutil.Refused(t, err, errkind.NoBackendServer, "no server of the version is left")
	if e := errkind.From(err); e.RetryAfter <= 0 || !strings.Contains(e.Message, "6 more run other software versions") {
		t.Errorf("refused with %q, Retry-After %v", e.Message, e.RetryAfter)
	}
}

// Guards against taking the version of a server's former incarnation, or a guess, for that of the process
// that answers.
func TestVersionOfTheChosenIncarnation(t *testing.T) {
	held := engines(1)[0]
	held.Started, held.Version = 100, "v1"
	f := newFixture("z", held)
	chosen := func(id string, started uint64, version string) instance.Announcement {
		return instance.Announcement{ID: id, Started: started, Version: version}
	}
	for _, test := range []struct {
		name    string
		chosen  instance.Announcement
		version string
		known   bool
	}{
		{"as registered", chosen(held.ID, 100, "v1"), "v1", true},
		{"assigned by a host that does not report versions", chosen(held.ID, 100, ""), "v1", true},
		{"assigned with another version", chosen(held.ID, 100, "v2"), "v1", false},
		{"restarted since", chosen(held.ID, 99, "v1"), "", false},
		{"not registered here yet", chosen(held.ID, 101, "v2"), "v2", true},
		{"unknown server", chosen("e77", 1, "v3"), "v3", true},
		{"unknown server without a version", chosen("e77", 1, ""), "", false},
	} {
		version, known := f.core.Version(test.chosen)
		if known != test.known || known && version != test.version {
			t.Errorf("%s: got %q, known %v", test.name, version, known)
		}
	}
	if f.core.Allowed(&Work{Versions: []string{"v2"}}, held.Incarnation()) || !f.core.Allowed(&Work{Versions: []string{"v1"}}, held.Incarnation()) {
		t.Error("another version is allowed, or the server's own is not")
	}
}
