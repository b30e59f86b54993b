package control

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
	"github.com/bluebellsail/bluebellsail/internal/wal/memfs"
)

// startLoopback starts n replicas that talk gRPC on loopback.
func startLoopback(t *testing.T, n int) ([]*Replica, []*registers) {
	t.Helper()
	var listeners []net.Listener
	var members []Member
	for i := range n {
		l := testutil.Listen(t)
		listeners = append(listeners, l)
		members = append(members, Member{Address: l.Addr().String(), Host: fmt.Sprint("host", i)})
	}
	var replicas []*Replica
	var states []*registers
	for i, l := range listeners {
		tr := NewGRPCTransport(members[i].Address, zerolog.Nop(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		sm := newRegisters()
		r, err := Open(Config{
			Fleet: "test", Host: members[i].Host, ReplicaAddress: members[i].Address, DataDir: "/data",
			Members: members, TickInterval: 10 * time.Millisecond, StateMachine: sm, Transport: tr,
			FS: memfs.New(), Logger: zerolog.Nop(), Seed: int64(i + 1),
		})
		testutil.NoError(t, err)
		srv := grpc.NewServer()
		pb.RegisterControlServer(srv, NewService(r))
		go func() { _ = srv.Serve(l) }()
		t.Cleanup(func() {
			tr.Close()
			if err := r.Close(); err != nil {
				t.Error(err)
			}
			srv.Stop()
		})
		replicas = append(replicas, r)
		states = append(states, sm)
	}
	return replicas, states
}

// proposeAnywhere proposes at whichever replica leads.
func proposeAnywhere(ctx context.Context, replicas []*Replica, cmd *pb.Command) (*pb.CommandResult, error) {
	for {
		for _, r := range replicas {
			res, err := r.Propose(ctx, cmd)
			if err == nil {
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
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
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
