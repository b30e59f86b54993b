package control

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wal/memfs"
)

// cluster is a group on a faulty network in memory, for use in a synctest bubble.
type cluster struct {
	t     *testing.T
	hosts []*host
	edit  func(*Config)

	mu   sync.Mutex
	rnd  *rand.Rand
	cut  map[[2]string]bool
	drop int // permille
}

type host struct {
	address string
	join    bool
	fs      *memfs.FS
	sm      *registers
	r       *Replica
}

func newCluster(t *testing.T, n int, edit func(*Config)) *cluster {
	t.Helper()
	c := &cluster{t: t, edit: edit, rnd: rand.New(rand.NewSource(1)), cut: map[[2]string]bool{}}
	for i := range n {
		c.hosts = append(c.hosts, &host{address: fmt.Sprint("host", i), fs: memfs.New()})
	}
	for _, h := range c.hosts {
		c.start(h)
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			_ = h.r.Close()
		}
	})
	return c
}

// start opens a host's replica on its disk. c.hosts isn't locked: tests start
// hosts from one goroutine, and messages carry addresses.
func (c *cluster) start(h *host) {
	c.t.Helper()
	sm := newRegisters()
	cfg := Config{
		Fleet: "test", Host: h.address, ReplicaAddress: h.address, DataDir: "/data", Join: h.join,
		TickInterval: 50 * time.Millisecond, StateMachine: sm, Transport: link{c, h.address},
		FS: h.fs, Logger: zerolog.Nop(), Seed: c.seed(),
	}
	for i := range 3 {
		cfg.Members = append(cfg.Members, Member{Address: fmt.Sprint("host", i), Host: fmt.Sprint("host", i)})
	}
	if c.edit != nil {
		c.edit(&cfg)
	}
	r, err := Open(cfg)
	if err != nil {
		c.t.Fatalf("%s: %v", h.address, err)
	}
	c.mu.Lock()
	h.sm, h.r = sm, r
	c.mu.Unlock()
}

func (c *cluster) seed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 1 + c.rnd.Int63()
}

// crash stops a host at once; bytes that weren't synced are lost.
func (c *cluster) crash(h *host) {
	h.r.abrupt.Store(true)
	h.fs.Crash(rand.New(rand.NewSource(c.seed())))
	_ = h.r.Close()
}

func (c *cluster) isolate(h *host, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.hosts {
		c.cut[[2]string{h.address, o.address}] = on
		c.cut[[2]string{o.address, h.address}] = on
	}
}

// link is one host's Transport.
type link struct {
	c    *cluster
	from string
}

func (l link) Send(m *pb.RaftMessage, address string) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	if l.c.cut[[2]string{l.from, address}] || l.c.rnd.Intn(1000) < l.c.drop {
		return
	}
	delay := time.Millisecond + time.Duration(l.c.rnd.Intn(3000))*time.Microsecond
	time.AfterFunc(delay, func() {
		l.c.mu.Lock()
		var to *Replica
		for _, h := range l.c.hosts {
			if h.address == address {
				to = h.r
			}
		}
		l.c.mu.Unlock()
		to.receive(m, l.from)
	})
}
func (l link) Reset(string) {}
func (l link) Close()       {}

// leader waits for a leader that can read, and returns its host.
func (c *cluster) leader() *host {
	c.t.Helper()
	for range 1000 {
		for _, h := range c.hosts {
			if _, err := h.r.Read(context.Background(), get("/")); err == nil {
				return h
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatal("no leader")
	return nil
}

// follower returns a host that isn't the leader.
func (c *cluster) follower() *host {
	c.t.Helper()
	l := c.leader()
	for _, h := range c.hosts {
		if h != l {
			return h
		}
	}
	return nil
}

// set writes a register through whichever replica leads; nil once it's acknowledged.
func (c *cluster) set(opID, path, value string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for ctx.Err() == nil {
		for _, h := range c.running() {
			if _, err := h.Propose(ctx, set(opID, path, value)); err == nil {
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errkind.New(errkind.NoQuorum, "not acknowledged")
}

func (c *cluster) running() []*Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Replica
	for _, h := range c.hosts {
		out = append(out, h.r)
	}
	return out
}

func (c *cluster) mustSet(n int, from int) {
	c.t.Helper()
	for i := from; i < from+n; i++ {
		if err := c.set(fmt.Sprint("op", i), "/a", fmt.Sprint(i), 10*time.Second); err != nil {
			c.t.Fatalf("write %d: %v", i, err)
		}
	}
}
