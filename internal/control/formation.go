package control

import (
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wal"
)

// formationState is how far a replica of the bootstrap list has come.
type formationState int

const (
	formationAsking formationState = iota
	formationDone                  // may take part
	formationLost                  // the group was formed with another disk under this id
)

// formation decides whether a new disk may take part under its bootstrap id. It
// is pure: answers in, state out. See the package comment for the rule.
type formation struct {
	self    *identity
	answers map[uint64]uint64 // nonces of those who answered, by id
	lost    bool
}

func newFormation(self *identity) *formation {
	return &formation{self: self, answers: map[uint64]uint64{}}
}

// unanswered returns the replicas still to be asked.
func (f *formation) unanswered() []*pb.Member {
	var out []*pb.Member
	for _, m := range f.self.Members {
		if _, ok := f.answers[m.Id]; !ok && m.Id != f.self.ID {
			out = append(out, m)
		}
	}
	return out
}

func (f *formation) state() formationState {
	if f.lost {
		return formationLost
	}
	if len(f.unanswered()) > 0 {
		return formationAsking
	}
	return formationDone
}

// ask makes the question to one replica.
func (f *formation) ask(to uint64) *pb.RaftMessage {
	return &pb.RaftMessage{
		Type: pb.RaftType_RAFT_TYPE_FORMATION_ASK, From: f.self.ID, To: to, Context: f.self.Nonce,
	}
}

// answer takes a reply.
func (f *formation) answer(m *pb.RaftMessage) {
	if m.Hint != f.self.Nonce {
		return // meant for another disk under this id
	}
	if m.Reject {
		f.lost = true
		return
	}
	f.answers[m.From] = m.Context
}

// answerFormation answers another replica's question. Context is the own nonce,
// Hint repeats the asker's, Reject says that the asker's disk isn't the one this
// replica took part with.
func answerFormation(self *identity, m *pb.RaftMessage) *pb.RaftMessage {
	reply := &pb.RaftMessage{
		Type: pb.RaftType_RAFT_TYPE_FORMATION_ANSWER, From: self.ID, To: m.From,
		Context: self.Nonce, Hint: m.Context,
	}
	if self.Formed {
		reply.Reject = self.Nonces[m.From] != m.Context
	}
	return reply
}

// formationTurn asks the other replicas of the bootstrap list until it is clear
// whether this disk may take part.
func (r *Replica) formationTurn() error {
	switch r.formation.state() {
	case formationDone:
		return r.takePart()
	case formationLost:
		return r.giveUpID()
	}
	now := r.cfg.Now().UnixNano() / int64(r.cfg.TickInterval)
	if now-r.askedTick < int64(r.cfg.HeartbeatTicks) {
		return nil
	}
	r.askedTick = now
	for _, m := range r.formation.unanswered() {
		r.send(r.formation.ask(m.Id))
	}
	return nil
}

// takePart records the others' disks and starts consensus.
func (r *Replica) takePart() error {
	r.id.Nonces = r.formation.answers
	hard, err := r.firstRecord()
	if err != nil {
		return err
	}
	r.formation = nil
	r.log.Info().Uint64("replica", r.id.ID).Str("event", "group-formed").Send()
	return r.startCore(wal.Contents{Hard: hard})
}

// giveUpID gives up an id that another disk has voted under.
func (r *Replica) giveUpID() error {
	old := r.id.ID
	r.id = afterLostDisk()
	if err := saveIdentity(r.cfg.FS, r.cfg.DataDir, r.id); err != nil {
		return err
	}
	r.formation = nil
	hard, err := r.firstRecord()
	if err != nil {
		return err
	}
	r.log.Warn().Uint64("old_replica", old).Uint64("replica", r.id.ID).Str("event", "lost-disk-joins-as-new-replica").Send()
	return r.startCore(wal.Contents{Hard: hard})
}

// firstRecord gives the log its first record, then marks the identity as formed.
// In this order a formed identity beside an empty log proves that the log was lost.
func (r *Replica) firstRecord() (*pb.HardState, error) {
	hard := &pb.HardState{}
	if err := r.wal.Append(hard, nil); err != nil {
		return nil, err
	}
	r.id.Formed = true
	return hard, saveIdentity(r.cfg.FS, r.cfg.DataDir, r.id)
}
