package control

import (
	"fmt"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// NotLeaderError reports that this replica is not the leader and therefore rejected a
// proposal or a read; nothing was done. Leader is 0 if the leader is unknown.
type NotLeaderError struct {
	Leader  uint64
	Address string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "control: this replica is not the leader, and the leader is unknown"
	}
	return fmt.Sprintf("control: this replica is not the leader; the leader is replica %d at %s", e.Leader, e.Address)
}

// errOutcomeUnknown reports that a proposal may still be committed.
func errOutcomeUnknown(why string) error {
	return errkind.New(errkind.NoQuorum, "%s; the change may still take effect", why)
}

// errNoLease reports that an answer to a read could be stale.
func errNoLease() error {
	return errkind.New(errkind.NoQuorum, "this leader holds no valid lease").WithRan(errkind.RanNo)
}

func errLogFull(bytes, limit int64) error {
	return errkind.New(errkind.Overloaded,
		"the control group's log holds %d bytes and its cap is %d; nothing was appended", bytes, limit).After(time.Second)
}

// refusal returns the error as a refusal to the caller.
func (e *NotLeaderError) refusal() *errkind.Error {
	return errkind.New(errkind.NoQuorum, "%s", e.Error()).WithRan(errkind.RanNo)
}
