package membership

import (
	"fmt"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

func serverStates(n int, seq uint64) []*pb.ServerState {
	var all []*pb.ServerState
	for i := range n {
		all = append(all, &pb.ServerState{Address: fmt.Sprint("s", i), Incarnation: 1, Seq: seq})
	}
	return all
}

// TestServerDeltaResendsUnconfirmedStates has a heartbeat get lost, a server and a peer
// restart, and a peer's registry lose states. If a sent state counted as received, or the
// record of received states outlived the incarnation of the peer, a host would never get the
// state of a server that another one has known for a long time.
func TestServerDeltaResendsUnconfirmedStates(t *testing.T) {
	d := NewServerDelta()
	peer := &pb.Holder{Host: "h1", Incarnation: 1}
	states := serverStates(3, 5)
	if got := d.Select(peer, states); len(got) != 3 {
		t.Fatalf("first heartbeat carries %d of 3", len(got))
	}
	if got := d.Select(peer, states); len(got) != 3 {
		t.Errorf("after a lost heartbeat: %d of 3", len(got))
	}
	d.MarkReceived(peer, states)
	if got := d.Select(peer, states); len(got) != 0 {
		t.Errorf("%d states sent again although received", len(got))
	}
	states[1] = &pb.ServerState{Address: "s1", Incarnation: 2, Seq: 1}
	if got := d.Select(peer, states); len(got) != 1 || got[0] != states[1] {
		t.Errorf("after a server's restart: %v", got)
	}
	if got := d.Select(&pb.Holder{Host: "h1", Incarnation: 2}, states); len(got) != 3 {
		t.Errorf("after the peer's restart: %d of 3", len(got))
	}
	peer.Incarnation = 2
	d.MarkReceived(peer, states)
	sent := 0
	for range resendInterval {
		again := d.Select(peer, states)
		d.MarkReceived(peer, again)
		sent += len(again)
	}
	if sent != 3 {
		t.Errorf("%d states in %d heartbeats, want each once again", sent, resendInterval)
	}
}

// TestServerDeltaIsBoundedAndSendsLeavingFirst has far more changed servers than fit one
// heartbeat, with a leaving one at the end. If states were sent in the order of the list, the
// leaving server would get work for many heartbeats.
func TestServerDeltaIsBoundedAndSendsLeavingFirst(t *testing.T) {
	d := NewServerDelta()
	peer := &pb.Holder{Host: "h1", Incarnation: 1}
	d.MarkReceived(peer, serverStates(180, 1))
	states := serverStates(181, 2)
	states[179].Leaving = true
	got := d.Select(peer, states)
	if len(got) != maxServers || got[0] != states[179] || got[1] != states[180] {
		t.Errorf("%d states, first %v and %v", len(got), got[0], got[1])
	}
	gone := serverStates(181, 3)
	gone[178].Gone = true
	if got := d.Select(peer, gone); got[0] != gone[178] {
		t.Errorf("first %v, not the stopped server", got[0])
	}
	d.Retain(nil, nil)
	if len(d.peers) != 0 {
		t.Error("the state of a dropped peer was kept")
	}
}
