// Package peerconn keeps one gRPC connection to each other process of the fleet and replaces a
// connection that no longer delivers anything.
//
// A device between two hosts may lose track of a connection. Its packets then disappear, or
// are acknowledged and not delivered, while a new connection to the same address works: all
// calls time out although other hosts reach the peer. Three mechanisms prevent a long outage:
//
//   - TCP closes a connection whose data nobody acknowledges (gRPC sets TCP_USER_TIMEOUT
//     to the keepalive timeout), which detects lost packets within pingTimeout.
//   - Keepalive pings detect a silent connection without traffic. Clients may not ping
//     more often than every 10 s, servers every 1 s.
//   - A connection without calls is closed after a while.
//   - After several consecutive calls time out, a new connection is tried next to the old
//     one. If it becomes ready, it replaces the old one; if not, the peer itself is
//     unreachable, and the old one stays.
package peerconn

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Times of connections.
const (
	clientPingInterval = 10 * time.Second // gRPC's lower bound for clients
	// serverPingInterval is longer than a host of a large fleet takes to send a heartbeat to each of its neighbors in
	// turn: those connections need no pings.
	serverPingInterval = 5 * time.Second
	pingTimeout        = time.Second
	// reconnectMax bounds gRPC's pause between attempts. Its default of two minutes would keep
	// hosts apart that long after a partition has ended.
	reconnectMin = 100 * time.Millisecond
	reconnectMax = time.Second
	dialTimeout  = time.Second
)

// Defaults of Config.
const (
	DefaultSilentAfter = 3
	DefaultTryTimeout  = time.Second
	DefaultGrace       = time.Second
	// DefaultIdleTimeout is longer than the pause between two heartbeats to a neighbor. An open connection costs both of
	// its hosts memory and pings, and in a large fleet a host calls nearly every other one within minutes.
	DefaultIdleTimeout = 15 * time.Second
)

// Buffers are small, since a host has connections to many peers whose messages are mostly
// under a kilobyte.
const (
	bufferBytes     = 8 << 10
	maxMessageBytes = 64 << 20 // snapshots and gathered records
)

// Config configures a Pool. Zero fields take the defaults above.
type Config struct {
	// Fleet is sent with every call; empty: nothing is sent.
	Fleet Fleet
	// Credentials for mutual authentication; nil: plain TCP.
	Credentials credentials.TransportCredentials
	// Stats creates spans of calls; nil: none.
	Stats stats.Handler
	// Counter counts the bytes of calls; nil: none.
	Counter stats.Handler
	Log     zerolog.Logger
	// ObserveCall is called with how long each call took that was answered; nil: no call.
	ObserveCall func(took time.Duration)
	// SilentAfter is the number of consecutive timed-out calls after which a new connection is
	// tried.
	SilentAfter int
	// TryTimeout bounds the attempt to open a new connection.
	TryTimeout time.Duration
	// Grace is how long calls on a replaced connection may continue.
	Grace time.Duration
	// IdleTimeout is how long a connection without calls stays open.
	IdleTimeout time.Duration
	// Dial opens the TCP connection; nil: as net.Dialer does.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnReplaced is called for each connection that was replaced; nil: no call.
	OnReplaced func(address string)
}

// Pool is a set of connections. It is safe for concurrent use.
type Pool struct {
	cfg  Config
	done chan struct{}
	work sync.WaitGroup

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	defaults.Set(&cfg.SilentAfter, DefaultSilentAfter)
	defaults.Set(&cfg.TryTimeout, DefaultTryTimeout)
	defaults.Set(&cfg.Grace, DefaultGrace)
	defaults.Set(&cfg.IdleTimeout, DefaultIdleTimeout)
	return &Pool{cfg: cfg, done: make(chan struct{}), links: make(map[string]*link)}
}

// Client returns a client of the Peer service at address. It connects at the first call and
// stays valid when the connection is replaced.
func (p *Pool) Client(address string) pb.PeerClient { return pb.NewPeerClient(p.link(address)) }

