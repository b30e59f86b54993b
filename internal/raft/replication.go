package raft

import (
	"slices"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// progressState determines how the leader sends to a follower.
type progressState int

const (
	probing     progressState = iota // one message at a time, to find the last matching entry
	replicating                      // pipelined
	installing                       // a snapshot is being sent
)

// snapshotResendElections is the number of minimum election timeouts (ElectionTicks)
// after which an unanswered snapshot is sent again, unless SnapshotFailed reports it as
// lost before.
const snapshotResendElections = 30

// progress is the leader's view of one follower.
type progress struct {
	state         progressState
	match         uint64 // last index known to be synced on the member, the leader included
	next          uint64 // next index to send
	inflight      []uint64
	awaitingReply bool // probing or installing: a message is unanswered
	snapshotLost  bool // installing: the snapshot did not arrive
	// snapshotFrom is the index before the first entry of the log when the last snapshot
	// was sent. The entries after that snapshot are among those after snapshotFrom.
	snapshotFrom  uint64
	sentTick      int64
	ackRound      uint64
	lastStamp     uint64 // stamp of its last heartbeat reply
	lastReplyTick int64  // tick of its last reply; 0: none

	// The member is caught up in rounds (thesis, section 4.2.1): a round begins with the
	// commit index at that tick as its target and ends once the member has synced it.
	roundTarget uint64 // 0: no round has begun
	roundTick   int64
	heldTick    int64 // the member holds what was committed at this tick; 0: none known
}

// catchUpElections is the number of minimum election timeouts (ElectionTicks) by which a
// member may lag behind the commit index and still counts as caught up: the longest
// election timeout. A group that needs this member waits no longer for it than for a
// new leader.
const catchUpElections = 2

func (r *Raft) otherMembers() []uint64 {
	var ids []uint64
	for id := range r.progress {
		if id != r.cfg.ID {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (r *Raft) broadcastHeartbeat() {
	r.lease.startRound(r.now)
	for _, id := range r.otherMembers() {
		p := r.progress[id]
		m := &pb.RaftMessage{
			Type: pb.RaftType_RAFT_TYPE_HEARTBEAT, To: id,
			Commit: min(r.log.commit, p.match), Context: r.lease.round,
		}
		if r.now < r.LeaseUntil() {
			m.LogIndex = r.log.commit
			m.Hint = p.lastStamp
		}
		r.send(m)
	}
	r.observeQuorum()
}

func (r *Raft) broadcastAppend() {
	for _, id := range r.otherMembers() {
		r.sendAppends(id)
	}
}

// sendAppends sends as many entries as the follower's flow control allows.
func (r *Raft) sendAppends(id uint64) {
	p := r.progress[id]
	for p.next <= r.log.lastIndex() && !p.awaitingReply && len(p.inflight) < r.cfg.MaxInflight {
		r.sendAppend(id, p)
	}
}

func (r *Raft) sendAppend(id uint64, p *progress) {
	p.sentTick = r.now
	prevTerm, ok := r.log.term(p.next - 1)
	if !ok || r.snapshotIsSmaller(p) {
		p.state = installing
		p.awaitingReply = true
		p.snapshotLost = false
		p.snapshotFrom = r.log.snapIndex
		r.send(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_SNAPSHOT, To: id})
		return
	}
	entries := r.log.batch(p.next, r.cfg.MaxBatchBytes)
	r.send(&pb.RaftMessage{
		Type: pb.RaftType_RAFT_TYPE_APPEND, To: id, LogIndex: p.next - 1, LogTerm: prevTerm,
		Commit: r.log.commit, Entries: entries,
	})
	if p.state != replicating {
		p.awaitingReply = true
		return
	}
	if len(entries) > 0 {
		last := entries[len(entries)-1].Index
		p.inflight = append(p.inflight, last)
		p.next = last + 1
	}
}

func (r *Raft) handleAppend(m *pb.RaftMessage) {
	reply := &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND_REPLY, To: m.From}
	if m.LogIndex < r.log.commit {
		reply.LogIndex = r.log.commit
		r.sendAfterSync(reply)
		return
	}
	if t, ok := r.log.term(m.LogIndex); !ok || t != m.LogTerm {
		reply.Reject = true
		reply.LogIndex = m.LogIndex
		reply.Hint = r.log.conflictHint(m.LogIndex)
		r.sendAfterSync(reply)
		return
	}
	last := m.LogIndex
	for i, e := range m.Entries {
		last = e.Index
		if t, ok := r.log.term(e.Index); ok && t == e.Term {
			continue
		}
		r.replaceFrom(m.Entries[i:])
		last = r.log.lastIndex()
		break
	}
	r.commitTo(min(m.Commit, last))
	reply.LogIndex = last
	r.sendAfterSync(reply)
}

// replaceFrom truncates the log at the first of entries and appends them.
func (r *Raft) replaceFrom(entries []*pb.LogEntry) {
	first := entries[0].Index
	if first <= r.log.lastIndex() {
		r.dropAcknowledgments(first)
		r.log.truncateFrom(first)
		r.members.truncateFrom(first)
	}
	for _, e := range entries {
		r.log.append(e)
	}
	r.adoptMemberships(entries)
}

func (r *Raft) handleHeartbeat(m *pb.RaftMessage) {
	r.commitTo(min(m.Commit, r.log.lastIndex()))
	r.observeConfirmation(m)
	// The reply promises only to reject other candidates for ElectionTicks. That promise
	// is not on the disk in any case: New makes it again after a crash.
	r.send(&pb.RaftMessage{
		Type: pb.RaftType_RAFT_TYPE_HEARTBEAT_REPLY, To: m.From, Context: m.Context, Hint: r.stampBase + uint64(r.now), LogIndex: r.log.commit,
	})
}

func (r *Raft) handleSnapshot(m *pb.RaftMessage) {
	s := m.Snapshot
	if s == nil {
		return
	}
	reply := &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND_REPLY, To: m.From, LogIndex: r.log.commit}
	if t, ok := r.log.term(s.Index); ok && t == s.Term && s.Index > r.log.commit {
		// The log holds what the snapshot covers, and perhaps entries after it that the
		// leader counts on this disk (thesis, figure 5.3).
		r.commitTo(s.Index)
		reply.LogIndex = s.Index
	}
	if s.Index > r.log.commit {
		r.dropAcknowledgments(s.Index + 1)
		r.log.restore(s)
		r.members = newMemberHistory(State{Snapshot: s})
		r.receivedSnapshot = s
		reply.LogIndex = s.Index
	}
	r.sendAfterSync(reply)
}

func (r *Raft) commitTo(index uint64) {
	r.log.commit = max(r.log.commit, index)
}

func (r *Raft) handleAppendReply(m *pb.RaftMessage) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.lastReplyTick = r.now
	if m.Reject {
		r.handleReject(p, m)
		r.sendAppends(m.From)
		return
	}
	if m.LogIndex < p.match || m.LogIndex > r.log.lastIndex() {
		return
	}
	r.advance(p, m.LogIndex)
	if p.state != replicating {
		p.state = replicating
		p.awaitingReply = false
		p.inflight = nil
		p.next = p.match + 1
	}
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	r.maybeCommit()
	if r.role == Leader {
		r.sendAppends(m.From)
	}
}

