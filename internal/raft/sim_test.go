package raft

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand"
	"slices"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	simElection  = 10
	unitsPerTick = 1000 // simulated time units per tick of a clock with rate 1000
	stepUnits    = 100  // time units per step of the simulation
)

// crashPoint is where a replica crashes while it carries out a Ready.
type crashPoint int

const (
	noCrash crashPoint = iota
	beforeSync
	afterSync
)

// simNode is one replica and its disk. The content of the disk survives a crash.
type simNode struct {
	id      uint64
	r       *Raft
	disk    State
	rate    int64 // clock rate in permille
	started int64
	up      bool
	frozen  bool
	inbox   []*pb.RaftMessage // messages not processed yet; they accumulate while frozen
	crash   crashPoint
	applied uint64

	writeTime int64     // how long a write takes, in time units; 0: the loop waits for it; see neverWritten
	write     *simWrite // the write in flight beside the loop
}

// ticks returns the replica's true clock, which keeps running while it is frozen.
func (n *simNode) ticks(now int64) int64 { return (now - n.started) * n.rate / (unitsPerTick * 1000) }

type delivery struct {
	at int64
	m  *pb.RaftMessage
}

// sim simulates a group in virtual time. After every step it checks the invariants and
// keeps the first violation.
type sim struct {
	rnd             *rand.Rand
	now             int64
	nodes           map[uint64]*simNode
	inTransit       []delivery
	blocked         map[[2]uint64]bool
	replicaSeed     int64 // of the random sources of all replicas; 0: each has a seed of its own
	drop, duplicate int   // permille
	delay           int64 // maximum delay in time units
	// linkDelay is added to the delay of each message from or to a replica, in time units.
	linkDelay map[uint64]int64
	// snapshotDelay is added to the delay of each snapshot, in time units.
	snapshotDelay int64
	// droppedTypes are the types of messages that are always lost.
	droppedTypes map[pb.RaftType]bool

	leaders   map[uint64]uint64 // term -> leader
	committed []*pb.LogEntry    // committed[i] has index i+1
	granted   map[promise]uint64
	violation string
	maxCommit uint64

	writesLost    int // writes in flight that a crash lost
	givenUp       int // leaderships given up because of the disk
	withoutLeader int // entries committed before the leader's own disk had them
}

func newSim(seed int64, ids ...uint64) *sim {
	s := &sim{
		rnd: rand.New(rand.NewSource(seed)), nodes: map[uint64]*simNode{}, blocked: map[[2]uint64]bool{},
		leaders: map[uint64]uint64{}, granted: map[promise]uint64{}, delay: unitsPerTick / 2,
	}
	for _, id := range ids {
		s.add(id, members(ids...))
	}
	return s
}

func (s *sim) add(id uint64, members *pb.Members) *simNode {
	n := &simNode{id: id, rate: 1000, disk: State{Members: members}}
	s.nodes[id] = n
	s.start(n)
	return n
}

func (s *sim) start(n *simNode) {
	random := rand.New(rand.NewSource(s.rnd.Int63()))
	if s.replicaSeed != 0 {
		random = NewRand(s.replicaSeed, n.id)
	}
	r, err := New(Config{
		ID: n.id, ElectionTicks: simElection, HeartbeatTicks: 1, Rand: random,
		MaxBatchBytes: 64, MaxInflight: 4,
	}, n.disk)
	if err != nil {
		s.fail("replica %d failed to start: %v", n.id, err)
		return
	}
	n.r, n.up, n.frozen, n.inbox, n.crash, n.started = r, true, false, nil, noCrash, s.now
	n.applied = 0
	if n.disk.Snapshot != nil {
		n.applied = n.disk.Snapshot.Index
	}
}

// stop ends a replica as a crash does: a write in flight is lost.
func (s *sim) stop(n *simNode) {
	if n.write != nil {
		s.writesLost++
	}
	n.up, n.inbox, n.write = false, nil, nil
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("t=%d: ", s.now/unitsPerTick) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) sortedNodes() []*simNode {
	return slices.SortedFunc(maps.Values(s.nodes), func(a, b *simNode) int { return cmp.Compare(a.id, b.id) })
}

