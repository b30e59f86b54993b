package settings

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

func TestMain(m *testing.M) {
	testutil.RunRapid(m, map[string]string{"rapid.seed": "20", "rapid.nofailfile": "true", "rapid.steps": "60"})
}

// sentChange is one change as an operator sent it, with the first answer it got.
type sentChange struct {
	opID     string
	change   *pb.SetConfig
	answered bool
	result   string
}

// raceModel runs concurrent operators against one machine and tracks the expected
// state.
type raceModel struct {
	machine     *Machine
	host        *View // view of an entry host that watches
	sentChanges []*sentChange
	values      map[string]string
	versions    map[string]uint64
	revision    uint64
	races       int
}

func (o *raceModel) send(t *rapid.T) {
	path := rapid.SampledFrom([]string{"/teams/a", "/teams/b", "/fleet"}).Draw(t, "path")
	value := fmt.Sprintf(`{"max_in_flight":%d}`, len(o.sentChanges)+1)
	if path == "/fleet" {
		value = fmt.Sprintf(`{"max_body_bytes":%d}`, len(o.sentChanges)+2000)
	}
	c := &pb.SetConfig{Path: path, ValueJson: []byte(value), ExpectedVersion: o.versions[path]}
	for range 2 { // two operators who read the same version
		s := &sentChange{opID: fmt.Sprint("op", len(o.sentChanges)), change: c}
		o.sentChanges = append(o.sentChanges, s)
		if rapid.Bool().Draw(t, "at once") {
			o.deliver(t, s)
		}
	}
}

func (o *raceModel) deliverLate(t *rapid.T) {
	if len(o.sentChanges) == 0 {
		t.Skip("nothing sent")
	}
	o.deliver(t, rapid.SampledFrom(o.sentChanges).Draw(t, "change"))
}

func (o *raceModel) deliver(t *rapid.T, s *sentChange) {
	r, resend, err := o.machine.Set(s.change, s.opID, "operator", 1)
	got := fmt.Sprint(r, err)
	if resend != s.answered || (s.answered && got != s.result) {
		t.Fatalf("%s: resend %v, got %s, first answer %q", s.opID, resend, got, s.result)
	}
	path := s.change.Path
	if wins := s.change.ExpectedVersion == o.versions[path]; !s.answered && wins != (err == nil) {
		t.Fatalf("%s expects version %d, present %d, got %s", s.opID, s.change.ExpectedVersion, o.versions[path], got)
	}
	if !s.answered && err == nil {
		o.versions[path]++
		o.revision++
		o.values[path] = string(s.change.ValueJson)
	}
	if !s.answered && err != nil {
		o.races++
	}
	s.answered, s.result = true, got
}

// watch applies the missing changes to the entry host's view, some of them twice.
func (o *raceModel) watch(t *rapid.T) {
	from := o.host.Revision() - min(o.host.Revision(), rapid.Uint64Range(0, 3).Draw(t, "again"))
	changes, ok := o.machine.ChangesSince(from)
	if !ok {
		t.Fatalf("no changes since %d", from)
	}
	next, err := o.host.Apply(changes)
	testutil.NoError(t, err)
	if !bytes.Equal(snapshotOf(t, next), snapshotOf(t, o.machine.View())) {
		t.Fatal("the watching host has a different tree")
	}
	o.host = next
}

func (o *raceModel) restart(t *rapid.T) {
	im, err := o.machine.Image()
	testutil.NoError(t, err)
	o.machine = New()
	testutil.NoError(t, o.machine.Restore(im))
}

func (o *raceModel) check(t *rapid.T) {
	if o.machine.View().Revision() != o.revision {
		t.Fatalf("revision %d, want %d", o.machine.View().Revision(), o.revision)
	}
	for path, want := range o.values {
		got, version, err := o.machine.View().Value(path)
		if err != nil || string(got) != want || version != o.versions[path] {
			t.Fatalf("%s is %s at version %d, %v; accepted was %s at %d", path, got, version, err, want, o.versions[path])
		}
	}
}

func snapshotOf(t testutil.TB, v *View) []byte {
	data, err := v.SnapshotJSON()
	testutil.NoError(t, err)
	return data
}

