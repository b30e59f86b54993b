package dispatch

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/instance"
)

// healthPath is where servers say whether they take work.
const healthPath = "/healthz"

// crashLike tells whether the reading of a run ended as it does when its engine crashes. What the
// engine said itself, and what this host ended, is something else.
func crashLike(err error) bool {
	for _, other := range []error{errSilent, errNoAnswer, errCut, errDiverged, errEngine, errStopped} {
		if errors.Is(err, other) {
			return false
		}
	}
	_, _, status := judge(err)
	return status == 0
}

// reached tells the quarantine that a server has the call.
func reached(c *filter.Call) {
	if c.Admission != nil {
		c.Admission.ServerReached()
	}
}

// answered tells the quarantine of a whole answer.
func answered(c *filter.Call) {
	if c.Admission != nil {
		c.Admission.Answered()
	}
}

// broke tells the quarantine of a connection that the server's side ended. The run of a server
// that another host took room at is not known here; its address stands for it.
func broke(c *filter.Call, server string, began time.Time) {
	if c.Admission == nil {
		return
	}
	b := filter.ConnectionLoss{
		Incarnation: instance.Incarnation{ID: server}, Address: server, HealthPath: healthPath, Started: began, RequestID: c.ID,
	}
	if c.Resume == nil && c.Lease != nil {
		b.Incarnation.Started, b.OtherRequests = c.Lease.Server().GetIncarnation(), int(c.Lease.Server().GetRunning())
	}
	c.Admission.ConnectionLost(b)
}
