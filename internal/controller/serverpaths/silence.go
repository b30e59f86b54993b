package serverpaths

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/serverpath"
)

// A device between this host and the servers may accept connections in the servers' name and deliver
// nothing. Connections then open, and requests on them are never answered. While all servers seem
// silent, two of them are asked for their health, directly and through a peer. If both answer the peer
// only, although direct connections open, requests go through peers until a direct question is answered.
// Where direct connections do not open, the race of paths bypasses them, and open ones may go on.

const (
	// silenceCheck is the interval of checks while requests are unanswered.
	silenceCheck = 250 * time.Millisecond
	// confirmations is how many servers must answer a peer and not this host.
	confirmations = 2
	// healthTimeout bounds one question, directGrace is how much longer than the answer through a peer
	// the direct one may take.
	healthTimeout = 600 * time.Millisecond
	directGrace   = 300 * time.Millisecond
	// confirmPause is the time between two confirmations.
	confirmPause = 2 * time.Second
	// regainInterval is how often a server is asked directly while direct connections deliver nothing.
	regainInterval = time.Second
)

// silence detects that direct connections deliver nothing.
type silence struct {
	mu      sync.Mutex
	servers *serverpath.Silence
	// conns are the open direct connections.
	conns map[*directConn]struct{}
	// checking is set while a check is due. wake wakes Run for one.
	checking bool
	wake     chan struct{}
	// confirmedAt is when servers were last asked.
	confirmedAt time.Time
}

func newSilence() silence {
	return silence{servers: serverpath.NewSilence(), conns: make(map[*directConn]struct{}), wake: make(chan struct{}, 1)}
}

// directConn is a direct connection to a server that records whether the server answers.
type directConn struct {
	net.Conn
	paths   *Paths
	address string
	// waiting is set from the first Write of a request until the first Read of its answer.
	waiting atomic.Bool
}

// directSyscallConn is a directConn over a connection of the kernel.
type directSyscallConn struct {
	*directConn
	syscall.Conn
}

// observe returns a direct connection that records whether the server answers.
func (p *Paths) observe(conn net.Conn, address string) net.Conn {
	c := &directConn{Conn: conn, paths: p, address: address}
	p.silence.mu.Lock()
	p.silence.conns[c] = struct{}{}
	p.silence.mu.Unlock()
	if sys, ok := conn.(syscall.Conn); ok {
		return directSyscallConn{c, sys}
	}
	return c
}

// Write implements net.Conn.
func (c *directConn) Write(b []byte) (int, error) {
	if !c.waiting.Swap(true) {
		c.paths.sent(c.address)
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *directConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.waiting.Store(false)
		c.paths.heard(c.address)
	}
	return n, err
}

// Close implements net.Conn.
func (c *directConn) Close() error {
	s := &c.paths.silence
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	return c.Conn.Close()
}

func (p *Paths) heard(address string) {
	s := &p.silence
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers.Heard(time.Now(), address)
}

// sent records a request to a server, and has a check made unless one is due.
func (p *Paths) sent(address string) {
	s := &p.silence
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers.Sent(time.Now(), address)
	if !s.checking {
		s.checking = true
		time.AfterFunc(silenceCheck, s.wakeRun)
	}
}

func (s *silence) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default: // Run has been woken already
	}
}

// suspects returns the servers that are to be asked, and schedules the next check while requests are
// unanswered.
func (s *silence) suspects(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	suspects := s.servers.Suspects(now)
	if s.checking = s.servers.Waiting(); s.checking {
		time.AfterFunc(silenceCheck, s.wakeRun)
	}
	if len(suspects) == 0 || now.Sub(s.confirmedAt) < confirmPause {
		return nil
	}
	s.confirmedAt = now
	return suspects[:confirmations]
}

