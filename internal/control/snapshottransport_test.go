package control

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// snapshotSink acknowledges the snapshots that arrive and reports their receivers.
type snapshotSink struct {
	pb.UnimplementedControlServer
	received chan uint64
}

func (s *snapshotSink) Raft(in grpc.ClientStreamingServer[pb.RaftMessage, pb.RaftAck]) error {
	for {
		m, err := in.Recv()
		if err == io.EOF {
			return in.SendAndClose(&pb.RaftAck{})
		}
		if err != nil {
			return err
		}
		s.received <- m.To
	}
}

// snapshotPath is a transport whose connections to a sink go through a middlebox.
func snapshotPath(t *testing.T) (tr *GRPCTransport, box *middlebox, s *snapshotSink, address string) {
	s = &snapshotSink{received: make(chan uint64, 10)}
	box, address = behindMiddlebox(t, s)
	tr = NewGRPCTransport("self", zerolog.Nop(), insecureDial)
	t.Cleanup(tr.Close)
	return tr, box, s, address
}

// awaitAcknowledgment waits until no snapshot for an address is on its way.
func (t *GRPCTransport) awaitAcknowledgment(test *testing.T, address string) {
	test.Helper()
	for ctx := testutil.Within(test, 5*time.Second); ctx.Err() == nil; time.Sleep(time.Millisecond) {
		t.mu.Lock()
		p := t.peers[peerKey{address, true}]
		t.mu.Unlock()
		p.mu.Lock()
		idle := p.stream == nil
		p.mu.Unlock()
		if idle {
			return
		}
	}
	test.Fatal("the snapshot was not acknowledged")
}

// awaitConnections waits until a number of connections have been opened.
func (b *middlebox) awaitConnections(t *testing.T, n int) {
	t.Helper()
	for ctx := testutil.Within(t, 5*time.Second); ctx.Err() == nil; time.Sleep(time.Millisecond) {
		b.mu.Lock()
		opened := len(b.conns)
		b.mu.Unlock()
		if opened >= n {
			return
		}
	}
	t.Fatalf("fewer than %d connections were opened", n)
}

func (s *snapshotSink) await(t *testing.T, replica uint64) {
	t.Helper()
	select {
	case got := <-s.received:
		if got != replica {
			t.Fatalf("the snapshot for replica %d arrived, want that for %d", got, replica)
		}
	case <-testutil.Within(t, 5*time.Second).Done():
		t.Fatalf("the snapshot for replica %d did not arrive", replica)
	}
}

func snapshotFor(replica uint64) *pb.RaftMessage {
	return &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_SNAPSHOT, To: replica}
}

// Guards against a snapshot that is sent over the connection of an earlier one, which has become silent when the host lost
// its power.
func TestEachSnapshotGetsANewConnection(t *testing.T) {
	tr, box, s, address := snapshotPath(t)
	for replica := range uint64(4) {
		tr.Send(snapshotFor(replica), address)
		s.await(t, replica)
		tr.awaitAcknowledgment(t, address)
		if box.dropConnections() == 0 {
			t.Fatal("no connection went through the middlebox")
		}
	}
}

// Guards against a new replica that waits for its snapshot until the one for its predecessor at the same address, whose disk
// was lost meanwhile, has taken its longest time.
func TestSnapshotForALostReplicaDoesNotDelayItsSuccessor(t *testing.T) {
	tr, box, s, address := snapshotPath(t)
	tr.Send(snapshotFor(1), address)
	s.await(t, 1)
	box.blackhole.Store(true)
	tr.Send(snapshotFor(2), address)
	box.awaitConnections(t, 2)
	tr.Send(snapshotFor(2), address) // waits behind it
	box.blackhole.Store(false)
	tr.Send(snapshotFor(3), address)
	s.await(t, 3)
	if failed := tr.FailedSnapshots(); !slices.Contains(failed, 2) || slices.Contains(failed, 3) {
		t.Errorf("failed snapshots: %v", failed)
	}
}

// Guards against a snapshot that is lost with its connection and not reported, so that it is not sent again for long.
func TestLostSnapshotIsReported(t *testing.T) {
	tr, _, _, _ := snapshotPath(t)
	l := testutil.Listen(t)
	address := l.Addr().String()
	_ = l.Close()
	tr.Send(snapshotFor(5), address)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if slices.Contains(tr.FailedSnapshots(), 5) {
			return
		}
		if time.Now().After(end) {
			t.Fatal("nothing was reported")
		}
	}
}