func (s *sim) send(n *simNode, messages []*pb.RaftMessage) {
	for _, m := range messages {
		s.checkPromise(n, m)
		if m.Type == pb.RaftType_RAFT_TYPE_SNAPSHOT {
			m.Snapshot = n.disk.Snapshot
		}
		if s.droppedTypes[m.Type] || s.blocked[[2]uint64{m.From, m.To}] || s.rnd.Intn(1000) < s.drop {
			continue
		}
		at := s.now + s.rnd.Int63n(s.delay+1) + s.linkDelay[m.From] + s.linkDelay[m.To]
		if m.Type == pb.RaftType_RAFT_TYPE_SNAPSHOT {
			at += s.snapshotDelay
		}
		s.inTransit = append(s.inTransit, delivery{at, m})
		if s.rnd.Intn(1000) < s.duplicate {
			s.inTransit = append(s.inTransit, delivery{s.now + s.rnd.Int63n(4*s.delay+1), m})
		}
	}
}

// run advances time by a number of ticks.
func (s *sim) run(ticks int) {
	for end := s.now + int64(ticks)*unitsPerTick; s.now < end && s.violation == ""; {
		s.now += stepUnits
		s.step()
	}
}

func (s *sim) step() {
	flights := s.inTransit
	s.inTransit = nil
	for _, f := range flights {
		switch n := s.nodes[f.m.To]; {
		case f.at > s.now:
			s.inTransit = append(s.inTransit, f)
		case n != nil && n.up:
			n.inbox = append(n.inbox, f.m)
		}
	}
	for _, n := range s.sortedNodes() {
		if n.up && !n.frozen {
			s.runNode(n)
		}
	}
	s.checkInvariants()
}

func (s *sim) runNode(n *simNode) {
	if s.endWrite(n); !n.up || n.waitsForWrite() {
		return
	}
	for n.r.Now() < n.ticks(s.now) {
		n.r.Tick()
	}
	for _, m := range n.inbox {
		n.r.Step(m)
	}
	n.inbox = nil
	s.process(n)
}

func (s *sim) process(n *simNode) {
	for n.up && !n.waitsForWrite() {
		rd := n.r.Ready()
		if rd.Empty() {
			return
		}
		if rd.GivenUp != nil {
			s.givenUp++
		}
		s.send(n, rd.MessagesBeforeSync)
		if n.write != nil || n.writeTime != 0 && rd.Snapshot == nil {
			s.carryOutBesideWrite(n, rd)
			continue
		}
		if n.crash == beforeSync {
			s.stop(n)
			return
		}
		n.persist(rd)
		if n.crash == afterSync {
			s.stop(n)
			return
		}
		s.send(n, rd.MessagesAfterSync)
		s.apply(n, rd.Committed)
		n.r.Advance(rd)
	}
}

func (n *simNode) persist(rd Ready) {
	if rd.Snapshot != nil {
		n.disk.Snapshot = rd.Snapshot
		n.disk.Entries = nil
		n.applied = rd.Snapshot.Index
	}
	for _, e := range rd.Entries {
		kept := entriesUpTo(n.disk.Entries, e.Index-1)
		n.disk.Entries = append(slices.Clip(kept), e)
	}
	if rd.HardState != nil {
		n.disk.Hard = rd.HardState
	}
}

func (s *sim) apply(n *simNode, entries []*pb.LogEntry) {
	for _, e := range entries {
		if e.Index != n.applied+1 {
			s.fail("replica %d applies entry %d after entry %d", n.id, e.Index, n.applied)
		}
		n.applied = e.Index
		if e.Index == uint64(len(s.committed))+1 {
			s.checkSynced(n, e)
			s.committed = append(s.committed, e)
		}
		known := s.committed[e.Index-1]
		if known.Term != e.Term || string(known.Data) != string(e.Data) {
			s.fail("replica %d applies term %d at %d, where term %d was committed", n.id, e.Term, e.Index, known.Term)
		}
	}
}

const (
	// snapshotSize is the size of a snapshot that is smaller than any entries that it covers, in bytes.
	snapshotSize = 1
	// simRetained bounds the entries that a replica keeps after it has taken a snapshot of them.
	simRetained = 16
)

