package sched

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

var t0 = time.Unix(1_000_000, 0)

var model = backend.Target{Kind: backend.Model, Name: "m"}

func announcement(addr string, seq uint64, slots int) *pb.ServerState {
	return &pb.ServerState{
		Address: addr, Incarnation: 1, Seq: seq, Models: []string{"m"}, Slots: uint32(slots),
		TokensPerSecond: 50, PrefillPerSecond: 10000,
	}
}

func newCore(cfg Config, servers, slots int) (*Core, *backend.Registry) {
	reg := backend.New(backend.Config{})
	for i := range servers {
		reg.Announce(t0, announcement(fmt.Sprintf("s%d", i), 1, slots))
	}
	return New(cfg, reg, rand.New(rand.NewSource(1))), reg
}

// machine runs one host's core against a simple model that tracks which requests wait, which run
// where, and which servers are alive.
type machine struct {
	core      *Core
	reg       *backend.Registry
	now       time.Time
	ticket    uint64
	seq       uint64
	waiting   map[uint64]Work
	running   map[uint64]string
	leaving   map[string]bool
	announced map[string]time.Time
	// skipped counts grants to higher priority classes while a class waits.
	skipped [classes]int
}

const (
	testServers = 2
	testSlots   = 2
	perAccount  = 2
	perTarget   = 4
	maxSkips    = maxBatchSkips + maxNormalSkips
)

func newMachine() *machine {
	m := &machine{
		now: t0, seq: 1, waiting: make(map[uint64]Work), running: make(map[uint64]string),
		leaving: make(map[string]bool), announced: make(map[string]time.Time),
	}
	m.core, m.reg = newCore(Config{Host: "h", QueuePerAccount: perAccount, QueuePerTarget: perTarget}, testServers, testSlots)
	for i := range testServers {
		m.announced[fmt.Sprintf("s%d", i)] = t0
	}
	return m
}

func (m *machine) take(t *rapid.T, w Work, res Result) {
	delete(m.waiting, res.Ticket)
	if res.Err != nil {
		if errkind.From(res.Err).Ran() != errkind.RanNo {
			t.Fatalf("refusal of a request that did not run reports ran=%v", errkind.From(res.Err).Ran())
		}
		return
	}
	addr := res.Grant.State.GetAddress()
	if m.leaving[addr] || m.now.Sub(m.announced[addr]) >= backend.DefaultLapse {
		t.Fatalf("granted at %s, which is leaving or has lapsed", addr)
	}
	if res.Grant.Finish.After(w.Deadline) {
		t.Fatalf("granted with the predicted end %v, after its deadline %v", res.Grant.Finish, w.Deadline)
	}
	m.running[res.Ticket] = addr
	m.count(t, w.Class)
}

// count tracks how often each waiting class was skipped.
func (m *machine) count(t *rapid.T, class Class) {
	m.skipped[class] = 0
	for k := class + 1; k < classes; k++ {
		if !m.waits(k) {
			m.skipped[k] = 0
			continue
		}
		m.skipped[k]++
		if m.skipped[k] > maxSkips {
			t.Fatalf("class %d was skipped %d times in a row", k, m.skipped[k])
		}
	}
}

func (m *machine) waits(class Class) bool {
	for _, w := range m.waiting {
		if w.Class == class {
			return true
		}
	}
	return false
}

func (m *machine) submit(t *rapid.T) {
	m.ticket++
	w := Work{
		Ticket: m.ticket, Account: fmt.Sprintf("a%d", rapid.IntRange(0, 2).Draw(t, "account")), Target: model,
		Class:        Class(rapid.IntRange(0, 2).Draw(t, "class")),
		PromptTokens: uint64(rapid.IntRange(0, 20000).Draw(t, "prompt")),
		OutputCap:    uint64(rapid.IntRange(1, 100).Draw(t, "cap")),
		Deadline:     m.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "deadline ms")) * time.Millisecond),
	}
	m.waiting[w.Ticket] = w
	if res, decided := m.core.Submit(m.now, w); decided {
		m.take(t, w, res)
	}
}

func (m *machine) step(t *rapid.T) {
	for _, res := range m.core.Step(m.now) {
		m.take(t, m.waiting[res.Ticket], res)
	}
	for _, w := range m.waiting {
		if !m.now.Before(w.Deadline) {
			t.Fatalf("ticket %d waits past its deadline", w.Ticket)
		}
	}
}

