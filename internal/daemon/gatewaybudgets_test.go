package daemon

import (
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
)

// Symptom: the loss of all hosts strands the open part of a budget twice.
// Sequence: a budget's owner gives no answer for a moment; the next in rank is asked, holds
// tokens ahead and a reserve from then on; the owner still has its own.
// Cause: whoever was asked for tokens held them as the owner does.
func TestOnlyTheOwnerHoldsTokensAhead(t *testing.T) {
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
			t.Errorf("budget %s of %s is held ahead here: %t", name, owner.Name, holds)
		}
		if p.Transfers {
			t.Error("asks others for what they hold")
		}
		g.owners.MarkAnswered("b")
	}
	if owned[true] == 0 || owned[false] == 0 {
		t.Fatalf("owners %v", owned)
	}
}
