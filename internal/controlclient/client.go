// Package controlclient reaches the control group from any host: it finds and
// remembers the leader, proposes and reads there, and watches the settings at any
// replica or, if none can be reached, at hosts that relay what they hold.
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
	// attemptTimeout of one call to one replica. A call that reaches it gives up
	// the connection too: it may have gone silent for good.
	attemptTimeout = time.Second
	// localTarget is the replica in this process.
	localTarget = "local"
)

// Client is safe for concurrent use.
type Client struct {
	addresses []string
	opts      []grpc.DialOption
	local     *control.Replica
	gate      *gate

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	leader string // target that last answered as the leader, or a hint
	learnt func() []string
	next   int
	relays func() []string
	closed bool
}

// New makes a client of the group with replicas at addresses. opts must hold the
// transport credentials. local is the replica in this process, nil if there is none.
func New(addresses []string, opts []grpc.DialOption, local *control.Replica) *Client {
	opts = append(append([]grpc.DialOption(nil), opts...), grpc.WithDefaultCallOptions(
		grpc.MaxCallRecvMsgSize(control.MaxMessageBytes), grpc.MaxCallSendMsgSize(control.MaxMessageBytes)))
	return &Client{
		addresses: addresses, opts: opts, local: local, gate: newGate(),
		conns: map[string]*grpc.ClientConn{}, relays: func() []string { return nil },
	}
}

// SetAddresses gives the addresses of the replicas that are known by now, asked anew
// each time; those of New stay in use behind them. Replicas come and go: without it a
// process whose first replicas were all replaced would find no leader any more.
func (c *Client) SetAddresses(learnt func() []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnt = learnt
}

// SetSeeds replaces the addresses of New.
func (c *Client) SetSeeds(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
}

// known are the addresses of replicas, without doubles; c.mu is held.
func (c *Client) known() []string {
	if c.learnt == nil {
		return c.addresses
	}
	out := c.learnt()
	for _, a := range c.addresses {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// SetRelays gives the peer addresses of hosts that relay the settings, asked
// anew each time no replica can be reached.
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

// pick returns the target to try: the leader if known, else one after another.
func (c *Client) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	all := c.known()
	if c.local != nil {
		all = append([]string{localTarget}, all...)
	}
	if len(all) == 0 {
		return ""
	}
	c.next++
	return all[(c.next-1)%len(all)]
}

// noteLeader remembers where the leader is; empty: not known.
func (c *Client) noteLeader(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = target
}

// Leader returns the address that last answered as the leader, "local" for the
// replica in this process, empty if none is known.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// Answering tells whether the group answered this process when it was last asked.
func (c *Client) Answering() bool { return c.gate.open() }

// service returns the gRPC client of a target.
func (c *Client) service(target string) (pb.ControlClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("controlclient: closed")
	}
	conn := c.conns[target]
	if conn == nil {
		fresh, err := grpc.NewClient(target, c.opts...)
		if err != nil {
			return nil, errors.Wrap(err, "controlclient: address")
		}
		c.conns[target] = fresh
		conn = fresh
	}
	return pb.NewControlClient(conn), nil
}

// drop gives up the connection to a target; the next call makes a new one.
func (c *Client) drop(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[target]; conn != nil {
		_ = conn.Close()
		delete(c.conns, target)
	}
}
