// Package wire converts refusals to and from the form in which they cross a process boundary. It is
// the only place that does so, so that no field of a refusal is lost on the way.
package wire

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// EncodeError returns err as a message; nil for nil. An error that is not a refusal is encoded as
// errkind.Internal.
func EncodeError(err error) *pb.Error {
	e := errkind.From(err)
	if e == nil {
		return nil
	}
	return &pb.Error{
		Kind: string(e.Kind), Message: e.Message, Path: e.Path,
		RetryAfterMs: e.RetryAfter.Milliseconds(), PresentVersion: e.PresentVersion,
	}
}

// DecodeError returns the *errkind.Error encoded in e; nil for nil. A value of Ran that differs
// from the kind's row in errkind.Table is not encoded.
func DecodeError(e *pb.Error) error {
	if e == nil {
		return nil
	}
	return &errkind.Error{
		Kind: errkind.Kind(e.GetKind()), Message: e.GetMessage(), Path: e.GetPath(),
		RetryAfter: time.Duration(e.GetRetryAfterMs()) * time.Millisecond, PresentVersion: e.GetPresentVersion(),
	}
}
