package proof

import "github.com/bluebellsail/bluebellsail/internal/pb"

// partialBill is an estimated bill of a dead host that the ledger accepted only in part.
type partialBill struct {
	request string
	tokens  uint64
	// released is the number of tokens that the same recovery freed.
	released uint64
	// overEstimated is the number of tokens by which other estimated bills of the recovery
	// exceeded the use of their requests.
	overEstimated uint64
}

// explains reports whether the run is billed too little because other estimated bills took
// the rest of its host's tokens: none were released, and these bills were too high by at
// least the missing amount.
func (s partialBill) explains(r run, billed uint64) bool {
	missing := r.tokens - min(billed, r.tokens)
	return s.request == r.id && s.tokens == billed && s.released == 0 && missing > 0 && s.overEstimated >= missing
}

// recordEstimates records the estimated bills that a recovery could not bill in full; f.mu is
// held.
func (f *fleet) recordEstimates(cmd *pb.RecoverHolder, result *pb.CommandResult) {
	if len(cmd.GetBills()) == 0 || result.GetError() != nil {
		return
	}
	estimates := make(map[string]bool)
	for _, bill := range cmd.GetBills() {
		estimates[bill.GetIdentity()] = bill.GetTokens() == reserved(bill.GetIdentity())
	}
	var capped []*pb.StatementLine
	over := uint64(0)
	q := f.state.Query(&pb.Query{Body: &pb.Query_Statement{Statement: &pb.StatementQuery{Budget: budgetName}}})
	for _, line := range q.GetStatement() {
		if line.GetIndex() != result.GetIndex() || line.GetKind() != "bill" || !estimates[line.GetIdentity()] {
			continue
		}
		if line.GetNote() == "capped" {
			capped = append(capped, line)
			continue
		}
		ran := uint64(0)
		if runs := f.engine.runs(line.GetIdentity()); len(runs) > 0 {
			ran = runs[0].tokens
		}
		over += line.GetTokens() - min(ran, line.GetTokens())
	}
	for _, line := range capped {
		f.partialBills[line.GetIdentity()] = partialBill{
			request: line.GetRequestId(), tokens: line.GetTokens(),
			released: result.GetRecoverHolder().GetReleased(), overEstimated: over,
		}
	}
}
