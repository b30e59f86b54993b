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

func newRaft(t *testing.T, st State) *Raft {
	t.Helper()
	r, err := New(Config{ID: 1, ElectionTicks: simElection, HeartbeatTicks: 1, Rand: rand.New(rand.NewSource(1))}, st)
	testutil.NoError(t, err)
	return r
}

// drainReady carries out what Ready returns until nothing is left, and returns the
// messages.
func drainReady(r *Raft) []*pb.RaftMessage {
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

// electLeader makes r the leader of a group of three, in a term above those of its log.
func electLeader(t *testing.T, r *Raft) {
	t.Helper()
	for r.role == Follower {
		r.Tick()
	}
	for _, kind := range []pb.RaftType{pb.RaftType_RAFT_TYPE_PRE_VOTE_REPLY, pb.RaftType_RAFT_TYPE_VOTE_REPLY} {
		term := r.term
		if kind == pb.RaftType_RAFT_TYPE_PRE_VOTE_REPLY {
			term++
		}
		drainReady(r) // the request goes out, the candidate's own vote is synced
		r.Step(&pb.RaftMessage{Type: kind, From: 2, To: 1, Term: term})
	}
	if r.role != Leader {
		t.Fatal("not elected")
	}
	drainReady(r)
}

// acknowledge has a member acknowledge the log up to index.
func acknowledge(r *Raft, from, index uint64) {
	r.Step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND_REPLY, From: from, To: 1, Term: r.term, LogIndex: index})
	drainReady(r)
}

func voteRequest(term, from uint64) *pb.RaftMessage {
	return &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_VOTE, From: from, To: 1, Term: term, LogIndex: 9, LogTerm: term - 1}
}

// grantsVote reports whether r votes for the sender of m.
func grantsVote(r *Raft, m *pb.RaftMessage) bool {
	r.Step(m)
	for _, reply := range drainReady(r) {
		if reply.Type == pb.RaftType_RAFT_TYPE_VOTE_REPLY && !reply.Reject {
			return true
		}
	}
	return false
}

// A voter that acknowledged the leader must not vote for another one while the leader's
// lease may run, or two replicas answer reads at once, one of them stale. A voter could
// forget its promise through a higher term, through a term it adopted, or through a
// restart.
func TestVoterRejectsCandidatesWithinLease(t *testing.T) {
	heartbeat := &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_HEARTBEAT, From: 2, To: 1, Term: 1}
	newTerm := &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_PRE_VOTE_REPLY, From: 3, To: 1, Term: 2, Reject: true}
	cases := []struct {
		name   string
		before func(*Raft)
	}{
		{"higher term", func(r *Raft) { tick(r, 10); r.Step(heartbeat) }},
		{"adopted term", func(r *Raft) { tick(r, 10); r.Step(heartbeat); r.Step(newTerm) }},
		{"restart", func(*Raft) {}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newRaft(t, State{Members: members(1, 2, 3), Hard: &pb.HardState{Term: 1}})
			tc.before(r)
			tick(r, simElection-1)
			term := r.term
			if grantsVote(r, voteRequest(2, 3)) || r.term != term {
				t.Fatal("voted or adopted a higher term within ElectionTicks of the leader's contact")
			}
			r.Tick()
			if !grantsVote(r, voteRequest(2, 3)) {
				t.Fatal("rejected the vote request after ElectionTicks without a leader")
			}
		})
	}
}

// A vote that isn't on disk before it is sent is forgotten in a crash: the replica
// could vote for another candidate in the same term, which then has two leaders.
func TestVoteSurvivesCrash(t *testing.T) {
	r := newRaft(t, State{Members: members(1, 2, 3), Hard: &pb.HardState{Term: 2}})
	tick(r, simElection)
	r.Step(voteRequest(2, 2))
	rd := r.Ready()
	if rd.HardState == nil || len(rd.MessagesBeforeSync) > 0 || len(rd.MessagesAfterSync) != 1 || rd.MessagesAfterSync[0].Reject {
		t.Fatalf("a vote must go out only with its hard state synced: %+v", rd)
	}
	again := newRaft(t, State{Members: members(1, 2, 3), Hard: rd.HardState})
	tick(again, simElection)
	if grantsVote(again, voteRequest(2, 3)) {
		t.Fatal("voted twice in one term")
	}
}