func (r *Raft) handleReject(p *progress, m *pb.RaftMessage) {
	if m.LogIndex <= p.match || p.state == installing {
		return // late reply
	}
	if p.state == probing && m.LogIndex != p.next-1 {
		return // late reply
	}
	p.probeFrom(max(p.match, min(m.Hint, m.LogIndex-1)) + 1)
}

// probeFrom restarts probing at index next.
func (p *progress) probeFrom(next uint64) {
	p.state = probing
	p.awaitingReply = false
	p.inflight = nil
	p.next = next
}

// retry restarts probing after a message remained unanswered: after the last index
// known to match, or, if none is known yet, at the index last probed. last is the
// leader's last index; a new member has not been probed yet, and probing starts there.
//
// A new leader knows no matching index. If it restarted at the first entry, it would
// find that compacted and send a snapshot to a follower that may lack a single entry;
// if that snapshot were lost too, nothing would be committed until the long snapshot
// timeout (snapshotResendElections) expired.
func (p *progress) retry(last uint64) {
	next := min(p.next, last)
	if p.state == replicating {
		next = p.match + 1
	}
	p.probeFrom(next)
}

func (r *Raft) handleHeartbeatReply(m *pb.RaftMessage) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.lastReplyTick = r.now
	p.ackRound = max(p.ackRound, m.Context)
	p.lastStamp = m.Hint
	r.observeQuorum()
	// The answer to a snapshot may be lost. What the member has committed shows that it has the snapshot; the answer to
	// the next append shows what it has synced.
	if p.state == installing && m.LogIndex > 0 && m.LogIndex >= p.snapshotFrom {
		p.probeFrom(m.LogIndex + 1)
	}
	// Nothing asks for a lost append message again, so it would leave the follower
	// behind permanently. The loss shows as a follower that replies to heartbeats, lags
	// behind and was last sent entries more than resendTicks ago.
	stalled := p.match < r.log.lastIndex() && r.now-p.sentTick >= r.resendTicks(p)
	if stalled {
		p.retry(r.log.lastIndex())
	}
	r.sendAppends(m.From)
}

