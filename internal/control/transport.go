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
	// peerQueue bounds the messages that wait for one peer; more are dropped.
	peerQueue = 1024
	// streamLife is how long one stream is used. At its end the peer must
	// acknowledge it, which shows that the connection still carries both ways.
	streamLife = 2 * time.Second
	// streamAck is how long the acknowledgement may take.
	streamAck = time.Second
	// snapshotAck is how long a snapshot may take until it's acknowledged.
	snapshotAck = time.Minute
	// redialPause after a connection failed.
	redialPause = 100 * time.Millisecond
	// MaxMessageBytes bounds one gRPC message; a snapshot is one message.
	MaxMessageBytes = 256 << 20
)

// addressKey is the metadata that carries the sender's replica address.
const addressKey = "bluebellsail-replica-address"

// GRPCTransport implements Transport: one client stream for each peer address.
type GRPCTransport struct {
	self string
	opts []grpc.DialOption
	log  zerolog.Logger
	life time.Duration // streamLife, less in tests
	ack  time.Duration // streamAck

	mu     sync.Mutex
	peers  map[peerKey]*peer
	closed bool
}

// peerKey names one queue. Snapshots have a queue, connection and deadline of
// their own: on the common stream a large one would hold up the heartbeats behind
// it, and the stream's short life would cut it off each time.
type peerKey struct {
	address string
	bulk    bool
}

// NewGRPCTransport makes a transport for the replica at address self. opts must
// hold the transport credentials.
func NewGRPCTransport(self string, log zerolog.Logger, opts ...grpc.DialOption) *GRPCTransport {
	opts = append(opts, grpc.WithDefaultCallOptions(
		grpc.MaxCallSendMsgSize(MaxMessageBytes), grpc.MaxCallRecvMsgSize(MaxMessageBytes)))
	return &GRPCTransport{self: self, opts: opts, log: log, life: streamLife, ack: streamAck, peers: map[peerKey]*peer{}}
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
	select {
	case p.queue <- m:
	default: // consensus sends again
	}
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
	t       *GRPCTransport
	address string
	life    time.Duration
	ack     time.Duration
	queue   chan *pb.RaftMessage
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	mu     sync.Mutex
	stream context.CancelFunc
}

func newPeer(t *GRPCTransport, key peerKey) *peer {
	p := &peer{t: t, address: key.address, life: t.life, ack: t.ack, done: make(chan struct{})}
	size := peerQueue
	if key.bulk {
		size, p.life, p.ack = 1, 0, snapshotAck
	}
	p.queue = make(chan *pb.RaftMessage, size)
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// cancelStream ends the stream under way, and with it the connection.
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
		err = p.useConn(pb.NewControlClient(conn))
		_ = conn.Close()
		if p.ctx.Err() != nil {
			return
		}
		p.t.log.Debug().Err(err).Str("peer", p.address).Str("event", "peer-connection-replaced").Send()
		select {
		case <-time.After(redialPause):
		case <-p.ctx.Done():
		}
	}
}

// useConn sends over one connection until it fails.
func (p *peer) useConn(c pb.ControlClient) error {
	for {
		select {
		case m := <-p.queue:
			if err := p.useStream(c, m); err != nil {
				return err
			}
		case <-p.ctx.Done():
			return p.ctx.Err()
		}
	}
}

// useStream sends over one stream for its life. Send may block on a silent
// connection; the stream's deadline ends that.
func (p *peer) useStream(c pb.ControlClient, first *pb.RaftMessage) error {
	ctx, cancel := context.WithTimeout(p.ctx, p.life+p.ack)
	defer cancel()
	p.mu.Lock()
	p.stream = cancel
	p.mu.Unlock()
	ctx = metadata.AppendToOutgoingContext(ctx, addressKey, p.t.self)
	s, err := c.Raft(ctx)
	if err != nil {
		return err
	}
	if err := p.pump(ctx, s, first); err != nil {
		return err
	}
	_, err = s.CloseAndRecv()
	return err
}

func (p *peer) pump(ctx context.Context, s grpc.ClientStreamingClient[pb.RaftMessage, pb.RaftAck], first *pb.RaftMessage) error {
	if err := s.Send(first); err != nil {
		return err
	}
	end := time.NewTimer(p.life)
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
