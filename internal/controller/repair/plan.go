package repair

import (
	"slices"
	"strings"
	"time"

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

// classify turns the dead holder's requests into bills, or finds that some may still run.
// A request whose usage stays unknown for longer than any may run is billed by its
// reservation: less could let the budget be overspent.
//
// Such guesses come after what is known to have been used. A request that was waiting for
// tokens when its host died has a record and no reservation; billed first it would take the
// tokens of runs whose usage is known, and those would be billed by less than they used.
func (p *plan) classify(now time.Time, longest time.Duration, fateOf func(*pb.InflightRecord) fate) {
	var unknown []*pb.InflightRecord
	for _, rec := range p.requests {
		if finished(rec) {
			p.billFinished(now, rec)
			continue
		}
		f := fateOf(rec)
		age := time.Duration(rec.GetAgeMs()) * time.Millisecond
		switch {
		case f.billedElsewhere:
		case f.known:
			p.bill(now, rec, f.prompt, f.output)
		case f.takenOver || age < longest:
			p.running = append(p.running, rec.GetIdentity())
		default:
			unknown = append(unknown, rec)
		}
	}
	p.billByReservation(now, unknown)
}

// billByReservation bills first those that are known to have been sent to a server.
func (p *plan) billByReservation(now time.Time, unknown []*pb.InflightRecord) {
	slices.SortStableFunc(unknown, func(a, b *pb.InflightRecord) int { return sentRank(a) - sentRank(b) })
	for _, rec := range unknown {
		p.byReservation = append(p.byReservation, rec.GetIdentity())
		p.bill(now, rec, rec.GetReserved(), 0)
	}
}

func sentRank(rec *pb.InflightRecord) int {
	if rec.GetServer() != "" {
		return 0
	}
	return 1
}

func finished(rec *pb.InflightRecord) bool {
	done := rec.GetState() == pb.InflightState_INFLIGHT_STATE_DONE
	return done || rec.GetState() == pb.InflightState_INFLIGHT_STATE_ABANDONED
}

// billFinished bills the usage; a whole answer without a usage is a plain service's, whose
// fixed price is its reservation. A refusal without a usage is billed nothing.
func (p *plan) billFinished(now time.Time, rec *pb.InflightRecord) {
	if !inflight.Billable(rec) {
		return
	}
	prompt, output := rec.GetPromptTokens(), rec.GetOutputTokens()
	if prompt+output == 0 {
		prompt = rec.GetReserved()
	}
	p.bill(now, rec, prompt, output)
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
