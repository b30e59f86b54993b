package surface

import "github.com/bluebellsail/bluebellsail/internal/errkind"

// Redirect is a refusal of a call that another host may answer.
type Redirect struct {
	// Address is where that host accepts the same calls, "ip:port".
	Address string
	// Refusal is the answer for a caller that can't be redirected there.
	Refusal *errkind.Error
}

// Error implements error.
func (e *Redirect) Error() string { return e.Refusal.Error() + "; ask " + e.Address }

// Unwrap returns the refusal for errors.As.
func (e *Redirect) Unwrap() error { return e.Refusal }

// Precondition is the refusal of a call that has to be made again under a revision that it then names.
type Precondition struct {
	// Address is where this host accepts the call, "ip:port".
	Address string
	// Revision is the present one of what the call changes.
	Revision uint64
	// Refusal is the answer for a caller that can't be redirected.
	Refusal *errkind.Error
}

// Error implements error.
func (e *Precondition) Error() string { return e.Refusal.Error() }

// Unwrap returns the refusal for errors.As.
func (e *Precondition) Unwrap() error { return e.Refusal }
