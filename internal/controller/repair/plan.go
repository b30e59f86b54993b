package repair

import (
	"slices"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/filter/parse"
	"github.com/bluebellsail/bluebellsail/internal/inflight"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// plan is what the gathered answers say about one dead incarnation. It is pure.
type plan struct {
	dead          *pb.Holder
	requests      []*pb.InflightRecord
	transfers     []*pb.Transfer
	bills         []*pb.Bill
	byReservation []string
	running       []string
	ended         []ended
}

// fate is what became of a request that was running when its host died.
type fate struct {
	// billedElsewhere: another host took it over, finished it and bills it.
	billedElsewhere bool
	// takenOver: another host runs it.
	takenOver bool
	// known: the backend server has finished it with this usage.
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
	void := make(map[string]bool)
	var candidates []*pb.Transfer
	for _, id := range ids {
		rec := newest[id]
		abandoned := rec.GetState() == pb.InflightState_INFLIGHT_STATE_ABANDONED
		if t := rec.GetTransfer(); t != nil {
			void[t.GetId()] = abandoned
			candidates = append(candidates, t)
			continue
		}
		unused := abandoned && !inflight.Billable(rec)
		if same(rec.GetHolder(), dead) && !unused {
			p.requests = append(p.requests, rec)
		}
	}
	p.addTransfers(candidates, void, acceptedBy(replies), live)
	return p
}

// newestRecords keeps the newest version of each record, by request id.
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

// acceptedBy is the transfers that live receivers took, by id.
func acceptedBy(replies []*pb.GatherReply) map[string]*pb.Transfer {
	accepted := make(map[string]*pb.Transfer)
	for _, reply := range replies {
		for _, t := range reply.GetTransfers() {
			accepted[t.GetId()] = t
		}
	}
	return accepted
}

// addTransfers decides which transfers the ledger must count before it releases.
//
// To the dead holder: all that were not undone, since the giver has deducted them.
// From it: a living receiver knows what it accepted, and refuses the rest from now on. Of
// a receiver that is dead too, all are counted; its own recovery releases them.
func (p *plan) addTransfers(candidates []*pb.Transfer, void map[string]bool, accepted map[string]*pb.Transfer, live []*pb.Holder) {
	counted := make(map[string]bool)
	for _, t := range candidates {
		fromDead := same(t.GetFrom(), p.dead)
		_, took := accepted[t.GetId()]
		if void[t.GetId()] || fromDead && isLive(t.GetTo(), live) && !took {
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
	return slices.ContainsFunc(live, func(l *pb.Holder) bool { return same(l, h) })
}

// classify finds out how the dead holder's requests ended, or that some may still run.
// longest is the longest time that a request may run whose deadline is not known, margin
// is added to either.
func (p *plan) classify(now time.Time, longest, margin time.Duration, fateOf func(*pb.InflightRecord) fate) {
	for _, rec := range p.requests {
		if finished(rec) {
			p.addFinished(rec)
			continue
		}
		f := fateOf(rec)
		age := time.Duration(rec.GetAgeMs()) * time.Millisecond
		switch {
		case f.billedElsewhere:
		case f.known && takenOverRun(rec):
			p.add(rec, readRun, f.prompt, f.output)
		case f.known:
			p.add(rec, ownRun, f.prompt, f.output)
		case f.takenOver:
			p.running = append(p.running, rec.GetIdentity())
		case fixedPrice(rec):
			p.add(rec, sentToServer, rec.GetReserved(), 0)
		case age < mayRun(rec, longest)+margin:
			p.running = append(p.running, rec.GetIdentity())
		case rec.GetServer() != "":
			p.add(rec, sentToServer, rec.GetReserved(), 0)
		default:
			p.add(rec, notSent, rec.GetReserved(), 0)
		}
	}
}

// mayRun is how long after its arrival a request may run.
func mayRun(rec *pb.InflightRecord, longest time.Duration) time.Duration {
	if t := rec.GetTimeoutMs(); t > 0 {
		return min(longest, time.Duration(t)*time.Millisecond)
	}
	return longest
}

// fixedPrice tells whether the request was sent to a plain service: what it costs does
// not depend on how it ends.
func fixedPrice(rec *pb.InflightRecord) bool {
	return rec.GetServer() != "" && strings.HasPrefix(rec.GetPath(), parse.PrefixServices)
}

// knowledge is how well the end of a request is known, the best first. From sentToServer
// on its usage is not known and it is billed by its reservation: less could let the budget
// be overspent.
type knowledge int

const (
	finishedHere knowledge = iota
	// ownRun: the backend server tells the usage of a run that this holder started.
	ownRun
	// readRun: it tells that of a run which this holder took over to read.
	readRun
	sentToServer
	notSent
)

// ended is a request of the dead holder that runs no more.
type ended struct {
	rec            *pb.InflightRecord
	known          knowledge
	prompt, output uint64
}

func (p *plan) add(rec *pb.InflightRecord, known knowledge, prompt, output uint64) {
	p.ended = append(p.ended, ended{rec, known, prompt, output})
}

// takenOverRun tells whether the record's run was started under another request's id. A record
// that names no run is of a request that was still looking for a server.
func takenOverRun(rec *pb.InflightRecord) bool {
	return rec.GetEngineRequestId() != "" && !strings.HasPrefix(rec.GetEngineRequestId(), rec.GetRequestId())
}

// certain tells whether no other dead holder can know more of these requests.
func (p *plan) certain() bool {
	return !slices.ContainsFunc(p.ended, func(e ended) bool { return e.known > ownRun })
}

// bestKnown is the best knowledge of each identity over all dead incarnations.
func bestKnown(plans []*plan) map[string]knowledge {
	best := make(map[string]knowledge)
	note := func(identity string, k knowledge) {
		if known, ok := best[identity]; !ok || k < known {
			best[identity] = k
		}
	}
	for _, p := range plans {
		for _, e := range p.ended {
			note(e.rec.GetIdentity(), e.known)
		}
		for _, identity := range p.running {
			note(identity, ownRun) // a later look will know
		}
	}
	return best
}

// billAll makes the bills, those of the best known first, and none for an identity that
// another dead holder knows more of.
//
// A request that was waiting for tokens when its host died has a record and no
// reservation. Billed first, it would take the tokens of runs that are known, which would
// then be billed by less than they used; and if the caller had tried another host before,
// which is dead too, it would make a duplicate of the bill for the run there.
func (p *plan) billAll(now time.Time, best map[string]knowledge) {
	slices.SortStableFunc(p.ended, func(a, b ended) int { return int(a.known - b.known) })
	for _, e := range p.ended {
		if best[e.rec.GetIdentity()] < e.known {
			continue
		}
		if e.known >= sentToServer {
			p.byReservation = append(p.byReservation, e.rec.GetIdentity())
		}
		p.bill(now, e.rec, e.prompt, e.output)
	}
}

func finished(rec *pb.InflightRecord) bool {
	done := rec.GetState() == pb.InflightState_INFLIGHT_STATE_DONE
	return done || rec.GetState() == pb.InflightState_INFLIGHT_STATE_ABANDONED
}

// addFinished notes the usage; a whole answer without a usage is a plain service's, whose
// fixed price is its reservation. A refusal without a usage is billed nothing.
func (p *plan) addFinished(rec *pb.InflightRecord) {
	if !inflight.Billable(rec) {
		return
	}
	prompt, output := rec.GetPromptTokens(), rec.GetOutputTokens()
	if prompt+output == 0 {
		prompt = rec.GetReserved()
	}
	p.add(rec, finishedHere, prompt, output)
}

func (p *plan) bill(now time.Time, rec *pb.InflightRecord, prompt, output uint64) {
	arrived := now.Add(-time.Duration(rec.GetAgeMs()) * time.Millisecond)
	p.bills = append(p.bills, &pb.Bill{
		Budget: rec.GetBudget(), Identity: rec.GetIdentity(), RequestId: rec.GetRequestId(), Team: rec.GetTeam(),
		Tokens:       min(prompt+output, rec.GetReserved()),
		PromptTokens: prompt, OutputTokens: output, TimeMs: arrived.UnixMilli(),
	})
}

// command is the proposal. A resend is harmless: a holder is recovered once.
func (p *plan) command(gathered []*pb.Holder) *pb.Command {
	return &pb.Command{
		Body: &pb.Command_RecoverHolder{RecoverHolder: &pb.RecoverHolder{
			Dead: p.dead, Bills: p.bills, Transfers: p.transfers, GatheredFrom: gathered,
		}},
	}
}
