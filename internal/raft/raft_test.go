package raft

import (
	"math/rand"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

func members(ids ...uint64) *pb.Members {
	m := &pb.Members{}
	for _, id := range ids {
		m.Members = append(m.Members, &pb.Member{Id: id})
	}
	return m
}

func start(t *testing.T, st State) *Raft {
	t.Helper()
	r, err := New(Config{ID: 1, ElectionTicks: simElection, HeartbeatTicks: 1, Rand: rand.New(rand.NewSource(1))}, st)
	testutil.NoError(t, err)
	return r
}

// carryOut does what Ready asks for and returns the messages.
func carryOut(r *Raft) []*pb.RaftMessage {
	var out []*pb.RaftMessage
	for rd := r.Ready(); !rd.Empty(); rd = r.Ready() {
		out = append(append(out, rd.MessagesBeforeSync...), rd.MessagesAfterSync...)
		r.Advance(rd)
	}
	return out
}

func tick(r *Raft, n int) {
	for range n {
		r.Tick()
	}
}

// lead makes r the leader of a group of three, in a term above those of its log.
func lead(t *testing.T, r *Raft) {
	t.Helper()
	for r.role == Follower {
		r.Tick()
	}
	for _, kind := range []pb.RaftType{pb.RaftType_RAFT_TYPE_PRE_VOTE_REPLY, pb.RaftType_RAFT_TYPE_VOTE_REPLY} {
		term := r.term
		if kind == pb.RaftType_RAFT_TYPE_PRE_VOTE_REPLY {
			term++
		}
		r.Step(&pb.RaftMessage{Type: kind, From: 2, To: 1, Term: term})
	}
	if r.role != Leader {
		t.Fatal("not elected")
	}
	carryOut(r)
}

// holds has a member acknowledge the log up to index.
func holds(r *Raft, from, index uint64) {
	r.Step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND_REPLY, From: from, To: 1, Term: r.term, LogIndex: index})
	carryOut(r)
}

func voteRequest(term, from uint64) *pb.RaftMessage {
	return &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_VOTE, From: from, To: 1, Term: term, LogIndex: 9, LogTerm: term - 1}
}

// granted tells whether r votes on m.
func granted(r *Raft, m *pb.RaftMessage) bool {
	r.Step(m)
	for _, reply := range carryOut(r) {
		if reply.Type == pb.RaftType_RAFT_TYPE_VOTE_REPLY && !reply.Reject {
			return true
		}
	}
	return false
}

// Symptom: two replicas answer reads at once, one of them stale.
// Sequence: a voter acknowledges the leader, then votes for another while the leader's lease runs.
// Cause: the voter forgot its promise, by a higher term, by a term it had taken over, or by a restart.
func TestVoterKeepsItsPromise(t *testing.T) {
	heartbeat := &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_HEARTBEAT, From: 2, To: 1, Term: 1}
	newTerm := &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_PRE_VOTE_REPLY, From: 3, To: 1, Term: 2, Reject: true}
	cases := []struct {
		name   string
		before func(*Raft)
	}{
		{"higher term", func(r *Raft) { tick(r, 10); r.Step(heartbeat) }},
		{"term taken over", func(r *Raft) { tick(r, 10); r.Step(heartbeat); r.Step(newTerm) }},
		{"restart", func(*Raft) {}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := start(t, State{Members: members(1, 2, 3), Hard: &pb.HardState{Term: 1}})
			tc.before(r)
			tick(r, simElection-1)
			term := r.term
			if granted(r, voteRequest(2, 3)) || r.term != term {
				t.Fatal("voted or left its term within the promise")
			}
			r.Tick()
			if !granted(r, voteRequest(2, 3)) {
				t.Fatal("didn't vote after it")
			}
		})
	}
}

// Symptom: two leaders in one term.
// Sequence: a replica votes, crashes, restarts and votes for another in that term.
// Cause: the vote wasn't written before it was sent.
func TestVoteOutlastsCrash(t *testing.T) {
	r := start(t, State{Members: members(1, 2, 3), Hard: &pb.HardState{Term: 2}})
	tick(r, simElection)
	r.Step(voteRequest(2, 2))
	rd := r.Ready()
	if rd.HardState == nil || len(rd.MessagesBeforeSync) > 0 || len(rd.MessagesAfterSync) != 1 || rd.MessagesAfterSync[0].Reject {
		t.Fatalf("a vote must go out only with its hard state synced: %+v", rd)
	}
	again := start(t, State{Members: members(1, 2, 3), Hard: rd.HardState})
	tick(again, simElection)
	if granted(again, voteRequest(2, 3)) {
		t.Fatal("voted twice in one term")
	}
}

// Symptom: a committed entry is replaced (figure 3.7 of the thesis).
// Sequence: a leader copies an entry of an earlier term to a majority, calls it committed, and dies.
// Cause: a replica without the entry but with a later term in its log can still win.
func TestEarlierTermCommitsOnlyBeneathOwn(t *testing.T) {
	old := &pb.LogEntry{Index: 1, Term: 1}
	r := start(t, State{Members: members(1, 2, 3), Hard: &pb.HardState{Term: 2}, Entries: []*pb.LogEntry{old}})
	lead(t, r)
	holds(r, 2, 1)
	if r.log.commit != 0 {
		t.Fatal("committed an entry of an earlier term by counting copies")
	}
	holds(r, 2, 2)
	if r.log.commit != 2 {
		t.Fatalf("commit %d", r.log.commit)
	}
}

