package explain

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

type fakeLease struct{ filter.ServerLease }

func (fakeLease) Address() string         { return "10.1.0.9:8000" }
func (fakeLease) Server() *pb.ServerState { return &pb.ServerState{Zone: "olinda"} }
func (fakeLease) Reason() string          { return "least work of 2 sampled: 3 of 16 slots" }

func testCall(id string) *filter.Call {
	arrived := time.Unix(1_000_000, 0)
	c := &filter.Call{
		ID: id, Identity: "acct/" + id, AccountName: "acct", TeamName: "audit",
		Account: &settings.Account{Budget: "school-7"}, Arrived: arrived,
		Reserved: 100, Usage: filter.Usage{Prompt: 30, Output: 90}, Dispatched: true,
		Lease: fakeLease{}, Attempts: 2,
	}
	c.Note(arrived.Add(1500*time.Microsecond), "budget", "reserved 100 of 4000")
	return c
}

func TestExplanationHasHopsDecisionsOutcomeAndBill(t *testing.T) {
	s := New("h1", "olinda", 4)
	s.Record(testCall("r1"), 502, errkind.New(errkind.ReservationExhausted, "cut at 100"))
	b, err := s.JSON("r1")
	testutil.NoError(t, err)
	var e Explanation
	testutil.NoError(t, json.Unmarshal(b, &e))
	if len(e.Hops) != 2 || e.Hops[0].Name != "h1" || e.Hops[1].Name != "10.1.0.9:8000" || e.Hops[1].Attempt != 2 {
		t.Errorf("hops: %+v", e.Hops)
	}
	if len(e.Decisions) != 1 || e.Decisions[0] != (Decision{AfterMS: 1.5, Step: "budget", Text: "reserved 100 of 4000"}) {
		t.Errorf("decisions: %+v", e.Decisions)
	}
	if e.Outcome.Kind != errkind.ReservationExhausted || e.Outcome.Ran != errkind.RanYes || e.Outcome.Status != 502 {
		t.Errorf("outcome: %+v", e.Outcome)
	}
	// The engine exceeded its limit: never more than the reservation is billed.
	if e.Bill != (Bill{Budget: "school-7", Reserved: 100, Prompt: 30, Output: 90, Tokens: 100}) {
		t.Errorf("bill: %+v", e.Bill)
	}
}

// If the store or its indexes kept entries that the ring has dropped, a host's memory would grow
// with the number of requests served.
func TestStoreIsBounded(t *testing.T) {
	const capacity = 3
	s := New("h1", "olinda", capacity)
	for i := range 10 {
		c := testCall(fmt.Sprint("r", i))
		for range 2 * maxNotes {
			c.Note(c.Arrived, "route", strings.Repeat("ñ", maxText))
		}
		s.Record(c, 200, nil)
	}
	if len(s.byID) != capacity || len(s.byIdentity) != capacity {
		t.Errorf("kept %d ids, %d identities, want %d", len(s.byID), len(s.byIdentity), capacity)
	}
	if _, err := s.JSON("r6"); !errkind.Is(err, errkind.NotFound) {
		t.Errorf("oldest request: %v, want not_found", err)
	}
	e, ok := s.Find("acct/r9")
	if !ok || e.RequestID != "r9" {
		t.Fatalf("by identity: %v %v", e.RequestID, ok)
	}
	if len(e.Decisions) != maxNotes || e.DecisionsDropped != maxNotes+1 {
		t.Errorf("kept %d decisions, dropped %d", len(e.Decisions), e.DecisionsDropped)
	}
	if n := len(e.Decisions[1].Text); n > maxText {
		t.Errorf("a decision's text has %d bytes, more than the bound", n)
	}
}

// When the ring drops the first request of an identity, the identity's index entry may already
// belong to a retry. If it were removed, explain would not find a request that was answered a
// moment ago.
func TestIdentityFindsLatestRequest(t *testing.T) {
	s := New("h1", "olinda", 2)
	for _, id := range []string{"r1", "r2", "other"} {
		c := testCall(id)
		if id != "other" {
			c.Identity = "acct/same"
		}
		s.Record(c, 200, nil)
	}
	if e, ok := s.Find("acct/same"); !ok || e.RequestID != "r2" {
		t.Errorf("found %q, %v; want r2", e.RequestID, ok)
	}
}
