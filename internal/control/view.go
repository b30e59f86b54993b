package control

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/raft"
)

// view is the consensus state that the loop last published for readers on other
// goroutines.
type view struct {
	id              uint64
	membership      MembershipState
	role            raft.Role
	leader          uint64
	address         string // the leader's address
	term            uint64
	commit          uint64
	leaseEnd        int64 // tick at which the lease for reads ends; 0: none
	confirmation    raft.Confirmation
	members         []raft.MemberStatus
	heardFromQuorum bool // see Replica.HeardFromQuorum
	logBytes        int64
	snapIndex       uint64
}

func (v *view) notLeader() *NotLeaderError {
	return &NotLeaderError{Leader: v.leader, Address: v.address}
}

// quorumContactTimeouts is the number of minimum election timeouts without messages
// from enough voters after which a replica no longer reports a quorum. Without a
// leader, each voter requests votes every one to two of them.
const quorumContactTimeouts = 4

// HeardFromQuorum reports whether this replica is a voter that recently received messages
// from a majority of the voters, itself included, so that they can elect a leader if
// there is none.
func (r *Replica) HeardFromQuorum() bool { return r.view.Load().heardFromQuorum }

// currentView builds the view of the current state. Only the loop calls it.
func (r *Replica) currentView() *view {
	st := r.core.Status()
	v := &view{
		id: st.ID, role: st.Role, leader: st.Leader, term: st.Term, commit: st.Commit,
		leaseEnd: r.core.LeaseUntil(), members: st.Members, logBytes: r.logBytes, snapIndex: r.snapIndex,
		membership: MembershipNone, confirmation: r.core.Confirmed(),
		heardFromQuorum: r.formation == nil && r.core.HeardFromQuorum(int64(quorumContactTimeouts*r.cfg.ElectionTicks)),
	}
	for _, m := range st.Members {
		if m.Member.Id == st.Leader {
			v.address = m.Member.Address
		}
		if m.Member.Id == st.ID {
			v.membership = membershipOf(m.Member)
		}
	}
	if r.formation != nil {
		v.membership = MembershipForming
	}
	return v
}

// publish makes the current consensus state visible to readers and, when leadership was
// lost, fails the pending proposals.
func (r *Replica) publish() {
	v := r.currentView()
	r.view.Store(v)
	r.updateLeadership(v)
	r.logLeaderChange(v)
	if v.role == r.role {
		return
	}
	if r.role == raft.Leader {
		r.failPending("leadership was lost")
	}
	r.role = v.role
	if v.role == raft.Leader {
		r.ledSince = r.core.Now()
		r.metrics.Elected.Add(1)
		r.log.Info().Uint64("term", v.term).Uint64("replica", v.id).Str("event", "became-leader").Send()
	}
	if v.role == raft.Follower {
		r.log.Info().Uint64("term", v.term).Uint64("leader", v.leader).Str("event", "became-follower").Send()
	}
}

// logLeaderChange logs a change of the known leader, and for how long none was known: a
// group without a leader commits nothing and confirms nothing, whatever else works.
func (r *Replica) logLeaderChange(v *view) {
	if v.leader == r.leader {
		return
	}
	was := r.leader
	r.leader = v.leader
	if v.leader == 0 {
		r.leaderlessSince = r.cfg.Now()
		r.log.Info().Uint64("term", v.term).Uint64("was", was).Str("event", "leader-lost").Send()
		return
	}
	without := time.Duration(0)
	if was == 0 {
		without = r.cfg.Now().Sub(r.leaderlessSince)
	}
	r.log.Info().Uint64("term", v.term).Uint64("leader", v.leader).Uint64("was", was).Dur("without", without).
		Str("event", "leader-known").Send()
}

// hasLease reports whether the lease for reads is valid at this moment.
func (r *Replica) hasLease(v *view) bool {
	// The current time is read from the clock. The ticks passed to the consensus stand
	// still while the process is suspended or the disk hangs, and a lease measured in
	// them would outlast another leader's election.
	return v.leaseEnd > 0 && r.cfg.Now().Sub(r.start) < time.Duration(v.leaseEnd)*r.cfg.TickInterval
}

// Status returns this replica's view of the group. The status of each member is known
// at the leader only.
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
