// Package errwire turns refusals into the form in which they cross a process
// boundary or stand in the replicated state's answers, and back.
package errwire

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// ToProto returns the wire form of err; any error that isn't an *errkind.Error
// becomes one of kind Internal. It returns nil for nil.
func ToProto(err error) *pb.Error {
	e := errkind.From(err)
	if e == nil {
		return nil
	}
	return &pb.Error{
		Kind: string(e.Kind), Message: e.Message, Path: e.Path,
		RetryAfterMs: e.RetryAfter.Milliseconds(), PresentVersion: e.PresentVersion,
	}
}

// FromProto returns the *errkind.Error that e stands for, nil for nil.
func FromProto(e *pb.Error) error {
	if e == nil {
		return nil
	}
	return &errkind.Error{
		Kind: errkind.Kind(e.Kind), Message: e.Message, Path: e.Path,
		RetryAfter: time.Duration(e.RetryAfterMs) * time.Millisecond, PresentVersion: e.PresentVersion,
	}
}
