package control

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/raft"
)

// view is what the loop last published of the consensus state, for readers on
// other goroutines.
type view struct {
	id        uint64
	standing  MembershipState
	role      raft.Role
	leader    uint64
	address   string // leader's
	term      uint64
	commit    uint64
	leaseEnd  int64 // tick at which the lease for reads ends; 0: none
	confirm   raft.Confirmation
	members   []raft.MemberStatus
	hears     bool // a quorum, see HearsQuorum
	logBytes  int64
	snapIndex uint64
}

func (v *view) notLeader() *NotLeaderError {
	return &NotLeaderError{Leader: v.leader, Address: v.address}
}

// quorumTimeouts is for how many election timeouts a replica that hears too few others goes on
// to say that it hears a quorum. Without a leader each asks for votes every one to two.
const quorumTimeouts = 4

// HearsQuorum tells whether this replica is a voter that has heard enough others lately for a
// leader to be elected among them, if there is none.
func (r *Replica) HearsQuorum() bool { return r.view.Load().hears }

// currentView builds the view of this moment. Only the loop calls it.
func (r *Replica) currentView() *view {
	st := r.core.Status()
	v := &view{
		id: st.ID, role: st.Role, leader: st.Leader, term: st.Term, commit: st.Commit,
		leaseEnd: r.core.LeaseUntil(), members: st.Members, logBytes: r.wal.Bytes(), snapIndex: r.snapIndex,
		standing: MembershipNone, confirm: r.core.Confirmed(),
		hears: r.formation == nil && r.core.HeardFromQuorum(int64(quorumTimeouts*r.cfg.ElectionTicks)),
	}
	for _, m := range st.Members {
		if m.Member.Id == st.Leader {
			v.address = m.Member.Address
		}
		if m.Member.Id == st.ID {
			v.standing = memberStanding(m.Member)
		}
	}
	if r.formation != nil {
		v.standing = MembershipForming
	}
	return v
}

// publish makes the present consensus state visible to readers and ends what
// hung on a leadership that is over.
func (r *Replica) publish() {
	v := r.currentView()
	r.view.Store(v)
	r.noteLeadership(v)
	r.noteLeader(v)
	if v.role == r.role {
		return
	}
	if r.role == raft.Leader {
		r.failPending("leadership was lost")
	}
	r.role = v.role
	if v.role == raft.Leader {
		r.metrics.Elected.Add(1)
		r.log.Info().Uint64("term", v.term).Uint64("replica", v.id).Str("event", "became-leader").Send()
	}
	if v.role == raft.Follower {
		r.log.Info().Uint64("term", v.term).Uint64("leader", v.leader).Str("event", "became-follower").Send()
	}
}

// noteLeader tells of a leader that this replica hears of, and how long it knew of none: a
// group without a leader commits nothing and confirms nothing, whatever else works.
func (r *Replica) noteLeader(v *view) {
	if v.leader == r.leader {
		return
	}
	was := r.leader
	r.leader = v.leader
	if v.leader == 0 {
		r.leaderless = r.cfg.Now()
		r.log.Info().Uint64("term", v.term).Uint64("was", was).Str("event", "leader-lost").Send()
		return
	}
	without := time.Duration(0)
	if was == 0 {
		without = r.cfg.Now().Sub(r.leaderless)
	}
	r.log.Info().Uint64("term", v.term).Uint64("leader", v.leader).Uint64("was", was).Dur("without", without).
		Str("event", "leader-known").Send()
}

// leased tells whether a lease for reads holds at this moment.
func (r *Replica) leased(v *view) bool {
	// The clock is asked now. Ticks fed to the consensus stand still while the
	// process is frozen or the disk hangs, and a lease counted in them would
	// outlive another leader's election.
	return v.leaseEnd > 0 && r.cfg.Now().Sub(r.start) < time.Duration(v.leaseEnd)*r.cfg.TickInterval
}

// Status is this replica's view of the group; the members' state is known at the leader only.
func (r *Replica) Status() *pb.GroupStatus {
	v := r.view.Load()
	r.stateMu.RLock()
	applied := r.applied
	r.stateMu.RUnlock()
	st := &pb.GroupStatus{
		Leader: v.leader, Term: v.term, Commit: v.commit, Applied: applied, Self: v.id,
		LogBytes: uint64(v.logBytes), SnapshotIndex: v.snapIndex,
	}
	for _, m := range v.members {
		st.Members = append(st.Members, &pb.MemberStatus{
			Member: m.Member, Match: m.Match, Active: m.Active, Repaired: m.Repaired,
		})
	}
	return st
}
