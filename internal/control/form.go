package control

import (
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wal"
)

// formationTurn asks the other replicas of the bootstrap list until it is clear
// whether this disk may take part.
func (r *Replica) formationTurn() error {
	switch r.formation.state() {
	case formationDone:
		return r.takePart()
	case formationLost:
		return r.giveUpID()
	}
	if now := r.cfg.Now().UnixNano() / int64(r.cfg.TickInterval); now-r.askedTick >= int64(r.cfg.HeartbeatTicks) {
		r.askedTick = now
		for _, m := range r.formation.unanswered() {
			r.send(r.formation.ask(m.Id))
		}
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
