// Package controlclient connects any host to the control group: it finds and remembers
// the leader, proposes and reads there, and watches the settings at any replica or, if
// none can be reached, at hosts that relay the settings they have.
package controlclient

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/bluebellsail/bluebellsail/internal/control"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// attemptTimeout limits one call to one replica. A call that exceeds it also closes
	// the connection, which may never recover.
	attemptTimeout = time.Second
	// localTarget denotes the replica in this process.
	localTarget = "local"
)

// Client is a client of the control group. It is safe for concurrent use.
type Client struct {
	addresses []string
	opts      []grpc.DialOption
	local     *control.Replica
	gate      *gate

	mu         sync.Mutex
	conns      map[string]*grpc.ClientConn
	leader     string // target that last answered as the leader, or a leader hint
	discovered func() []string
	next       int
	relays     func() []string
	closed     bool
}

// New returns a client of the group with replicas at addresses. opts must contain the
// transport credentials. local is the replica in this process, nil if there is none.
func New(addresses []string, opts []grpc.DialOption, local *control.Replica) *Client {
	opts = append(append([]grpc.DialOption(nil), opts...), grpc.WithDefaultCallOptions(
		grpc.MaxCallRecvMsgSize(control.MaxMessageBytes), grpc.MaxCallSendMsgSize(control.MaxMessageBytes)))
	return &Client{
		addresses: addresses, opts: opts, local: local, gate: newGate(),
		conns: map[string]*grpc.ClientConn{}, relays: func() []string { return nil },
	}
}

// SetAddresses sets the function that returns the currently known addresses of
// replicas; it is called each time they are needed. The addresses passed to New are
// still used after them. Replicas come and go: otherwise a process whose first replicas
// were all replaced would no longer find a leader.
func (c *Client) SetAddresses(addresses func() []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discovered = addresses
}

// SetSeeds replaces the addresses passed to New.
func (c *Client) SetSeeds(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
}

// replicaAddresses returns the addresses of replicas without duplicates. c.mu must be
// held.
func (c *Client) replicaAddresses() []string {
	if c.discovered == nil {
		return c.addresses
	}
	out := c.discovered()
	for _, a := range c.addresses {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// SetRelays sets the function that returns the peer addresses of hosts that relay the
// settings; it is called each time a watch looks for a source. Relays are used after
// all replicas.
func (c *Client) SetRelays(relays func() []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays = relays
}

// Close closes the connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for target, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, target)
	}
}

// pick returns the target to try: the leader if known, otherwise the replicas in turn.
func (c *Client) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	all := c.replicaAddresses()
	if c.local != nil {
		all = append([]string{localTarget}, all...)
	}
	if len(all) == 0 {
		return ""
	}
	c.next++
	return all[(c.next-1)%len(all)]
}

// setLeader remembers the leader's target; empty: unknown.
func (c *Client) setLeader(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = target
}

// Leader returns the address that last answered as the leader, "local" for the replica
// in this process, or empty if none is known.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// LastCallAnswered reports whether the group answered the last call of this process.
func (c *Client) LastCallAnswered() bool { return c.gate.open() }

// service returns the gRPC client of a target.
func (c *Client) service(target string) (pb.ControlClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("controlclient: the client is closed")
	}
	conn := c.conns[target]
	if conn == nil {
		fresh, err := grpc.NewClient(target, c.opts...)
		if err != nil {
			return nil, errors.Wrap(err, "controlclient: connect to replica")
		}
		c.conns[target] = fresh
		conn = fresh
	}
	return pb.NewControlClient(conn), nil
}

// drop closes the connection to a target; the next call opens a new one.
func (c *Client) drop(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[target]; conn != nil {
		_ = conn.Close()
		delete(c.conns, target)
	}
}
