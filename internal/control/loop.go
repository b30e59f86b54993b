package control

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/raft"
)

// handOverTicks bounds how long a stopping leader waits for the next one.
const handOverTicks = 10

// run is the loop that owns the consensus state.
func (r *Replica) run() {
	defer close(r.stopped)
	tick := time.NewTimer(r.untilTick())
	defer tick.Stop()
	for {
		select {
		case <-r.stop:
			r.handOver()
			// What the write promises is sent as before a stop of the loop; an error no
			// longer matters.
			_ = r.awaitWrite()
			r.shutDown(nil)
			return
		case <-tick.C:
			tick.Reset(r.untilTick())
		case <-r.wake:
		}
		if err := r.runIteration(); err != nil {
			r.log.Error().Err(err).Str("event", "replica-stopped").Send()
			r.shutDown(err)
			return
		}
	}
}

// untilTick returns the time until the next tick of the consensus clock.
//
// A ticker with a phase of its own would send a heartbeat round up to one tick after it
// is due, and that delay is lost to the answers within the lease: 50 ms of 250 ms in
// fleets that serve by a routing table. A group whose answers take 130 ms kept no
// leader.
func (r *Replica) untilTick() time.Duration {
	return r.cfg.TickInterval - r.cfg.Now().Sub(r.start)%r.cfg.TickInterval
}

// handOver transfers the leadership of a stopping leader, and keeps the loop running
// until the next leader is known or handOverTicks have passed.
func (r *Replica) handOver() {
	if r.skipHandOver.Load() || r.formation != nil || !r.core.Transfer() {
		return
	}
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	until := r.core.Now() + handOverTicks
	for r.core.Now() < until && r.core.Status().Leader == 0 {
		if err := r.runIteration(); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-r.wake:
		}
	}
}

// shutDown ends everything that waits for the loop.
func (r *Replica) shutDown(err error) {
	r.err = err
	r.view.Store(&view{id: r.id.ID})
	r.inMu.Lock()
	r.closed = true
	waiting := r.proposals
	r.proposals = nil
	r.inMu.Unlock()
	for _, p := range waiting {
		p.finish(nil, &NotLeaderError{})
	}
	r.failPending("this replica is shutting down")
	if r.job != nil {
		<-r.job.done
	}
	if r.write != nil {
		<-r.write.done
	}
	_ = r.wal.Close()
}

// runIteration does everything that is due.
func (r *Replica) runIteration() error {
	if r.formation == nil {
		// Advance the clock first. A process that was suspended must know for how long
		// before it treats a queued message as fresh or acts as a leader.
		r.advanceClock()
	}
	if err := r.pollWrite(); err != nil {
		return err
	}
	r.pollSnapshots()
	r.startTruncation()
	r.reservedLogBytes = r.unsyncedBytes()
	messages, proposals := r.drainInput()
	for _, m := range messages {
		if err := r.step(m); err != nil {
			return err
		}
	}
	if r.formation != nil {
		return r.runFormation()
	}
	r.propose(proposals)
	r.promoteLearner()
	r.core.Flush()
	// Before messages are sent, so that a request for a vote goes out on the new connection.
	r.resetUnresponsive()
	if err := r.process(); err != nil {
		return err
	}
	return r.maybeSnapshot()
}

// pollSnapshots tells consensus which snapshots did not arrive.
func (r *Replica) pollSnapshots() {
	for _, id := range r.cfg.Transport.FailedSnapshots() {
		r.log.Warn().Uint64("replica", id).Str("event", "snapshot-not-delivered").Send()
		r.core.SnapshotFailed(id) // only a leader sends snapshots, so consensus has begun
	}
}

// advanceClock passes the elapsed ticks to the consensus.
func (r *Replica) advanceClock() {
	now := r.ticksNow()
	for r.core.Now() < now {
		r.core.Tick()
	}
}

func (r *Replica) drainInput() ([]*pb.RaftMessage, []*proposal) {
	r.inMu.Lock()
	defer r.inMu.Unlock()
	messages, proposals := r.inbox, r.proposals
	r.inbox, r.proposals = nil, nil
	return messages, proposals
}

// step passes a message to the formation or to the consensus.
func (r *Replica) step(m *pb.RaftMessage) error {
	if m.To != r.id.ID { // for a former replica at this address
		if m.Type == pb.RaftType_RAFT_TYPE_FORMATION_ASK {
			r.answerForFormer(m)
		}
		return nil
	}
	r.recordVersions[m.From] = m.RecordVersion
	switch m.Type {
	case pb.RaftType_RAFT_TYPE_FORMATION_ASK:
		return r.answerFounder(m)
	case pb.RaftType_RAFT_TYPE_FORMATION_ANSWER:
		if r.formation != nil {
			r.formation.handleReply(m)
		}
		return nil
	}
	if r.formation != nil {
		return nil // does not participate yet
	}
	if m.Type == pb.RaftType_RAFT_TYPE_APPEND && !r.reserveLogSpace(int64(proto.Size(m))+entryOverhead) {
		r.log.Warn().Int64("log_bytes", r.logBytes).Str("event", "append-dropped-log-full").Send()
		return nil // not acknowledged; the leader sends it again
	}
	r.core.Step(m)
	return nil
}

