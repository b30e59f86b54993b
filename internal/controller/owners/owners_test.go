package owners

import (
	"fmt"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/rendezvous"
)

func table(n int) *Table {
	var peers []members.PeerInfo
	for i := range n {
		peers = append(peers, members.PeerInfo{
			Host: fmt.Sprintf("h%d", i), CallerAddress: "c", PeerAddress: fmt.Sprintf("p%d", i), Health: pb.HostHealth_HOST_HEALTH_ALIVE,
		})
	}
	return New(Config{
		Self:  func() (Host, bool) { return Host{Name: "self"}, true },
		Peers: func() []members.PeerInfo { return peers },
	})
}

// Symptom: half of a budget lies at twelve hosts that have no use for it, and requests are
// refused to the end of the day.
// Sequence: a host's link is full, so none of its calls is answered in time; it asks the
// owner of the budget, the next host in rank, the one after that, and each of them takes
// tokens for it from the ledger.
// Cause: owners that gave no answer were passed over without a bound.
func TestOverloadedHostAsksFewOwners(t *testing.T) {
	owners := table(70)
	asked := make(map[string]bool)
	for range 50 {
		for _, h := range owners.FirstRanked("budget/x", 2) {
			asked[h.Name] = true
			owners.MarkUnanswered(h.Name)
		}
	}
	if len(asked) > 2+spareRanks {
		t.Errorf("%d hosts were asked", len(asked))
	}
	if owner, ok := owners.Owner("budget/x"); !ok || !asked[owner.Name] {
		t.Errorf("the owner is %v, among those that gave no answer too", owner)
	}
}

func TestOwnerThatGaveNoAnswerIsPassedOver(t *testing.T) {
	owners := table(70)
	first := owners.FirstRanked("budget/x", 2)
	owners.MarkUnanswered(first[0].Name)
	if next := owners.FirstRanked("budget/x", 2); len(next) != 2 || next[0] != first[1] {
		t.Errorf("after %v comes %v", first, next)
	}
	owners.MarkAnswered(first[0].Name)
	if again := owners.FirstRanked("budget/x", 2); again[0] != first[0] {
		t.Errorf("the owner is %v again, was %v", again[0], first[0])
	}
}

// Guards against a limit that nobody issues in full until a lost host counts as dead.
func TestRankAndReachLeaveDoubtedHostsOut(t *testing.T) {
	owners := table(4)
	peers := owners.cfg.Peers()
	peers[0].Health = pb.HostHealth_HOST_HEALTH_DEAD
	peers[1].Leaving = true
	peers[2].Health = pb.HostHealth_HOST_HEALTH_SUSPECT
	if reach := owners.AliveFraction(); reach != 2.0/4 {
		t.Errorf("reach %v: of four hosts one is dead and one suspect, a fifth one leaves", reach)
	}
	for i := range 20 {
		key := fmt.Sprint("key-", i)
		rank, ok := owners.Rank(key)
		if first := owners.ring.First(rendezvous.Hash(key), 3); !ok || rank > 1 {
			t.Errorf("rank %d, %v among two hosts that nobody doubts; the suspect one stays an owner: %v", rank, ok, first)
		}
	}
}
