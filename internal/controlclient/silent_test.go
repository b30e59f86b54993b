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
	"google.golang.org/grpc/test/bufconn"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
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
	b.listeners[address] = bufconn.Listen(1 << 16)
	serveOn(t, b.listeners[address], f)
}

// hang keeps a watch open and sends nothing.
func hang(out watchStream) error {
	<-out.Context().Done()
	return out.Context().Err()
}

// unconfirmed keeps a watch open and never confirms its revision.
func unconfirmed(out watchStream) error {
	for {
		select {
		case <-time.After(time.Second):
			_ = out.Send(&pb.WatchEvent{Revision: 1})
		case <-out.Context().Done():
			return out.Context().Err()
		}
	}
}

func (b *bubble) client(t *testing.T, addresses ...string) *Client {
	var targets []string
	for _, a := range addresses {
		targets = append(targets, "passthrough:///"+a)
	}
	c := New(targets, []grpc.DialOption{
		insecureDial,
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
	for name, rest := range map[string]func(watchStream) error{"silent": hang, "unconfirmed": unconfirmed} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBubble()
				b.serve(t, "stuck", &fakeReplica{watch: func(out watchStream) error {
					_ = out.Send(whole(1, false))
					return rest(out)
				}})
				b.serve(t, "good", &fakeReplica{watch: func(out watchStream) error {
					_ = out.Send(whole(2, true))
					return hang(out)
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
			return committed(1), nil
		}}
		b.serve(t, "leader", f)
		c := b.client(t, "leader")
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := c.Propose(ctx, &pb.Command{OpId: "a"})
		testutil.NoError(t, err)
		if b.dials["leader"] != 2 {
			t.Fatalf("%d connections", b.dials["leader"])
		}
	})
}