// process carries out what the consensus returns until nothing is left.
func (r *Replica) process() error {
	for {
		if r.core.SnapshotPending() {
			if err := r.awaitWrite(); err != nil {
				return err
			}
		}
		rd := r.ready()
		// The new state is published to readers before any message is sent, so that
		// they no longer see an ended lease: a vote or answer of this replica may let
		// another replica lead at once.
		r.publish()
		if rd.Empty() {
			return nil
		}
		r.logGivenUp(rd.GivenUp)
		r.logElections(rd.Elections)
		r.sendAll(rd.MessagesBeforeSync)
		if err := r.persist(rd); err != nil {
			return err
		}
		due := r.applicable(rd.Committed)
		n, err := r.apply(due)
		if err != nil {
			return err
		}
		r.core.Applied(due[:n])
		partial := n < len(due)
		r.updateReplay(partial)
		if partial {
			r.wakeLoop()
		}
		if n < len(rd.Committed) {
			return nil // the rest is applied in a later iteration
		}
	}
}

// ready returns the next work; while the disk is busy, only what needs no write.
func (r *Replica) ready() raft.Ready {
	if r.write != nil {
		return r.core.ReadyWithoutWrite()
	}
	return r.core.Ready()
}

// maxApplyTime bounds how long one iteration applies entries: two fifths of the default
// tick, so that ticks are counted and messages answered while many entries are applied.
//
// Without the bound, a starting replica applies all committed entries of its log at
// once. On a host with a tenth of a processor that took 5 s for 270 routing tables, in
// which it counted no tick, granted no vote and sent no answer. As all replicas of a
// group that lost power did the same, the group had no leader until the last table was
// applied.
const maxApplyTime = 20 * time.Millisecond

// apply applies entries until maxApplyTime has passed, and returns the number applied.
func (r *Replica) apply(entries []*pb.LogEntry) (n int, err error) {
	began := r.cfg.Now()
	for i, e := range entries {
		if i > 0 && r.cfg.Now().Sub(began) >= maxApplyTime {
			return i, nil
		}
		res, err := r.applyOne(e)
		if err != nil {
			return i, err
		}
		p := r.pending[e.Index]
		if p == nil {
			continue
		}
		delete(r.pending, e.Index)
		if p.term != e.Term {
			// Another leader's entry has this index: the proposal can no longer be committed.
			p.finish(nil, errOutcomeUnknown("leadership was lost"))
			continue
		}
		p.finish(res, nil)
	}
	return len(entries), nil
}

func (r *Replica) applyOne(e *pb.LogEntry) (*pb.CommandResult, error) {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	defer r.setApplied(e.Index)
	r.bytesSinceSnapshot += int64(len(e.Data)) + entryApplyCost
	if e.Type != pb.EntryType_ENTRY_TYPE_COMMAND {
		return &pb.CommandResult{Index: e.Index}, nil
	}
	var cmd pb.Command
	if err := proto.Unmarshal(e.Data, &cmd); err != nil {
		return nil, errors.Wrapf(err, "control: decode command at %d", e.Index)
	}
	r.lastTime = max(r.lastTime, cmd.TimeMs)
	res := r.cfg.StateMachine.Apply(e.Index, &cmd)
	r.changes.record(&cmd, res)
	return res, nil
}

// setApplied requires that stateMu is held.
func (r *Replica) setApplied(index uint64) {
	r.applied = index
	close(r.appliedCh)
	r.appliedCh = make(chan struct{})
}

func (r *Replica) sendAll(messages []*pb.RaftMessage) {
	for _, m := range messages {
		if m.Type == pb.RaftType_RAFT_TYPE_SNAPSHOT && !r.attachSnapshot(m) {
			continue
		}
		r.send(m)
	}
}

func (r *Replica) send(m *pb.RaftMessage) {
	if address := r.addressOf(m.To); address != "" {
		m.RecordVersion = recordVersion
		r.cfg.Transport.Send(m, address)
	}
}

// addressOf returns a replica's address: that of the membership, or the last known
// sender address.
func (r *Replica) addressOf(id uint64) string {
	for _, m := range r.core.Members().Members {
		if m.Id == id {
			return m.Address
		}
	}
	for _, m := range r.id.Members {
		if m.Id == id {
			return m.Address
		}
	}
	r.inMu.Lock()
	defer r.inMu.Unlock()
	return r.addresses[id]
}

// resetUnresponsive resets the connections to members that don't answer. A connection
// whose state a middlebox has lost stays unresponsive, while a new one would work.
func (r *Replica) resetUnresponsive() {
	justElected := r.core.IsLeader() && r.role != raft.Leader
	following := !r.core.IsLeader() && r.leader != 0
	if justElected || following {
		return
	}
	for _, m := range r.core.Status().Members {
		if !r.unresponsive(m) {
			continue
		}
		r.lastConnReset[m.Member.Id] = r.core.Now()
		r.cfg.Transport.Reset(m.Member.Address)
	}
}

// maxConnResetElections bounds the interval, in minimum election timeouts (ElectionTicks),
// between two resets of a connection while no leader is known.
const maxConnResetElections = 8

// unresponsive reports whether a member doesn't answer and its connection was not reset
// lately. While no leader is known the interval grows: the members of a group whose
// processors are overloaded answer late, and new connections would cost them even more.
func (r *Replica) unresponsive(m raft.MemberStatus) bool {
	sinceReset := r.core.Now() - r.lastConnReset[m.Member.Id]
	election := int64(r.cfg.ElectionTicks)
	if r.core.IsLeader() {
		return !m.Active && min(sinceReset, r.core.Now()-r.ledSince) >= election
	}
	unanswered, ok := r.core.Unanswered(m.Member.Id)
	return ok && unanswered >= election && sinceReset >= min(unanswered/2, maxConnResetElections*election)
}
