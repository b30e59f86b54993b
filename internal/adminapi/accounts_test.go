package adminapi

import (
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// newAPIWithTeam returns an api whose settings have the team t.
func newAPIWithTeam(t *testing.T) *api {
	a := newAPI(t)
	a.decodeOK(a.call("PUT", "/v1/config/teams/t", `{}`, "Idempotency-Key", "team", "If-Match", "0"), &ChangeAnswer{})
	return a
}

func (a *api) createAccount() KeyAnswer {
	a.t.Helper()
	made := answer[KeyAnswer](a, a.call("POST", "/v1/accounts", `{"name":"acme","team":"t","budget":"b"}`, "Idempotency-Key", "make"))
	return made
}

func (a *api) hashes() []string {
	a.t.Helper()
	list := answer[AccountList](a, a.call("GET", "/v1/accounts", ""))
	if len(list.Accounts) != 1 || list.Accounts[0].Team != "t" || list.Accounts[0].Budget != "b" {
		a.t.Fatalf("accounts %+v", list)
	}
	return list.Accounts[0].KeyHashes
}

// Guards against keys in logs, commands or later answers, which occur if anything but a
// key's hash is stored, logged or returned again.
func TestKeyIsShownOnceAndStoredNowhere(t *testing.T) {
	a := newAPIWithTeam(t)
	first := a.createAccount()
	second := answer[KeyAnswer](a, a.call("POST", "/v1/accounts/acme/keys", `{}`, "Idempotency-Key", "add"))
	if got := a.hashes(); len(got) != 2 || got[0] != settings.HashKey(first.Key) || got[1] != settings.HashKey(second.Key) {
		t.Fatalf("hashes %v", got)
	}
	answer[KeyAnswer](a, a.call("DELETE", "/v1/accounts/acme/keys/"+first.KeyHash, "", "Idempotency-Key", "drop"))
	if got := a.hashes(); len(got) != 1 || got[0] != second.KeyHash {
		t.Fatalf("hashes after the drop %v", got)
	}
	a.decodeOK(a.call("GET", "/v1/config-history/accounts/acme", ""), &HistoryAnswer{})
	a.call("PUT", "/v1/config/x", "{", "Idempotency-Key", "bad", "If-Match", "*")
	for _, key := range []string{first.Key, second.Key} {
		if len(key) < 64 {
			t.Fatalf("no key: %q", key)
		}
		if n := strings.Count(a.answers.String(), key); n != 1 {
			t.Errorf("a key is in %d answers, want 1", n)
		}
		for _, c := range a.group.commands {
			if strings.Contains(c.String(), key) {
				t.Errorf("a command contains a key: %v", c)
			}
		}
	}
	for _, secret := range []string{first.Key, second.Key, operatorKey} {
		if a.log.Len() == 0 || strings.Contains(a.log.String(), secret) {
			t.Errorf("the log is empty or contains a key:\n%s", a.log.String())
		}
	}
	if strings.Contains(a.answers.String(), operatorKey) {
		t.Error("an answer contains the operator's key")
	}
}

// Guards against returning an invalid key. An account is created, the answer is lost, and the
// resend must not return the key that it generated itself, whose hash was never committed.
func TestResendNeverShowsAKeyThatIsNotInForce(t *testing.T) {
	a := newAPIWithTeam(t)
	a.group.loseAnswer = true
	body := `{"name":"acme","team":"t","budget":"b"}`
	a.mustReject(a.call("POST", "/v1/accounts", body, "Idempotency-Key", "o"), errkind.NoQuorum)
	again := answer[KeyAnswer](a, a.call("POST", "/v1/accounts", body, "Idempotency-Key", "o"))
	if !again.Resend || again.Key != "" || again.KeyHash != "" {
		t.Errorf("the resend answered %+v", again)
	}
	if len(a.hashes()) != 1 {
		t.Error("the account does not have exactly one key")
	}
	a.mustReject(a.call("POST", "/v1/accounts", body, "Idempotency-Key", "o2"), errkind.AlreadyExists)
	answer[BudgetAnswer](a, a.call("POST", "/v1/budgets", `{"name":"b"}`, "Idempotency-Key", "o3"))
	a.mustReject(a.call("POST", "/v1/accounts", `{"name":"new"}`, "Idempotency-Key", "o3"), errkind.KeyConflict)
}

func TestOperatorsOwnHashIsConfirmedOnResend(t *testing.T) {
	a := newAPIWithTeam(t)
	hash := settings.HashKey("mine")
	a.group.loseAnswer = true
	body := `{"name":"acme","team":"t","budget":"b","key_hash":"` + hash + `"}`
	a.mustReject(a.call("POST", "/v1/accounts", body, "Idempotency-Key", "o"), errkind.NoQuorum)
	again := answer[KeyAnswer](a, a.call("POST", "/v1/accounts", body, "Idempotency-Key", "o"))
	if again.KeyHash != hash || again.Key != "" {
		t.Errorf("the resend answered %+v", again)
	}
}

// Guards against lost updates: if the key list were written without the version at which it
// was read, concurrent changes by two operators could remove a new key or restore a removed one.
func TestKeysChangedByTwoOperatorsAtOnce(t *testing.T) {
	a := newAPIWithTeam(t)
	first := a.createAccount()
	var other KeyAnswer
	a.group.beforePropose = func() {
		a.decodeOK(a.call("POST", "/v1/accounts/acme/keys", `{}`, "Idempotency-Key", "other"), &other)
	}
	mine := answer[KeyAnswer](a, a.call("POST", "/v1/accounts/acme/keys", `{}`, "Idempotency-Key", "mine"))
	want := []string{first.KeyHash, other.KeyHash, mine.KeyHash}
	if got := a.hashes(); strings.Join(got, " ") != strings.Join(want, " ") {
		t.Fatalf("hashes %v, want %v", got, want)
	}
	again := answer[KeyAnswer](a, a.call("POST", "/v1/accounts/acme/keys", `{}`, "Idempotency-Key", "mine"))
	if !again.Resend || again.Version != mine.Version || len(a.hashes()) != 3 {
		t.Errorf("the resend of a change that had a conflict answered %+v", again)
	}
}

// Guards against rejecting the resend of a key change that never took effect. The change had a
// conflict, the host died before it tried again, and the operator sent the change to another
// host. The control group stores the conflict as the answer to the operation id.
func TestKeyChangeRetriedAfterStoredConflict(t *testing.T) {
	a := newAPIWithTeam(t)
	a.createAccount()
	stale := &pb.SetConfig{Path: "/accounts/acme/key_hashes", ValueJson: []byte(`[]`), ExpectedVersion: 0}
	_, err := a.group.Propose(t.Context(), &pb.Command{OpId: versionedID("o", 0), Body: &pb.Command_SetConfig{SetConfig: stale}})
	if !errkind.Is(err, errkind.VersionConflict) {
		t.Fatal(err)
	}
	added := answer[KeyAnswer](a, a.call("POST", "/v1/accounts/acme/keys", `{}`, "Idempotency-Key", "o"))
	if got := a.hashes(); len(got) != 2 || got[1] != added.KeyHash {
		t.Errorf("hashes %v", got)
	}
}

// Guards against answering the resend of a key's removal with NotFound, after which the
// operator may remove another key. It occurs if the resend looks for the hash before it looks
// for its own first change, whose answer was lost.
func TestResentKeyRemovalIsConfirmed(t *testing.T) {
	a := newAPIWithTeam(t)
	first := a.createAccount()
	path := "/v1/accounts/acme/keys/" + first.KeyHash
	a.group.loseAnswer = true
	a.mustReject(a.call("DELETE", path, "", "Idempotency-Key", "o"), errkind.NoQuorum)
	again := answer[KeyAnswer](a, a.call("DELETE", path, "", "Idempotency-Key", "o"))
	if !again.Resend || len(a.hashes()) != 0 {
		t.Errorf("%+v", again)
	}
	a.mustReject(a.call("DELETE", path, "", "Idempotency-Key", "o2"), errkind.NotFound)
	a.mustReject(a.call("DELETE", "/v1/accounts/none/keys/"+first.KeyHash, "", "Idempotency-Key", "o3"), errkind.NotFound)
}

func TestTeamsAreListedByName(t *testing.T) {
	a := newAPI(t)
	none := answer[TeamList](a, a.call("GET", "/v1/teams", ""))
	for _, name := range []string{"b", "a"} {
		a.decodeOK(a.call("PUT", "/v1/config/teams/"+name, `{"priority":"batch"}`, "Idempotency-Key", name, "If-Match", "0"), &ChangeAnswer{})
	}
	l := answer[TeamList](a, a.call("GET", "/v1/teams", ""))
	if len(none.Teams) != 0 || len(l.Teams) != 2 || l.Teams[0].Name != "a" || l.Teams[0].Priority != "batch" {
		t.Errorf("%+v", l)
	}
	if got := a.group.commands[0].GetSetConfig(); got.GetPath() != "/teams/b" || got.GetAnyVersion() {
		t.Errorf("proposed %v", got)
	}
}
