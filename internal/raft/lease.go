package raft

// roundStart is the tick at which a heartbeat round was sent.
type roundStart struct {
	round uint64
	tick  int64
}

// lease records when a quorum last acknowledged the leader.
type lease struct {
	round          uint64 // number of the last round sent
	sentTick       int64
	unacknowledged []roundStart // rounds not acknowledged by a quorum yet
	// start is the tick at which the last round acknowledged by a quorum was sent. The
	// lease counts from the sending, because a voter's promise starts then or later.
	start int64
	valid bool
	// quorumTick is when a quorum was last known to follow this leader: start, or the
	// tick of the election.
	quorumTick int64
}

// leaseTicks returns how long the lease lasts after the start of an acknowledged round:
// the time for which voters reject other candidates (ElectionTicks), less one tick that
// counting in whole ticks may cut from it, less the bound on the drift of tick rates.
func (r *Raft) leaseTicks() int64 {
	return int64((r.cfg.ElectionTicks - 1) * (100 - r.cfg.DriftPercent) / 100)
}

// startRound records a heartbeat round sent at the current tick.
func (l *lease) startRound(now int64) {
	l.round++
	l.sentTick = now
	l.unacknowledged = append(l.unacknowledged, roundStart{l.round, now})
}

// acknowledge records that a quorum answered the round.
func (l *lease) acknowledge(round uint64) {
	for len(l.unacknowledged) > 0 && l.unacknowledged[0].round <= round {
		l.start = l.unacknowledged[0].tick
		l.quorumTick = max(l.quorumTick, l.start)
		l.valid = true
		l.unacknowledged = l.unacknowledged[1:]
	}
}

// observeQuorum extends the lease by the last round that a quorum answered.
func (r *Raft) observeQuorum() {
	round := r.members.current().quorumValue(func(id uint64) uint64 {
		if id == r.cfg.ID {
			return r.lease.round
		}
		return r.progress[id].ackRound
	})
	r.lease.acknowledge(round)
}

// LeaseUntil returns the tick at which the lease for reads ends, or 0 without a lease.
// A read is allowed while the caller's clock, in ticks, is below it. The caller must
// compare with the time that really passed, not with the number of calls to Tick: a
// process that was suspended has made too few.
func (r *Raft) LeaseUntil() int64 {
	if r.role != Leader || !r.lease.valid || r.log.commit < r.termStart {
		return 0
	}
	return r.lease.start + r.leaseTicks()
}
