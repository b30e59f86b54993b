package daemon

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controller/budgets"
	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/grant"
	"github.com/bluebellsail/bluebellsail/internal/procstat"
)

// asOwner returns this host as an owner of keys; ok is false until it is registered.
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
		HoldsTokens: g.link.holdsTokens, Exhausted: g.link.tokensExhausted,
	})
}

// localGrants returns this host's grants; nil before it is registered.
func (g *gateway) localGrants() budgets.Local {
	if manager := g.grants.Load(); manager != nil {
		return manager
	}
	return nil
}

// registrationGrace is the age of a process up to which its requests wait for its registration. A
// fleet that restarts after a power loss elects a leader within this time. After it, the
// control group is considered unreachable and requests are rejected at once.
const registrationGrace = 2 * time.Second

// awaitGrants waits for this host's registration while the process starts. A host that has
// just started has its routing table a moment before its incarnation; without the wait, it
// would reject requests in between that it could serve.
func (g *gateway) awaitGrants(ctx context.Context) budgets.Local {
	ctx, cancel := context.WithDeadline(ctx, procstat.Started.Add(registrationGrace))
	defer cancel()
	select {
	case <-g.registered:
	case <-ctx.Done():
	}
	return g.localGrants()
}

// contactEvery is the longest time between a gateway's settlement batches. The longer it is,
// the more of the reserves counts as spent when hosts are lost.
const contactEvery = 150 * time.Millisecond

const (
	// maxBatchesPerSecond bounds the settlement batches of all hosts together: each one is an entry in the log of the
	// control group.
	maxBatchesPerSecond = 700
	// maxBatchWait bounds the wait that a fleet's size calls for: a batch that waits is contact that is missing when
	// hosts are lost.
	maxBatchWait = 600 * time.Millisecond
)

// minBatchWait returns the time that the batches of this host wait at least: the longer, the more hosts hold tokens.
// Each client account has one holder.
func (g *gateway) minBatchWait() time.Duration {
	return fleetBatchWait(min(g.routes.Accounts(), g.gateways()))
}

func fleetBatchWait(holders int) time.Duration {
	return min(time.Duration(holders)*time.Second/maxBatchesPerSecond, maxBatchWait)
}

// gatewayHolder returns the configuration of a gateway's grant holder.
func gatewayHolder(d *Daemon, minBatchWait func() time.Duration) grant.Config {
	return grant.Config{
		BatchWait:       d.cfg.Timing.SettleEvery.Std(),
		MinBatchWait:    minBatchWait,
		ContactInterval: contactEvery,
		// A batch that was delayed by a partition is resent soon after the partition ends:
		// until two batches are answered, the loss of this host would strand its reserve.
		ResendMax: 400 * time.Millisecond,
		WallClock: d.env.Wall,
	}
}

// gatewayPolicy is the grant policy of the owner of a budget.
var gatewayPolicy = grant.Policy{
	// In a partition an owner spends the open part of its grant until it may use the reserve. The
	// open part has to cover that time also in a burst, or requests wait for the reserve. It is lost
	// with the owner.
	Horizon: 4 * time.Second,
	// A large reserve costs no more than a small one, since it opens at its rate. The rate is
	// above the known demand because callers come in bursts.
	Reserve:             30 * time.Second,
	ReserveRatePermille: 1300,
	Window:              4 * time.Second,
	IdleReturn:          30 * time.Second,
	MinHistory:          2 * time.Second,
	// Near the end of a budget the open part shrinks with what is left: the loss of all hosts
	// strands the open part, and accounts that have tokens would get status 402.
	OpenPermille: 200,
	// A part of what is left stays with the ledger for a backup owner. It is small, since an
	// owner in a partition can't get more tokens until the partition ends.
	AtRiskPermille: 900,
}

// policyFor returns the policy under which this host holds tokens of a budget.
func (g *gateway) policyFor(budget string) grant.Policy {
	p := gatewayPolicy
	if owner, ok := g.owners.Owner(budgets.Key(budget)); !ok || !owner.Self() {
		// A backup owner gets only the tokens that each request needs. Tokens that it held in
		// advance would be open at two hosts, and would be stranded twice.
		p.Horizon, p.Reserve, p.IdleReturn = 0, 0, nonOwnerIdleReturn
		if g.link.holds(budget) {
			p.Horizon, p.OpenPermille = aheadHorizon, aheadPermille
		}
	}
	return p
}

// nonOwnerIdleReturn is how soon a host returns unused tokens of a budget that it does not own.
// It got them as a backup owner while the owner was unreachable.
const nonOwnerIdleReturn = 2 * time.Second