func (m *machine) release(t *rapid.T) {
	for ticket := range m.ticket + 1 {
		if _, ok := m.running[ticket]; ok {
			delete(m.running, ticket)
			m.core.Release(m.now, ticket, End{Completed: rapid.Bool().Draw(t, "whole"), Output: 5})
			m.step(t)
			return
		}
	}
}

func (m *machine) announce(t *rapid.T) {
	m.seq++
	addr := fmt.Sprintf("s%d", rapid.IntRange(0, testServers-1).Draw(t, "server"))
	st := announcement(addr, m.seq, testSlots)
	st.Leaving = rapid.IntRange(0, 9).Draw(t, "leaves") == 0
	m.leaving[addr] = m.leaving[addr] || st.Leaving
	for _, at := range m.running {
		if at == addr {
			st.Running++
		}
	}
	m.announced[addr] = m.now
	m.reg.Announce(m.now, st)
	m.step(t)
}

func (m *machine) check(t *rapid.T) {
	perServer := make(map[string]int)
	for _, addr := range m.running {
		perServer[addr]++
		if perServer[addr] > testSlots+testSlots/urgentExtra {
			t.Fatalf("%s runs %d requests with %d slots", addr, perServer[addr], testSlots)
		}
	}
	accounts := make(map[string]int)
	for _, w := range m.waiting {
		key := fmt.Sprint(w.Account, w.Class)
		accounts[key]++
		if accounts[key] > perAccount || len(m.waiting) > perTarget {
			t.Fatalf("%d requests wait, %d of one account and class", len(m.waiting), accounts[key])
		}
	}
	if m.core.Waiting() != len(m.waiting) || m.core.Running() != len(m.running) {
		t.Fatalf("core: %d waiting, %d running; model: %d and %d", m.core.Waiting(), m.core.Running(), len(m.waiting), len(m.running))
	}
}

// Checks the core against a model for any order of arrivals, ends, announcements, lapses and leaves.
// Guards against a server with more requests than allowed, a request held past its deadline, a
// class that never runs, and requests at a server that left.
func TestCoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"submit":   m.submit,
			"submit 2": m.submit,
			"submit 3": m.submit,
			"submit 4": m.submit,
			"submit 5": m.submit,
			"release":  m.release,
			"announce": m.announce,
			"time passes": func(t *rapid.T) {
				// The runtime calls Step at NextWake at the latest.
				until := m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				for at := m.core.NextWake(m.now); !at.IsZero() && at.Before(until); at = m.core.NextWake(m.now) {
					m.now = at
					m.step(t)
					if again := m.core.NextWake(at); !again.IsZero() && !again.After(at) {
						t.Fatalf("NextWake returns %v again after Step at that time", at)
					}
				}
				m.now = until
				m.step(t)
			},
			"": m.check,
		})
	})
}

// Guards against batch requests that wait as long as there is any other work, which strict priority
// causes when urgent and normal requests arrive faster than the only slot serves them.
func TestBatchIsNotStarved(t *testing.T) {
	c, reg := newCore(Config{Host: "h", QueuePerTarget: 1000, QueuePerAccount: 1000}, 1, 1)
	now, ticket := t0, uint64(0)
	add := func(class Class) (Result, bool) {
		ticket++
		return c.Submit(now, Work{Ticket: ticket, Account: "a", Class: class, Target: model, OutputCap: 1, Deadline: now.Add(time.Hour)})
	}
	first, _ := add(Urgent)
	running := first.Ticket
	batch := map[uint64]bool{}
	for range 3 {
		add(Batch)
		batch[ticket] = true
	}
	since, most, served := 0, 0, 0
	for i := range 400 {
		now = now.Add(100 * time.Millisecond)
		reg.Announce(now, announcement("s0", uint64(i+2), 1))
		add(Class(i % 2))
		add(Urgent)
		c.Release(now, running, End{})
		for _, res := range c.Step(now) {
			running = res.Ticket
			since++
			if batch[res.Ticket] {
				most, since = max(most, since), 0
				served++
			}
		}
	}
	if served != 3 || most > maxSkips+1 {
		t.Errorf("%d of 3 batch requests ran, one after %d grants; the bound is %d", served, most, maxSkips)
	}
}

