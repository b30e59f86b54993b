package raft

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// startGroup starts three replicas and waits for their leader.
func startGroup(t *testing.T, seed int64) (*sim, *simNode) {
	t.Helper()
	s := newSim(seed, 1, 2, 3)
	s.run(5 * simElection)
	l := s.leader()
	if l == nil {
		t.Fatal("no leader")
	}
	return s, l
}

// commitEntries commits entries and fails the test if they aren't committed.
func commitEntries(t *testing.T, s *sim, count int) {
	t.Helper()
	before := len(s.committed)
	for i := range count {
		if l := s.leader(); l != nil {
			s.propose(l, fmt.Sprint("entry ", before+i))
		}
	}
	s.run(3 * simElection)
	if s.violation != "" || len(s.committed) < before+count {
		t.Fatalf("%d of %d committed (%s)", len(s.committed)-before, count, s.violation)
	}
}

// A leader cut off from the others, in both directions or in one, must step down before
// they may elect another, even if its clock is slow and theirs are fast. Otherwise two
// replicas consider themselves leader for a while.
func TestIsolatedLeaderStepsDownFirst(t *testing.T) {
	for seed := range int64(400) {
		s, l := startGroup(t, seed)
		for _, n := range s.nodes {
			n.started, n.rate = s.now-n.r.now*unitsPerTick*1000/1100-1, 1100
		}
		l.started, l.rate = s.now-l.r.now*unitsPerTick*1000/900-1, 900
		for other := range s.nodes {
			s.blocked[[2]uint64{other, l.id}] = true        // it receives nothing
			s.blocked[[2]uint64{l.id, other}] = seed%2 == 0 // and, for every other seed, its messages are lost too
		}
		leading := func() (n int) {
			for _, node := range s.nodes {
				if node.r.role == Leader {
					n++
				}
			}
			return n
		}
		for range 100 * simElection {
			s.now += stepUnits
			s.step()
			if leading() > 1 || s.violation != "" {
				t.Fatalf("seed %d: %d leaders (%s)", seed, leading(), s.violation)
			}
		}
		if now := s.leader(); now == nil || now == l {
			t.Fatalf("seed %d: no other leader", seed)
		}
	}
}

// While the leader's process is suspended, its tick count stands still and its lease
// looks valid, though another leader was elected and committed. A read right after it
// resumes must not return a value that was overwritten minutes ago.
func TestFrozenLeaderHasNoLeaseAfterResume(t *testing.T) {
	s, l := startGroup(t, 1)
	l.frozen = true
	s.run(10 * simElection)
	commitEntries(t, s, 1)
	if l.r.Now() >= l.r.LeaseUntil() {
		t.Fatal("the frozen replica's own tick count should still be within the lease")
	}
	if s.hasLease(l) {
		t.Fatal("it would answer a read when it resumes")
	}
	l.frozen = false
	s.step()
	if l.r.role == Leader {
		t.Fatal("it still leads after it resumed")
	}
	commitEntries(t, s, 1)
}

// If the first appends of a new leader are lost after the replicas compacted their
// logs, the leader must not restart at the first entry, which it no longer has. It
// would wait for the reply to a snapshot that its follower never got and didn't need. A
// group without any fault then committed nothing and answered no read for half a
// minute, while its leader sent heartbeats but held no lease.
func TestLostFirstAppendNeedsNoSnapshot(t *testing.T) {
	s, old := startGroup(t, 1)
	commitEntries(t, s, 30)
	for _, n := range s.nodes {
		s.compact(n)
	}
	s.stop(old)
	s.droppedTypes = map[pb.RaftType]bool{pb.RaftType_RAFT_TYPE_APPEND: true, pb.RaftType_RAFT_TYPE_SNAPSHOT: true}
	s.run(5 * simElection)
	s.droppedTypes = nil
	s.run(2 * simElection)
	l := s.leader()
	if l == nil {
		t.Fatal("no leader with a lease although messages are no longer lost")
	}
	if l == old {
		t.Fatal("the stopped replica is the leader")
	}
	commitEntries(t, s, 1)
}

// replace stops a replica permanently and starts a new one in its place. Calls to repair
// complete the replacement.
func replace(s *sim, lost, fresh uint64) map[uint64]bool {
	s.stop(s.nodes[lost])
	s.add(fresh, nil)
	s.run(3 * simElection)
	return map[uint64]bool{lost: true}
}