// Symptom: after a repair, two disjoint majorities exist, or a lost disk counts as made good.
// Sequence: changes follow each other before the first is committed; a learner is promoted early.
// Cause: the leader didn't wait.
func TestMembershipWaits(t *testing.T) {
	r := start(t, State{Members: members(1, 2, 3)})
	lead(t, r)
	learner := &pb.Members{Members: append(members(1, 2, 3).Members, &pb.Member{Id: 4, Learner: true})}
	propose := func(m *pb.Members, want error) {
		t.Helper()
		if _, _, err := r.ProposeMembers(m); !errors.Is(err, want) {
			t.Fatalf("got %v, want %v", err, want)
		}
		carryOut(r)
	}
	propose(learner, ErrChangePending) // nothing of its term is committed
	holds(r, 2, 1)
	propose(members(1, 2, 3, 4), ErrInvalidChange) // no voter without being a learner first
	propose(members(1), ErrInvalidChange)
	r.Step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_HEARTBEAT_REPLY, From: 2, To: 1, Term: r.term, Context: r.lease.round})
	if r.LeaseUntil() == 0 {
		t.Fatal("no lease")
	}
	propose(learner, nil)
	propose(members(1, 2, 3), ErrChangePending)
	holds(r, 2, 2)
	propose(members(1, 2, 3, 4), ErrNotCaughtUp)
	holds(r, 4, 2)
	propose(members(1, 2, 3, 4), nil)
	if r.LeaseUntil() != 0 {
		t.Fatal("the lease outlived the membership it was counted under")
	}
	holds(r, 2, 3)
	for _, m := range r.Status().Members {
		if m.Repaired {
			t.Fatalf("%d counts as repaired before the change is committed", m.Member.Id)
		}
	}
	holds(r, 3, 3)
	holds(r, 4, 3)
	for _, m := range r.Status().Members {
		if !m.Repaired {
			t.Fatalf("%d holds everything and doesn't count as repaired", m.Member.Id)
		}
	}
}

func TestOverwrittenMembershipIsLeft(t *testing.T) {
	r := start(t, State{Members: members(1, 2, 3)})
	data, _ := proto.Marshal(members(1, 2))
	appendFrom := func(term uint64, e *pb.LogEntry) {
		r.Step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND, From: 2, To: 1, Term: term, Entries: []*pb.LogEntry{e}})
	}
	appendFrom(1, &pb.LogEntry{Index: 1, Term: 1, Type: pb.EntryType_ENTRY_TYPE_MEMBERSHIP, Data: data})
	if len(r.Members().Members) != 2 {
		t.Fatal("a membership is in force once it's in the log")
	}
	appendFrom(2, &pb.LogEntry{Index: 1, Term: 2})
	if len(r.Members().Members) != 3 {
		t.Fatal("an overwritten membership is still in force")
	}
}

// Symptom: after a restart a replica votes for a candidate that lacks committed entries.
// Sequence: a leader's snapshot is made durable over a log that contradicts it; the replica stops before the log is reset.
// Cause: the old entries were taken for ones that follow the snapshot.
func TestEntriesThatContradictTheSnapshotAreDropped(t *testing.T) {
	stale := []*pb.LogEntry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}
	r := start(t, State{Snapshot: &pb.Snapshot{Index: 2, Term: 5, Members: members(1, 2, 3)}, Entries: stale})
	if r.log.lastIndex() != 2 || r.log.lastTerm() != 5 {
		t.Fatalf("log ends at %d, term %d", r.log.lastIndex(), r.log.lastTerm())
	}
	if _, err := New(r.cfg, State{Hard: &pb.HardState{Commit: 9}, Entries: stale}); !errors.Is(err, ErrCorruptState) {
		t.Fatalf("committed entries are missing from the disk, got %v", err)
	}
}

// Symptom: a follower applies an entry that was never committed.
// Sequence: it holds entries of a leader that failed; the new leader's commit index is beyond where their logs meet.
// Cause: the follower took the commit index for its own entries, or the leader sent more than it knows to match.
func TestFollowerCommitsOnlyWhatMatches(t *testing.T) {
	stale := []*pb.LogEntry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}
	r := start(t, State{Members: members(1, 2, 3), Hard: &pb.HardState{Term: 1}, Entries: stale})
	r.Step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND, From: 2, To: 1, Term: 2, LogIndex: 1, LogTerm: 1, Commit: 3})
	if r.log.commit != 1 {
		t.Fatalf("committed %d", r.log.commit)
	}
	l := start(t, State{Members: members(1, 2, 3), Hard: &pb.HardState{Term: 2}, Entries: stale})
	lead(t, l)
	holds(l, 2, 4)
	l.Tick()
	for _, m := range carryOut(l) {
		if m.Type == pb.RaftType_RAFT_TYPE_HEARTBEAT && m.To == 3 && m.Commit != 0 {
			t.Fatalf("a follower of unknown log is told to commit %d", m.Commit)
		}
	}
}
