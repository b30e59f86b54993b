package control

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// peerQueue bounds the messages queued for one peer; further ones are dropped.
	peerQueue = 1024
	// streamLifetime is how long one stream is used. At its end the peer must
	// acknowledge it, which shows that the connection still works in both directions.
	streamLifetime = 2 * time.Second
	// streamAckTimeout is how long the acknowledgment may take.
	streamAckTimeout = time.Second
	// snapshotAckTimeout is how long a snapshot may take to be sent and acknowledged.
	snapshotAckTimeout = time.Minute
	// redialDelay is the pause after a connection failed.
	redialDelay = 100 * time.Millisecond
	// MaxMessageBytes bounds one gRPC message; a snapshot is one message.
	MaxMessageBytes = 256 << 20
)

// addressKey is the metadata key that carries the sender's replica address.
const addressKey = "bluebellsail-replica-address"

// GRPCTransport implements Transport with one client stream per peer address and one
// for snapshots.
type GRPCTransport struct {
	self       string
	opts       []grpc.DialOption
	log        zerolog.Logger
	lifetime   time.Duration // streamLifetime, shorter in tests
	ackTimeout time.Duration // streamAckTimeout, shorter in tests

	mu     sync.Mutex
	peers  map[peerKey]*peer
	closed bool
	// failed holds the replicas whose snapshots failed.
	failed []uint64
}

// peerKey identifies one queue. Snapshots have their own queue, connection and
// deadline: on the shared stream a large one would delay the heartbeats behind it, and
// the stream's short lifetime would cut it off each time.
type peerKey struct {
	address string
	bulk    bool
}

// NewGRPCTransport returns a transport for the replica at address self. opts must
// contain the transport credentials.
func NewGRPCTransport(self string, log zerolog.Logger, opts ...grpc.DialOption) *GRPCTransport {
	opts = append(opts, grpc.WithDefaultCallOptions(
		grpc.MaxCallSendMsgSize(MaxMessageBytes), grpc.MaxCallRecvMsgSize(MaxMessageBytes)))
	return &GRPCTransport{self: self, opts: opts, log: log, lifetime: streamLifetime, ackTimeout: streamAckTimeout, peers: map[peerKey]*peer{}}
}

// Send implements Transport.
func (t *GRPCTransport) Send(m *pb.RaftMessage, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	key := peerKey{address, m.Type == pb.RaftType_RAFT_TYPE_SNAPSHOT}
	p := t.peers[key]
	if p == nil {
		p = newPeer(t, key)
		t.peers[key] = p
		go p.run()
	}
	if key.bulk {
		p.abandonOthers(m.To)
	}
	select {
	case p.queue <- m:
	default: // dropped: consensus sends it again
	}
}

// FailedSnapshots implements Transport.
func (t *GRPCTransport) FailedSnapshots() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	failed := t.failed
	t.failed = nil
	return failed
}

// Reset implements Transport.
func (t *GRPCTransport) Reset(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[peerKey{address: address}]; p != nil {
		p.cancelStream()
	}
}

// Close implements Transport.
func (t *GRPCTransport) Close() {
	t.mu.Lock()
	t.closed = true
	peers := t.peers
	t.mu.Unlock()
	for _, p := range peers {
		p.cancel()
		<-p.done
	}
}

// peer sends to one address.
type peer struct {
	t *GRPCTransport
	// bulk is set for snapshots. Each one gets a new connection: the former one may have
	// become silent since, as when the host lost its power, and a snapshot takes long
	// enough that a new connection costs nothing.
	bulk       bool
	address    string
	lifetime   time.Duration
	ackTimeout time.Duration
	queue      chan *pb.RaftMessage
	ctx        context.Context
	cancel     context.CancelFunc
	done       chan struct{}

	mu     sync.Mutex
	stream context.CancelFunc
	// receiver is the replica to which the open stream sends a snapshot.
	receiver uint64
}

func newPeer(t *GRPCTransport, key peerKey) *peer {
	p := &peer{t: t, bulk: key.bulk, address: key.address, lifetime: t.lifetime, ackTimeout: t.ackTimeout, done: make(chan struct{})}
	size := peerQueue
	if key.bulk {
		size, p.lifetime, p.ackTimeout = 1, 0, snapshotAckTimeout
	}
	p.queue = make(chan *pb.RaftMessage, size)
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// abandonOthers drops snapshots for other replicas than this one. They belonged to a lost disk at the same address, and
// would hold up the new one's for as long as a snapshot may take.
func (p *peer) abandonOthers(replica uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stream != nil && p.receiver != replica {
		p.stream()
	}
	select {
	case m := <-p.queue:
		if m.To == replica {
			p.queue <- m // t.mu is held, so nobody else sends
		}
	default:
	}
}

// cancelStream cancels the open stream, and with it the connection.
func (p *peer) cancelStream() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stream != nil {
		p.stream()
	}
}

func (p *peer) run() {
	defer close(p.done)
	for p.ctx.Err() == nil {
		conn, err := grpc.NewClient(p.address, p.t.opts...)
		if err != nil {
			p.t.log.Error().Err(err).Str("peer", p.address).Str("event", "peer-address-unusable").Send()
			return
		}
		err = p.serveConn(pb.NewControlClient(conn))
		_ = conn.Close()
		if p.ctx.Err() != nil {
			return
		}
		if err == nil {
			continue // the snapshot was sent
		}
		p.t.log.Debug().Err(err).Str("peer", p.address).Str("event", "peer-connection-replaced").Send()
		select {
		case <-time.After(redialDelay):
		case <-p.ctx.Done():
		}
	}
}

// serveConn sends over one connection until it fails.
func (p *peer) serveConn(c pb.ControlClient) error {
	for {
		select {
		case m := <-p.queue:
			if err := p.sendStream(c, m); err != nil {
				p.reportFailure(m)
				return err
			}
			if p.bulk {
				return nil
			}
		case <-p.ctx.Done():
			return p.ctx.Err()
		}
	}
}

// reportFailure has FailedSnapshots return the receiver of a snapshot that did not arrive.
func (p *peer) reportFailure(m *pb.RaftMessage) {
	if !p.bulk {
		return
	}
	p.t.mu.Lock()
	defer p.t.mu.Unlock()
	p.t.failed = append(p.t.failed, m.To)
}

// sendStream sends over one stream for its lifetime. Send may block on an unresponsive
// connection; the stream's deadline ends that.
func (p *peer) sendStream(c pb.ControlClient, first *pb.RaftMessage) error {
	ctx, cancel := context.WithTimeout(p.ctx, p.lifetime+p.ackTimeout)
	defer cancel()
	p.begin(cancel, first.To)
	defer p.begin(nil, 0)
	ctx = metadata.AppendToOutgoingContext(ctx, addressKey, p.t.self)
	s, err := c.Raft(ctx)
	if err != nil {
		return err
	}
	if err := p.sendMessages(ctx, s, first); err != nil {
		return err
	}
	_, err = s.CloseAndRecv()
	return err
}

// begin records the open stream; cancel is nil at its end.
func (p *peer) begin(cancel context.CancelFunc, receiver uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stream, p.receiver = cancel, receiver
}

func (p *peer) sendMessages(ctx context.Context, s grpc.ClientStreamingClient[pb.RaftMessage, pb.RaftAck], first *pb.RaftMessage) error {
	if err := s.Send(first); err != nil {
		return err
	}
	end := time.NewTimer(p.lifetime)
	defer end.Stop()
	for {
		select {
		case m := <-p.queue:
			if err := s.Send(m); err != nil {
				return err
			}
		case <-end.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