// SnapshotFailed records that the snapshot for a member did not arrive. It is sent again
// once the member replies to a heartbeat.
func (r *Raft) SnapshotFailed(id uint64) {
	if p := r.progress[id]; r.role == Leader && p != nil && p.state == installing {
		p.snapshotLost = true
	}
}

// resendTicks returns how long to wait for a reply before sending again.
func (r *Raft) resendTicks(p *progress) int64 {
	if p.state == installing && !p.snapshotLost {
		return r.snapshotResendTicks()
	}
	return int64(max(2, r.cfg.ElectionTicks/2))
}

func (r *Raft) snapshotResendTicks() int64 {
	return int64(snapshotResendElections * r.cfg.ElectionTicks)
}

// maybeCommit commits what a majority of voters have synced. The leader counts itself
// only for what its own disk has synced, and is not needed for a majority (thesis,
// section 10.2.1).
func (r *Raft) maybeCommit() {
	index := r.members.current().quorumValue(func(id uint64) uint64 { return r.progress[id].match })
	if index <= r.log.commit {
		return
	}
	if t, _ := r.log.term(index); t != r.term {
		return
	}
	r.log.commit = index
	removed := r.members.current().find(r.cfg.ID) == nil
	if removed && r.members.index() <= index {
		r.broadcastAppend()
		r.broadcastHeartbeat()
		r.becomeFollower(r.term, 0)
	}
}

// advance records that a member has synced the entries up to match.
func (r *Raft) advance(p *progress, match uint64) {
	p.match = match
	// A new leader's commit index may be too low until an entry of its term is committed.
	if r.log.commit < r.termStart || match < p.roundTarget {
		return
	}
	if p.roundTarget > 0 {
		p.heldTick = p.roundTick
	}
	p.roundTarget, p.roundTick = r.log.commit, r.now
}

// caughtUp reports whether a member answered recently and holds what was committed at
// most catchUpElections election timeouts ago. It need not hold everything committed at
// one moment: a member on a slow link never does while entries are being committed.
func (r *Raft) caughtUp(id uint64) bool {
	p := r.progress[id]
	if r.role != Leader || p == nil || r.log.commit < r.termStart {
		return false
	}
	if id != r.cfg.ID && !r.active(p) {
		return false
	}
	recent := p.heldTick > 0 && r.now-p.heldTick <= int64(catchUpElections*r.cfg.ElectionTicks)
	return p.match >= r.log.commit || recent
}

// CaughtUpLearner returns a learner that may be promoted now, if there is one.
func (r *Raft) CaughtUpLearner() (id uint64, ok bool) {
	if r.role != Leader || r.changePending() {
		return 0, false
	}
	for _, m := range r.members.current().list {
		if m.Learner && r.caughtUp(m.Id) {
			return m.Id, true
		}
	}
	return 0, false
}

func (r *Raft) active(p *progress) bool {
	return p.lastReplyTick > 0 && r.now-p.lastReplyTick < int64(r.cfg.ElectionTicks)
}
