package claims

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const (
	done   = pb.ClaimState_CLAIM_STATE_DONE
	notRun = pb.ClaimState_CLAIM_STATE_NOT_RUN
)

func wins(t *testing.T, s *State, identity, request string, now int64) bool {
	t.Helper()
	c := &pb.Claim{Identity: identity, RequestId: request, Holder: &pb.Holder{Host: "h", Incarnation: 1}}
	first, err := s.Claim(c, now)
	testutil.NoError(t, err)
	again, err := s.Claim(c, now)
	if err != nil || fmt.Sprint(first) != fmt.Sprint(again) {
		t.Errorf("first answer %v, resend %v, %v", first, again, err)
	}
	return first.Won
}

func finish(s *State, identity, request string, state pb.ClaimState, now int64) error {
	_, err := s.Finish(&pb.FinishClaim{Identity: identity, RequestId: request, State: state}, now)
	return err
}

// A claim must not be won again by a loser, by a repeated message, or after its end; otherwise
// a request that is not idempotent, such as posting a ledger entry, runs twice.
func TestOneClaimWins(t *testing.T) {
	s := New()
	steps := []struct {
		request string
		won     bool
	}{{"r1", true}, {"r2", false}, {"r1", true}, {"r3", false}}
	for _, step := range steps {
		if won := wins(t, s, "a/1", step.request, 1); won != step.won {
			t.Errorf("request %s won: %v", step.request, won)
		}
	}
	testutil.Refused(t, finish(s, "a/1", "r2", notRun, 1), errkind.KeyConflict, "a loser finishes the claim")
	for range 2 {
		testutil.NoError(t, finish(s, "a/1", "r1", done, 1))
	}
	testutil.Refused(t, finish(s, "a/1", "r1", notRun, 1), errkind.KeyConflict, "a claim that is done is finished as not run")
	if wins(t, s, "a/1", "r4", 1) || s.Lookup("a/1").State != done {
		t.Error("a claim that is done was won again")
	}
	testutil.Refused(t, finish(s, "a/2", "r1", done, 1), errkind.NotFound, "an unknown claim finishes")
}

// If r1 wins and is finished as not run, and then r2 as well, a delayed duplicate of r1's claim
// must not win: r1's caller was told that the request did not run.
func TestNotRunLetsOnlyNewRequestsWin(t *testing.T) {
	s := New()
	for i := range 3 {
		request := fmt.Sprint("r", i)
		if !wins(t, s, "a/1", request, 1) {
			t.Fatalf("request %s did not win after the previous claims were not run", request)
		}
		testutil.NoError(t, finish(s, "a/1", request, notRun, 1))
	}
	for i := range 3 {
		if wins(t, s, "a/1", fmt.Sprint("r", i), 1) {
			t.Errorf("r%d won again", i)
		}
	}
	testutil.Refused(t, finish(s, "a/1", "r2", done, 1), errkind.KeyConflict, "a claim that was not run is finished as done")
}

// If a claim were forgotten within its retention, because an hour has passed or to make room
// for others, a late retry would run a second time.
func TestClaimsNotForgottenWithinRetention(t *testing.T) {
	s := New()
	s.limit = 100
	for i := range 100 {
		wins(t, s, fmt.Sprint("a/", i), "r1", int64(i)*time.Hour.Milliseconds()/10)
	}
	now := 10 * time.Hour.Milliseconds()
	over := &pb.Claim{Identity: "a/new", RequestId: "r1", Holder: &pb.Holder{Host: "h", Incarnation: 1}}
	_, err := s.Claim(over, now)
	testutil.Refused(t, err, errkind.ClaimUnavailable, "a claim beyond the bound")
	for i := range 100 {
		if wins(t, s, fmt.Sprint("a/", i), "r2", now) {
			t.Fatalf("claim %d was forgotten", i)
		}
	}
	if !wins(t, s, "a/new", "r1", now+2*minRetention.Milliseconds()) || s.Len() != 1 {
		t.Errorf("%d claims are remembered after the retention, want 1", s.Len())
	}
}

func TestRestoredClaimsGiveSameAnswers(t *testing.T) {
	s, restored := New(), New()
	s.SetWindow(48 * time.Hour)
	wins(t, s, "a/1", "r1", 1)
	wins(t, s, "a/2", "r1", 2)
	testutil.NoError(t, finish(s, "a/2", "r1", notRun, 3))
	data, err := json.Marshal(s.Image())
	testutil.NoError(t, err)
	var im Image
	testutil.NoError(t, json.Unmarshal(data, &im))
	restored.Restore(im)
	if restored.Len() != 2 {
		t.Errorf("%d claims restored, want 2", restored.Len())
	}
	if again, err := json.Marshal(restored.Image()); err != nil || !bytes.Equal(data, again) {
		t.Errorf("the restored state has a different image (%v)", err)
	}
	if wins(t, restored, "a/1", "r2", 4) || wins(t, restored, "a/2", "r1", 4) || !wins(t, restored, "a/2", "r2", 4) {
		t.Error("the restored claims give different answers")
	}
}
