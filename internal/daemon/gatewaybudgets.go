package daemon

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controller/budgets"
	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/grant"
	"github.com/bluebellsail/bluebellsail/internal/procstat"
)

// asOwner is this host as an owner of keys, once its run is registered.
func (g *gateway) asOwner() (owners.Host, bool) {
	self := g.holder()
	ok := g.servesCallers() && g.grants.Load() != nil && !g.leaving.Load()
	return owners.Host{Name: self.GetHost(), Incarnation: self.GetIncarnation()}, ok
}

func (g *gateway) newBudgets() *budgets.Reserver {
	return budgets.New(budgets.Config{
		Incarnation: g.run, Self: g.holder,
		Local: g.localGrants, Await: g.awaitGrants,
		Owners: g.owners, Client: g.d.pool.Client, Log: g.d.tel.Log,
	})
}

// localGrants are this run's; nil before it is registered.
func (g *gateway) localGrants() budgets.Local {
	if manager := g.grants.Load(); manager != nil {
		return manager
	}
	return nil
}

// startGrace is how old a process is at most whose requests wait for its registration. A
// fleet that lost power has a leader again within it; later the control group is out of
// reach, and callers are told so at once.
const startGrace = 2 * time.Second

// awaitGrants waits for this run's registration while the process starts.
//
// What goes wrong without it: a host that has just started has its routing table a moment
// before its incarnation, and refuses in between what it could serve.
func (g *gateway) awaitGrants(ctx context.Context) budgets.Local {
	ctx, cancel := context.WithDeadline(ctx, procstat.Started.Add(startGrace))
	defer cancel()
	select {
	case <-g.registered:
	case <-ctx.Done():
	}
	return g.localGrants()
}

// contactEvery is how long a gateway goes without a settlement batch. The longer it is, the
// more of their reserves counts as spent when hosts are lost.
const contactEvery = 150 * time.Millisecond

// gatewayHolder bounds the messages of a gateway's holder.
func gatewayHolder(d *Daemon) grant.Config {
	return grant.Config{
		BatchWait:       d.cfg.Timing.SettleEvery.Std(),
		ContactInterval: contactEvery,
		// A batch that a partition held up is sent again soon after it has ended: until two
		// are answered, the loss of this host would cost what it held in reserve.
		ResendMax: 400 * time.Millisecond,
		WallClock: d.env.Wall,
	}
}

// gatewayPolicy is how the owner of a budget holds its tokens.
var gatewayPolicy = grant.Policy{
	// In a partition an owner lives from the open part of its grant until it may use the
	// reserve. What is open is lost with the owner.
	Horizon: 2 * time.Second,
	// A large reserve costs no more than a small one: it opens by its rate, above the demand
	// that is known, for callers come in bursts.
	Reserve:             30 * time.Second,
	ReserveRatePermille: 1300,
	Window:              4 * time.Second,
	IdleReturn:          30 * time.Second,
	MinHistory:          2 * time.Second,
	// Near the end of a budget the open part shrinks with what is left: the loss of all hosts
	// strands it, and 402 would be answered to accounts that have tokens.
	OpenPermille: 400,
	// A part of what is left stays with the ledger, for whoever stands in for an owner. It is
	// small: what an owner lacks in a partition it can't have until the partition ends.
	AtRiskPermille: 900,
}

// policyFor is how this host holds tokens of a budget.
func (g *gateway) policyFor(budget string) grant.Policy {
	p := gatewayPolicy
	if owner, ok := g.owners.Owner(budgets.Key(budget)); !ok || !owner.Self() {
		// Whoever stands in for an owner that gave no answer takes what each request needs. What
		// it held ahead besides would be open at two hosts, and lost twice.
		p.Horizon, p.Reserve, p.IdleReturn = 0, 0, strangerReturn
	}
	return p
}

// strangerReturn is how soon a host returns unused tokens of a budget that it does not own:
// it had them while the owner was out of reach.
const strangerReturn = 2 * time.Second
