package control

import (
	"fmt"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// NotLeaderError says that this replica can't take a proposal or answer a read;
// nothing was done. Leader is 0 if none is known.
type NotLeaderError struct {
	Leader  uint64
	Address string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "control: this replica isn't the leader and knows of none"
	}
	return fmt.Sprintf("control: this replica isn't the leader; %d at %s is", e.Leader, e.Address)
}

// errOutcomeUnknown says that a proposal may still be committed.
func errOutcomeUnknown(why string) error {
	return errkind.New(errkind.NoQuorum, "%s; the change may still take effect", why)
}

// errNoLease says that a read can't be answered without the risk of a stale answer.
func errNoLease() error {
	return errkind.New(errkind.NoQuorum, "this leader holds no lease").WithRan(errkind.RanNo)
}

func errLogFull(bytes, limit int64) error {
	return errkind.New(errkind.Overloaded,
		"the control group's log holds %d bytes and its cap is %d, nothing was appended", bytes, limit).After(time.Second)
}

// refusal is the error as a refusal of its kind.
func (e *NotLeaderError) refusal() *errkind.Error {
	return errkind.New(errkind.NoQuorum, "%s", e.Error()).WithRan(errkind.RanNo)
}
