package raft

// roundStart is the tick at which a heartbeat round was sent.
type roundStart struct {
	round uint64
	tick  int64
}

// lease is the leader's knowledge of when a quorum last acknowledged it.
type lease struct {
	round    uint64 // last round sent
	sentTick int64
	open     []roundStart // rounds a quorum hasn't acknowledged yet
	// start is the tick at which the last round acknowledged by a quorum was
	// sent. It counts from the sending: a voter's promise starts at or after it.
	start int64
	held  bool
	// quorumTick is when the quorum was last known to follow: the start of that
	// round, or the tick of the election.
	quorumTick int64
}

// leaseTicks is how long after the start of an acknowledged round the lease
// holds: the voters' promise, less the tick by which theirs may be cut short by
// counting whole ticks, less the bound on different tick rates.
func (r *Raft) leaseTicks() int64 {
	return int64((r.cfg.ElectionTicks - 1) * (100 - r.cfg.DriftPercent) / 100)
}

// startRound opens a heartbeat round at the present tick.
func (l *lease) startRound(now int64) {
	l.round++
	l.sentTick = now
	l.open = append(l.open, roundStart{l.round, now})
}

// acknowledged notes that a quorum answered the round.
func (l *lease) acknowledged(round uint64) {
	for len(l.open) > 0 && l.open[0].round <= round {
		l.start = l.open[0].tick
		l.quorumTick = max(l.quorumTick, l.start)
		l.held = true
		l.open = l.open[1:]
	}
}

// observeQuorum brings the lease up to the last round that a quorum answered.
func (r *Raft) observeQuorum() {
	round := r.members.current().quorumValue(func(id uint64) uint64 {
		if id == r.cfg.ID {
			return r.lease.round
		}
		return r.progress[id].ackRound
	})
	r.lease.acknowledged(round)
}

// LeaseUntil returns the tick at which the lease for reads ends; a read is
// allowed while the caller's clock, in ticks, is below it. 0: no lease. The
// caller must compare with the time that really passed, not with the ticks it
// has fed: a process that was frozen has fed too few.
func (r *Raft) LeaseUntil() int64 {
	if r.role != Leader || !r.lease.held || r.log.commit < r.termStart {
		return 0
	}
	return r.lease.start + r.leaseTicks()
}