// Operators send changes under one version; answers are lost and changes are resent in
// any order, across restarts. If a resend were applied again, or versions were compared
// too late or not at all, an accepted setting would revert, or two operators would both
// be told that they succeeded.
func TestConcurrentOperators(t *testing.T) {
	races := 0
	rapid.Check(t, func(t *rapid.T) {
		o := &raceModel{machine: New(), host: NewView(), values: map[string]string{}, versions: map[string]uint64{}}
		t.Repeat(map[string]func(*rapid.T){
			"send": o.send, "late": o.deliverLate, "watch": o.watch, "restart": o.restart, "": o.check,
		})
		races += o.races
	})
	if races < 100 {
		t.Errorf("only %d version conflicts, want at least 100", races)
	}
}

// anyVersion returns a change that expects no version.
func anyVersion(path, value string) *pb.SetConfig {
	return &pb.SetConfig{Path: path, ValueJson: []byte(value), AnyVersion: true}
}

func set(t *testing.T, m *Machine, path, value string) *pb.SetConfigResult {
	t.Helper()
	opID := fmt.Sprint("op", m.View().Revision(), path, value)
	r, _, err := m.Set(anyVersion(path, value), opID, "operator", 1)
	testutil.NoError(t, err)
	return r
}

// A host that restarts from a snapshot or falls far behind, after more changes than are
// kept, must detect the gap and must not go back. Otherwise it would serve under old
// settings.
func TestCatchUpAfterManyChanges(t *testing.T) {
	m := New()
	var behind *View
	for i := range 7 {
		set(t, m, fmt.Sprintf("/teams/t%d", i), `{}`)
	}
	for m.View().Revision() < maxHistory+300 {
		i := m.View().Revision()
		set(t, m, fmt.Sprintf("/teams/t%d/max_in_flight", i%7), fmt.Sprint(i+1))
		if i == 300 {
			behind, _ = ViewFromSnapshot(snapshotOf(t, m.View()))
		}
	}
	want := snapshotOf(t, m.View())
	changes, ok := m.ChangesSince(behind.Revision())
	if !ok || len(changes) != maxHistory-1 {
		t.Fatalf("%d changes since %d, %v", len(changes), behind.Revision(), ok)
	}
	caughtUp, err := behind.Apply(changes)
	if err != nil || !bytes.Equal(snapshotOf(t, caughtUp), want) {
		t.Errorf("catch-up from a snapshot differs from the log (%v)", err)
	}
	if again, err := caughtUp.Apply(changes[:10]); err != nil || again.Revision() != caughtUp.Revision() {
		t.Errorf("old changes moved the view to revision %d from %d, %v", again.Revision(), caughtUp.Revision(), err)
	}
	if _, err := behind.Apply(changes[1:]); err == nil {
		t.Error("a gap in the changes was accepted")
	}
	for _, rev := range []uint64{1, m.View().Revision() + 1} {
		if _, ok := m.ChangesSince(rev); ok {
			t.Errorf("changes since %d are reported as complete", rev)
		}
	}
}

