package control

import (
	"fmt"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
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

// ToWire turns an error into the form that crosses a process boundary.
func ToWire(err error) *pb.Error {
	e := errkind.From(err)
	if e == nil {
		return nil
	}
	return &pb.Error{
		Kind: string(e.Kind), Message: e.Message, Path: e.Path,
		RetryAfterMs: e.RetryAfter.Milliseconds(), PresentVersion: e.PresentVersion,
	}
}

// FromWire turns an error that crossed a process boundary back into a refusal; nil for nil.
func FromWire(e *pb.Error) error {
	if e == nil {
		return nil
	}
	return &errkind.Error{
		Kind: errkind.Kind(e.Kind), Message: e.Message, Path: e.Path,
		RetryAfter: time.Duration(e.RetryAfterMs) * time.Millisecond, PresentVersion: e.PresentVersion,
	}
}

// refusal is the error as a refusal of its kind.
func (e *NotLeaderError) refusal() *errkind.Error {
	return errkind.New(errkind.NoQuorum, "%s", e.Error()).WithRan(errkind.RanNo)
}
