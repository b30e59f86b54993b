package daemon

import (
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
)

// A budget's owner does not answer for a moment, and the backup owner is asked for tokens. If
// it held tokens in advance and a reserve as the owner still does, the loss of all hosts would
// strand the open part of the budget twice.
func TestOnlyOwnerHoldsTokensInAdvance(t *testing.T) {
	self := owners.Host{Name: "a", Incarnation: 1}
	g := &gateway{owners: owners.New(owners.Config{
		Self: func() (owners.Host, bool) { return self, true },
		Peers: func() []members.PeerInfo {
			return []members.PeerInfo{{Host: "b", CallerAddress: "b:1", PeerAddress: "b:2"}}
		},
	})}
	owned := map[bool]int{}
	for _, name := range []string{"x1", "x2", "x3", "x4", "x5", "x6", "x7", "x8"} {
		owner, _ := g.owners.Owner("budget/" + name)
		if !owner.Self() {
			g.owners.MarkUnanswered("b") // so that this host ranks first among those that answer
		}
		p := g.policyFor(name)
		owned[owner.Self()]++
		if holds := p.Horizon > 0 && p.Reserve > 0; holds != owner.Self() {
			t.Errorf("budget %s of owner %s: tokens held in advance here: %t", name, owner.Name, holds)
		}
		if p.Transfers {
			t.Error("the policy allows transfers from other hosts")
		}
		g.owners.MarkAnswered("b")
	}
	if owned[true] == 0 || owned[false] == 0 {
		t.Fatalf("all budgets have the same owner: %v", owned)
	}
}
