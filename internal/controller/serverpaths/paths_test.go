package serverpaths

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/peertunnel"
	"github.com/bluebellsail/bluebellsail/internal/serverpath"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// directTimeout is the time limit of a direct connection. It is longer than a tunnel takes to open.
const directTimeout = 400 * time.Millisecond

// faults are the ways in which the direct path of a host may fail.
type fault int

const (
	works fault = iota
	hangs
	refuses
	// swallows: connections open and deliver nothing.
	swallows
)

// host is one host with its paths, which serves tunnels over gRPC.
type host struct {
	pb.UnimplementedPeerServer
	paths   *Paths
	address string
	client  pb.PeerClient
	fault   atomic.Int32
	// direct counts the direct connections tried, served the tunnels asked for.
	direct, served atomic.Int32
	cutOff         atomic.Int32
	unknown        atomic.Bool
}

func (h *host) Tunnel(s pb.Peer_TunnelServer) error {
	h.served.Add(1)
	return h.paths.Serve(s)
}

func (h *host) dial(ctx context.Context, network, address string) (net.Conn, error) {
	h.direct.Add(1)
	switch fault(h.fault.Load()) {
	case hangs:
		ctx, cancel := context.WithTimeout(ctx, directTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	case refuses:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case swallows:
		here, there := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, there) }()
		return here, nil
	}
	return openDirect(ctx, network, address)
}

// openDirect opens connections as hosts do.
var openDirect = engineclient.Direct(engineclient.Config{})

// startHosts starts hosts that may open tunnels for one another.
func startHosts(t *testing.T, n int) []*host {
	t.Helper()
	hosts := make([]*host, n)
	for i := range hosts {
		hosts[i] = startHost(t)
	}
	for i, h := range hosts {
		h.paths = New(Config{
			Direct: h.dial, Known: func(string) bool { return !h.unknown.Load() }, HealthPath: func(string) (string, bool) { return "/healthz", true }, Seed: uint64(i), OnCutOff: func() { h.cutOff.Add(1) },
			Peers: func() []serverpath.Peer { return peersOf(hosts, h) },
			Client: func(address string) pb.PeerClient {
				for _, other := range hosts {
					if other.address == address {
						return other.client
					}
				}
				return nil
			},
		})
	}
	return hosts
}

func peersOf(hosts []*host, self *host) []serverpath.Peer {
	var out []serverpath.Peer
	for _, h := range hosts {
		if h != self {
			out = append(out, serverpath.Peer{Address: h.address, Spare: 500})
		}
	}
	return out
}

func startHost(t *testing.T) *host {
	t.Helper()
	l := testutil.Listen(t)
	h := &host{address: l.Addr().String()}
	server := grpc.NewServer()
	pb.RegisterPeerServer(server, h)
	go func() { _ = server.Serve(l) }()
	conn, err := grpc.NewClient("passthrough:///"+h.address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	testutil.NoError(t, err)
	h.client = pb.NewPeerClient(conn)
	t.Cleanup(func() {
		_ = conn.Close()
		server.Stop()
	})
	return h
}

// startServer starts a server that greets each connection and leaves it open.
func startServer(t *testing.T) string {
	t.Helper()
	l := testutil.Listen(t)
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte("hello"))
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			_ = c.Close()
		}
	})
	return l.Addr().String()
}

// connect opens a connection, reads the server's greeting and returns the peer that was used.
func (h *host) connect(t *testing.T, address string) (via string, took time.Duration) {
	t.Helper()
	began := time.Now()
	c, err := h.paths.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatalf("no connection: %v", err)
	}
	took = time.Since(began)
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.ReadFull(c, make([]byte, len("hello"))); err != nil {
		t.Fatalf("the connection delivers nothing: %v", err)
	}
	if tunnel, ok := c.(*peertunnel.Conn); ok {
		return tunnel.Peer(), took
	}
	return "", took
}

func TestReachableServerNeedsNoTunnel(t *testing.T) {
	hosts, server := startHosts(t, 2), startServer(t)
	for range 5 {
		if via, _ := hosts[0].connect(t, server); via != "" {
			t.Fatalf("connected through %s", via)
		}
	}
	if n := hosts[1].served.Load(); n > 0 {
		t.Errorf("%d tunnels were asked for", n)
	}
}

// Guards against a host that serves nobody because it is cut off from servers that other hosts reach.
func TestServersAreReachedThroughAPeer(t *testing.T) {
	for name, f := range map[string]fault{"connections hang": hangs, "connections are refused": refuses} {
		t.Run(name, func(t *testing.T) {
			hosts := startHosts(t, 3)
			servers := []string{startServer(t), startServer(t), startServer(t)}
			hosts[0].fault.Store(int32(f))
			for _, server := range servers {
				if via, _ := hosts[0].connect(t, server); via == "" {
					t.Fatal("connected directly")
				}
			}
			if n := hosts[0].cutOff.Load(); n != 1 {
				t.Errorf("the host counted as cut off %d times, want once", n)
			}
			before := hosts[0].direct.Load()
			if _, took := hosts[0].connect(t, servers[0]); took > directTimeout/2 {
				t.Errorf("a known failed path delays the connection by %v", took)
			}
			if n := hosts[0].direct.Load() - before; n > 0 {
				t.Errorf("%d more direct connections within a second of the last", n)
			}
		})
	}
}

