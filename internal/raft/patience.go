package raft

// patience is how much longer than the minimum election timeout a replica waits for a leader.
//
// A leader is late with its heartbeats, though it has not failed, if it or its followers get too little processor
// time. Each election makes all clients look for the next leader, and the next one is as late. So a replica that has given up a leader
// that still runs waits longer from then on.
type patience struct {
	// doublings is how often the timeout is doubled.
	doublings int
	// former is the last leader that this replica gave up, and lostTick when; 0 once it is known whether it ran.
	former   uint64
	lostTick int64
	// kept is when the current leader became known, or patience last changed while it led.
	kept int64
}

const (
	// maxPatienceDoublings bounds the timeout to four times ElectionTicks.
	maxPatienceDoublings = 2
	// stillRunsElections is the number of minimum election timeouts (ElectionTicks) within which a message from a
	// former leader shows that it had not failed.
	stillRunsElections = 4
	// steadyElections is the number of minimum election timeouts for which a leader must last until patience is reduced.
	steadyElections = 50
)

// electionTicks returns the minimum time without a leader after which this replica campaigns.
func (r *Raft) electionTicks() int { return r.cfg.ElectionTicks << r.patience.doublings }

// unansweredTicks returns the time without an answer from a quorum after which this replica stops leading: as long as
// its lease, before any voter may elect another leader, unless it has learned to be more patient.
func (r *Raft) unansweredTicks() int64 {
	return r.leaseTicks() + int64(r.electionTicks()-r.cfg.ElectionTicks)
}

// giveUp records that a leader was given up, possibly this replica itself.
func (p *patience) giveUp(leader uint64, now int64) {
	if leader != 0 {
		p.former, p.lostTick = leader, now
	}
}

// heardFrom takes into account that a member has sent a message.
func (r *Raft) heardFrom(id uint64) {
	p := &r.patience
	if p.former == 0 || id != p.former && p.former != r.cfg.ID {
		return
	}
	if r.now-p.lostTick <= int64(stillRunsElections*r.cfg.ElectionTicks) && p.doublings < maxPatienceDoublings {
		p.doublings++
	}
	p.former = 0
}

// keepLeader takes into account that a leader lasts; changed is true if it has just become known.
func (r *Raft) keepLeader(changed bool) {
	p := &r.patience
	switch {
	case changed:
		p.kept = r.now
	case p.doublings > 0 && r.now-p.kept >= int64(steadyElections*r.cfg.ElectionTicks):
		p.doublings--
		p.kept = r.now
	}
}
