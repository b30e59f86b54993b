package control

import "time"

// replay tracks the application of the entries that were committed when the replica was
// opened. Until it ends, the replica's state is older than what its own disk holds.
type replay struct {
	start time.Time
	// from is the index of the snapshot on disk, until the commit index in the log. The
	// log records commit indexes late, so the group may have committed slightly more.
	from, until uint64
}

// startReplay records which entries must be applied.
func (r *Replica) startReplay() {
	if until := r.core.Status().Commit; until > r.applied {
		r.replay = &replay{start: r.cfg.Now(), from: r.applied, until: until}
		r.lagging.Store(true)
	}
}

// updateReplay records whether an iteration left committed entries unapplied, and logs
// the end of the replay.
func (r *Replica) updateReplay(partial bool) {
	p := r.replay
	r.lagging.Store(partial || p != nil && r.applied < p.until)
	if p == nil || r.applied < p.until {
		return
	}
	r.replay = nil
	r.log.Info().Uint64("applied", r.applied).Uint64("entries", p.until-p.from).Dur("took", r.cfg.Now().Sub(p.start)).
		Str("event", "replica-caught-up").Send()
}