// Guards against tunnels that stay in use after a partition has ended.
func TestDirectPathIsUsedAgainAfterAPartition(t *testing.T) {
	hosts, server := startHosts(t, 2), startServer(t)
	hosts[0].fault.Store(int32(hangs))
	hosts[0].connect(t, server)
	hosts[0].fault.Store(int32(works))
	time.Sleep(1100 * time.Millisecond) // until the next probe
	hosts[0].connect(t, server)         // on either path
	if via, _ := hosts[0].connect(t, server); via != "" {
		t.Errorf("connected through %s", via)
	}
}

// Guards against tunnels through hosts that are cut off themselves.
func TestPeersWithoutAPathArePassedOver(t *testing.T) {
	hosts, servers := startHosts(t, 4), []string{startServer(t), startServer(t)}
	for _, h := range hosts[:3] {
		h.fault.Store(int32(refuses))
	}
	for range 3 {
		for _, server := range servers {
			if via, _ := hosts[0].connect(t, server); via != hosts[3].address {
				t.Fatalf("connected through %q, want the only host with a path", via)
			}
		}
	}
}

// Guards against tunnels through more than one peer.
func TestPeerOpensNoTunnelItself(t *testing.T) {
	hosts, server := startHosts(t, 3), startServer(t)
	hosts[0].fault.Store(int32(refuses))
	hosts[1].fault.Store(int32(refuses))
	for range 4 {
		hosts[0].connect(t, server)
	}
	if n := hosts[2].served.Load(); n != 4 {
		t.Errorf("the host with a path opened %d tunnels, want one for each connection", n)
	}
}

// Guards against a wait for the deadline, or for one peer after the other, when no host has a path.
func TestConnectionFailsSoonWhenNoHostHasAPath(t *testing.T) {
	hosts, server := startHosts(t, 4), startServer(t)
	for _, h := range hosts {
		h.fault.Store(int32(refuses))
	}
	_, _ = hosts[0].paths.DialContext(t.Context(), "tcp", server)
	began := time.Now()
	if _, err := hosts[0].paths.DialContext(t.Context(), "tcp", server); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("got %v", err)
	}
	if took := time.Since(began); took > directTimeout/2 {
		t.Errorf("the failure took %v", took)
	}
}

// Guards against requests that are held until their deadline when no host has a path.
func TestConnectionsAreNotWaitedForWhenTheyHangAtAllHosts(t *testing.T) {
	hosts, server := startHosts(t, 3), startServer(t)
	for _, h := range hosts {
		h.fault.Store(int32(hangs))
	}
	if _, err := hosts[0].paths.DialContext(t.Context(), "tcp", server); err == nil {
		t.Fatal("a connection opened")
	}
	began := time.Now()
	for range 3 {
		if _, err := hosts[0].paths.DialContext(t.Context(), "tcp", server); err == nil {
			t.Error("a connection opened")
		}
	}
	if took := time.Since(began); took > directTimeout/2 {
		t.Errorf("the failures took %v", took)
	}
	for _, h := range hosts {
		h.fault.Store(int32(works))
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if c, err := hosts[0].paths.DialContext(t.Context(), "tcp", server); err == nil {
			_ = c.Close()
			return
		}
		if time.Now().After(end) {
			t.Fatal("no connection has opened after the partition")
		}
	}
}

// Guards against tunnels for a server that is down, for which each peer would try to connect.
func TestServerThatIsDownIsNotBlamedOnThePath(t *testing.T) {
	hosts := startHosts(t, 3)
	l := testutil.Listen(t)
	down := l.Addr().String()
	testutil.NoError(t, l.Close())
	for range 5 {
		if _, err := hosts[0].paths.DialContext(t.Context(), "tcp", down); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("got %v, want the refusal by the server's machine", err)
		}
	}
	if n := hosts[1].served.Load() + hosts[2].served.Load(); n != 2 {
		t.Errorf("%d tunnels were asked for, want one of each peer", n)
	}
	if hosts[0].cutOff.Load() > 0 {
		t.Error("the host counts as cut off")
	}
}

// Guards against peers that open connections to any address.
func TestTunnelsLeadToKnownServersOnly(t *testing.T) {
	hosts, server := startHosts(t, 2), startServer(t)
	hosts[0].fault.Store(int32(refuses))
	hosts[1].unknown.Store(true)
	if _, err := hosts[0].paths.DialContext(t.Context(), "tcp", server); err == nil {
		t.Error("a tunnel opened to a server that the peer does not know")
	}
	if n := hosts[1].direct.Load(); n > 0 {
		t.Errorf("the peer tried %d connections", n)
	}
}

// Guards against a leaving host that truncates the answers of other hosts' requests.
func TestDrainWaitsForTunnels(t *testing.T) {
	hosts, server := startHosts(t, 2), startServer(t)
	hosts[0].fault.Store(int32(refuses))
	c, err := hosts[0].paths.DialContext(t.Context(), "tcp", server)
	testutil.NoError(t, err)
	drained := make(chan struct{})
	go func() {
		hosts[1].paths.Drain(t.Context())
		close(drained)
	}()
	select {
	case <-drained:
		t.Fatal("drained with a tunnel open")
	case <-time.After(5 * drainPoll):
	}
	if _, err := hosts[0].paths.DialContext(t.Context(), "tcp", server); err == nil {
		t.Error("a leaving host opened another tunnel")
	}
	testutil.NoError(t, c.Close())
	<-drained
}
