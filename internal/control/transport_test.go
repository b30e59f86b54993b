package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
	"github.com/bluebellsail/bluebellsail/internal/wal/memfs"
)

// middlebox forwards TCP connections. dropConnections makes it silently discard the
// bytes of the open ones, without notifying either end.
type middlebox struct {
	mu    sync.Mutex
	conns []*atomic.Bool
	// blackhole makes new connections open and pass nothing.
	blackhole atomic.Bool
}

func (b *middlebox) dropConnections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, silent := range b.conns {
		silent.Store(true)
	}
	return len(b.conns)
}

func (b *middlebox) serve(l net.Listener, target string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		if b.blackhole.Load() {
			b.mu.Lock()
			b.conns = append(b.conns, &atomic.Bool{})
			b.mu.Unlock()
			go func() { _, _ = io.Copy(io.Discard, in) }()
			continue
		}
		out, err := net.Dial("tcp", target)
		if err != nil {
			_ = in.Close()
			continue
		}
		silent := &atomic.Bool{}
		b.mu.Lock()
		b.conns = append(b.conns, silent)
		b.mu.Unlock()
		go forward(in, out, silent)
		go forward(out, in, silent)
	}
}

func forward(from, to net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if silent.Load() {
			if err == io.EOF {
				return
			}
			continue // read on, so that the sender's writes succeed
		}
		if err != nil {
			_ = to.Close()
			return
		}
		_, _ = to.Write(buf[:n])
	}
}

type sink struct {
	pb.UnimplementedControlServer
	receivedTerms    chan uint64
	snapshotComplete chan bool // whether a snapshot's stream ended with EOF
}

func (s *sink) Raft(in grpc.ClientStreamingServer[pb.RaftMessage, pb.RaftAck]) error {
	for {
		m, err := in.Recv()
		if err == io.EOF {
			return in.SendAndClose(&pb.RaftAck{})
		}
		if err != nil {
			return err
		}
		if m.Type == pb.RaftType_RAFT_TYPE_SNAPSHOT {
			time.Sleep(500 * time.Millisecond) // a slow disk
			_, err := in.Recv()
			s.snapshotComplete <- err == io.EOF
		}
		select {
		case s.receivedTerms <- m.Term:
		default:
		}
	}
}

// behindMiddlebox serves behind a middlebox until the test ends, and returns the address at which it forwards.
func behindMiddlebox(t *testing.T, service pb.ControlServer) (box *middlebox, address string) {
	target, front := testutil.Listen(t), testutil.Listen(t)
	serveOn(t, target, service)
	box = &middlebox{}
	go box.serve(front, target.Addr().String())
	t.Cleanup(func() { _ = front.Close() })
	return box, front.Addr().String()
}

// A middlebox may lose the state of an open connection: writes keep succeeding, but
// nothing arrives. Unless the transport asks for an acknowledgment, the replica is cut
// off from its group permanently, although its host accepts new connections.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	s := &sink{receivedTerms: make(chan uint64, 1), snapshotComplete: make(chan bool, 10)}
	box, address := behindMiddlebox(t, s)

	tr := NewGRPCTransport("self", zerolog.Nop(), insecureDial)
	tr.lifetime, tr.ackTimeout = 50*time.Millisecond, 100*time.Millisecond
	defer tr.Close()
	// deliver sends until a message of the term arrives.
	deliver := func(term uint64) {
		t.Helper()
		for range 2000 {
			tr.Send(&pb.RaftMessage{Term: term}, address)
			select {
			case got := <-s.receivedTerms:
				if got == term {
					return
				}
			case <-time.After(5 * time.Millisecond):
			}
		}
		t.Fatalf("no message of term %d arrived", term)
	}
	// A snapshot that takes longer than a stream's lifetime must arrive complete.
	tr.Send(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_SNAPSHOT}, address)
	deliver(1)
	if !<-s.snapshotComplete {
		t.Fatal("the snapshot's stream was cut off")
	}
	if box.dropConnections() == 0 {
		t.Fatal("no connection went through the middlebox")
	}
	deliver(2)
}

// startLoopback starts n replicas that communicate by gRPC on loopback.
func startLoopback(t *testing.T, n int) ([]*Replica, []*registers) {
	t.Helper()
	var listeners []net.Listener
	var addresses []string
	for range n {
		l := testutil.Listen(t)
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	members := members(addresses...)
	var replicas []*Replica
	var states []*registers
	for i, l := range listeners {
		tr := NewGRPCTransport(members[i].Address, zerolog.Nop(), insecureDial)
		sm := newRegisters()
		r, err := Open(Config{
			Fleet: "test", Host: members[i].Host, ReplicaAddress: members[i].Address, DataDir: "/data",
			Members: members, TickInterval: 10 * time.Millisecond, StateMachine: sm, Transport: tr,
			FS: memfs.New(), Logger: zerolog.Nop(), Seed: int64(i + 1),
		})
		testutil.NoError(t, err)
		serveOn(t, l, NewService(r))
		t.Cleanup(func() {
			tr.Close()
			if err := r.Close(); err != nil {
				t.Error(err)
			}
		})
		replicas = append(replicas, r)
		states = append(states, sm)
	}
	return replicas, states
}

var insecureDial = grpc.WithTransportCredentials(insecure.NewCredentials())

// serveOn serves at l until the test ends.
func serveOn(t *testing.T, l net.Listener, service pb.ControlServer) {
	srv := grpc.NewServer()
	pb.RegisterControlServer(srv, service)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
}

// proposeAnywhere proposes at whichever replica leads.
func proposeAnywhere(ctx context.Context, replicas []*Replica, cmd *pb.Command) (*pb.CommandResult, error) {
	for {
		for _, r := range replicas {
			if res, err := r.Propose(ctx, cmd); err == nil {
				return res, nil
			}
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func TestGroupOnLoopback(t *testing.T) {
	replicas, states := startLoopback(t, 3)
	ctx := testutil.Within(t, 20*time.Second)
	for i := range 20 {
		if _, err := proposeAnywhere(ctx, replicas, set(fmt.Sprint("op", i), "/a", fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	answered := false
	for _, r := range replicas {
		res, err := r.Read(ctx, get("/a"))
		if err != nil {
			continue
		}
		answered = true
		if string(res.ValueJson) != "19" {
			t.Fatalf("read %q after 19 was acknowledged", res.ValueJson)
		}
	}
	if !answered {
		t.Fatal("no replica answers reads")
	}
	for i, r := range replicas {
		sub := r.Subscribe(0)
		for sub.Revision() < 20 {
			if _, err := sub.Next(ctx); err != nil {
				t.Fatalf("replica %d: %v", i, err)
			}
		}
		if got := len(states[i].order()); got != 20 {
			t.Fatalf("replica %d applied %d operations", i, got)
		}
	}
}
