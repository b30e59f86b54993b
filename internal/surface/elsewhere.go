package surface

import "github.com/bluebellsail/bluebellsail/internal/errkind"

// Redirect refuses a call that another host may answer.
type Redirect struct {
	// Address is where that host takes the same calls, "ip:port".
	Address string
	// Refusal is for a caller that can't be sent there.
	Refusal *errkind.Error
}

// Error implements error.
func (e *Redirect) Error() string { return e.Refusal.Error() + "; ask " + e.Address }

// Unwrap gives errors.As the refusal.
func (e *Redirect) Unwrap() error { return e.Refusal }