// A leader must not treat an entry of an earlier term as committed because a majority
// holds it (figure 3.7 of the thesis): if the leader dies, a replica without the entry
// but with a later term in its log can still win and replace it.
func TestEarlierTermCommitsOnlyWithOwnTermEntry(t *testing.T) {
	old := &pb.LogEntry{Index: 1, Term: 1}
	r := newRaft(t, State{Members: members(1, 2, 3), Hard: &pb.HardState{Term: 2}, Entries: []*pb.LogEntry{old}})
	electLeader(t, r)
	acknowledge(r, 2, 1)
	if r.log.commit != 0 {
		t.Fatal("committed an entry of an earlier term by counting copies")
	}
	acknowledge(r, 2, 2)
	if r.log.commit != 2 {
		t.Fatalf("commit %d", r.log.commit)
	}
}

// A membership change must wait until the previous one is committed, or two disjoint
// majorities may exist. A learner promoted before it has caught up would make a lost
// disk count as repaired.
func TestMembershipChangeWaitsForCommit(t *testing.T) {
	r := newRaft(t, State{Members: members(1, 2, 3)})
	electLeader(t, r)
	learner := &pb.Members{Members: append(members(1, 2, 3).Members, &pb.Member{Id: 4, Learner: true})}
	propose := func(m *pb.Members, want error) {
		t.Helper()
		if _, _, err := r.ProposeMembers(m); !errors.Is(err, want) {
			t.Fatalf("got %v, want %v", err, want)
		}
		drainReady(r)
	}
	propose(learner, ErrChangePending) // no entry of its term is committed
	acknowledge(r, 2, 1)
	propose(members(1, 2, 3, 4), ErrInvalidChange) // a voter must be added as a learner first
	propose(members(1), ErrInvalidChange)
	r.Step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_HEARTBEAT_REPLY, From: 2, To: 1, Term: r.term, Context: r.lease.round})
	if r.LeaseUntil() == 0 {
		t.Fatal("no lease")
	}
	propose(learner, nil)
	propose(members(1, 2, 3), ErrChangePending)
	acknowledge(r, 2, 2)
	propose(members(1, 2, 3, 4), ErrNotCaughtUp)
	acknowledge(r, 4, 2)
	propose(members(1, 2, 3, 4), nil)
	if r.LeaseUntil() != 0 {
		t.Fatal("the lease is still valid after the membership that granted it was replaced")
	}
	acknowledge(r, 2, 3)
	for _, m := range r.Status().Members {
		if m.Repaired {
			t.Fatalf("%d counts as repaired before the change is committed", m.Member.Id)
		}
	}
	acknowledge(r, 3, 3)
	acknowledge(r, 4, 3)
	for _, m := range r.Status().Members {
		if !m.Repaired {
			t.Fatalf("%d holds everything but doesn't count as repaired", m.Member.Id)
		}
	}
}

func TestTruncatedMembershipIsReverted(t *testing.T) {
	r := newRaft(t, State{Members: members(1, 2, 3)})
	data, _ := proto.Marshal(members(1, 2))
	appendFrom := func(term uint64, e *pb.LogEntry) {
		r.Step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND, From: 2, To: 1, Term: term, Entries: []*pb.LogEntry{e}})
	}
	appendFrom(1, &pb.LogEntry{Index: 1, Term: 1, Type: pb.EntryType_ENTRY_TYPE_MEMBERSHIP, Data: data})
	if len(r.Members().Members) != 2 {
		t.Fatal("a membership must take effect once it is in the log")
	}
	appendFrom(2, &pb.LogEntry{Index: 1, Term: 2})
	if len(r.Members().Members) != 3 {
		t.Fatal("a truncated membership is still in effect")
	}
}

