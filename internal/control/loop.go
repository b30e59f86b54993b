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
			r.shutDown(nil)
			return
		case <-tick.C:
			tick.Reset(r.untilTick())
		case <-r.wake:
		}
		if err := r.turn(); err != nil {
			r.log.Error().Err(err).Str("event", "replica-stopped").Send()
			r.shutDown(err)
			return
		}
	}
}

// untilTick is the time until the consensus clock's next tick.
//
// What goes wrong with a ticker of its own phase: a round of heartbeats counts from the tick
// that it is due at and leaves up to a tick later, which the lease has less for its answers,
// 50 ms of 250 in routed fleets. A group whose answers take 130 ms kept no leader.
func (r *Replica) untilTick() time.Duration {
	return r.cfg.TickInterval - r.cfg.Now().Sub(r.start)%r.cfg.TickInterval
}

// handOver has a leader that stops pass its leadership on, and goes on until it
// hears the next leader or handOverTicks have passed.
func (r *Replica) handOver() {
	if r.abrupt.Load() || r.formation != nil || !r.core.Transfer() {
		return
	}
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	until := r.core.Now() + handOverTicks
	for r.core.Now() < until && r.core.Status().Leader == 0 {
		if err := r.turn(); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-r.wake:
		}
	}
}

// shutDown ends what waits on the loop.
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
	_ = r.wal.Close()
}

// turn does everything that is due.
func (r *Replica) turn() error {
	r.taken = 0
	if r.formation == nil {
		// Time comes first. A process that was frozen must know how long, before
		// it takes a message that waited as fresh or acts as a leader.
		r.catchUp()
	}
	messages, proposals := r.takeInput()
	for _, m := range messages {
		if err := r.step(m); err != nil {
			return err
		}
	}
	if r.formation != nil {
		return r.formationTurn()
	}
	r.propose(proposals)
	r.core.Flush()
	if err := r.process(); err != nil {
		return err
	}
	r.resetSilent()
	return r.maybeSnapshot()
}

// catchUp feeds the ticks that have passed.
func (r *Replica) catchUp() {
	now := r.ticksNow()
	for r.core.Now() < now {
		r.core.Tick()
	}
}

func (r *Replica) takeInput() ([]*pb.RaftMessage, []*proposal) {
	r.inMu.Lock()
	defer r.inMu.Unlock()
	messages, proposals := r.inbox, r.proposals
	r.inbox, r.proposals = nil, nil
	return messages, proposals
}

// step hands a message to where it belongs.
func (r *Replica) step(m *pb.RaftMessage) error {
	if m.To != r.id.ID {
		return nil // for a former replica at this address
	}
	switch m.Type {
	case pb.RaftType_RAFT_TYPE_FORMATION_ASK:
		r.send(answerFormation(r.id, m))
		return nil
	case pb.RaftType_RAFT_TYPE_FORMATION_ANSWER:
		if r.formation != nil {
			r.formation.answer(m)
		}
		return nil
	}
	if r.formation != nil {
		return nil // takes no part yet
	}
	if m.Type == pb.RaftType_RAFT_TYPE_APPEND && !r.roomFor(int64(proto.Size(m))+entryOverhead) {
		r.log.Warn().Int64("log_bytes", r.wal.Bytes()).Str("event", "append-dropped-log-full").Send()
		return nil // not acknowledged; the leader sends it again
	}
	r.core.Step(m)
	return nil
}

// process carries out what the consensus asks for until nothing is left.
func (r *Replica) process() error {
	for {
		rd := r.core.Ready()
		// The lease is withdrawn from readers before any message goes out: a vote
		// or answer of this replica may let another lead at once.
		r.publish()
		if rd.Empty() {
			return nil
		}
		r.sendAll(rd.MessagesBeforeSync)
		if err := r.persist(rd); err != nil {
			return err
		}
		r.sendAll(rd.MessagesAfterSync)
		n, err := r.apply(rd.Committed)
		if err != nil {
			return err
		}
		cut := n < len(rd.Committed)
		rd.Committed = rd.Committed[:n]
		r.core.Advance(rd)
		r.noteApplied(cut)
		if cut {
			r.wakeLoop()
			return nil
		}
	}
}

func (r *Replica) persist(rd raft.Ready) error {
	if rd.Snapshot != nil {
		if err := r.installSnapshot(rd.Snapshot); err != nil {
			return err
		}
		if err := r.wal.Reset(rd.HardState); err != nil {
			return err
		}
	}
	if rd.HardState == nil && len(rd.Entries) == 0 {
		return nil
	}
	r.metrics.Syncs.Add(1)
	began := time.Now()
	err := r.wal.Append(rd.HardState, rd.Entries)
	if took := time.Since(began); took >= slowSync {
		r.log.Warn().Str("event", "disk-slow").Dur("took", took).Int("entries", len(rd.Entries)).Send()
	}
	return err
}

// slowSync is from when on a write to the log is told, a fifth of an election timeout of 500 ms.
// A leader sends nothing while it writes; one that writes for longer than its lease loses it.
//
// What goes wrong without the line: leaders change again and again in a group without a fault,
// hosts are refused tokens meanwhile, and nothing tells that the disk is the cause.
const slowSync = 100 * time.Millisecond

// applySlice bounds how long one turn applies entries: two fifths of the default tick, so that
// ticks are counted and messages answered while much is applied.
//
// What goes wrong without it: a replica that starts applies all that its log holds as
// committed. On a host with a tenth of a processor that was 5 s for 270 routing tables, in
// which it counted no tick, voted for nobody and answered nobody. As all replicas of a group
// that lost power did so, the group had no leader until the last table was applied.
const applySlice = 20 * time.Millisecond

// apply applies entries until applySlice has passed, and returns how many.
func (r *Replica) apply(entries []*pb.LogEntry) (n int, err error) {
	began := r.cfg.Now()
	for i, e := range entries {
		if i > 0 && r.cfg.Now().Sub(began) >= applySlice {
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
			// Another leader's entry took this index: the proposal is lost for good.
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
	r.unsaved += int64(len(e.Data)) + entryCost
	if e.Type != pb.EntryType_ENTRY_TYPE_COMMAND {
		return &pb.CommandResult{Index: e.Index}, nil
	}
	var cmd pb.Command
	if err := proto.Unmarshal(e.Data, &cmd); err != nil {
		return nil, errors.Wrapf(err, "control: decode command at %d", e.Index)
	}
	r.lastTime = max(r.lastTime, cmd.TimeMs)
	res := r.cfg.StateMachine.Apply(e.Index, &cmd)
	r.hub.observe(&cmd, res)
	return res, nil
}

// setApplied needs stateMu.
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
		r.cfg.Transport.Send(m, address)
	}
}

// addressOf finds a replica's address: the membership's, or where it was last heard from.
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

// resetSilent has the leader give up connections to members that don't answer.
// A connection that something in between has forgotten stays silent for good,
// while a new one would work.
func (r *Replica) resetSilent() {
	if r.role != raft.Leader {
		return
	}
	now := r.core.Now()
	for _, m := range r.core.Status().Members {
		if m.Active || now-r.resetTick[m.Member.Id] < int64(r.cfg.ElectionTicks) {
			continue
		}
		r.resetTick[m.Member.Id] = now
		r.cfg.Transport.Reset(m.Member.Address)
	}
}
