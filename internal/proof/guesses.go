package proof

import "github.com/bluebellsail/bluebellsail/internal/pb"

// shortBill is a dead host's bill by a guess that the ledger took in a part only.
type shortBill struct {
	request string
	tokens  uint64
	// released is what the same recovery gave back.
	released uint64
	// overGuessed is what other guesses of the recovery took above the use of their requests.
	overGuessed uint64
}

// explains tells whether the run is billed too little because guesses took the rest of its
// host's tokens: none was released, and they took too much by what is missing or more.
func (s shortBill) explains(r run, billed uint64) bool {
	missing := r.tokens - min(billed, r.tokens)
	return s.request == r.id && s.tokens == billed && s.released == 0 && missing > 0 && s.overGuessed >= missing
}

// noteRecovery notes the guesses that a recovery could not bill in full; f.mu is held.
func (f *fleet) noteRecovery(cmd *pb.RecoverHolder, result *pb.CommandResult) {
	if len(cmd.GetBills()) == 0 || result.GetError() != nil {
		return
	}
	guesses := make(map[string]bool)
	for _, bill := range cmd.GetBills() {
		guesses[bill.GetIdentity()] = bill.GetTokens() == reserved(bill.GetIdentity())
	}
	var capped []*pb.StatementLine
	over := uint64(0)
	q := f.state.Query(&pb.Query{Body: &pb.Query_Statement{Statement: &pb.StatementQuery{Budget: budgetName}}})
	for _, line := range q.GetStatement() {
		if line.GetIndex() != result.GetIndex() || line.GetKind() != "bill" || !guesses[line.GetIdentity()] {
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
		f.short[line.GetIdentity()] = shortBill{
			request: line.GetRequestId(), tokens: line.GetTokens(),
			released: result.GetRecoverHolder().GetReleased(), overGuessed: over,
		}
	}
}
