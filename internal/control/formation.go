package control

import (
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wal"
)

// formationState is the progress of a replica of the bootstrap list in forming the
// group.
type formationState int

const (
	formationAsking formationState = iota
	formationDone                  // may participate
	formationLost                  // the group was formed with another disk under this ID
)

// formation decides whether a replica with a new disk may participate under its
// bootstrap ID. It is pure: it receives answers and computes a state. See the package
// comment for the rule.
type formation struct {
	self   *identity
	nonces map[uint64]uint64 // nonces of the replicas that answered, by ID
	lost   bool
}

func newFormation(self *identity) *formation {
	return &formation{self: self, nonces: map[uint64]uint64{}}
}

// unanswered returns the replicas that have not answered yet.
func (f *formation) unanswered() []*pb.Member {
	var out []*pb.Member
	for _, m := range f.self.Members {
		if _, ok := f.nonces[m.Id]; !ok && m.Id != f.self.ID {
			out = append(out, m)
		}
	}
	return out
}

// firstStartPatience is how long a replica on its first disk waits for the answers of all others.
const firstStartPatience = 2 * time.Second

// state returns the progress of a replica that has been asking for a time.
//
// A replica on its first disk has promised nothing before, so it needs nobody's answer to be
// safe, and another one that lost its disk before the group was formed will never answer. It
// hears a majority all the same, so that most mistaken claims of a first start are found out.
func (f *formation) state(asking time.Duration) formationState {
	unanswered := len(f.unanswered())
	switch {
	case f.lost:
		return formationLost
	case unanswered == 0:
		return formationDone
	case f.self.FirstStart && asking >= firstStartPatience && 2*unanswered < len(f.self.Members):
		return formationDone
	}
	return formationAsking
}

// request returns the formation request to one replica.
func (f *formation) request(to uint64) *pb.RaftMessage {
	return &pb.RaftMessage{
		Type: pb.RaftType_RAFT_TYPE_FORMATION_ASK, From: f.self.ID, To: to, Context: f.self.Nonce,
	}
}

// handleReply records a formation answer.
func (f *formation) handleReply(m *pb.RaftMessage) {
	if m.Hint != f.self.Nonce {
		return // meant for another disk under this ID
	}
	if m.Reject {
		f.lost = true
		return
	}
	f.nonces[m.From] = m.Context
}

// formationReply returns the answer to another replica's formation request. Context is
// this replica's nonce, Hint repeats the asking replica's, and Reject means that the
// group was formed with another disk under that replica's ID.
func formationReply(self *identity, m *pb.RaftMessage) *pb.RaftMessage {
	reply := &pb.RaftMessage{
		Type: pb.RaftType_RAFT_TYPE_FORMATION_ANSWER, From: self.ID, To: m.From,
		Context: self.Nonce, Hint: m.Context,
	}
	if self.Formed {
		reply.Reject = self.Nonces[m.From] != m.Context
	}
	return reply
}

// recordLateFounder records the disk of a replica that asks after this one began to participate without
// its answer. It returns false if that is not the case. Another disk under the same ID is rejected from then on.
//
// Without it a replica that hears a majority first would reject the others, and be left alone if one
// of that majority loses its disk.
func (id *identity) recordLateFounder(m *pb.RaftMessage) bool {
	if !id.Formed || !id.FirstStart || id.Nonces[m.From] != 0 {
		return false
	}
	if id.Nonces == nil {
		id.Nonces = make(map[uint64]uint64)
	}
	id.Nonces[m.From] = m.Context
	return true
}

// answerFounder answers a formation request.
func (r *Replica) answerFounder(m *pb.RaftMessage) error {
	if r.formation == nil && isMember(r.core.Members(), m.From) && r.id.recordLateFounder(m) {
		if err := saveIdentity(r.cfg.FS, r.cfg.DataDir, r.id); err != nil {
			return err
		}
	}
	r.send(formationReply(r.id, m))
	return nil
}

func isMember(members *pb.Members, id uint64) bool {
	return slices.ContainsFunc(members.GetMembers(), func(m *pb.Member) bool { return m.Id == id })
}

// answerForFormer rejects the formation request to a former replica on this host: the group was
// formed if this one is a member of it. Without the answer, the replica on a new disk would wait for
// ever once every other replica of the bootstrap list has been replaced.
func (r *Replica) answerForFormer(m *pb.RaftMessage) {
	if r.formation != nil {
		return
	}
	if s := r.Membership(); s != MembershipVoter && s != MembershipLearner {
		return
	}
	r.send(&pb.RaftMessage{
		Type: pb.RaftType_RAFT_TYPE_FORMATION_ANSWER, From: r.id.ID, To: m.From, Hint: m.Context, Reject: true,
	})
}

// runFormation asks the other replicas of the bootstrap list until it is known whether
// this disk may participate.
func (r *Replica) runFormation() error {
	switch r.formation.state(r.cfg.Now().Sub(r.start)) {
	case formationDone:
		return r.finishFormation()
	case formationLost:
		return r.abandonID()
	}
	now := r.ticksNow()
	if now < r.nextFormationRequest {
		return nil
	}
	r.nextFormationRequest = now + int64(r.cfg.HeartbeatTicks)
	for _, m := range r.formation.unanswered() {
		r.send(r.formation.request(m.Id))
	}
	return nil
}

// finishFormation records the nonces of the other replicas' disks and starts consensus.
func (r *Replica) finishFormation() error {
	r.id.Nonces = r.formation.nonces
	hard, err := r.writeFirstRecord()
	if err != nil {
		return err
	}
	unanswered := len(r.formation.unanswered())
	r.formation = nil
	r.log.Info().Uint64("replica", r.id.ID).Int("without", unanswered).Str("event", "group-formed").Send()
	return r.startCore(wal.Contents{Hard: hard})
}

// abandonID replaces an ID under which another disk has voted.
func (r *Replica) abandonID() error {
	old := r.id.ID
	r.id = identityAfterLostDisk()
	if err := saveIdentity(r.cfg.FS, r.cfg.DataDir, r.id); err != nil {
		return err
	}
	r.formation = nil
	hard, err := r.writeFirstRecord()
	if err != nil {
		return err
	}
	r.log.Warn().Uint64("old_replica", old).Uint64("replica", r.id.ID).Str("event", "lost-disk-joins-as-new-replica").Send()
	return r.startCore(wal.Contents{Hard: hard})
}

// writeFirstRecord writes the first record of the log, then marks the identity as
// formed. In this order, a formed identity beside an empty log proves that the log was
// lost.
func (r *Replica) writeFirstRecord() (*pb.HardState, error) {
	hard := &pb.HardState{}
	if err := r.wal.Append(hard, nil); err != nil {
		return nil, err
	}
	r.logBytes = r.wal.Bytes()
	r.id.Formed = true
	return hard, saveIdentity(r.cfg.FS, r.cfg.DataDir, r.id)
}
