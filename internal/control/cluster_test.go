package control

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wal/memfs"
)

// cluster is a group on a faulty in-memory network, for use in a synctest bubble.
type cluster struct {
	t         *testing.T
	hosts     []*host
	configure func(*Config)

	mu       sync.Mutex
	rnd      *rand.Rand
	blocked  map[[2]string]bool
	silent   map[[2]string]bool       // connections that carry nothing until they are reset
	resets   map[string]int           // resets of the connections to each host
	old      map[string]uint32        // hosts whose messages look like those of a program with an earlier record version
	drop     int                      // permille
	minDelay time.Duration            // minimum delay of each message
	steady   bool                     // all messages take equally long
	slow     map[string]time.Duration // added to the delay of each message from or to a host

	lose func(*pb.RaftMessage) bool // messages that are lost; nil: none
}

type host struct {
	address string
	fs      *memfs.FS
	sm      *registers
	r       *Replica
}

func newCluster(t *testing.T, n int, edit func(*Config)) *cluster {
	t.Helper()
	c := &cluster{t: t, configure: edit, rnd: rand.New(rand.NewSource(1)), blocked: map[[2]string]bool{}, old: map[string]uint32{}, slow: map[string]time.Duration{}, silent: map[[2]string]bool{}, resets: map[string]int{}}
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

// withCluster runs a test with three replicas in a synctest bubble.
func withCluster(t *testing.T, edit func(*Config), test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) { test(t, newCluster(t, 3, edit)) })
}

// members returns a bootstrap list of hosts at the addresses.
func members(addresses ...string) []Member {
	var out []Member
	for i, address := range addresses {
		out = append(out, Member{Address: address, Host: fmt.Sprint("host", i)})
	}
	return out
}

// start opens a host's replica on its disk. c.hosts isn't locked: tests start hosts
// from one goroutine, and messages carry addresses.
func (c *cluster) start(h *host) {
	c.t.Helper()
	sm := newRegisters()
	r, err := Open(c.config(h, sm))
	if err != nil {
		c.t.Fatalf("%s: %v", h.address, err)
	}
	c.mu.Lock()
	h.sm, h.r = sm, r
	c.mu.Unlock()
}

func (c *cluster) config(h *host, sm *registers) Config {
	cfg := Config{
		Fleet: "test", Host: h.address, ReplicaAddress: h.address, DataDir: "/data",
		TickInterval: 50 * time.Millisecond, StateMachine: sm, Transport: link{c, h.address},
		FS: h.fs, Logger: zerolog.Nop(), Seed: c.seed(), Members: members("host0", "host1", "host2"),
	}
	if c.configure != nil {
		c.configure(&cfg)
	}
	return cfg
}

func (c *cluster) seed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 1 + c.rnd.Int63()
}

// crash stops a host at once; bytes that weren't synced are lost.
func (c *cluster) crash(h *host) {
	h.r.skipHandOver.Store(true)
	h.fs = h.fs.PowerOff(rand.New(rand.NewSource(c.seed())))
	_ = h.r.Close()
}

func (c *cluster) crashAll() {
	for _, h := range c.hosts {
		c.crash(h)
	}
}

func (c *cluster) isolate(h *host, on bool) { c.blockLinks(h, on, on) }

// blockLinks drops, or stops dropping, the messages from the host and those to it.
func (c *cluster) blockLinks(h *host, from, to bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.hosts {
		c.blocked[[2]string{h.address, o.address}] = from
		c.blocked[[2]string{o.address, h.address}] = to
	}
}

// keepDelaysSteady has all messages take equally long from now on, so that no host is asked sooner than another.
func (c *cluster) keepDelaysSteady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steady = true
}

// link is one host's Transport.
type link struct {
	c    *cluster
	from string
}

