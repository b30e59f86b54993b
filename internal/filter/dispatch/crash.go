package dispatch

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/instance"
)

// healthPath is the path at which servers report whether they accept work.
const healthPath = "/healthz"

// crashLike reports whether reading a run ended as it does when the engine crashes. Excluded are ends
// and errors that the engine sent itself, runs that this host ended and machines that were silent.
func crashLike(err error) bool {
	if engineclient.IsSilent(err) {
		return false
	}
	for _, other := range []error{
		errSilent, errNoAnswer, errOverCap, errDiverged, errEngine, errStopped, errEarlyEnd, engineclient.ErrOtherAnswer, engineclient.ErrEventTooLong,
	} {
		if errors.Is(err, other) {
			return false
		}
	}
	_, _, status := errorDetails(err)
	return status == 0
}

// reportReached reports to the quarantine that a server has received the call.
func reportReached(c *filter.Call) {
	if c.Admission != nil {
		c.Admission.ServerReached()
	}
}

// reportAnswered reports a whole answer to the quarantine; output is whether it has output.
func reportAnswered(c *filter.Call, output bool) {
	if c.Admission != nil {
		c.Admission.Answered(filter.ServerAnswer{Whole: true, Output: output, Software: software(c)})
	}
}

// software returns what the call's servers run. Engines do not announce a version.
func software(c *filter.Call) string { return c.Service + "//" + c.Model + "/" + c.Adapter }

// reportConnectionLoss reports to the quarantine a connection that the server's side ended. If
// another host acquired the slot, the server's incarnation is not known here; the server is then
// identified by its address alone. output is whether the attempt had output.
func reportConnectionLoss(c *filter.Call, server string, began time.Time, output bool) {
	if c.Admission == nil {
		return
	}
	b := filter.ConnectionLoss{
		Incarnation: instance.Incarnation{ID: server}, Address: server, HealthPath: healthPath, Started: began, Software: software(c), Output: output, RequestID: c.ID,
	}
	if c.Resume == nil && c.Lease != nil {
		b.Incarnation.Started, b.OtherRequests = c.Lease.Server().GetIncarnation(), int(c.Lease.Server().GetRunning())
	}
	c.Admission.ConnectionLost(b)
}
