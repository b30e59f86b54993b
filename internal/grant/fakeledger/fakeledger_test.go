package fakeledger

import (
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/apply"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// A third host may keep a copy of a transfer from h1 whose answer to h2 was lost. When h1 is
// recovered, h2 is asked and does not have the tokens. When h2 is recovered later, the
// recovery contains the copy. The real ledger ignores it; a fake ledger that applies it
// reports a transfer out of an empty grant.
func TestTransferCopyIgnoredAfterSenderRecovered(t *testing.T) {
	l, real := New(), apply.New(apply.Options{})
	index := uint64(0)
	both := func(cmd *pb.Command) {
		t.Helper()
		index++
		fake := l.Apply(cmd)
		r := real.Apply(index, cmd)
		if fake.GetError() != nil || r.GetError() != nil {
			t.Fatalf("%v: %v, %v", cmd, fake.GetError(), r.GetError())
		}
	}
	only := func(cmd *pb.Command) *pb.CommandResult {
		t.Helper()
		index++
		r := real.Apply(index, cmd)
		if r.GetError() != nil {
			t.Fatalf("%v: %v", cmd, r.GetError())
		}
		return r
	}
	l.Fund("x", 100)
	only(&pb.Command{OpId: "create", Body: &pb.Command_CreateBudget{CreateBudget: &pb.CreateBudget{Name: "x", Tokens: 100}}})
	var holders []*pb.Holder
	for _, name := range []string{"h1", "h2"} {
		r := only(&pb.Command{Body: &pb.Command_RegisterHost{RegisterHost: &pb.RegisterHost{Host: name, Zone: "z", BootId: name}}})
		holders = append(holders, r.GetRegisterHost().GetHolder())
	}
	h1, h2 := holders[0], holders[1]
	both(&pb.Command{Body: &pb.Command_Acquire{Acquire: &pb.Acquire{Holder: h1, Budget: "x", Seq: 1, Need: 40, Want: 40}}})
	only(&pb.Command{Body: &pb.Command_RemoveHost{RemoveHost: &pb.RemoveHost{Host: "h1"}}})
	both(&pb.Command{Body: &pb.Command_RecoverHolder{RecoverHolder: &pb.RecoverHolder{Dead: h1, GatheredFrom: []*pb.Holder{h2}}}})
	only(&pb.Command{Body: &pb.Command_RemoveHost{RemoveHost: &pb.RemoveHost{Host: "h2"}}})
	both(&pb.Command{Body: &pb.Command_RecoverHolder{RecoverHolder: &pb.RecoverHolder{Dead: h2, Transfers: []*pb.Transfer{
		{Id: "h2/1/1", Budget: "x", From: h1, To: h2, Tokens: 15},
	}}}})
	if len(l.Faults) > 0 || l.Budgets["x"].Free() != 100 {
		t.Errorf("fake ledger: faults %v, %d of 100 tokens free, want no faults and 100", l.Faults, l.Budgets["x"].Free())
	}
	r := real.Query(&pb.Query{Body: &pb.Query_Budget{Budget: &pb.BudgetQuery{Name: "x"}}})
	if got := r.GetBudgets()[0]; got.GetBilled() != 0 || len(got.GetGranted()) != 0 {
		t.Errorf("real ledger: %v, want nothing billed or granted", got)
	}
}
