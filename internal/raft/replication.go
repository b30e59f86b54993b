package raft

import (
	"slices"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// progressState says how the leader sends to a follower.
type progressState int

const (
	probing     progressState = iota // one message at a time, to find where the logs meet
	replicating                      // pipelined
	installing                       // a snapshot is on its way
)

// snapshotElections is how many election timeouts a snapshot may take to be
// answered before it is sent again.
const snapshotElections = 30

// progress is the leader's view of one follower.
type progress struct {
	state    progressState
	match    uint64 // last index known to be synced there
	next     uint64 // next index to send
	inflight []uint64
	waiting  bool // probing or installing: a message is out
	sentTick int64
	ackRound uint64
	echo     uint64 // stamp of its last heartbeat answer
	heard    int64  // tick of its last answer; 0: none
}

func (r *Raft) others() []uint64 {
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
	for _, id := range r.others() {
		p := r.progress[id]
		m := &pb.RaftMessage{
			Type: pb.RaftType_RAFT_TYPE_HEARTBEAT, To: id,
			Commit: min(r.log.commit, p.match), Context: r.lease.round,
		}
		if r.now < r.LeaseUntil() {
			m.LogIndex = r.log.commit
			m.Hint = p.echo
		}
		r.send(m)
	}
	r.observeQuorum()
}

func (r *Raft) broadcastAppend() {
	for _, id := range r.others() {
		r.sendAppends(id)
	}
}

// sendAppends sends what the follower may get now.
func (r *Raft) sendAppends(id uint64) {
	p := r.progress[id]
	for p.next <= r.log.lastIndex() && !p.waiting && len(p.inflight) < r.cfg.MaxInflight {
		r.sendAppend(id, p)
	}
}

func (r *Raft) sendAppend(id uint64, p *progress) {
	p.sentTick = r.now
	prevTerm, ok := r.log.term(p.next - 1)
	if !ok {
		p.state = installing
		p.waiting = true
		r.send(&pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_SNAPSHOT, To: id})
		return
	}
	entries := r.log.batch(p.next, r.cfg.MaxBatchBytes)
	r.send(&pb.RaftMessage{
		Type: pb.RaftType_RAFT_TYPE_APPEND, To: id, LogIndex: p.next - 1, LogTerm: prevTerm,
		Commit: r.log.commit, Entries: entries,
	})
	if p.state != replicating {
		p.waiting = true
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
		r.sendSynced(reply)
		return
	}
	if t, ok := r.log.term(m.LogIndex); !ok || t != m.LogTerm {
		reply.Reject = true
		reply.LogIndex = m.LogIndex
		reply.Hint = r.log.conflictHint(m.LogIndex)
		r.sendSynced(reply)
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
	r.sendSynced(reply)
}

// replaceFrom drops the log from the first of entries on and appends them.
func (r *Raft) replaceFrom(entries []*pb.LogEntry) {
	first := entries[0].Index
	if first <= r.log.lastIndex() {
		r.log.truncateFrom(first)
		r.members.truncateFrom(first)
	}
	for _, e := range entries {
		r.log.append(e)
	}
	r.takeMembers(entries)
}

func (r *Raft) handleHeartbeat(m *pb.RaftMessage) {
	r.commitTo(min(m.Commit, r.log.lastIndex()))
	r.takeConfirmation(m)
	r.sendSynced(&pb.RaftMessage{
		Type: pb.RaftType_RAFT_TYPE_HEARTBEAT_REPLY, To: m.From, Context: m.Context, Hint: r.epoch + uint64(r.now),
	})
}

func (r *Raft) handleSnapshot(m *pb.RaftMessage) {
	s := m.Snapshot
	if s == nil {
		return
	}
	reply := &pb.RaftMessage{Type: pb.RaftType_RAFT_TYPE_APPEND_REPLY, To: m.From, LogIndex: r.log.commit}
	if s.Index > r.log.commit {
		r.log.restore(s)
		r.members = newMemberHistory(State{Snapshot: s})
		r.received = s
		reply.LogIndex = s.Index
	}
	r.sendSynced(reply)
}

func (r *Raft) commitTo(index uint64) {
	r.log.commit = max(r.log.commit, index)
}

func (r *Raft) handleAppendReply(m *pb.RaftMessage) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.heard = r.now
	if m.Reject {
		r.rejected(p, m)
		r.sendAppends(m.From)
		return
	}
	if m.LogIndex < p.match || m.LogIndex > r.log.lastIndex() {
		return
	}
	p.match = m.LogIndex
	if p.state != replicating {
		p.state = replicating
		p.waiting = false
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

func (r *Raft) rejected(p *progress, m *pb.RaftMessage) {
	if m.LogIndex <= p.match || p.state == installing {
		return // late answer
	}
	if p.state == probing && m.LogIndex != p.next-1 {
		return // late answer
	}
	p.probeFrom(max(p.match, min(m.Hint, m.LogIndex-1)) + 1)
}

// probeFrom starts over at index next.
func (p *progress) probeFrom(next uint64) {
	p.state = probing
	p.waiting = false
	p.inflight = nil
	p.next = next
}

// retry starts over after a message that got no answer: from where the logs are known to
// meet, or, as long as that is not known, from where it was looked for last. last is the
// leader's last index; of a new member nothing was looked for yet, and it begins there.
//
// A new leader knows of no match. Were it to start over from there, from the first entry, it
// would find that compacted and send a snapshot to a follower that may lack one entry. If
// that is lost too, nothing is committed until the long wait for a snapshot has passed.
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
	p.heard = r.now
	p.ackRound = max(p.ackRound, m.Context)
	p.echo = m.Hint
	r.observeQuorum()
	// A lost append message would leave the follower behind for good: nothing
	// asks for it again. It shows as an answering follower whose match stands
	// still with a message out.
	stalled := p.match < r.log.lastIndex() && r.now-p.sentTick >= r.resendTicks(p)
	if stalled {
		p.retry(r.log.lastIndex())
	}
	r.sendAppends(m.From)
}

// resendTicks is how long an unanswered message is waited for.
func (r *Raft) resendTicks(p *progress) int64 {
	if p.state == installing {
		return int64(snapshotElections * r.cfg.ElectionTicks)
	}
	return int64(max(2, r.cfg.ElectionTicks/2))
}

// maybeCommit commits what a majority of voters holds.
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

// holdsCommitted tells whether a member answered lately and holds everything committed.
func (r *Raft) holdsCommitted(id uint64) bool {
	p := r.progress[id]
	if r.role != Leader || p == nil || r.log.commit < r.termStart {
		return false
	}
	return p.match >= r.log.commit && (id == r.cfg.ID || r.active(p))
}

func (r *Raft) active(p *progress) bool {
	return p.heard > 0 && r.now-p.heard < int64(r.cfg.ElectionTicks)
}