// A replica may stop after a leader's snapshot was made durable and before the log that
// contradicts it was reset. If the old entries were taken for entries that follow the
// snapshot, the replica would vote for a candidate that lacks committed entries.
func TestEntriesThatContradictTheSnapshotAreDropped(t *testing.T) {
	stale := []*pb.LogEntry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}
	r := newRaft(t, State{Snapshot: &pb.Snapshot{Index: 2, Term: 5, Members: members(1, 2, 3)}, Entries: stale})
	if r.log.lastIndex() != 2 || r.log.lastTerm() != 5 {
		t.Fatalf("log ends at %d, term %d", r.log.lastIndex(), r.log.lastTerm())
	}
	if _, err := New(r.cfg, State{Hard: &pb.HardState{Commit: 9}, Entries: stale}); !errors.Is(err, ErrCorruptState) {
		t.Fatalf("committed entries are missing from the disk: got %v, want ErrCorruptState", err)
	}
}

// A follower may hold entries of a failed leader when the new leader's commit index is
// beyond the last matching entry. The follower must not commit its own entries up to
// that index, and the leader must not send a commit index beyond what it knows to
// match, or an entry is applied that was never committed.
func TestFollowerCommitsOnlyWhatMatches(t *testing.T) {
	stale := []*pb.LogEntry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}
	r := newRaft(t, State{Members: members(1, 2, 3), Hard: &pb.HardState{Term: 1}, Entries: stale})
	r.Step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND, From: 2, To: 1, Term: 2, LogIndex: 1, LogTerm: 1, Commit: 3})
	if r.log.commit != 1 {
		t.Fatalf("committed %d", r.log.commit)
	}
	l := newRaft(t, State{Members: members(1, 2, 3), Hard: &pb.HardState{Term: 2}, Entries: stale})
	electLeader(t, l)
	acknowledge(l, 2, 4)
	l.Tick()
	for _, m := range drainReady(l) {
		if m.Type == pb.RaftType_RAFT_TYPE_HEARTBEAT && m.To == 3 && m.Commit != 0 {
			t.Fatalf("the leader sent commit index %d to a follower whose match is unknown", m.Commit)
		}
	}
}

// While a follower's disk stalls, it must answer heartbeats, or it costs the leader its
// lease. It must not acknowledge entries or vote, or a crash breaks the promise, and
// what a new leader truncates meanwhile must never be acknowledged.
func TestStalledFollowerPromisesNothing(t *testing.T) {
	r := newRaft(t, State{Members: members(1, 2, 3), Hard: &pb.HardState{Term: 1}})
	step := func(m *pb.RaftMessage) []*pb.RaftMessage {
		m.From, m.To = 2, 1
		r.Step(m)
		rd := r.Ready()
		if rd.HasWrite() || len(rd.MessagesAfterSync) > 0 {
			t.Fatalf("%v: a second write is started, or a promise made, beside the first: %+v", m.Type, rd)
		}
		return rd.MessagesBeforeSync
	}
	appendOf := func(term uint64, indexes ...uint64) *pb.RaftMessage {
		m := &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND, Term: term, LogIndex: indexes[0] - 1}
		for _, i := range indexes {
			m.Entries = append(m.Entries, &pb.LogEntry{Index: i, Term: term})
		}
		return m
	}
	first := appendOf(1, 1, 2, 3)
	first.From, first.To = 2, 1
	r.Step(first)
	if rd := r.Ready(); len(rd.Entries) != 3 || len(rd.MessagesAfterSync) != 1 || len(rd.MessagesBeforeSync) != 0 {
		t.Fatalf("%+v", rd)
	}
	if out := step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_HEARTBEAT, Term: 1}); len(out) != 1 {
		t.Fatalf("answers to a heartbeat: %v", out)
	}
	more := appendOf(1, 4)
	more.LogTerm = 1
	step(more)
	tick(r, simElection)
	step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_PRE_VOTE, Term: 2, LogIndex: 9, LogTerm: 1})
	if out := step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_HEARTBEAT, Term: 2}); len(out) != 0 {
		t.Fatalf("answers in a term that is not synced: %v", out)
	}
	replaced := appendOf(2, 2)
	replaced.LogTerm = 1
	step(replaced)
	tick(r, 10*simElection)
	if r.role != Follower {
		t.Fatal("campaigns although its disk stalls")
	}
	r.Written()
	if r.Stable() != 1 {
		t.Fatalf("%d entries count as synced, of which only the first is still in the log", r.Stable())
	}
	rd := r.Ready()
	if rd.HardState.GetTerm() != 2 || len(rd.Entries) != 1 || rd.Entries[0].Index != 2 || rd.Entries[0].Term != 2 {
		t.Fatalf("next write: %+v", rd)
	}
	for _, m := range rd.MessagesAfterSync {
		if m.Type == pb.RaftType_RAFT_TYPE_APPEND_REPLY && m.Term == 1 {
			t.Fatalf("acknowledges a truncated entry: %v", m)
		}
	}
}