// Guards against one account's burst delaying all others, as in a queue in order of arrival: one
// account queues 40 requests, then another queues 4 with twice the weight.
func TestAccountsShareByWeight(t *testing.T) {
	c, _ := newCore(Config{Host: "h"}, 1, 1)
	ticket := uint64(0)
	add := func(account string, weight int) Result {
		ticket++
		r, _ := c.Submit(t0, Work{Ticket: ticket, Account: account, Weight: weight, Target: model, Class: Normal, OutputCap: 10, Deadline: t0.Add(time.Hour)})
		return r
	}
	running := add("large", 1).Ticket
	for range 40 {
		add("large", 1)
	}
	small := map[uint64]bool{}
	for range 4 {
		add("small", 2)
		small[ticket] = true
	}
	got := 0
	for i := range 8 {
		now := t0.Add(time.Duration(i) * time.Millisecond)
		c.Release(now, running, End{})
		for _, res := range c.Step(now) {
			running = res.Ticket
			if small[res.Ticket] {
				got++
			}
		}
	}
	if got != 4 {
		t.Errorf("the small account got %d of 8 grants, want its 4", got)
	}
}

func TestImmediateRefusalCarriesRetryAfter(t *testing.T) {
	c, _ := newCore(Config{Host: "h"}, 1, 1)
	w := Work{Ticket: 1, Account: "a", Class: Normal, Target: model, OutputCap: 100, Deadline: t0.Add(time.Second)}
	res, decided := c.Submit(t0, w)
	if !decided || !errkind.Is(res.Err, errkind.DeadlineUnreachable) || errkind.From(res.Err).RetryAfter != 0 {
		t.Errorf("2s of work in 1s: %v, want deadline_unreachable without Retry-After", res.Err)
	}
	for i := range uint64(3) {
		w.Ticket, w.Deadline = i+2, t0.Add(10*time.Second)
		c.Submit(t0, w)
	}
	w.Ticket, w.Deadline = 9, t0.Add(3*time.Second)
	w.Class = Batch
	res, decided = c.Submit(t0, w)
	if !decided || !errkind.Is(res.Err, errkind.DeadlineUnreachable) {
		t.Fatalf("behind 4s of work with 3s left: %v, want an immediate refusal", res.Err)
	}
	after := errkind.From(res.Err).RetryAfter
	if after < time.Second || after > 10*time.Second {
		t.Errorf("Retry-After %v; the work ahead takes about 4s", after)
	}
}

// Guards against servers of a large fleet that get requests from twice as many hosts as others,
// because hosts choose their subset without regard to the others. One host leaves at the end.
func TestSubsetsCoverServersEvenly(t *testing.T) {
	hosts := make([]string, 200)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("host-%d", i)
	}
	reg := backend.New(backend.Config{})
	for i := range 530 {
		reg.Announce(t0, announcement(fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), 1, 64))
	}
	servers := reg.Serving(model)
	cover := coverage(len(hosts), len(servers), DefaultSubset)
	count := make(map[string]int)
	shares := make(map[string]int)
	before := make(map[string]bool)
	for _, h := range hosts {
		part := subsetOf(h, hosts, servers, DefaultSubset)
		if len(part) < DefaultSubset/2 || len(part) > 2*DefaultSubset {
			t.Errorf("%s uses %d servers, want about %d", h, len(part), DefaultSubset)
		}
		for _, m := range part {
			count[m.server.Address()]++
			shares[m.server.Address()] += m.share(64)
			before[h+m.server.Address()] = true
		}
	}
	for _, s := range servers {
		if count[s.Address()] != cover || shares[s.Address()] != 64 {
			t.Fatalf("%s: %d hosts with %d slots in total, want %d and 64", s.Address(), count[s.Address()], shares[s.Address()], cover)
		}
	}
	moved := 0
	for _, h := range hosts[1:] {
		for _, m := range subsetOf(h, hosts[1:], servers, DefaultSubset) {
			if !before[h+m.server.Address()] {
				moved++
			}
		}
	}
	if lost := len(servers) * cover / len(hosts); moved > 2*lost {
		t.Errorf("%d new pairs of host and server after one host with %d pairs left", moved, lost)
	}
}
