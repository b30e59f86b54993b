// Package sources turns what the parts of a host know into its load view. It is pure.
package sources

import (
	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/loadview"
)

// Slots describes the slots of plain services.
func Slots(service string, services []balance.ServiceSlots, into *loadview.Host) {
	for _, v := range services {
		if service != "" && service != v.Service {
			continue
		}
		for _, s := range v.Servers {
			describeServer(s, into.ServerNamed(v.Service, s.Server))
		}
		for _, a := range v.Accounts {
			into.AccountNamed(a.Account).TakeShare(a.Due, a.Used)
		}
	}
}

func describeServer(s balance.ServerSlots, into *loadview.Server) {
	into.Assigned, into.FaultPart = s.Own, s.FaultPart
	if s.AgeMS >= 0 {
		into.Reported = &loadview.Report{Running: s.Running, Waiting: s.Waiting, Slots: s.Slots, AgeMS: s.AgeMS}
	}
}