// A leader must count itself for a commit only with what its own disk has synced, and
// commit without it once a majority of others has.
func TestLeaderCountsOnlyWhatItSynced(t *testing.T) {
	r := newRaft(t, State{Members: members(1, 2, 3)})
	electLeader(t, r)
	_, _, _ = r.Propose([]byte("a"))
	if rd := r.Ready(); len(rd.Entries) != 1 {
		t.Fatalf("%+v", rd)
	}
	acknowledged := func(from uint64) uint64 {
		r.Step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND_REPLY, From: from, To: 1, Term: r.term, LogIndex: 2})
		return r.log.commit
	}
	if c := acknowledged(2); c != 1 {
		t.Fatalf("commit %d with one synced copy of two", c)
	}
	if c := acknowledged(3); c != 2 {
		t.Fatalf("commit %d with two synced copies", c)
	}
	if rd := r.Ready(); len(rd.Committed) == 0 || rd.HasWrite() {
		t.Fatalf("the committed entry must be applied beside the write: %+v", rd)
	}
	r.Written()
	if r.progress[1].match != 2 {
		t.Fatalf("own match %d", r.progress[1].match)
	}
}

// The only voter of a group must not lead before its vote is synced: after a crash it
// would lead the same term again with other entries.
func TestOwnVoteCountsOnceSynced(t *testing.T) {
	r := newRaft(t, State{Members: members(1)})
	tick(r, 2*simElection)
	rd := r.Ready()
	if r.role != Candidate || rd.HardState.GetVote() != 1 {
		t.Fatalf("role %v before the sync, %+v", r.role, rd)
	}
	if r.Advance(rd); r.role != Leader {
		t.Fatal("not the leader after the sync")
	}
}

// Guards against a late snapshot of the leader that discards entries which this replica
// acknowledged, or is about to: the leader would count them on a disk that lacks them.
func TestLateSnapshotDiscardsNothingAcknowledged(t *testing.T) {
	r := newRaft(t, State{Members: members(1, 2, 3), Hard: &pb.HardState{Term: 1}})
	entries := []*pb.LogEntry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}, {Index: 4, Term: 1}}
	step := func(m *pb.RaftMessage) {
		m.From, m.To, m.Term = 2, 1, 1
		r.Step(m)
	}
	step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND, Entries: entries[:3]})
	r.Ready() // begins the write of entries 1 to 3
	step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND, LogIndex: 3, LogTerm: 1, Entries: entries[3:]})
	step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_SNAPSHOT, Snapshot: &pb.Snapshot{Index: 2, Term: 1, Members: members(1, 2, 3)}})
	r.Written() // and acknowledges entry 3
	rd := r.Ready()
	r.Advance(rd)
	if rd.Snapshot != nil || r.Stable() != 4 || r.log.commit != 2 || len(rd.Committed) != 2 {
		t.Fatalf("synced up to %d, %d is committed: %+v", r.Stable(), r.log.commit, rd)
	}
	for _, m := range rd.MessagesAfterSync {
		if m.LogIndex > r.Stable() {
			t.Fatalf("acknowledges %d, synced up to %d", m.LogIndex, r.Stable())
		}
	}
}