// compact has a replica take a snapshot of the entries it applied.
func (s *sim) compact(n *simNode) {
	term, ok := n.r.TermAt(n.applied)
	if !ok || n.applied == 0 || n.applied > n.r.Stable() {
		return
	}
	n.disk.Snapshot = &pb.Snapshot{Index: n.applied, Term: term, Members: n.r.MembersAt(n.applied)}
	n.disk.Entries = n.disk.Entries[len(entriesUpTo(n.disk.Entries, n.applied)):]
	n.r.SnapshotTaken(n.applied, snapshotSize)
	n.r.Compact(n.applied - n.applied%simRetained)
}

// entriesUpTo returns the leading entries up to index.
func entriesUpTo(entries []*pb.LogEntry, index uint64) []*pb.LogEntry {
	n := 0
	for n < len(entries) && entries[n].Index <= index {
		n++
	}
	return entries[:n]
}

func (s *sim) checkInvariants() {
	for _, n := range s.nodes {
		if n.r != nil {
			s.maxCommit = max(s.maxCommit, n.r.Status().Commit)
		}
	}
	for _, n := range s.sortedNodes() {
		st := n.r.Status()
		if !n.up || st.Role != Leader {
			continue
		}
		if other, ok := s.leaders[st.Term]; ok && other != n.id {
			s.fail("term %d has two leaders, %d and %d", st.Term, other, n.id)
		}
		s.leaders[st.Term] = n.id
		s.checkMatch(n)
		if s.hasLease(n) && st.Commit < s.maxCommit {
			s.fail("replica %d of term %d would answer a read at %d, but %d is committed", n.id, st.Term, st.Commit, s.maxCommit)
		}
	}
}

// hasLease reports whether the replica would answer a read at this moment. A frozen
// replica is treated as if it resumed now.
func (s *sim) hasLease(n *simNode) bool {
	return n.up && n.ticks(s.now) < n.r.LeaseUntil()
}

// leader returns the leader with a lease, or nil if there is none.
func (s *sim) leader() *simNode {
	for _, n := range s.sortedNodes() {
		if n.up && !n.frozen && s.hasLease(n) {
			return n
		}
	}
	return nil
}

func (s *sim) propose(n *simNode, data string) bool {
	_, _, err := n.r.Propose([]byte(data))
	n.r.Flush()
	s.process(n)
	return err == nil
}

// isolate blocks or restores all links of a replica.
func (s *sim) isolate(id uint64, on bool) {
	for other := range s.nodes {
		s.blocked[[2]uint64{id, other}] = on
		s.blocked[[2]uint64{other, id}] = on
	}
}

// groupSize is the number of voters that a repair restores.
const groupSize = 3

// repair takes the next step in replacing dead replicas of a group of groupSize.
func (s *sim) repair(dead map[uint64]bool) { s.repairTo(dead, groupSize) }

// repairTo takes the next step in replacing dead replicas with learners under new IDs.
func (s *sim) repairTo(dead map[uint64]bool, size int) {
	l := s.leader()
	if l == nil {
		return
	}
	next := l.r.Members()
	set := memberSet{list: next.Members}
	for i, m := range next.Members {
		if dead[m.Id] {
			next.Members = append(next.Members[:i], next.Members[i+1:]...)
			break
		}
		if m.Learner {
			next.Members[i] = &pb.Member{Id: m.Id}
			break
		}
	}
	for _, n := range s.sortedNodes() {
		if n.up && set.find(n.id) == nil && len(set.list) < size {
			next.Members = append(next.Members, &pb.Member{Id: n.id, Learner: true})
			break
		}
	}
	_, _, _ = l.r.ProposeMembers(next)
	l.r.Flush()
	s.process(l)
}

// repaired reports whether the leader reports a full group of repaired members.
func (s *sim) repaired() bool {
	l := s.leader()
	if l == nil {
		return false
	}
	members := l.r.Status().Members
	return len(members) >= groupSize &&
		!slices.ContainsFunc(members, func(m MemberStatus) bool { return !m.Repaired })
}
