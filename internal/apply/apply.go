// Package apply implements the control group's whole replicated state: settings,
// ledger, claims, fencing numbers, hosts, the routing table and evacuated zones. It is a pure state machine: log records go
// in by index, answers come out, and equal logs yield equal states, answers and
// snapshots. It reads no clock; time comes from the records.
//
// A State is not safe for concurrent use; the replica that owns it locks it. The
// settings.View it returns is immutable and may be shared.
package apply

import (
	"fmt"

	"github.com/bluebellsail/bluebellsail/internal/claims"
	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/evacuation"
	"github.com/bluebellsail/bluebellsail/internal/fence"
	"github.com/bluebellsail/bluebellsail/internal/ledger"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// Options bound the memory of the state. Every replica of a group must use the same
// values, because they determine what is forgotten. A zero field takes the default.
type Options struct {
	Ledger ledger.Options
	// MaxOperations is the number of operators' operations that are remembered with
	// their full answer; default 16,384.
	MaxOperations int
}

// State is the replicated state.
type State struct {
	options     Options
	applied     uint64
	now         int64
	settings    *settings.Machine
	ledger      *ledger.State
	claims      *claims.State
	fence       *fence.State
	routes      *routes.State
	evacuations *evacuation.State
	operations  *operations
}

// New returns an empty state.
func New(o Options) *State {
	defaults.Set(&o.MaxOperations, defaultOperations)
	return &State{
		options:     o,
		settings:    settings.New(),
		ledger:      ledger.New(o.Ledger),
		claims:      claims.New(),
		fence:       fence.New(),
		routes:      routes.NewState(),
		evacuations: evacuation.NewState(),
		operations:  newOperations(o.MaxOperations),
	}
}

// Applied returns the index of the last record applied.
func (s *State) Applied() uint64 { return s.applied }

// Now returns the applied time in Unix milliseconds.
func (s *State) Now() int64 { return s.now }

// View returns the current settings tree.
func (s *State) View() *settings.View { return s.settings.View() }

// Counters returns the ledger's totals of unusual bills.
func (s *State) Counters() ledger.Counters { return s.ledger.Counters() }

// Apply applies the log record at index and returns its answer. It panics if index does
// not increase, because a record would be counted twice.
func (s *State) Apply(index uint64, cmd *pb.Command) *pb.CommandResult {
	if index <= s.applied {
		panic(fmt.Sprintf("apply: record %d after record %d", index, s.applied))
	}
	s.applied = index
	s.now = max(s.now, cmd.GetTimeMs())
	if !remembersAnswer(cmd) {
		return s.execute(index, cmd)
	}
	if first, ok := s.operations.answer(cmd); ok {
		return first
	}
	result := s.execute(index, cmd)
	s.operations.remember(cmd, result)
	return result
}

// execute applies the body of cmd and turns a rejection into the result's error.
func (s *State) execute(index uint64, cmd *pb.Command) *pb.CommandResult {
	result := &pb.CommandResult{Index: index}
	r := ledger.Record{Index: index, Now: s.now, OpID: cmd.GetOpId(), Actor: cmd.GetActor()}
	if err := s.dispatch(r, cmd, result); err != nil {
		result.Error = wire.EncodeError(err)
	}
	return result
}

func (s *State) dispatch(r ledger.Record, cmd *pb.Command, out *pb.CommandResult) error {
	switch body := cmd.GetBody().(type) {
	case *pb.Command_RegisterHost, *pb.Command_RemoveHost, *pb.Command_RecoverHolder:
		return s.applyHost(r, cmd, out)
	case *pb.Command_CreateBudget, *pb.Command_TopUp, *pb.Command_Acquire, *pb.Command_Settle:
		return s.applyLedger(r, cmd, out)
	case *pb.Command_Claim, *pb.Command_FinishClaim:
		return s.applyClaim(r, cmd, out)
	case *pb.Command_SetConfig:
		return s.applyConfig(r, body.SetConfig, out)
	case *pb.Command_ReplaceRoutes:
		return s.applyRoutes(r, body.ReplaceRoutes, out)
	case *pb.Command_PlaceOrder:
		placed, err := s.fence.Place(r.Index, body.PlaceOrder)
		if err == nil {
			out.Body = &pb.CommandResult_PlaceOrder{PlaceOrder: placed}
		}
		return err
	case *pb.Command_SetEvacuation:
		set, err := s.evacuations.Set(evacuation.Record{Index: r.Index, Now: r.Now, Actor: r.Actor}, body.SetEvacuation)
		if err == nil {
			out.Body = &pb.CommandResult_SetEvacuation{SetEvacuation: set}
		}
		return err
	case *pb.Command_NewTerm:
		s.fence.NewTerm(body.NewTerm.GetTerm())
		return nil
	}
	return errkind.New(errkind.BadRequest, "the record has no known body")
}

func (s *State) applyHost(r ledger.Record, cmd *pb.Command, out *pb.CommandResult) error {
	switch body := cmd.Body.(type) {
	case *pb.Command_RegisterHost:
		registered, err := s.ledger.RegisterHost(r, body.RegisterHost)
		if err == nil {
			registered.Evacuations = s.evacuations.Current()
			out.Body = &pb.CommandResult_RegisterHost{RegisterHost: registered}
		}
		return err
	case *pb.Command_RemoveHost:
		return s.ledger.RemoveHost(body.RemoveHost)
	case *pb.Command_RecoverHolder:
		recovered, resend, err := s.ledger.RecoverHolder(r, body.RecoverHolder)
		if err == nil {
			out.Resend = resend
			out.Body = &pb.CommandResult_RecoverHolder{RecoverHolder: recovered}
		}
		return err
	}
	return nil
}

func (s *State) applyLedger(r ledger.Record, cmd *pb.Command, out *pb.CommandResult) error {
	switch body := cmd.Body.(type) {
	case *pb.Command_CreateBudget:
		budget, resend, err := s.ledger.CreateBudget(r, body.CreateBudget)
		return setBudget(out, budget, resend, err)
	case *pb.Command_TopUp:
		budget, resend, err := s.ledger.TopUp(r, body.TopUp)
		return setBudget(out, budget, resend, err)
	case *pb.Command_Acquire:
		acquired, err := s.ledger.Acquire(r, body.Acquire)
		if err == nil {
			out.Body = &pb.CommandResult_Acquire{Acquire: acquired}
		}
		return err
	case *pb.Command_Settle:
		settled, resend, err := s.ledger.Settle(r, body.Settle)
		if err == nil {
			out.Resend = resend
			out.Body = &pb.CommandResult_Settle{Settle: settled}
		}
		return err
	}
	return nil
}

// setBudget stores the answer to a change of funds in out and returns err unchanged.
func setBudget(out *pb.CommandResult, b *pb.Budget, resend bool, err error) error {
	if err == nil {
		out.Resend = resend
		out.Body = &pb.CommandResult_Budget{Budget: b}
	}
	return err
}

func (s *State) applyClaim(r ledger.Record, cmd *pb.Command, out *pb.CommandResult) error {
	var result *pb.ClaimResult
	var err error
	switch body := cmd.Body.(type) {
	case *pb.Command_Claim:
		// A claim of a dead incarnation may arrive late. If it won, nobody would
		// execute the request and no other host could claim it.
		if err := s.ledger.Live(body.Claim.GetHolder()); err != nil {
			return err
		}
		result, err = s.claims.Claim(body.Claim, r.Now)
	case *pb.Command_FinishClaim:
		result, err = s.claims.Finish(body.FinishClaim, r.Now)
	}
	if err == nil {
		out.Body = &pb.CommandResult_Claim{Claim: result}
	}
	return err
}

func (s *State) applyConfig(r ledger.Record, c *pb.SetConfig, out *pb.CommandResult) error {
	result, resend, err := s.settings.Set(c, r.OpID, r.Actor, r.Now)
	out.Resend = resend
	if err != nil {
		return err
	}
	out.Body = &pb.CommandResult_SetConfig{SetConfig: result}
	view := s.settings.View()
	fleetWindow := view.Fleet().IdempotencyWindow.Std()
	s.ledger.SetLimits(fleetWindow, view.LongestTimeout())
	s.claims.SetWindow(fleetWindow)
	return nil
}

// applyRoutes replaces the routing table and funds the budgets of its accounts. Both
// are one record, so that no host serves under a table whose budgets it cannot draw on.
func (s *State) applyRoutes(r ledger.Record, c *pb.ReplaceRoutes, out *pb.CommandResult) error {
	replaced, err := s.routes.Replace(c)
	if err != nil {
		return err
	}
	out.Body = &pb.CommandResult_ReplaceRoutes{ReplaceRoutes: replaced}
	if !replaced.Changed {
		return nil
	}
	for _, a := range s.routes.Current().Table().Accounts {
		if a.Prepaid != nil {
			s.ledger.SetFunds(r, a.Name, a.Name, *a.Prepaid)
		}
	}
	return nil
}