// A host is lost with its disk and replaced, and at once after the repair is reported
// as complete another host is lost. If the new replica counted as repaired before it
// held everything committed, committed entries would be lost.
func TestSecondLossAfterRepairLosesNothing(t *testing.T) {
	for seed := range int64(20) {
		s, l := startGroup(t, seed)
		commitEntries(t, s, 30)
		s.compact(l) // the new replica needs both a snapshot and entries
		commitEntries(t, s, 5)
		lost := l.id%3 + 1
		dead := replace(s, lost, 4)
		for range 100 {
			s.repair(dead)
			if l := s.leader(); l != nil {
				s.propose(l, "under way")
			}
			if s.run(1); s.repaired() {
				break
			}
		}
		if !s.repaired() {
			t.Fatalf("seed %d: never repaired", seed)
		}
		second := s.nodes[(lost%3)+1]
		acknowledged := len(s.committed)
		s.stop(second)
		s.run(10 * simElection)
		commitEntries(t, s, 3)
		for _, n := range s.sortedNodes() {
			if n.up && n.applied < uint64(acknowledged) {
				t.Fatalf("seed %d: replica %d has %d of %d entries", seed, n.id, n.applied, acknowledged)
			}
		}
	}
}

// A new replica whose link is slower than the others' is never level with a group that commits all the time. It must be
// promoted all the same, or the next loss takes the quorum.
func TestLearnerOnASlowLinkIsPromotedWhileEntriesAreCommitted(t *testing.T) {
	for seed := range int64(20) {
		s, l := startGroup(t, seed)
		commitEntries(t, s, 30)
		s.compact(l)
		s.linkDelay = map[uint64]int64{4: 2 * unitsPerTick}
		dead := replace(s, l.id%3+1, 4)
		for range 8 * simElection {
			if l := s.leader(); l != nil {
				s.propose(l, "under way")
				s.propose(l, "under way")
			}
			s.repair(dead)
			if s.run(1); s.repaired() {
				break
			}
		}
		if !s.repaired() || s.violation != "" {
			t.Fatalf("seed %d: not repaired (%s)", seed, s.violation)
		}
	}
}

// The leader is lost while a new replica catches up. The next leader knows nothing of its progress and must promote it all
// the same; only what the group has committed by then may count.
func TestLearnerIsPromotedAlthoughTheLeaderIsLost(t *testing.T) {
	for _, ids := range [][]uint64{{1, 2, 3, 4, 5}, {1, 2, 3, 4, 5, 6, 7}} {
		for seed := range int64(20) {
			s := newSim(seed, ids...)
			s.run(5 * simElection)
			commitEntries(t, s, 30)
			first := s.leader()
			s.compact(first)
			s.linkDelay = map[uint64]int64{9: unitsPerTick}
			dead := replace(s, first.id%uint64(len(ids))+1, 9)
			s.repairTo(dead, len(ids))
			for range 2 { // the former replica is removed, the new one added
				s.run(2)
				s.repairTo(dead, len(ids))
			}
			s.run(2)
			if m := first.r.members.current().find(9); m == nil || !m.Learner {
				t.Fatalf("seed %d: the new replica is %v", seed, m)
			}
			s.stop(first)
			promoted := false
			for i := 0; i < 20*simElection && !promoted; i++ {
				if l := s.leader(); l != nil {
					s.propose(l, "under way")
					id, ok := l.r.CaughtUpLearner()
					promoted = ok && id == 9
				}
				s.run(1)
			}
			if !promoted || s.violation != "" {
				t.Fatalf("%d voters, seed %d: not promoted (%s)", len(ids), seed, s.violation)
			}
		}
	}
}

// A snapshot takes longer than the group needs to compact its log beyond it. The new replica must not need another
// snapshot each time, or it never gets its vote.
func TestLogIsKeptWhileASnapshotIsOnItsWay(t *testing.T) {
	for seed := range int64(20) {
		s, l := startGroup(t, seed)
		commitEntries(t, s, 30)
		s.compact(l)
		s.snapshotDelay = 5 * simElection * unitsPerTick
		dead := replace(s, l.id%3+1, 4)
		for i := range 20 * simElection {
			if l := s.leader(); l != nil {
				s.propose(l, "under way")
				if i%simElection == 0 {
					s.compact(l)
				}
			}
			s.repair(dead)
			if s.run(1); s.repaired() {
				break
			}
		}
		if !s.repaired() || s.violation != "" {
			t.Fatalf("seed %d: not repaired (%s)", seed, s.violation)
		}
	}
}

