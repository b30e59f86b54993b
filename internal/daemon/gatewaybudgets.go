package daemon

import (
	"github.com/bluebellsail/bluebellsail/internal/controller/budgets"
	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/grant"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
)

// givers is how many hosts are asked for tokens of a budget by one that can't get any
// from the ledger: those that owned it before a host joined or left.
const givers = 3

// asOwner is this host as an owner of keys, once its run is registered.
func (g *gateway) asOwner() (owners.Host, bool) {
	self := g.holder()
	ok := g.d.cfg.Has(procconfig.RoleGateway) && g.grants.Load() != nil && !g.leaving.Load()
	return owners.Host{Name: self.GetHost(), Incarnation: self.GetIncarnation()}, ok
}

func (g *gateway) newBudgets() *budgets.Desk {
	return budgets.New(budgets.Config{
		Run: g.run, Self: g.holder,
		Local: func() budgets.Local {
			if manager := g.grants.Load(); manager != nil {
				return manager
			}
			return nil
		},
		Owners: g.owners, Client: g.d.pool.Client, Log: g.d.tel.Log,
	})
}

// policyFor is how this host holds tokens of a budget.
func (g *gateway) policyFor(budget string) grant.Policy {
	p := gatewayPolicy
	p.Givers = []string{}
	for _, h := range g.owners.Of(budgets.Key(budget), givers) {
		if !h.Self() {
			p.Givers = append(p.Givers, h.Name)
		}
	}
	return p
}
