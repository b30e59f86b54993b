package balance

import (
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// Pattern: a zone of three is evacuated under load. Its engines hold the parts that the requests need,
// so that each request would go there.
func TestEvacuatedZoneLosesItsRequestsAtOnce(t *testing.T) {
	all := engines(6)
	for i := range all {
		all[i].Zone = []string{"a", "b", "c"}[i%3]
	}
	f := newFixture("a", all...)
	w := &Work{Service: pool, Engine: true, CacheTokens: memory, PromptTokens: 4000, Prompt: []Part{{ID: 1, Tokens: 3800}, {ID: 2, Tokens: 200}}}
	first, err := f.core.Choose(f.now, w)
	testutil.NoError(t, err)
	zone := first.Instance.Zone
	f.reg.SetEvacuated(map[string]bool{zone: true})
	for range 50 {
		c, err := f.core.Choose(f.now, w)
		testutil.NoError(t, err)
		if c.Instance.Zone == zone {
			t.Fatalf("%s in the evacuated zone is chosen", c.Instance.ID)
		}
	}
	if f.core.Running() != 51 {
		t.Errorf("%d requests run, want 51: those in the zone run on", f.core.Running())
	}
	f.reg.SetEvacuated(map[string]bool{"a": true, "b": true, "c": true})
	_, err = f.core.Choose(f.now, w)
	testutil.Refused(t, err, errkind.NoBackendServer, "all zones evacuated")
	e := errkind.From(err)
	if e.RetryAfter <= 0 || e.Ran() != errkind.RanNo || !strings.Contains(e.Message, "6 more are in evacuated zones") {
		t.Errorf("refused with %q, Retry-After %v", e.Message, e.RetryAfter)
	}
}