// A new replica that was added, but whose connection broke before it held everything,
// must not count as repaired: an operator who relies on the report may take a second
// host away.
func TestIncompleteRepairIsNotReported(t *testing.T) {
	s, l := startGroup(t, 3)
	commitEntries(t, s, 10)
	dead := replace(s, l.id%3+1, 4)
	s.blocked[[2]uint64{l.id, 4}] = true
	for range 20 {
		s.repair(dead)
		s.run(1)
		if s.repaired() {
			t.Fatal("reported as repaired")
		}
	}
	if m := l.r.members.current().find(4); m == nil || !m.Learner {
		t.Fatalf("the replica that holds nothing must still be a learner, got %v", m)
	}
	clear(s.blocked)
	for range 30 {
		s.repair(dead)
		s.run(1)
	}
	if !s.repaired() || s.violation != "" {
		t.Fatalf("not repaired after its connection was restored (%s)", s.violation)
	}
	s.isolate(4, true)
	s.run(2 * simElection)
	if s.repaired() {
		t.Fatal("an unreachable replica counts as repaired")
	}
}

// BenchmarkElection measures the time from the loss of a leader to the next one's first
// commit, and the size of a heartbeat in bytes.
func BenchmarkElection(b *testing.B) {
	total, elections := int64(0), 0
	for i := range b.N {
		s := newSim(int64(i), 1, 2, 3)
		s.run(5 * simElection)
		l := s.leader()
		if l == nil {
			continue
		}
		s.stop(l)
		from := s.now
		for s.now += stepUnits; s.leader() == nil && s.now < from+1000*unitsPerTick; s.now += stepUnits {
			s.step()
		}
		total += (s.now - from) / unitsPerTick
		elections++
	}
	b.ReportMetric(float64(total)/float64(max(elections, 1)), "ticks/election")
	m := &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_HEARTBEAT, From: 1 << 63, To: 1 << 62, Term: 9, Commit: 1 << 20, Context: 1 << 20, LogIndex: 1 << 20, Hint: 1 << 62}
	b.ReportMetric(float64(proto.Size(m)), "bytes/heartbeat")
}

func TestTransferTakesNoElectionTimeout(t *testing.T) {
	s, l := startGroup(t, 1)
	commitEntries(t, s, 3)
	if !l.r.Transfer() || s.hasLease(l) {
		t.Fatal("the leader didn't transfer leadership and give up its lease")
	}
	s.process(l)
	s.stop(l) // so that the third replica's vote is needed
	s.run(simElection / 2)
	if now := s.leader(); now == nil || now == l || s.violation != "" {
		t.Fatalf("no new leader within half an election timeout (%s)", s.violation)
	}
}

// Guards against the loss of leadership, and of commits, by one disk that stalls for
// less than the bound: neither at the leader nor at a follower may it cost the lease.
func TestStalledDiskCostsNoLeadership(t *testing.T) {
	for seed := range int64(20) {
		s, l := startGroup(t, seed)
		term := l.r.term
		stalled := l
		if seed%2 == 0 {
			stalled = s.nodes[l.id%3+1]
		}
		stalled.writeTime = (maxUnsyncedElections - 1) * simElection * unitsPerTick
		for range 20 {
			commitEntries(t, s, 3) // within three election timeouts, by the two other disks
			if now := s.leader(); now != l || l.r.term != term {
				t.Fatalf("seed %d: leadership changed", seed)
			}
		}
	}
}

// Guards against a leader whose disk no longer writes and that leads for ever: it is
// one disk short, and the group can't be repaired.
func TestDeadDiskOfTheLeaderMovesLeadership(t *testing.T) {
	for seed := range int64(20) {
		s, l := startGroup(t, seed)
		commitEntries(t, s, 3)
		l.writeTime = neverWritten
		s.propose(l, "pending")
		from := s.now
		for s.leader() == l || s.leader() == nil {
			if s.run(1); s.now-from > (maxUnsyncedElections+1)*simElection*unitsPerTick || s.violation != "" {
				t.Fatalf("seed %d: no other leader within %d election timeouts (%s)", seed, maxUnsyncedElections+1, s.violation)
			}
		}
		commitEntries(t, s, 10)
		s.run(20 * simElection)
		if now := s.leader(); now == nil || now == l {
			t.Fatalf("seed %d: the replica with the dead disk leads again", seed)
		}
		l.writeTime = 1
		l.write.due = s.now
		s.run(2 * simElection)
		commitEntries(t, s, 1)
		if l.applied != uint64(len(s.committed)) {
			t.Fatalf("seed %d: it applied %d of %d entries after its disk recovered", seed, l.applied, len(s.committed))
		}
	}
}