// Run detects that direct connections deliver nothing, and that they do so again, until ctx ends.
func (p *Paths) Run(ctx context.Context) {
	regain := time.NewTicker(regainInterval)
	defer regain.Stop()
	regain.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.silence.wake:
			suspects := p.silence.suspects(time.Now())
			if p.silenced() || len(suspects) == 0 || !p.confirm(ctx, suspects) {
				continue
			}
			p.setSilenced(true, suspects)
			regain.Reset(regainInterval)
		case <-regain.C:
			if address := p.lastWanted(); address != "" && p.askDirectly(ctx, address) == answered {
				p.setSilenced(false, []string{address})
				regain.Stop()
			}
		}
	}
}

func (p *Paths) silenced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Silenced()
}

// lastWanted returns the server to which a connection was last wanted.
func (p *Paths) lastWanted() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wanted
}

// setSilenced records whether direct connections deliver nothing. If so, all are ended, so that their
// requests fail or are sent again.
func (p *Paths) setSilenced(silenced bool, servers []string) {
	p.mu.Lock()
	p.table.SetSilenced(silenced)
	p.mu.Unlock()
	if !silenced {
		p.cfg.Log.Info().Str("event", "direct-connections-deliver").Strs("servers", servers).Send()
		p.checkCutOff()
		return
	}
	p.metrics.silenced.Add(1)
	p.cfg.Log.Warn().Str("event", "direct-connections-silent").Strs("servers", servers).Send()
	p.checkCutOff()
	p.endDirect()
}

// endDirect ends all direct connections as timed out.
func (p *Paths) endDirect() {
	s := &p.silence
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.SetReadDeadline(time.Now())
	}
}

// confirm reports whether servers answer through a peer and not directly.
func (p *Paths) confirm(ctx context.Context, servers []string) bool {
	answers := make(chan bool, len(servers))
	for _, server := range servers {
		go func() {
			silent := false
			defer func() { answers <- silent }()
			defer panics.Log(p.cfg.Log, "asking a server for its health")
			silent = p.silentDirectly(ctx, server)
		}()
	}
	all := true
	for range servers {
		all = <-answers && all
	}
	return all
}

// directAnswer is the outcome of a question on a new direct connection.
type directAnswer int

const (
	// notOpened: no connection opened.
	notOpened directAnswer = iota
	// opened: a connection opened and brought no answer.
	opened
	answered
)

// silentDirectly reports whether a server answers through a peer, and not on a direct connection that
// opens.
func (p *Paths) silentDirectly(ctx context.Context, address string) bool {
	direct, cancel := context.WithCancel(ctx)
	defer cancel()
	directly := make(chan directAnswer, 1)
	go func() {
		out := notOpened
		defer func() { directly <- out }()
		defer panics.Log(p.cfg.Log, "asking a server for its health")
		out = p.askDirectly(direct, address)
	}()
	r := &race{p: p, network: "tcp", address: address}
	tunnelCtx, cancelTunnel := context.WithTimeout(ctx, healthTimeout)
	defer cancelTunnel()
	res := r.tunnel(tunnelCtx)
	if res.err != nil || p.askHealth(tunnelCtx, res.conn, address) != nil {
		return false
	}
	time.AfterFunc(directGrace, cancel)
	return <-directly == opened
}

// askDirectly asks a server for its health on a new direct connection.
func (p *Paths) askDirectly(ctx context.Context, address string) directAnswer {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	conn, err := p.cfg.Direct(ctx, "tcp", address)
	switch {
	case err != nil:
		return notOpened
	case p.askHealth(ctx, conn, address) != nil:
		return opened
	}
	return answered
}

// askHealth asks a server for its health on a connection, which it closes, and waits for the first byte of
// any answer.
func (p *Paths) askHealth(ctx context.Context, conn net.Conn, address string) error {
	defer func() { _ = conn.Close() }()
	path, known := p.cfg.HealthPath(address)
	if !known {
		return errors.Errorf("the health path of the server at %s is not known", address)
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address); err != nil {
		return errors.Wrap(err, "send the question")
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return errors.Wrap(err, "read the answer")
}
