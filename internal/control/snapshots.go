package control

import (
	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// keepBehind is how many entries the leader keeps in memory behind a snapshot,
// so that a follower that is a little behind needs no snapshot.
const keepBehind = 1000

// maybeSnapshot takes a snapshot when enough was applied or the log has grown to
// half its cap.
func (r *Replica) maybeSnapshot() error {
	grown := r.wal.Bytes() > r.cfg.LogBytes/2 && r.applied > r.snapIndex
	if r.applied-r.snapIndex < r.cfg.SnapshotEntries && !grown {
		return nil
	}
	return r.takeSnapshot(grown)
}

// takeSnapshot makes the applied state durable and removes the log segments that
// it replaces: those before the older of the two snapshots kept, or, if room is
// short, those before the new one.
func (r *Replica) takeSnapshot(short bool) error {
	snap, err := r.makeSnapshot()
	if err != nil {
		return err
	}
	if err := r.snapshots.Save(snap); err != nil {
		return err
	}
	r.snapIndex = snap.Index
	if snap.Index > keepBehind {
		r.core.Compact(snap.Index - keepBehind)
	}
	r.log.Info().Uint64("index", snap.Index).Int("bytes", len(snap.Data)).Msg("snapshot_taken")
	release := snap.Index
	if !short {
		if release, err = r.snapshots.Oldest(); err != nil {
			return err
		}
	}
	if err := r.wal.Cut(); err != nil {
		return err
	}
	return r.wal.Release(release)
}

func (r *Replica) makeSnapshot() (*pb.Snapshot, error) {
	data, err := r.cfg.StateMachine.Snapshot()
	if err != nil {
		return nil, errors.Wrap(err, "control: take snapshot")
	}
	term, ok := r.core.TermAt(r.applied)
	if !ok {
		return nil, errors.Errorf("control: no term known for applied index %d", r.applied)
	}
	return &pb.Snapshot{Index: r.applied, Term: term, Members: r.core.MembersAt(r.applied), Data: data}, nil
}

// installSnapshot makes a leader's snapshot durable and restores it.
func (r *Replica) installSnapshot(s *pb.Snapshot) error {
	if err := r.snapshots.Save(s); err != nil {
		return err
	}
	r.log.Info().Uint64("index", s.Index).Int("bytes", len(s.Data)).Msg("snapshot_installed")
	return r.restore(s)
}

// attachSnapshot puts the newest snapshot into a message; false if there is none.
func (r *Replica) attachSnapshot(m *pb.RaftMessage) bool {
	snap, err := r.snapshots.Load(0)
	if err != nil || snap == nil {
		r.log.Error().Err(err).Msg("snapshot_not_sent")
		return false
	}
	m.Snapshot = snap
	return true
}

// roomFor takes size bytes of the log's room for entries of this turn, after a
// forced snapshot if need be; false if there is no room. A part of the cap is
// left for the entries with which leaders begin their terms: without it a full
// log could never commit again, and so never be cut.
func (r *Replica) roomFor(size int64) bool {
	wanted := r.taken + size + r.cfg.LogBytes/16
	if r.wal.Room() < wanted && r.applied > r.snapIndex {
		if err := r.takeSnapshot(true); err != nil {
			r.log.Error().Err(err).Msg("forced_snapshot_failed")
		}
	}
	if r.wal.Room() < wanted {
		return false
	}
	r.taken += size
	return true
}