// Guards against a group in which all disks are as slow as an election timeout and that
// elects leaders again and again, or none.
func TestGroupOfSlowDisksElectsAndKeepsALeader(t *testing.T) {
	for seed := range int64(20) {
		s := newSim(seed, 1, 2, 3)
		for _, n := range s.nodes {
			n.writeTime = simElection * unitsPerTick
		}
		s.run(15 * simElection)
		l := s.leader()
		if l == nil {
			t.Fatalf("seed %d: no leader (%s)", seed, s.violation)
		}
		for i := range 20 {
			s.propose(l, fmt.Sprint(i))
			s.run(3 * simElection)
		}
		if s.leader() != l || len(s.committed) < 20 || s.violation != "" {
			t.Fatalf("seed %d: leadership changed or %d of 20 committed (%s)", seed, len(s.committed), s.violation)
		}
	}
}

// Guards against a follower with a stalled disk whose leader compacts what it holds
// back, and that installs a snapshot from before what it then acknowledges.
func TestStalledFollowerKeepsWhatASnapshotDoesNotCover(t *testing.T) {
	for seed := range int64(20) {
		s, l := startGroup(t, seed)
		commitEntries(t, s, 3)
		s.run(2)
		s.delay = unitsPerTick / 10
		f, other := s.nodes[l.id%3+1], s.nodes[(l.id+1)%3+1]
		f.writeTime, other.writeTime = neverWritten, 4*unitsPerTick
		entry := strings.Repeat("x", 60) // one in a message
		for range 4 {
			s.propose(l, entry)
			s.run(1)
		}
		s.run(1) // the other follower has synced the first one
		s.compact(l)
		s.run(4)
		f.writeTime, f.write.due = 1, s.now
		s.run(4 * simElection)
		if s.violation != "" || f.applied != l.applied {
			t.Fatalf("seed %d: it applied %d, the leader %d (%s)", seed, f.applied, l.applied, s.violation)
		}
	}
}

// Guards against a group that elects one leader after the other, and commits nothing, while its replicas get the
// processor only now and then: each change of the leader makes all clients retry, which takes more of the processor.
func TestGroupOfReplicasThatStandStillKeepsALeader(t *testing.T) {
	const span = 120 * simElection
	for seed := range int64(20) {
		s := newSim(seed, 1, 2, 3, 4, 5)
		changeAt := map[uint64]int64{}
		run := func(ticks int) {
			for range ticks {
				for _, n := range s.sortedNodes() {
					if s.now < changeAt[n.id] {
						continue
					}
					// It stands still for two thirds to all of an election timeout, and runs for a tenth to a third.
					n.frozen = !n.frozen
					length := unitsPerTick * simElection / 10 * (1 + s.rnd.Int63n(3))
					if n.frozen {
						length = unitsPerTick * simElection / 6 * (4 + s.rnd.Int63n(3))
					}
					changeAt[n.id] = s.now + length
				}
				s.run(1)
			}
		}
		run(40 * simElection)
		terms, before, proposed, led := len(s.leaders), len(s.committed), 0, 0
		for i := range span / simElection {
			for _, n := range s.sortedNodes() {
				if n.r.role == Leader {
					led++
				}
				if n.r.role == Leader && !n.frozen {
					s.propose(n, fmt.Sprint(seed, " ", i))
					proposed++
				}
			}
			run(simElection)
		}
		if s.violation != "" {
			t.Fatalf("seed %d: %s", seed, s.violation)
		}
		if elected, committed := len(s.leaders)-terms, len(s.committed)-before; elected > 4 || committed < proposed*3/4 || led < span/simElection*3/4 {
			t.Errorf("seed %d: %d leaders elected in %d election timeouts, some replica led in %d, %d entries committed of %d proposed",
				seed, elected, span/simElection, led, committed, proposed)
		}
	}
}

// Guards against a group that waits longer and longer for leaders that have failed.
func TestFailedLeadersAreReplacedAsSoonAsBefore(t *testing.T) {
	for seed := range int64(20) {
		s := newSim(seed, 1, 2, 3, 4, 5)
		s.run(5 * simElection)
		for round := range 6 {
			failed := s.leader()
			if failed == nil {
				t.Fatalf("seed %d: no leader before round %d (%s)", seed, round, s.violation)
			}
			s.stop(failed)
			// The voters refuse candidates for one timeout after the last heartbeat, and campaign in the next one.
			s.run(3 * simElection)
			if l := s.leader(); l == nil || l == failed {
				t.Fatalf("seed %d: no leader three election timeouts after failure %d (%s)", seed, round, s.violation)
			}
			s.run(3 * simElection)
			s.start(failed)
			s.run(3 * simElection)
		}
	}
}
