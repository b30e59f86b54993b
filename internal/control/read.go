package control

import (
	"context"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/raft"
)

// Read answers a query from the leader's state, linearizably: the answer reflects every
// command whose proposer was answered before the call. Without a lease the read is
// rejected.
func (r *Replica) Read(ctx context.Context, q *pb.Query) (*pb.QueryResult, error) {
	if err := r.waitReadable(ctx); err != nil {
		r.metrics.ReadsRefused.Add(1)
		return nil, err
	}
	if q.GetMembers() != nil {
		return &pb.QueryResult{Group: r.Status()}, nil
	}
	res := r.query(q)
	r.registrations.describe(res.GetHosts(), r.cfg.Now())
	return res, nil
}

// waitReadable returns once the state contains everything committed at some moment
// during the call at which this replica certainly led.
func (r *Replica) waitReadable(ctx context.Context) error {
	v := r.view.Load()
	if v.role != raft.Leader {
		return v.notLeader()
	}
	if !r.hasLease(v) {
		return errNoLease()
	}
	return r.waitApplied(ctx, v.commit)
}

func (r *Replica) waitApplied(ctx context.Context, index uint64) error {
	for {
		r.stateMu.RLock()
		applied, ch := r.applied, r.appliedCh
		r.stateMu.RUnlock()
		if applied >= index {
			return nil
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return errkind.New(errkind.NoQuorum, "the replica did not apply all committed entries before the deadline").WithRan(errkind.RanNo)
		case <-r.stopped:
			return &NotLeaderError{}
		}
	}
}

// query answers from this replica's state, however old it is.
func (r *Replica) query(q *pb.Query) *pb.QueryResult {
	r.stateMu.RLock()
	defer r.stateMu.RUnlock()
	return r.cfg.StateMachine.Query(q)
}

// Routes returns the routing table that this replica has applied, and whether a leader
// with a lease recently confirmed that nothing newer was committed. While the replica
// has many entries to apply, as after a start, it returns an empty table.
//
// Otherwise hosts that started together with the replicas would fetch the intermediate
// tables of the replay: they decoded hundreds of them and served under tables that had
// been replaced a minute before.
func (r *Replica) Routes() (table *pb.Routes, confirmed bool) {
	if r.lagging.Load() {
		return &pb.Routes{}, false
	}
	confirmed = r.confirmed()
	table = r.query(&pb.Query{Body: &pb.Query_Routes{Routes: &pb.RoutesQuery{}}}).GetRoutes()
	return table, confirmed
}

// Evacuations returns the evacuated availability zones that this replica has applied. Called after
// Routes, it is as new as the table that Routes returned. While the replica has many entries to apply
// it returns an empty set of revision 0.
func (r *Replica) Evacuations() *pb.Evacuations {
	if r.lagging.Load() {
		return &pb.Evacuations{}
	}
	return r.query(&pb.Query{Body: &pb.Query_Evacuations{Evacuations: &pb.EvacuationsQuery{}}}).GetEvacuations()
}
