package daemon

import (
	"github.com/bluebellsail/bluebellsail/internal/adminapi"
)

// serveRepair starts the controllers that mend what failed hosts left behind.
func (e *entry) serveRepair(*tasks) {}

// orders sends operators' orders to backend servers.
func (d *Daemon) orders() adminapi.Orders { return nil }
