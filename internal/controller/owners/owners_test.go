package owners

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

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

// Guards against half of a budget that is stranded at twelve hosts while requests are rejected:
// a host's link is full, so none of its calls is answered in time. It asks the owner of the
// budget, then the next host in rank, and so on without a bound, and each of them takes tokens
// from the ledger for it.
func TestOverloadedHostAsksFewOwners(t *testing.T) {
	owners := table(70)
	asked := make(map[string]bool)
	for range 50 {
		for _, h := range owners.FirstRanked("budget/x", 2) {
			asked[h.Name] = true
			owners.MarkUnanswered(h.Name)
		}
	}
	if len(asked) > 2+backupRanks {
		t.Errorf("%d hosts were asked", len(asked))
	}
	if owner, ok := owners.Owner("budget/x"); !ok || !asked[owner.Name] {
		t.Errorf("the owner is %v, want a host that was asked although it did not answer", owner)
	}
}

func TestOwnerThatDidNotAnswerIsSkipped(t *testing.T) {
	owners := table(70)
	first := owners.FirstRanked("budget/x", 2)
	owners.MarkUnanswered(first[0].Name)
	if next := owners.FirstRanked("budget/x", 2); len(next) != 2 || next[0] != first[1] {
		t.Errorf("after %v: %v", first, next)
	}
	owners.MarkAnswered(first[0].Name)
	if again := owners.FirstRanked("budget/x", 2); again[0] != first[0] {
		t.Errorf("after an answer the owner is %v, want %v", again[0], first[0])
	}
}

// Guards against a rate limit that no host issues in full until a failed host counts as dead.
func TestRankAndAliveFractionExcludeSuspectedHosts(t *testing.T) {
	owners := table(4)
	peers := owners.cfg.Peers()
	peers[0].Health = pb.HostHealth_HOST_HEALTH_DEAD
	peers[1].Leaving = true
	peers[2].Health = pb.HostHealth_HOST_HEALTH_SUSPECT
	if fraction := owners.AliveFraction(); fraction != 2.0/4 {
		t.Errorf("alive fraction %v, want 2 of 4: of four hosts one is dead and one suspected, a fifth one is leaving", fraction)
	}
	for i := range 20 {
		key := fmt.Sprint("key-", i)
		rank, ok := owners.Rank(key)
		if first := owners.candidates.First(rendezvous.Hash(key), 3); !ok || rank > 1 {
			t.Errorf("rank %d, %v among two alive hosts; candidates including the suspected one: %v", rank, ok, first)
		}
	}
}

// Guards against a host that takes itself for the owner of a key without having been it for long: another
// one may not know of the change yet.
func TestEachRecentCoversFormerViews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := members.PeerInfo{Host: "other", CallerAddress: "c", PeerAddress: "p", Health: pb.HostHealth_HOST_HEALTH_ALIVE}
		peers := []members.PeerInfo{peer}
		owners := New(Config{Self: func() (Host, bool) { return Host{Name: "self"}, true }, Peers: func() []members.PeerInfo { return peers }})
		key := ""
		for i := 0; ; i++ { // a key that the other host owns
			key = fmt.Sprint("key-", i)
			if rank, _ := owners.Rank(key); rank == 1 {
				break
			}
		}
		const window = 3 * time.Second
		recent := func() (worst int, least float64, complete bool) {
			least = 1
			complete = owners.EachRecent(key, window, func(rank int, alive float64) { worst, least = max(worst, rank), min(least, alive) })
			return worst, least, complete
		}
		if _, _, complete := recent(); complete {
			t.Error("complete right after the start")
		}
		time.Sleep(window)
		if worst, least, complete := recent(); worst != 1 || least != 1 || !complete {
			t.Errorf("rank %d, %v alive, complete %v", worst, least, complete)
		}
		dead := peer
		dead.Health = pb.HostHealth_HOST_HEALTH_SUSPECT
		peers = []members.PeerInfo{dead}
		if rank, _ := owners.Rank(key); rank != 0 {
			t.Fatalf("rank %d without the other host", rank)
		}
		time.Sleep(window / 2)
		if worst, least, complete := recent(); worst != 1 || least != 0.5 || !complete {
			t.Errorf("soon after the change: rank %d, %v alive, complete %v", worst, least, complete)
		}
		time.Sleep(window / 2)
		if worst, _, complete := recent(); worst != 0 || !complete {
			t.Errorf("later: rank %d, complete %v", worst, complete)
		}
		for range 3 * maxViews {
			peers = []members.PeerInfo{peer}
			owners.Rank(key)
			peers = []members.PeerInfo{dead}
			owners.Rank(key)
		}
		if _, _, complete := recent(); complete || len(owners.views) > maxViews {
			t.Errorf("complete %v with %d views", complete, len(owners.views))
		}
	})
}