func TestErrorsIncludePath(t *testing.T) {
	hash := HashKey("key")
	m := New()
	set(t, m, "/teams/x", `{"retry":{"share":0.2}}`)
	set(t, m, "/accounts/a", `{"team":"x","budget":"b","key_hashes":["`+hash+`"]}`)
	for _, c := range []struct {
		path, value, at string
		kind            errkind.Kind
	}{
		{"/teams/x/retry/share", `1.5`, "/teams/x/retry/share", errkind.InvalidSettings},
		{"/teams/x/retry/share", `0`, "/teams/x/retry/share", errkind.InvalidSettings},
		{"/teams/x", `{"retry":{"max_atempts":2}}`, "/teams/x/retry/max_atempts", errkind.InvalidSettings},
		{"/teams/x", `{"retry":{"share":0.1,"share":0.2}}`, "/teams/x/retry/share", errkind.InvalidSettings},
		{"/teams/x", `{"max_timeout":5}`, "/teams/x/max_timeout", errkind.InvalidSettings},
		{"/teams/x", `{"max_timeout":"1s","default_timeout":"2s"}`, "/teams/x/default_timeout", errkind.InvalidSettings},
		{"/teams/x", `{"priority":"high"}`, "/teams/x/priority", errkind.InvalidSettings},
		{"/teams/x", `{"models":["m","m"]}`, "/teams/x/models/1", errkind.InvalidSettings},
		{"/teams/x", `{"max_output_tokens":-1}`, "/teams/x/max_output_tokens", errkind.InvalidSettings},
		{"/teams/x", `{"copies":3}`, "/teams/x/copies", errkind.InvalidSettings},
		{"/teams/x", `{"grant":null}`, "/teams/x/grant", errkind.InvalidSettings},
		{"/teams/x", `{"priority":null}`, "/teams/x/priority", errkind.InvalidSettings},
		{"/teams/x", `{} {}`, "/teams/x", errkind.InvalidSettings},
		{"/teams/x", `[]`, "/teams/x", errkind.InvalidSettings},
		{"/teams/x", `null`, "/teams/x", errkind.InvalidSettings},
		{"/teams/nobody", `null`, "/teams/nobody", errkind.NotFound},
		{"/teams/nobody/copies", `1`, "/teams/nobody", errkind.NotFound},
		{"/teams", `{}`, "/teams", errkind.InvalidSettings},
		{"/teams/a b", `{}`, "/teams/a b", errkind.InvalidSettings},
		{"/teams/x//copies", `1`, "/teams/x//copies", errkind.InvalidSettings},
		{"/regions/x", `{}`, "/regions/x", errkind.InvalidSettings},
		{"/accounts/b", `{"team":"none","budget":"b"}`, "/accounts/b/team", errkind.InvalidSettings},
		{"/accounts/b", `{"team":"x"}`, "/accounts/b/budget", errkind.InvalidSettings},
		{"/accounts/b", `{"team":"x","budget":"b","key_hashes":["` + hash + `"]}`, "/accounts/b/key_hashes/0", errkind.InvalidSettings},
		{"/accounts/b", `{"team":"x","budget":"b","key_hashes":["secret"]}`, "/accounts/b/key_hashes/0", errkind.InvalidSettings},
		{"/fleet/placement", `[{"pool":"p","model":"m","servers":-1}]`, "/fleet/placement/0/servers", errkind.InvalidSettings},
		{"/fleet/idempotency_window", `"1s"`, "/fleet/idempotency_window", errkind.InvalidSettings},
	} {
		before := snapshotOf(t, m.View())
		opID := "fault " + c.path + c.value
		_, _, err := m.Set(anyVersion(c.path, c.value), opID, "operator", 1)
		if e := errkind.From(err); e == nil || e.Kind != c.kind || e.Path != c.at {
			t.Errorf("%s = %s: %v; want %s at %s", c.path, c.value, err, c.kind, c.at)
		}
		if !bytes.Equal(before, snapshotOf(t, m.View())) {
			t.Errorf("%s = %s was rejected but changed the tree", c.path, c.value)
		}
	}
}

func TestChangesInsideASubtreeAndDefaults(t *testing.T) {
	m := New()
	set(t, m, "/teams/x", `{"retry":{"max_attempts":5}}`)
	set(t, m, "/teams/x/retry/share", `0.5`)
	set(t, m, "/accounts/a", `{"team":"x","budget":"b","key_hashes":["`+HashKey("k")+`"]}`)
	if r := set(t, m, "/teams/x/retry/max_attempts", `null`); r.Version != 3 || r.Revision != 4 {
		t.Errorf("got %v", r)
	}
	v := m.View()
	team, _ := v.Team("x")
	if team.Retry.Share != 0.5 || team.Retry.MaxAttempts != DefaultRetryAttempts || team.MaxTimeout.Std() != DefaultMaxTimeout || !*team.Grant.Transfers {
		t.Errorf("team is %+v, retry %+v", team, team.Retry)
	}
	name, account, ok := v.AccountByKey(HashKey("k"))
	if !ok || name != "a" || account.Weight != DefaultWeight || v.Fleet().AddressTTL.Std() != DefaultAddressTTL {
		t.Errorf("account %q %+v, fleet %+v", name, account, v.Fleet())
	}
	if value, version, err := v.Value("/teams/x/retry"); err != nil || string(value) != `{"share":0.5}` || version != 3 {
		t.Errorf("value %s at %d, %v", value, version, err)
	}
	if h := m.History("/teams/x", 2); len(h) != 2 || h[1].Revision != 4 || !h[1].Delete {
		t.Errorf("history is %v", h)
	}
	if _, _, ok := v.AccountByKey(HashKey("other")); ok {
		t.Error("a key that no account has was found")
	}
}