// Guards against a held acknowledgment of entries that a snapshot then replaced, of
// another term at the snapshot's index.
func TestSnapshotDropsAcknowledgmentsOfWhatItReplaces(t *testing.T) {
	r := newRaft(t, State{Members: members(1, 2, 3), Hard: &pb.HardState{Term: 1}})
	step := func(term uint64, m *pb.RaftMessage) {
		m.From, m.To, m.Term = 2, 1, term
		r.Step(m)
	}
	entries := []*pb.LogEntry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}
	step(1, &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND, Entries: entries})
	step(2, &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_SNAPSHOT, Snapshot: &pb.Snapshot{Index: 2, Term: 2, Members: members(1, 2, 3)}})
	rd := r.Ready()
	if rd.Snapshot == nil || len(rd.MessagesAfterSync) != 1 || rd.MessagesAfterSync[0].LogIndex != 2 {
		t.Fatalf("%+v", rd)
	}
}

// Guards against a crash after the hard state that is written with a leader's snapshot
// and before the entries: a commit index beyond the snapshot would make the next start
// take the disk for damaged.
func TestHardStateWithSnapshotNeedsNoEntries(t *testing.T) {
	r := newRaft(t, State{Members: members(1, 2, 3), Hard: &pb.HardState{Term: 1}})
	snapshot := &pb.Snapshot{Index: 5, Term: 1, Members: members(1, 2, 3)}
	r.Step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_SNAPSHOT, From: 2, To: 1, Term: 1, Snapshot: snapshot})
	r.Step(&pb.RaftMessage{
		Type: pb.RaftType_RAFT_TYPE_APPEND, From: 2, To: 1, Term: 1, LogIndex: 5, LogTerm: 1, Commit: 6, Entries: []*pb.LogEntry{{Index: 6, Term: 1}},
	})
	rd := r.Ready()
	if rd.Snapshot != snapshot || len(rd.Entries) != 1 || len(rd.Committed) != 1 {
		t.Fatalf("%+v", rd)
	}
	newRaft(t, State{Hard: rd.HardState, Snapshot: rd.Snapshot})
}

// Guards against a snapshot that is known to be lost and is sent again only when a snapshot may have taken its longest
// time: until then a new replica has no vote.
func TestLostSnapshotIsSentAgainSoon(t *testing.T) {
	r := newRaft(t, State{Snapshot: &pb.Snapshot{Index: 9, Term: 1, Members: members(1, 2, 3)}})
	electLeader(t, r)
	tick(r, 1)
	drainReady(r)
	// snapshots has replica 3 reply once a tick and returns the number of snapshots that are sent to it.
	snapshots := func(reply *pb.RaftMessage, ticks int) (n int) {
		reply.From, reply.To, reply.Term = 3, 1, r.term
		for range ticks {
			tick(r, 1)
			r.Step(proto.CloneOf(reply))
			for _, m := range drainReady(r) {
				switch {
				case m.To != 3:
				case m.Type == pb.RaftType_RAFT_TYPE_SNAPSHOT:
					n++
				case m.Type == pb.RaftType_RAFT_TYPE_HEARTBEAT:
					reply.Context = m.Context
				}
			}
		}
		return n
	}
	answers := &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_HEARTBEAT_REPLY}
	if n := snapshots(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND_REPLY, Reject: true, LogIndex: r.log.lastIndex() - 1}, 1); n != 1 {
		t.Fatalf("%d snapshots for a replica without entries", n)
	}
	if n := snapshots(answers, simElection); n != 0 {
		t.Errorf("%d further snapshots while the first is on its way", n)
	}
	r.SnapshotFailed(3)
	if n := snapshots(answers, simElection); n != 1 {
		t.Errorf("%d further snapshots after the first was lost, want 1", n)
	}
	r.SnapshotFailed(2) // needs none
	r.SnapshotFailed(7) // no member
	if n := snapshots(answers, simElection); n != 0 {
		t.Errorf("%d further snapshots while the second is on its way", n)
	}
}

