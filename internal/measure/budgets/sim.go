package budgets

import (
	"container/heap"
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/grant/fakeledger"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// The timing of the network and of the runtime. Latencies are one-way.
const (
	inZone         = 300 * time.Microsecond
	betweenZones   = 1100 * time.Microsecond
	quorumWrite    = 3 * time.Millisecond // replication and sync
	proposeTimeout = time.Second
	askTimeout     = 250 * time.Millisecond
	tickEvery      = 100 * time.Millisecond
	suspectAfter   = 2 * time.Second // until a peer that was cut off is no longer contacted
	messageBytes   = 100             // headers of one message: TCP, HTTP/2, gRPC
	replicas       = 3
)

// strategy decides how budgets are spent on many hosts.
type strategy interface {
	// reserve leads to exactly one call of sim.decide, immediately or later.
	reserve(r *request)
	settle(r *request)
	tick()
	// free returns the tokens of an account's budget that a host could reserve immediately.
	free(host, account int) uint64
}

// sim is one run of a scenario in virtual time.
type sim struct {
	scenario scenario
	now      time.Duration
	queue    events
	sequence int
	ledger   *fakeledger.Ledger
	strategy strategy
	result   Row
	used     []uint64
	// inTransit is, for each account, the tokens deducted from a transfer's sender and not yet
	// added to its receiver.
	inTransit []uint64
}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

func requestID(n int) string       { return "r" + strconv.Itoa(n) }
func hostName(host int) string     { return "h" + strconv.Itoa(host) }
func budgetName(a int) string      { return "b" + strconv.Itoa(a) }
func holderOf(host int) *pb.Holder { return &pb.Holder{Host: hostName(host), Incarnation: 1} }

// virtualTime returns the virtual time as a time.Time for the state machines.
func (s *sim) virtualTime() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: s.now + d, sequence: s.sequence, do: do})
}

func (s *sim) inCut() bool {
	return s.now >= s.scenario.cutStart() && s.now < s.scenario.cutEnd()
}

// connected reports whether two zones are currently connected.
func (s *sim) connected(a, b int) bool {
	return !s.inCut() || (a == cutZone) == (b == cutZone)
}

func (s *sim) reachesLedger(host int) bool { return s.connected(zoneOf[host], 0) }

func latency(a, b int) time.Duration {
	if a == b {
		return inZone
	}
	return betweenZones
}

func (s *sim) countMessages(messages int, bytes int) {
	s.result.Messages += messages
	s.result.Bytes += bytes + messages*messageBytes
}

// propose sends a command to the ledger. answered gets nil if there is no answer. The traffic of
// a command is one message and its answer, and the same again for each further replica.
func (s *sim) propose(host int, cmd *pb.Command, answered func(*pb.CommandResult)) {
	size := proto.Size(cmd)
	if !s.reachesLedger(host) {
		s.countMessages(1, size)
		s.after(proposeTimeout, func() { answered(nil) })
		return
	}
	trip := latency(zoneOf[host], 0)
	s.after(trip+quorumWrite, func() {
		r := s.ledger.Apply(cmd)
		s.countMessages(2*replicas, size*replicas+proto.Size(r))
		if !s.reachesLedger(host) {
			s.after(proposeTimeout-trip-quorumWrite, func() { answered(nil) })
			return
		}
		s.after(trip, func() { answered(r) })
	})
}

// run simulates the scenario and returns its row.
func (s *sim) run() Row {
	for _, r := range s.scenario.requests() {
		s.after(r.at-s.now, func() {
			s.result.Requests++
			s.strategy.reserve(r)
		})
	}
	s.after(tickEvery, s.tick)
	s.after(s.scenario.cutEnd()-time.Millisecond, s.countOnHosts)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at > s.scenario.end() {
			break
		}
		s.now = e.at
		e.do()
	}
	s.checkOverspend()
	return s.result
}

func (s *sim) tick() {
	s.strategy.tick()
	s.after(tickEvery, s.tick)
}

// decide sets the outcome of a reservation. A granted request runs and is settled, a refused one
// is counted by classifyRefusal.
func (s *sim) decide(r *request, err *errkind.Error) {
	if r.decided {
		panic(fmt.Sprintf("%s decided twice", r.id))
	}
	r.decided = true
	if err == nil {
		s.used[r.account] += r.use
		s.after(r.duration, func() { s.strategy.settle(r) })
		return
	}
	s.classifyRefusal(r)
}

// classifyRefusal counts a refusal. It is false if enough tokens were left in total. The policy is
// the cause of a false refusal if the ledger and the hosts that were reachable had enough tokens,
// otherwise the cut is.
func (s *sim) classifyRefusal(r *request) {
	s.result.Refused++
	ledger := s.ledger.Budgets[budgetName(r.account)].Free()
	everywhere, reachable := ledger+s.inTransit[r.account], uint64(0)
	if s.reachesLedger(r.host) {
		reachable = ledger
	}
	for host := range hostCount {
		free := s.strategy.free(host, r.account)
		everywhere += free
		if s.connected(zoneOf[host], zoneOf[r.host]) {
			reachable += free
		}
	}
	switch {
	case reachable >= r.reserve:
		s.result.FalseByPolicy++
	case everywhere >= r.reserve:
		s.result.FalseByCut++
	}
	if s.inCut() {
		s.result.RefusedInCut++
	}
}

// countOnHosts counts the unused tokens on hosts and in transit at the end of the cut.
func (s *sim) countOnHosts() {
	for account := range accountShare {
		s.result.OnHosts += s.inTransit[account]
		for host := range hostCount {
			s.result.OnHosts += s.strategy.free(host, account)
		}
	}
}

// checkOverspend compares the tokens used with the budgets, and counts the ledger's faults.
func (s *sim) checkOverspend() {
	for account, used := range s.used {
		spent := used + s.scenario.billedBefore(account)
		if f := funded(account); spent > f {
			s.result.Overspend += spent - f
		}
	}
	s.result.Faults = len(s.ledger.Faults)
}

func newSim(sc scenario) *sim {
	s := &sim{
		scenario: sc, ledger: fakeledger.New(),
		used: make([]uint64, len(accountShare)), inTransit: make([]uint64, len(accountShare)),
	}
	for account := range accountShare {
		s.ledger.Fund(budgetName(account), funded(account))
		s.ledger.Budgets[budgetName(account)].Billed = sc.billedBefore(account)
	}
	return s
}