// A view must not change while another part of the tree is changed, and the rest of the
// tree must keep its exact values. If views shared maps, an in-flight request would see
// another team's rules; if a subtree were re-encoded with rounded numbers, a setting
// that nobody changed would differ.
func TestChangeAffectsOnlyItsSubtree(t *testing.T) {
	m := New()
	set(t, m, "/teams/x", `{"copies":2}`)
	set(t, m, "/accounts/a", `{"team":"x","budget":"b"}`)
	const rules = `[{"pool":"p","model":"m","servers":3,"bytes":9007199254740993}]`
	set(t, m, "/fleet/placement", rules)
	held := m.View()
	before := snapshotOf(t, held)
	set(t, m, "/teams/x", `{"copies":1}`)
	set(t, m, "/accounts/a/budget", `"c"`)
	set(t, m, "/fleet/address_ttl", `"1m"`)
	if !bytes.Equal(before, snapshotOf(t, held)) {
		t.Error("a view changed after it was obtained")
	}
	if got, _, err := m.View().Value("/fleet/placement"); err != nil || string(got) != rules {
		t.Errorf("placement is %s, %v", got, err)
	}
}

// An operation ID reused for another path must be rejected, not answered as a resend.
// With another value it is a resend: the host may have generated another key this time.
func TestReusedOperationID(t *testing.T) {
	m := New()
	first, elsewhere := anyVersion("/teams/x", `{"copies":1}`), anyVersion("/teams/y", `{"copies":1}`)
	otherValue := &pb.SetConfig{Path: "/teams/x", ValueJson: []byte(`{"copies":2}`), ExpectedVersion: 1}
	want, _, err := m.Set(first, "op", "operator", 1)
	testutil.NoError(t, err)
	_, _, err = m.Set(elsewhere, "op", "operator", 1)
	testutil.Refused(t, err, errkind.KeyConflict, "the ID used for another path")
	got, resend, err := m.Set(otherValue, "op", "operator", 1)
	if err != nil || !resend || fmt.Sprint(got) != fmt.Sprint(want) || m.View().Revision() != 1 {
		t.Errorf("resend %v got %v, %v at revision %d", resend, got, err, m.View().Revision())
	}
	_, _, err = m.Set(first, "", "operator", 1)
	testutil.Refused(t, err, errkind.BadRequest, "no operation ID")
}

// FuzzSet passes any value to the decoder: it must not panic, and what it accepts must
// be read back and accepted again as the same tree.
func FuzzSet(f *testing.F) {
	for _, seed := range []string{
		`{}`, `null`, `[]`, `{"priority":"urgent","models":["m"],"default_timeout":"30s"}`,
		`{"retry":{"max_attempts":2,"share":0.25},"grant":{"horizon":"5s","transfers":false}}`,
		`{"team":"t","budget":"b","weight":7,"disabled":true}`, `{"max_in_flight":1e2}`, `{"max_in_flight":1e400}`,
		`{"address_ttl":"1m","placement":[{"pool":"p","model":"m@2","servers":3,"bytes":9007199254740993}]}`,
		`{"models":["\ud800"]}`, `{"models":["<&>"]}`, `{"":1}`, `"` + strings.Repeat("x", 300) + `"`, strings.Repeat("[", 200),
	} {
		for kind := range 6 {
			f.Add(kind, []byte(seed))
		}
	}
	f.Fuzz(func(t *testing.T, kind int, value []byte) {
		paths := []string{"/teams/x", "/accounts/x", "/fleet", "/teams/t/retry", "/fleet/placement", "/teams/t/models"}
		path := paths[uint(kind)%uint(len(paths))]
		m := New()
		set(t, m, "/teams/t", `{"copies":2}`)
		_, _, err := m.Set(anyVersion(path, string(value)), "op", "operator", 1)
		if err != nil {
			return
		}
		before := snapshotOf(t, m.View())
		restored, err := ViewFromSnapshot(before)
		if err != nil || !bytes.Equal(before, snapshotOf(t, restored)) {
			t.Fatalf("%s accepted, snapshot not restored: %v", value, err)
		}
		stored, _, err := m.View().Value(path)
		if errkind.Is(err, errkind.NotFound) {
			return // deleted, or equal to the default
		}
		set(t, m, path, string(stored))
		again, _, err := m.View().Value(path)
		if err != nil || !bytes.Equal(stored, again) {
			t.Fatalf("%s was stored as %s, then as %s (%v)", value, stored, again, err)
		}
	})
}
