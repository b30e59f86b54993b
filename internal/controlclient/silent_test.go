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

// memNetwork is an in-memory network for a synctest bubble.
type memNetwork struct {
	mu        sync.Mutex
	listeners map[string]*bufconn.Listener
	dials     map[string]int
}

func newMemNetwork() *memNetwork {
	return &memNetwork{listeners: map[string]*bufconn.Listener{}, dials: map[string]int{}}
}

func (b *memNetwork) serve(t *testing.T, address string, f *fakeReplica) { b.listen(t, address, f) }

func (b *memNetwork) listen(t *testing.T, address string, s pb.ControlServer) {
	b.listeners[address] = bufconn.Listen(1 << 16)
	serveOn(t, b.listeners[address], s)
}

// hang keeps a watch open and sends nothing.
func hang(out watchStream) error {
	<-out.Context().Done()
	return out.Context().Err()
}

// sendUnconfirmed keeps a watch open and never confirms its revision.
func sendUnconfirmed(out watchStream) error {
	for {
		select {
		case <-time.After(time.Second):
			_ = out.Send(&pb.WatchEvent{Revision: 1})
		case <-out.Context().Done():
			return out.Context().Err()
		}
	}
}

func (b *memNetwork) client(t *testing.T, addresses ...string) *Client {
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

// A watch must leave a source that stops sending, or that keeps sending but is cut off
// from the quorum. Otherwise the host keeps old settings indefinitely although every
// replica is fine.
func TestWatchLeavesSilentAndUnconfirmedSources(t *testing.T) {
	for name, rest := range map[string]func(watchStream) error{"silent": hang, "unconfirmed": sendUnconfirmed} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newMemNetwork()
				b.serve(t, "stuck", &fakeReplica{watch: func(out watchStream) error {
					_ = out.Send(treeEvent(1, false))
					return rest(out)
				}})
				b.serve(t, "good", &fakeReplica{watch: func(out watchStream) error {
					_ = out.Send(treeEvent(2, true))
					return hang(out)
				}})
				c := b.client(t, "good", "stuck") // the second is tried first
				done := errors.New("done")
				ctx := testutil.Within(t, time.Minute)
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

// Guards against taking what waited in a socket for fresh, while this host stood still or its machine was suspended: a
// confirmation counted from when it was read.
func TestEventsThatWaitedDuringAStandstillConfirmNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newMemNetwork()
		b.serve(t, "good", &fakeReplica{watch: func(out watchStream) error {
			for {
				_ = out.Send(treeEvent(2, true))
				select {
				case <-time.After(time.Second):
				case <-out.Context().Done():
					return nil
				}
			}
		}})
		c := b.client(t, "good")
		delivered, suspended := 0, time.Duration(0)
		w := &watcher{c: c, now: func() time.Time { return time.Now().Add(suspended) }}
		w.fn = func(*pb.WatchEvent) error {
			if delivered++; delivered == 3 {
				suspended = silenceTimeout
			}
			return nil
		}
		err := w.follow(testutil.Within(t, time.Minute), "passthrough:///good")
		if !errors.Is(err, errSilent) || delivered != 3 {
			t.Errorf("%d events were delivered, then %v", delivered, err)
		}
	})
}

// When the connection to the leader becomes unresponsive and a call on it times out,
// the next call must use a new connection. Otherwise the host cannot propose for
// minutes, although the leader answers others.
func TestTimedOutCallGetsNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newMemNetwork()
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
		ctx := testutil.Within(t, 10*time.Second)
		_, err := c.Propose(ctx, &pb.Command{OpId: "a"})
		testutil.NoError(t, err)
		if b.dials["leader"] != 2 {
			t.Fatalf("%d connections to the leader, want 2", b.dials["leader"])
		}
	})
}