// Guards against a new replica that gets all entries since the group was formed, many times the size of the state, and has no vote for
// as long as they take.
func TestMemberGetsTheSnapshotIfItIsSmallerThanTheEntries(t *testing.T) {
	const entry, entries = 1000, 8
	for name, tc := range map[string]struct {
		bytes int // of the snapshot
		has   uint64
		want  pb.RaftType
	}{
		"no entries, small snapshot":       {2 * entry, 0, pb.RaftType_RAFT_TYPE_SNAPSHOT},
		"no entries, large snapshot":       {2 * entry * entries, 0, pb.RaftType_RAFT_TYPE_APPEND},
		"all but one entry":                {2 * entry, entries - 1, pb.RaftType_RAFT_TYPE_APPEND},
		"all but one entry, tiny snapshot": {1, entries - 1, pb.RaftType_RAFT_TYPE_SNAPSHOT},
	} {
		t.Run(name, func(t *testing.T) {
			st := State{Members: members(1, 2, 3), Hard: &pb.HardState{Term: 1, Commit: entries}}
			for i := range uint64(entries) {
				st.Entries = append(st.Entries, &pb.LogEntry{Index: i + 1, Term: 1, Data: make([]byte, entry)})
			}
			r := newRaft(t, st)
			electLeader(t, r)
			r.SnapshotTaken(entries, tc.bytes)
			r.Step(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND_REPLY, From: 3, To: 1, Term: r.term, Reject: true, LogIndex: entries, Hint: tc.has})
			var sent []pb.RaftType
			for _, m := range drainReady(r) {
				if m.To == 3 {
					sent = append(sent, m.Type)
				}
			}
			if len(sent) == 0 || sent[0] != tc.want {
				t.Errorf("sent %v, want %v", sent, tc.want)
			}
		})
	}
}

// Guards against a leader whose log grows without bound because a member never takes what is kept for it.
func TestLogIsNotKeptForever(t *testing.T) {
	const big = maxKeptBytes / 4
	cases := []struct {
		name    string
		entries int // of big bytes each
		silent  bool
		kept    bool
	}{
		{"member is behind", 3, false, true},
		{"member is too far behind", 5, false, false},
		{"member doesn't answer", 3, true, false},
	}
	for _, tc := range cases {
		r := newRaft(t, State{Members: members(1, 2, 3)})
		electLeader(t, r)
		acknowledge(r, 2, 1)
		acknowledge(r, 3, 1)
		for range tc.entries {
			_, _, err := r.Propose(make([]byte, big-entryBytes))
			testutil.NoError(t, err)
		}
		drainReady(r)
		acknowledge(r, 2, r.log.lastIndex())
		drainReady(r)
		if tc.silent {
			tick(r, 2)
			r.progress[3].lastReplyTick = r.now - int64(r.cfg.ElectionTicks)
		}
		r.Compact(r.log.lastIndex())
		if kept := r.log.snapIndex == 1; kept != tc.kept {
			t.Errorf("%s: compacted up to %d of %d", tc.name, r.log.snapIndex, r.log.lastIndex())
		}
	}
}