func (l link) Send(m *pb.RaftMessage, address string) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	path := [2]string{l.from, address}
	if l.c.lose != nil && l.c.lose(m) {
		return
	}
	if l.c.blocked[path] || l.c.silent[path] || l.c.rnd.Intn(1000) < l.c.drop {
		return
	}
	if version, old := l.c.old[l.from]; old {
		m = proto.CloneOf(m)
		m.RecordVersion = version
	}
	delay := l.c.minDelay + l.c.slow[l.from] + l.c.slow[address] + time.Millisecond
	if !l.c.steady {
		delay += time.Duration(l.c.rnd.Intn(3000)) * time.Microsecond
	}
	time.AfterFunc(delay, func() {
		l.c.mu.Lock()
		var to *Replica
		for _, h := range l.c.hosts {
			if h.address == address {
				to = h.r
			}
		}
		l.c.mu.Unlock()
		if to != nil { // started
			to.receive(m, l.from)
		}
	})
}

// Reset replaces a silent connection.
func (l link) Reset(address string) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	delete(l.c.silent, [2]string{l.from, address})
	l.c.resets[address]++
}

// silenceAll has the open connections between all hosts carry nothing more.
func (c *cluster) silenceAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, from := range c.hosts {
		for _, to := range c.hosts {
			c.silent[[2]string{from.address, to.address}] = true
		}
	}
}

func (l link) FailedSnapshots() []uint64 { return nil }

func (l link) Close() {}

// leader waits for a leader that answers reads, and returns its host.
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

// set writes a register through the current leader; it returns nil once the write is
// acknowledged.
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

// registers is a small state machine: SetConfig writes a register, ConfigQuery reads
// one, or all at "/". Each operation ID is applied once.
type registers struct {
	mu    sync.Mutex
	State registerState
	stamp []int64
}

type registerState struct {
	Revision uint64
	Values   map[string]string
	Done     map[string]uint64 // operation ID -> revision
	Order    []string
}

func newRegisters() *registers {
	return &registers{State: registerState{Values: map[string]string{}, Done: map[string]uint64{}}}
}

func (s *registers) Apply(index uint64, cmd *pb.Command) *pb.CommandResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := cmd.GetSetConfig()
	if set == nil {
		return &pb.CommandResult{Index: index}
	}
	s.stamp = append(s.stamp, cmd.TimeMs)
	rev, resend := s.State.Done[cmd.OpId]
	if !resend {
		s.State.Revision++
		rev = s.State.Revision
		s.State.Values[set.Path] = string(set.ValueJson)
		s.State.Done[cmd.OpId] = rev
		s.State.Order = append(s.State.Order, cmd.OpId)
	}
	return &pb.CommandResult{Index: index, Resend: resend, Body: &pb.CommandResult_SetConfig{
		SetConfig: &pb.SetConfigResult{Revision: rev, Version: rev},
	}}
}

func (s *registers) Query(q *pb.Query) *pb.QueryResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	path := q.GetConfig().GetPath()
	if path == rootPath {
		all, _ := json.Marshal(s.State.Values)
		return &pb.QueryResult{Revision: s.State.Revision, ValueJson: all}
	}
	return &pb.QueryResult{Revision: s.State.Revision, ValueJson: []byte(s.State.Values[path])}
}

func (s *registers) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return json.Marshal(s.State)
}

func (s *registers) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.State = registerState{}
	return json.Unmarshal(data, &s.State)
}

// order returns the operation IDs applied so far, in order.
func (s *registers) order() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.State.Order...)
}

// times returns the timestamps of the commands applied so far.
func (s *registers) times() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]int64(nil), s.stamp...)
}

func set(opID, path, value string) *pb.Command {
	return &pb.Command{OpId: opID, Body: &pb.Command_SetConfig{
		SetConfig: &pb.SetConfig{Path: path, ValueJson: []byte(value), AnyVersion: true},
	}}
}

func get(path string) *pb.Query {
	return &pb.Query{Body: &pb.Query_Config{Config: &pb.ConfigQuery{Path: path}}}
}
