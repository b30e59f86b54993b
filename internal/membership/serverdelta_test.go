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

// Symptom: a host doesn't know a backend server that another has known for long.
// Sequence: a heartbeat with its state is lost; or the host restarts; or its registry
// lost the state.
// Cause: sent was taken for received, or the knowledge outlived the run of the peer.
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
		t.Errorf("sent again although received: %d", len(got))
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

// Symptom: a leaving server goes on getting work for many heartbeats.
// Sequence: far more servers than fit one heartbeat have changed; the leaving one is last.
// Cause: states went in the order of the list.
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
		t.Errorf("first %v, not the server that is gone", got[0])
	}
	d.Retain(nil, nil)
	if len(d.peers) != 0 {
		t.Error("knowledge of a peer that is gone was kept")
	}
}
