package control

import (
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
)

// middlebox forwards TCP connections, and forgets those open when told: their
// bytes vanish, and neither end is told.
type middlebox struct {
	mu    sync.Mutex
	conns []*atomic.Bool
}

func (b *middlebox) forget() int {
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
	got   chan uint64
	whole chan bool // a snapshot's stream ended as it should
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
			s.whole <- err == io.EOF
		}
		select {
		case s.got <- m.Term:
		default:
		}
	}
}

// Symptom: a replica is out of its group for good, though its host answers new connections.
// Sequence: something between two hosts forgets their open connection; writes go on succeeding.
// Cause: nothing on the connection asks for an answer.
func TestSilentConnectionIsReplaced(t *testing.T) {
	target := testutil.Listen(t)
	front := testutil.Listen(t)
	s := &sink{got: make(chan uint64, 1), whole: make(chan bool, 10)}
	srv := grpc.NewServer()
	pb.RegisterControlServer(srv, s)
	go func() { _ = srv.Serve(target) }()
	defer srv.Stop()
	box := &middlebox{}
	go box.serve(front, target.Addr().String())
	defer front.Close()

	tr := NewGRPCTransport("self", zerolog.Nop(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	tr.life, tr.ack = 50*time.Millisecond, 100*time.Millisecond
	defer tr.Close()
	// deliver sends until a message of the term arrives.
	deliver := func(term uint64) {
		t.Helper()
		for range 2000 {
			tr.Send(&pb.RaftMessage{Term: term}, front.Addr().String())
			select {
			case got := <-s.got:
				if got == term {
					return
				}
			case <-time.After(5 * time.Millisecond):
			}
		}
		t.Fatalf("no message of term %d arrives", term)
	}
	// A snapshot that takes longer than a stream's life arrives whole.
	tr.Send(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_SNAPSHOT}, front.Addr().String())
	deliver(1)
	if !<-s.whole {
		t.Fatal("the snapshot's stream was cut off")
	}
	if box.forget() == 0 {
		t.Fatal("no connection went through the middlebox")
	}
	deliver(2)
}
