package controlclient

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// bubble is a network in memory for a synctest bubble.
type bubble struct {
	mu        sync.Mutex
	listeners map[string]*bufconn.Listener
	dials     map[string]int
}

func newBubble() *bubble {
	return &bubble{listeners: map[string]*bufconn.Listener{}, dials: map[string]int{}}
}

func (b *bubble) serve(t *testing.T, address string, f *fakeReplica) {
	l := bufconn.Listen(1 << 16)
	b.listeners[address] = l
	srv := grpc.NewServer()
	pb.RegisterControlServer(srv, f)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
}

func (b *bubble) client(t *testing.T, addresses ...string) *Client {
	var targets []string
	for _, a := range addresses {
		targets = append(targets, "passthrough:///"+a)
	}
	c := New(targets, []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			b.mu.Lock()
			b.dials[address]++
			l := b.listeners[address]
			b.mu.Unlock()
			return l.DialContext(ctx)
		}),
	}, nil)
	t.Cleanup(c.Close)
	return c
}

// Symptom: a host runs under old settings for good, though every replica is well.
// Sequence: the watched source falls silent, or sends on but is cut off from the quorum.
// Cause: the watch waits on it.
func TestWatchLeavesSilentAndUnconfirmedSources(t *testing.T) {
	tail := map[string]func(out grpc.ServerStreamingServer[pb.WatchEvent]) error{
		"silent": func(out grpc.ServerStreamingServer[pb.WatchEvent]) error {
			<-out.Context().Done()
			return out.Context().Err()
		},
		"unconfirmed": func(out grpc.ServerStreamingServer[pb.WatchEvent]) error {
			for {
				select {
				case <-time.After(time.Second):
					_ = out.Send(&pb.WatchEvent{Revision: 1})
				case <-out.Context().Done():
					return out.Context().Err()
				}
			}
		},
	}
	for name, rest := range tail {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBubble()
				b.serve(t, "stuck", &fakeReplica{watch: func(_ uint64, out grpc.ServerStreamingServer[pb.WatchEvent]) error {
					_ = out.Send(&pb.WatchEvent{Revision: 1, SnapshotJson: []byte("{}")})
					return rest(out)
				}})
				b.serve(t, "good", &fakeReplica{watch: func(_ uint64, out grpc.ServerStreamingServer[pb.WatchEvent]) error {
					_ = out.Send(&pb.WatchEvent{Revision: 2, SnapshotJson: []byte("{}"), Confirmed: true})
					<-out.Context().Done()
					return out.Context().Err()
				}})
				c := b.client(t, "good", "stuck") // the second is tried first
				done := errors.New("done")
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				first := uint64(0)
				err := c.Watch(ctx, 0, func(e *pb.WatchEvent) error {
					if first == 0 {
						first = e.Revision
					}
					if e.Revision == 2 {
						return done
					}
					return nil
				})
				if first != 1 || !errors.Is(err, done) {
					t.Fatalf("first revision %d, then %v", first, err)
				}
			})
		})
	}
}

// Symptom: a host can't propose for minutes, though the leader answers others.
// Sequence: the connection to the leader goes silent; calls on it time out, one after another.
// Cause: the next call takes the same connection.
func TestSilentCallGetsANewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBubble()
		release := make(chan struct{})
		defer close(release)
		f := &fakeReplica{propose: func(n int, _ *pb.Command) (*pb.ProposeReply, error) {
			if n == 1 {
				<-release
			}
			return &pb.ProposeReply{Result: &pb.CommandResult{Index: 1}}, nil
		}}
		b.serve(t, "leader", f)
		c := b.client(t, "leader")
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if _, err := c.Propose(ctx, &pb.Command{OpId: "a"}); err != nil {
			t.Fatal(err)
		}
		if b.dials["leader"] != 2 {
			t.Fatalf("%d connections", b.dials["leader"])
		}
	})
}