// Control returns a client of the Control service at address.
func (p *Pool) Control(address string) pb.ControlClient { return pb.NewControlClient(p.link(address)) }

// Forget closes the connection to an address that is no longer used. Existing clients of it
// are closed too; Client creates new ones.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	l := p.links[address]
	delete(p.links, address)
	p.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// Close closes all connections; calls in flight fail.
func (p *Pool) Close() error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil
	}
	p.closed = true
	close(p.done)
	links := p.links
	p.links = make(map[string]*link)
	p.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	p.work.Wait()
	return nil
}

func (p *Pool) link(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[address]
	if l == nil {
		l = &link{pool: p, address: address, closed: p.closed}
		p.links[address] = l
	}
	return l
}

// start runs f in the background unless the pool is closed; Close waits for it.
func (p *Pool) start(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.work.Go(f)
}

func (p *Pool) dial(address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, p.dialOptions()...)
	return conn, errors.Wrapf(err, "connect to %s", address)
}

func (p *Pool) dialOptions() []grpc.DialOption {
	creds := p.cfg.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	options := append(ConnectionOptions(p.cfg.IdleTimeout),
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
	if p.cfg.Dial != nil {
		options = append(options, grpc.WithContextDialer(p.cfg.Dial))
	}
	if p.cfg.Fleet != "" {
		options = append(options, p.cfg.Fleet.DialOptions()...)
	}
	if p.cfg.ObserveCall != nil {
		options = append(options, grpc.WithChainUnaryInterceptor(timeCalls(p.cfg.ObserveCall)))
	}
	if p.cfg.Stats != nil {
		options = append(options, grpc.WithStatsHandler(p.cfg.Stats))
	}
	if p.cfg.Counter != nil {
		options = append(options, grpc.WithStatsHandler(p.cfg.Counter))
	}
	return options
}

// timeCalls returns an interceptor that calls observe with how long each answered call took.
func timeCalls(observe func(took time.Duration)) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		started := time.Now()
		err := invoke(ctx, method, req, reply, conn, opts...)
		if err == nil {
			observe(time.Since(started))
		}
		return err
	}
}

// ConnectionOptions returns the options of all connections between the processes of a fleet. A connection without calls is
// closed after idleTimeout.
func ConnectionOptions(idleTimeout time.Duration) []grpc.DialOption {
	return []grpc.DialOption{
		keepaliveOption(),
		reconnectOption(),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
	}
}

// reconnectOption bounds each attempt to connect and the pause between attempts.
//
// gRPC's default pause grows to two minutes during a partition, and the two ends would stay
// apart that long after it has ended: hosts with outdated settings, or a replica without its
// leader, long after all others have recovered.
func reconnectOption() grpc.DialOption {
	return grpc.WithConnectParams(grpc.ConnectParams{
		Backoff:           backoff.Config{BaseDelay: reconnectMin, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMax},
		MinConnectTimeout: dialTimeout,
	})
}

// keepaliveOption makes a client ping its server, so that a connection that no longer delivers
// anything is closed even when no call waits on it.
func keepaliveOption() grpc.DialOption {
	return grpc.WithKeepaliveParams(keepalive.ClientParameters{
		Time: clientPingInterval, Timeout: pingTimeout, PermitWithoutStream: true,
	})
}

// ServerOptions returns the options that a gRPC server needs for this package's clients: it
// permits their pings and pings silent clients itself. Nil creds mean plain TCP.
func ServerOptions(creds credentials.TransportCredentials, handler stats.Handler) []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: clientPingInterval / 2, PermitWithoutStream: true,
		}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPingInterval, Timeout: pingTimeout}),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
	}
	if creds != nil {
		options = append(options, grpc.Creds(creds))
	}
	if handler != nil {
		options = append(options, grpc.StatsHandler(handler))
	}
	return options
}
