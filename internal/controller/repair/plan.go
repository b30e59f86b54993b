package repair

import (
	"slices"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/filter/parse"
	"github.com/bluebellsail/bluebellsail/internal/inflight"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// plan is the recovery plan for one dead incarnation, made from the gathered replies. It is pure.
type plan struct {
	dead          *pb.Holder
	requests      []*pb.InflightRecord
	transfers     []*pb.Transfer
	bills         []*pb.Bill
	byReservation []string
	running       []string
	ended         []endedRequest
}

// outcome is what happened to a request that was running when its host died.
type outcome struct {
	// billedElsewhere: another host took the request over, finished it and bills it.
	billedElsewhere bool
	// takenOver: another host runs the request.
	takenOver bool
	// known: the backend server has finished the request with this usage.
	known          bool
	prompt, output uint64
}

func newPlan(dead *pb.Holder, live []*pb.Holder, replies []*pb.GatherReply) *plan {
	p := &plan{dead: dead}
	newest := newestRecords(replies)
	ids := make([]string, 0, len(newest))
	for id := range newest {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	undone := make(map[string]bool)
	var candidates []*pb.Transfer
	for _, id := range ids {
		rec := newest[id]
		abandoned := rec.GetState() == pb.InflightState_INFLIGHT_STATE_ABANDONED
		if t := rec.GetTransfer(); t != nil {
			undone[t.GetId()] = abandoned
			candidates = append(candidates, t)
			continue
		}
		unused := abandoned && !inflight.Billable(rec)
		if sameHolder(rec.GetHolder(), dead) && !unused {
			p.requests = append(p.requests, rec)
		}
	}
	p.addTransfers(candidates, undone, acceptedBy(replies), live)
	return p
}

// newestRecords returns the newest version of each record, keyed by request ID.
func newestRecords(replies []*pb.GatherReply) map[string]*pb.InflightRecord {
	newest := make(map[string]*pb.InflightRecord)
	for _, reply := range replies {
		for _, rec := range reply.GetRecords() {
			known := newest[rec.GetRequestId()]
			if known == nil || rec.GetVersion() > known.GetVersion() {
				newest[rec.GetRequestId()] = rec
			}
		}
	}
	return newest
}

// acceptedBy returns the transfers that live receivers accepted, keyed by transfer ID.
func acceptedBy(replies []*pb.GatherReply) map[string]*pb.Transfer {
	accepted := make(map[string]*pb.Transfer)
	for _, reply := range replies {
		for _, t := range reply.GetTransfers() {
			accepted[t.GetId()] = t
		}
	}
	return accepted
}

// addTransfers decides which transfers the ledger must count before it releases tokens.
//
// All transfers to the dead holder that were not undone are counted, since their senders have
// deducted them. Of the transfers from the dead holder, a live receiver knows those that it
// accepted, and rejects the others from now on. If the receiver is dead too, all are counted,
// and its own recovery releases them.
func (p *plan) addTransfers(candidates []*pb.Transfer, undone map[string]bool, accepted map[string]*pb.Transfer, live []*pb.Holder) {
	counted := make(map[string]bool)
	for _, t := range candidates {
		fromDead := sameHolder(t.GetFrom(), p.dead)
		_, took := accepted[t.GetId()]
		if undone[t.GetId()] || fromDead && isLive(t.GetTo(), live) && !took {
			continue
		}
		counted[t.GetId()] = true
		p.transfers = append(p.transfers, t)
	}
	for id, t := range accepted {
		if !counted[id] {
			p.transfers = append(p.transfers, t)
		}
	}
	slices.SortFunc(p.transfers, func(a, b *pb.Transfer) int { return strings.Compare(a.GetId(), b.GetId()) })
}

func isLive(h *pb.Holder, live []*pb.Holder) bool {
	return slices.ContainsFunc(live, func(l *pb.Holder) bool { return sameHolder(l, h) })
}

// classify finds out how the dead holder's requests ended, and which may still run. longest is
// the time that a request without a known timeout may run. margin is added to this time, or to the
// request's own timeout.
func (p *plan) classify(now time.Time, longest, margin time.Duration, outcomeOf func(*pb.InflightRecord) outcome) {
	for _, rec := range p.requests {
		if finished(rec) {
			p.addFinished(rec)
			continue
		}
		o := outcomeOf(rec)
		age := time.Duration(rec.GetAgeMs()) * time.Millisecond
		switch {
		case o.billedElsewhere:
		case o.known && isTakenOver(rec):
			p.add(rec, takenOverExecution, o.prompt, o.output)
		case o.known:
			p.add(rec, ownExecution, o.prompt, o.output)
		case o.takenOver:
			p.running = append(p.running, rec.GetIdentity())
		case hasFixedPrice(rec):
			p.add(rec, sentToServer, rec.GetReserved(), 0)
		case age < maxRunTime(rec, longest)+margin:
			p.running = append(p.running, rec.GetIdentity())
		case rec.GetServer() != "":
			p.add(rec, sentToServer, rec.GetReserved(), 0)
		default:
			p.add(rec, notSent, rec.GetReserved(), 0)
		}
	}
}

// maxRunTime returns how long after its arrival a request may run.
func maxRunTime(rec *pb.InflightRecord, longest time.Duration) time.Duration {
	if t := rec.GetTimeoutMs(); t > 0 {
		return min(longest, time.Duration(t)*time.Millisecond)
	}
	return longest
}

// hasFixedPrice reports whether the request was sent to a plain service. Its price does not
// depend on how it ends.
func hasFixedPrice(rec *pb.InflightRecord) bool {
	return rec.GetServer() != "" && strings.HasPrefix(rec.GetPath(), parse.PrefixServices)
}

// certainty is how well the end of a request is known, the best first. From sentToServer
// on, its usage is not known and it is billed by its reservation; billing less could let the
// budget be overspent.
type certainty int

const (
	finishedRecord certainty = iota
	// ownExecution: the backend server reports the usage of an execution that this holder started.
	ownExecution
	// takenOverExecution: the server reports the usage of an execution whose answer this holder
	// had taken over.
	takenOverExecution
	sentToServer
	notSent
)

// endedRequest is a request of the dead holder that no longer runs.
type endedRequest struct {
	rec            *pb.InflightRecord
	certainty      certainty
	prompt, output uint64
}

func (p *plan) add(rec *pb.InflightRecord, c certainty, prompt, output uint64) {
	p.ended = append(p.ended, endedRequest{rec, c, prompt, output})
}

// isTakenOver reports whether the record's execution was started under another request's ID. A
// record without an execution belongs to a request that was still waiting for a server.
func isTakenOver(rec *pb.InflightRecord) bool {
	return rec.GetEngineRequestId() != "" && !strings.HasPrefix(rec.GetEngineRequestId(), rec.GetRequestId())
}

// certain reports whether no other dead holder can know more about these requests.
func (p *plan) certain() bool {
	return !slices.ContainsFunc(p.ended, func(e endedRequest) bool { return e.certainty > ownExecution })
}

// bestCertainty returns the best certainty of each identity over all dead incarnations.
func bestCertainty(plans []*plan) map[string]certainty {
	best := make(map[string]certainty)
	note := func(identity string, c certainty) {
		if known, ok := best[identity]; !ok || c < known {
			best[identity] = c
		}
	}
	for _, p := range plans {
		for _, e := range p.ended {
			note(e.rec.GetIdentity(), e.certainty)
		}
		for _, identity := range p.running {
			note(identity, ownExecution) // a later Reconcile will know its usage
		}
	}
	return best
}

// billAll makes the bills, those of the greatest certainty first. It makes none for an identity
// whose end another dead holder knows with greater certainty.
//
// A request that was waiting for tokens when its host died has a record and no reservation.
// If it were billed first, it would take tokens of executions whose usage is known, which
// would then be billed for less than they used. If the caller had tried another host before,
// which is dead too, it would also turn the bill for the execution there into a duplicate.
func (p *plan) billAll(now time.Time, best map[string]certainty) {
	slices.SortStableFunc(p.ended, func(a, b endedRequest) int { return int(a.certainty - b.certainty) })
	for _, e := range p.ended {
		if best[e.rec.GetIdentity()] < e.certainty {
			continue
		}
		if e.certainty >= sentToServer {
			p.byReservation = append(p.byReservation, e.rec.GetIdentity())
		}
		p.bill(now, e.rec, e.prompt, e.output)
	}
}

func finished(rec *pb.InflightRecord) bool {
	done := rec.GetState() == pb.InflightState_INFLIGHT_STATE_DONE
	return done || rec.GetState() == pb.InflightState_INFLIGHT_STATE_ABANDONED
}

// addFinished adds a finished request with its usage. A complete answer without usage comes
// from a plain service, whose fixed price is the reservation. A refusal without usage is not billed.
func (p *plan) addFinished(rec *pb.InflightRecord) {
	if !inflight.Billable(rec) {
		return
	}
	prompt, output := rec.GetPromptTokens(), rec.GetOutputTokens()
	if prompt+output == 0 {
		prompt = rec.GetReserved()
	}
	p.add(rec, finishedRecord, prompt, output)
}

func (p *plan) bill(now time.Time, rec *pb.InflightRecord, prompt, output uint64) {
	arrived := now.Add(-time.Duration(rec.GetAgeMs()) * time.Millisecond)
	p.bills = append(p.bills, &pb.Bill{
		Budget: rec.GetBudget(), Identity: rec.GetIdentity(), RequestId: rec.GetRequestId(), Team: rec.GetTeam(),
		Tokens:       min(prompt+output, rec.GetReserved()),
		PromptTokens: prompt, OutputTokens: output, TimeMs: arrived.UnixMilli(),
	})
}

// command returns the command to propose. Proposing it twice is harmless, since a holder is
// recovered only once.
func (p *plan) command(gathered []*pb.Holder) *pb.Command {
	return &pb.Command{
		Body: &pb.Command_RecoverHolder{RecoverHolder: &pb.RecoverHolder{
			Dead: p.dead, Bills: p.bills, Transfers: p.transfers, GatheredFrom: gathered,
		}},
	}
}
